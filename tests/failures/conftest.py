import contextlib
import pathlib

import pytest

from hornbeamglade import localsite
from tests.failures import links

SHOWN_LINES = 60
"""Lines at the end of each log that are shown."""


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Show the end of each process's log if a test fails: its folder may be gone afterwards."""
    report = yield
    folder = item.funcargs.get("tmp_path") if call.excinfo is not None else None
    for path in sorted(pathlib.Path(folder).glob("*.log")) if folder else ():
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
        report.sections.append((path.name, "\n".join(lines[-SHOWN_LINES:])))
    return report


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a site with proxies in front of the named processes."""
    with contextlib.ExitStack() as stack:

        def start_site(*proxied, **members):
            proxies = links.Links(*proxied)
            stack.callback(proxies.close)
            shape = localsite.Shape(route=proxies.route, **members)
            site = stack.enter_context(localsite.LocalSite(shape, tmp_path))
            return site, proxies

        yield start_site
