"""Registration in the list of instances, and how often the list is read."""

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


def test_small_site_reads_the_list_every_few_seconds():
    _, registrar, lists = make(others=2)
    assert registrar.step() == registration.SECOND_READ_S
    assert registrar.step() == registration.LIST_INTERVAL_S
    assert {each.name for each in lists[-1]} == {"own", "other-0", "other-1"}


def test_large_site_reads_its_long_list_rarely():
    _, registrar, _ = make(others=dissemination.FULL_MESH_MAX_NODES)
    registrar.step()
    assert registrar.step() == registration.LONG_LIST_INTERVAL_S


def test_retry_after_an_outage_is_fast_only_before_registration():
    """The store is down for ten seconds at a site of hundreds of instances.

    Each call costs money, and none of them would return anything new.
    """
    platform, registrar, lists = make()
    platform.set_faults(memory.Faults(down=True))
    assert registrar.step() == registration.INITIAL_RETRY_S
    platform.set_faults(memory.Faults())
    registrar.step()
    platform.set_faults(memory.Faults(down=True))
    assert registrar.step() > registration.INITIAL_RETRY_S
    assert len(lists) == 1


def test_instance_joining_a_running_site_registers_and_reads_again():
    """Two instances are added simultaneously, and each reads the list before the other registers.

    Without a second read after registering, neither would know the other for a minute.
    """
    platform, registrar, lists = make(
        others=dissemination.FULL_MESH_MAX_NODES, is_first_start=False
    )
    assert registrar.step() == 0.0
    registry.Registry(platform).register(row("other-late"))
    assert registrar.step() == registration.LONG_LIST_INTERVAL_S
    assert {"own", "other-late"} <= {each.name for each in lists[-1]}


def test_instance_rewrites_a_row_that_the_store_has_lost():
    """A restored store lacks the row, so new instances would not find this one."""
    platform, registrar, _ = make(others=2)
    backup = platform.backup()
    registrar.step()
    registrar.step()
    platform.restore(backup)
    registrar.step()
    assert "own" in {each.name for each in registry.Registry(platform).list()}


class CountedRows(registry.Registry):
    """Records the calls to the store."""

    def __init__(self, table):
        super().__init__(table)
        self.calls = []

    def list(self):
        self.calls.append("list")
        return super().list()

    def register(self, instance):
        self.calls.append("register")
        return super().register(instance)


def test_one_call_suffices_after_a_power_failure():
    """All of 195 instances lose power and start again within a second.

    Their rows are still there. Three calls by each of them are 585 at once, and the store
    serializes the writes of a table: the last instance knew the others a second late.
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


def test_row_of_an_earlier_incarnation_elsewhere_is_replaced():
    """An instance returns under its name on another machine.

    Its former row would direct the other instances, and callers, to an unused address.
    """
    platform, _, _ = make()
    rows = registry.Registry(platform)
    rows.register(contract.Instance("own", "d", "10.0.0.9:80", "10.0.0.9:7200", False))
    registrar = registration.Registration(row("own"), rows, (), print, clocks.ManualClock())
    registrar.step()
    assert rows.list() == (row("own"),)


def test_failed_registration_is_retried_soon():
    """The store fails between an instance's first read and its registration.

    Until it is registered, only the instances that it has contacted know it, so the next
    attempt must not wait for the interval of later reads.
    """
    platform, registrar, _ = make(others=2, is_first_start=False)
    registrar._rows.register = lambda own: contract.Unavailable("away")
    assert registrar.step() == registration.INITIAL_RETRY_S
    platform.set_faults(memory.Faults(down=True))
    assert registrar.step() == registration.INITIAL_RETRY_S
