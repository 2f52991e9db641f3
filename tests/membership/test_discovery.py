"""Discovery of the other nodes while the store is unavailable."""

import pytest

from hornbeamglade.exchange import messages
from hornbeamglade.membership import discovery, registry, view
from hornbeamglade.standins import httpserver
from hornbeamglade.store import contract, memory
from tests.backends import scripted
from tests.http1 import oddstatuslines

DOWN = memory.Faults(down=True)


def member(name, state=messages.NodeState.LIVE):
    identity = view.Identity(name, "a", f"{name}:80", f"{name}:72")
    return view.Member(identity, 1, 1, 0, state, 0.0, None)


@pytest.fixture
def seed():
    members = [member("n1"), member("n2", messages.NodeState.GONE)]

    def answer(request):
        if request.path != discovery.PATH:
            return None
        return httpserver.Response(200, discovery.members_page(members))

    server = httpserver.Server("127.0.0.1:0", answer, threads=2)
    server.start()
    yield server.address
    server.stop()


def listing(platform, *seeds):
    return discovery.Discovery(registry.Registry(platform), seeds)


def test_list_in_the_store_takes_precedence(seed):
    platform = memory.MemoryPlatform()
    own = contract.Instance("n9", "a", "10.0.0.9:80", "10.0.0.9:72", False)
    registry.Registry(platform).register(own)
    assert listing(platform, seed).list() == (own,)


def test_seed_is_used_while_the_store_is_unavailable(seed):
    """Guards against an instance that starts while the store is down and knows no other node.

    It would have no configuration, and would refuse callers until the store is back.
    """
    platform = memory.MemoryPlatform()
    platform.set_faults(DOWN)
    found = listing(platform, "127.0.0.1:9", seed).list()
    assert found == (contract.Instance("n1", "a", "n1:80", "n1:72", False),)


def test_outage_is_reported_if_no_seed_responds():
    platform = memory.MemoryPlatform()
    platform.set_faults(DOWN)
    assert isinstance(listing(platform, "127.0.0.1:9").list(), contract.Unavailable)


def test_seed_address_now_used_by_another_server_is_skipped():
    platform = memory.MemoryPlatform()
    platform.set_faults(DOWN)
    other = httpserver.Server(
        "127.0.0.1:0", lambda _: httpserver.Response(200, b"<html>"), threads=1
    )
    other.start()
    found = listing(platform, other.address).list()
    other.stop()
    assert isinstance(found, contract.Unavailable)


@pytest.mark.parametrize("line", [*oddstatuslines.MALFORMED, b"HTTP/1.1 500 Oops"])
def test_list_of_a_seed_that_failed_is_not_used(line):
    """A seed in trouble sent a list with status 500 or 600, and an instance began with it."""
    page = discovery.members_page([member("n1")])
    with scripted.server(line + b"\r\n\r\n" + page) as address:
        assert discovery.Seeds((address,)).fetch() == ()
    with scripted.server(b"HTTP/1.1 200 OK\r\n\r\n" + page) as address:
        assert len(discovery.Seeds((address,)).fetch()) == 1
