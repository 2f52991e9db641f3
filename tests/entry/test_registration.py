"""The list of instances is written once and read seldom."""

from hornbeamglade.core import clocks
from hornbeamglade.entry import registration
from hornbeamglade.membership import dissemination, registry
from hornbeamglade.store import contract, memory


def row(name):
    return contract.Instance(name, "d", "10.0.0.1:80", "10.0.0.1:7200", False)


def make(others=0, is_first_start=True):
    platform = memory.MemoryPlatform(clocks.ManualClock())
    rows = registry.Registry(platform)
    for number in range(others):
        rows.register(row(f"other-{number}"))
    lists = []
    registrar = registration.Registration(
        row("own"), rows, (), lists.append, clocks.ManualClock(), is_first_start
    )
    return platform, registrar, lists


def test_a_small_site_reads_the_list_every_few_seconds():
    _, registrar, lists = make(others=2)
    assert registrar.step() == registration.SECOND_READ_S
    assert registrar.step() == registration.LIST_INTERVAL_S
    assert {each.name for each in lists[-1]} == {"own", "other-0", "other-1"}


def test_a_large_site_reads_its_long_list_seldom():
    _, registrar, _ = make(others=dissemination.FULL_MESH_MAX_NODES)
    registrar.step()
    assert registrar.step() == registration.LONG_LIST_INTERVAL_S


def test_an_outage_at_the_start_is_tried_again_soon_and_a_later_one_is_not():
    """The store is away for ten seconds at a site of hundreds of instances.

    Each call is paid for, and none of them would tell anything new.
    """
    platform, registrar, lists = make()
    platform.set_faults(memory.Faults(down=True))
    assert registrar.step() == registration.INITIAL_RETRY_S
    platform.set_faults(memory.Faults())
    registrar.step()
    platform.set_faults(memory.Faults(down=True))
    assert registrar.step() > registration.INITIAL_RETRY_S
    assert len(lists) == 1


def test_an_instance_that_comes_to_a_running_site_registers_and_reads_again():
    """Two instances are added at the same moment, and each reads the list before the other.

    Without a second reading after it has registered, neither would know the other for a minute.
    """
    platform, registrar, lists = make(
        others=dissemination.FULL_MESH_MAX_NODES, is_first_start=False
    )
    assert registrar.step() == 0.0
    registry.Registry(platform).register(row("other-late"))
    assert registrar.step() == registration.LONG_LIST_INTERVAL_S
    assert {"own", "other-late"} <= {each.name for each in lists[-1]}


def test_an_instance_whose_row_the_store_has_lost_writes_it_again():
    """Guards instances that start against a list that lacks one which is there."""
    platform, registrar, _ = make(others=2)
    copy = platform.backup()
    registrar.step()
    registrar.step()
    platform.restore(copy)
    registrar.step()
    assert "own" in {each.name for each in registry.Registry(platform).list()}


class CountedRows(registry.Registry):
    """Counts what is asked of the store."""

    def __init__(self, table):
        super().__init__(table)
        self.calls = []

    def list(self):
        self.calls.append("list")
        return super().list()

    def register(self, instance):
        self.calls.append("register")
        return super().register(instance)


def test_after_a_loss_of_power_one_call_is_enough():
    """All of 195 instances lose power and start again within a second.

    Their rows are all there. Three calls of each are 585 at once, and the store makes the
    writes of one table one after another: the last knew the others a second late.
    """
    platform = memory.MemoryPlatform(clocks.ManualClock())
    rows = CountedRows(platform)
    for number in range(30):
        registry.Registry(platform).register(row(f"other-{number}"))
    registry.Registry(platform).register(row("own"))
    lists = []
    registrar = registration.Registration(row("own"), rows, (), lists.append, clocks.ManualClock())
    assert registrar.step() == registration.LONG_LIST_INTERVAL_S
    assert rows.calls == ["list"]
    assert len(lists[0]) == 31


def test_a_row_of_a_former_run_elsewhere_is_replaced():
    """An instance comes back under its name on another machine.

    Its former row would send the others, and callers, to an address where nobody is.
    """
    platform, _, _ = make()
    rows = registry.Registry(platform)
    rows.register(contract.Instance("own", "d", "10.0.0.9:80", "10.0.0.9:7200", False))
    registrar = registration.Registration(row("own"), rows, (), print, clocks.ManualClock())
    registrar.step()
    assert rows.list() == (row("own"),)


def test_an_instance_that_could_not_register_tries_again_soon():
    """The store fails between an instance's first reading and its registration.

    Nobody but those that it has heard of knows it: its next try must not wait for as long as
    a later reading of the list.
    """
    platform, registrar, _ = make(others=2, is_first_start=False)
    registrar._rows.register = lambda own: contract.Unavailable("away")
    assert registrar.step() == registration.INITIAL_RETRY_S
    platform.set_faults(memory.Faults(down=True))
    assert registrar.step() == registration.INITIAL_RETRY_S
