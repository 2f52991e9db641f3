"""The list of instances is written once and read seldom."""

from hornbeamglade.core import clocks
from hornbeamglade.entry import registration
from hornbeamglade.membership import dissemination, registry
from hornbeamglade.store import contract, memory


def row(name):
    return contract.Instance(name, "d", "10.0.0.1:80", "10.0.0.1:7200", False)


def make(others=0):
    platform = memory.MemoryPlatform(clocks.ManualClock())
    rows = registry.Registry(platform)
    for number in range(others):
        rows.register(row(f"other-{number}"))
    told = []
    kept = registration.Registration(row("own"), rows, (), told.append, clocks.ManualClock())
    return platform, kept, told


def test_a_small_site_reads_the_list_every_few_seconds():
    _, kept, told = make(others=2)
    assert kept.step() == registration.AGAIN_S
    assert kept.step() == registration.LIST_S
    assert {each.name for each in told[-1]} == {"own", "other-0", "other-1"}


def test_a_large_site_reads_its_long_list_seldom():
    _, kept, _ = make(others=dissemination.MESH_BOUND)
    kept.step()
    assert kept.step() == registration.LONG_LIST_S


def test_an_outage_at_the_start_is_tried_again_soon_and_a_later_one_is_not():
    """The store is away for ten seconds at a site of hundreds of instances.

    Each call is paid for, and none of them would tell anything new.
    """
    platform, kept, told = make()
    platform.set_faults(memory.Faults(down=True))
    assert kept.step() == registration.FIRST_S
    platform.set_faults(memory.Faults())
    kept.step()
    platform.set_faults(memory.Faults(down=True))
    assert kept.step() > registration.FIRST_S
    assert len(told) == 1
