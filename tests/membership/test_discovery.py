"""Finding the other nodes while the store is away."""

import pytest

from hornbeamglade.exchange import messages
from hornbeamglade.membership import discovery, registry, view
from hornbeamglade.standins import httpserver
from hornbeamglade.store import contract, memory

GONE = memory.Faults(down=True)


def member(name, state=messages.NodeState.LIVE):
    identity = view.Identity(name, "a", f"{name}:80", f"{name}:72")
    return view.Member(identity, 1, 1, 0, state, 0.0, None)


@pytest.fixture
def seed():
    members = [member("n1"), member("n2", messages.NodeState.GONE)]

    def answer(request):
        if request.path != discovery.PATH:
            return None
        return httpserver.Answer(200, discovery.members_page(members))

    server = httpserver.Server("127.0.0.1:0", answer, threads=2)
    server.start()
    yield server.address
    server.stop()


def listing(platform, *seeds):
    return discovery.Discovery(registry.Registry(platform), seeds)


def test_list_in_the_store_goes_first(seed):
    platform = memory.MemoryPlatform()
    own = contract.Instance("n9", "a", "n9:80", "n9:72", False)
    registry.Registry(platform).register(own)
    assert listing(platform, seed).list() == (own,)


def test_seed_is_asked_while_the_store_is_away(seed):
    """An instance starts while the store is down.

    Without the others it knows no configuration, and refuses callers until the store
    is back.
    """
    platform = memory.MemoryPlatform()
    platform.set_faults(GONE)
    found = listing(platform, "127.0.0.1:9", seed).list()
    assert found == (contract.Instance("n1", "a", "n1:80", "n1:72", False),)


def test_nobody_who_answers_is_told_as_such():
    platform = memory.MemoryPlatform()
    platform.set_faults(GONE)
    assert isinstance(listing(platform, "127.0.0.1:9").list(), contract.Unavailable)


def test_seed_that_is_something_else_by_now_is_passed_over():
    platform = memory.MemoryPlatform()
    platform.set_faults(GONE)
    other = httpserver.Server(
        "127.0.0.1:0", lambda _: httpserver.Answer(200, b"<html>"), threads=1
    )
    other.start()
    found = listing(platform, other.address).list()
    other.stop()
    assert isinstance(found, contract.Unavailable)
