"""The nodes' registrations in the store."""

from hornbeamglade.membership import registry
from hornbeamglade.store import contract, memory

OWN = contract.Instance("n1", "a", "10.0.0.1:80", "10.0.0.1:72", False)


def test_rows_are_written_replaced_and_deleted():
    nodes = registry.Registry(memory.MemoryPlatform())
    moved = contract.Instance("n1", "b", "10.0.0.2:80", "10.0.0.2:72", True)
    nodes.register(OWN)
    nodes.register(moved)
    assert nodes.list() == (moved,)
    nodes.deregister("n1")
    nodes.deregister("n1")
    assert nodes.list() == ()


def test_malformed_row_does_not_hide_others():
    platform = memory.MemoryPlatform()
    nodes = registry.Registry(platform)
    nodes.register(OWN)
    platform.transact((), (contract.Put("instances/n0", "{}"),))
    assert nodes.list() == (OWN,)


def test_outage_is_reported():
    platform = memory.MemoryPlatform()
    platform.set_faults(memory.Faults(down=True))
    nodes = registry.Registry(platform)
    assert isinstance(nodes.list(), contract.Unavailable)
    assert isinstance(nodes.register(OWN), contract.Unavailable)
