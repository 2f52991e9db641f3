"""References from the fault model to what plays a fault, and whether they exist.

Explanation
===========

A reference has a kind and a name, such as ``option:hang``. The kinds are ``option`` (a fault of
the routed stand-in), ``store`` (one of the platform's stand-in), ``soak`` (a fault of the soak),
``sweep`` (a kind of exchange or a disturbance), ``crowd`` (a crowd of callers) and ``test`` (a
test file, or a test in it, by path and name). ``bench`` alone stands for the operators' bench.
"""

import ast
import collections.abc
import functools
import importlib.util
import inspect
import pathlib

from hornbeamglade.faultmodel import records
from hornbeamglade.soak import callerfaults, enginefaults, faults
from hornbeamglade.standins import crowds, disturbances, platform, routedfaults
from hornbeamglade.sweep import kinds

BENCH = "bench"
_PACKAGE = "hornbeamglade"


def missing(model: records.FaultModel, root: pathlib.Path) -> list[str]:
    """Return the references and modules that do not exist, each with its freedom.

    :param root: the repository, which contains the tests.
    """
    freedoms = [each for listed in model.freedoms_by_party.values() for each in listed]
    references = [(each.id, name) for each in freedoms for name in each.played_by]
    references += [
        (f"{freedom}/{moment}", name)
        for (freedom, moment), names in model.played_by_crossing.items()
        for name in names
    ]
    absent = [f"{owner}: {name}" for owner, name in references if not exists(name, root)]
    modules = [(each.id, name) for each in freedoms for name in each.held_by]
    return absent + [f"{owner}: {name}" for owner, name in modules if not _has_module(name)]


def exists(reference: str, root: pathlib.Path) -> bool:
    """Return whether something has the name of a reference.

    Examples
    ========

    >>> exists("option:hang", pathlib.Path()), exists("option:hangs", pathlib.Path())
    (True, False)
    """
    kind, _, name = reference.partition(":")
    if kind == "test":
        return _has_test(root, name)
    return reference == BENCH or name in _names_by_kind().get(kind, ())


@functools.cache
def _names_by_kind() -> dict[str, frozenset[str]]:
    soak_faults = (
        *_subclasses(faults, faults.Fault),
        *_subclasses(enginefaults, faults.Fault),
        *_subclasses(callerfaults, faults.Fault),
    )
    disturbed = {each.value for each in disturbances.Action}
    return {
        "option": frozenset(routedfaults.RoutedFaults.model_fields),
        "store": frozenset(platform.FaultsBody.model_fields),
        "soak": frozenset(soak_faults),
        "sweep": frozenset({kind.name for kind in kinds.KINDS} | disturbed),
        "crowd": frozenset(_subclasses(crowds, crowds.Crowd)),
    }


def _subclasses(module: object, base: type) -> collections.abc.Iterator[str]:
    for name, each in inspect.getmembers(module, inspect.isclass):
        if issubclass(each, base) and not inspect.isabstract(each):
            yield name


def _has_test(root: pathlib.Path, name: str) -> bool:
    path, _, function = name.partition("::")
    source = root / path
    if not source.is_file():
        return False
    return not function or function in _functions(source)


@functools.cache
def _functions(source: pathlib.Path) -> frozenset[str]:
    tree = ast.parse(source.read_text(encoding="utf-8"))
    defined = (ast.FunctionDef, ast.AsyncFunctionDef)
    return frozenset(each.name for each in tree.body if isinstance(each, defined))


def _has_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(f"{_PACKAGE}.{name}") is not None
    except ModuleNotFoundError:
        return False
