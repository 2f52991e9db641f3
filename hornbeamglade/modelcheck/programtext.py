"""Text of a PRISM specification: its guards, variants and labels, and setting of constants.

Explanation
===========

A specification leaves two kinds of constants undefined. ``const bool guard_x;`` is
a guard of the protocol: on in the implemented protocol, off to show why it is
needed. ``const bool variant_x;`` selects a variant of the protocol; every variant
must hold the guarantee, and the implemented one has it off. The prefix of a label
gives its meaning: a ``bad_`` state must be unreachable, a ``good_`` state must be
reachable, and a ``home_`` state must stay reachable from every reachable state (no
run gets stuck before it).
"""

import dataclasses
import itertools
import pathlib
import re
from collections import abc

from hornbeamglade.core import codederrors

_OPEN_CONSTANT = re.compile(r"^const bool (?P<name>(?:guard|variant)_\w+);", re.MULTILINE)
_LABEL = re.compile(r'^label "(?P<name>\w+)"', re.MULTILINE)
_DEFAULT_DIRECTORY = pathlib.Path(__file__).resolve().parents[2] / "spec"


@dataclasses.dataclass(frozen=True, slots=True)
class Specification:
    r"""One specification with its constants undefined.

    :param name: the file's name without its suffix.
    :param text: the PRISM program.

    Examples
    ========

    >>> specification = Specification("tiny", "mdp\nconst bool guard_a;\n")
    >>> specification.guards
    ('guard_a',)
    >>> specification.with_constants({"guard_a": False})
    'mdp\nconst bool guard_a = false;\n'
    """

    name: str
    text: str

    @property
    def guards(self) -> tuple[str, ...]:
        """Names of the guards, in order of the text."""
        return self._constants("guard_")

    @property
    def variants(self) -> tuple[str, ...]:
        """Names of the protocol variants, in order of the text."""
        return self._constants("variant_")

    @property
    def variant_settings(self) -> tuple[dict[str, bool], ...]:
        """All combinations of the variants, all off first; a single empty one without variants."""
        choices = itertools.product((False, True), repeat=len(self.variants))
        return tuple(dict(zip(self.variants, choice, strict=True)) for choice in choices)

    def labels(self, prefix: str) -> tuple[str, ...]:
        """Return the names of the labels that begin with ``prefix``.

        :param prefix: such as ``bad_``.
        """
        names = (match["name"] for match in _LABEL.finditer(self.text))
        return tuple(name for name in names if name.startswith(prefix))

    def with_constants(self, values: abc.Mapping[str, bool]) -> str:
        """Return the program with all undefined constants set.

        :param values: a value for each guard and each variant.
        :raises CodedError: ``spec_constant_unset`` when a value is missing.
        """

        def assign(match: re.Match[str]) -> str:
            name = match["name"]
            if name not in values:
                raise codederrors.CodedError("spec_constant_unset", f"{self.name} needs {name}")
            return f"const bool {name} = {str(values[name]).lower()};"

        return _OPEN_CONSTANT.sub(assign, self.text)

    def _constants(self, prefix: str) -> tuple[str, ...]:
        names = (match["name"] for match in _OPEN_CONSTANT.finditer(self.text))
        return tuple(name for name in names if name.startswith(prefix))


def load(path: pathlib.Path) -> Specification:
    """Read a specification from a file.

    :param path: a ``.prism`` file.
    :raises CodedError: ``spec_unreadable`` when the file can't be read.
    """
    try:
        return Specification(path.stem, path.read_text(encoding="utf-8"))
    except OSError as error:
        raise codederrors.CodedError("spec_unreadable", f"{path}: {error}") from error


def specification_paths(
    directory: pathlib.Path = _DEFAULT_DIRECTORY,
) -> tuple[pathlib.Path, ...]:
    """Return the specifications of a directory, in order of name.

    :param directory: by default ``spec/`` of the source tree.
    :raises CodedError: ``spec_none_found`` when there is none.
    """
    paths = tuple(sorted(directory.glob("*.prism")))
    if not paths:
        raise codederrors.CodedError("spec_none_found", f"no .prism file in {directory}")
    return paths
