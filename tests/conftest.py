"""Runs coroutine tests; marks the tests listed in KNOWN-RED.txt as expected failures.

The list is printed at the end. An entry begins with a test id, with or without parameters,
followed by a colon and a space. An entry that matches no test of a collected file is an error.
"""

import inspect
import pathlib

import pytest

from tests import eventloop

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def entries():
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line.partition(": ")[0] for line in lines if line.strip()]


def names(entry, item):
    return item.nodeid == entry or item.nodeid.partition("[")[0] == entry


def pytest_collection_modifyitems(items):
    collected = {item.nodeid.partition("::")[0] for item in items}
    for entry in entries():
        listed = [item for item in items if names(entry, item)]
        if not listed and "::" in entry and entry.partition("::")[0] in collected:
            raise pytest.UsageError(f"KNOWN-RED.txt names no test: {entry}")
        for item in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Run a coroutine test on an event loop of its own."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    # Fixtures that the test uses by a mark only are no arguments.
    arguments = {name: pyfuncitem.funcargs[name] for name in pyfuncitem._fixtureinfo.argnames}
    eventloop.run(pyfuncitem.obj(**arguments))
    return True


def pytest_terminal_summary(terminalreporter):
    for entry in entries():
        terminalreporter.write_line(f"known red: {entry}")
