import contextlib

import pytest

from hornbeamglade import localsite
from tests.failures import links


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
