"""Migration slots between nodes over a network that loses datagrams."""

import asyncio
import random

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.grants import grantacquirer, migrationcoordinator

OWNER = "n0"


class Network(transport.Transport):
    """Carries messages between coordinators by name; loses a share of them."""

    def __init__(self, name, coordinator_by_name, rng, loss):
        self._name = name
        self._coordinator_by_name = coordinator_by_name
        self._rng = rng
        self._loss = loss

    def send(self, peer, message):
        if self._rng.random() < self._loss or peer.name not in self._coordinator_by_name:
            return
        sender = codec.Sender(self._name, 1)
        endpoint = transport.Endpoint("10.0.0.1", 1)
        coordinator = self._coordinator_by_name[peer.name]
        asyncio.get_running_loop().call_soon(coordinator.handle_message, message, sender, endpoint)


class Owners(grantacquirer.ReplicaOwners):
    """One node owns every replica."""

    def __init__(self, name):
        self._name = name

    def owner(self, replica):
        if self._name == OWNER:
            return None
        return transport.Peer(OWNER, transport.Endpoint("10.0.0.1", 1))

    def record_no_response(self, owner):
        raise AssertionError(owner)


def site(loss, names=("n0", "n1", "n2")):
    coordinator_by_name = {}
    rng = random.Random(1)
    for name in names:
        network = Network(name, coordinator_by_name, rng, loss)
        coordinator = migrationcoordinator.MigrationCoordinator(
            name, Owners(name), network, clocks.SystemClock()
        )
        coordinator_by_name[name] = coordinator
    return coordinator_by_name


async def migrate_all(loss, work_s=0.01):
    """Migrate nine runs of three nodes; return their order and the most at one time."""
    coordinator_by_name = site(loss)
    order, migrating, most = [], [], [0]

    async def tick():
        while True:
            for coordinator in coordinator_by_name.values():
                coordinator.tick()
            await asyncio.sleep(0.01)

    async def migrate(coordinator, run, tokens):
        await coordinator.acquire("e", run, tokens)
        migrating.append(run)
        most[0] = max(most[0], len(migrating))
        await asyncio.sleep(work_s)
        migrating.remove(run)
        order.append(tokens)
        coordinator.release("e", run)

    tick_task = asyncio.create_task(tick())
    coordinators = list(coordinator_by_name.values())
    runs = [(coordinators[n % 3], f"r{n}", 100 * (9 - n)) for n in range(9)]
    await asyncio.gather(*(migrate(*run) for run in runs))
    tick_task.cancel()
    return order, most[0]


async def test_runs_of_all_nodes_are_migrated_one_at_a_time_smallest_first():
    order, most = await migrate_all(0.0)
    assert (order, most) == ([100 * n for n in range(1, 10)], 1)


async def test_every_run_is_migrated_despite_lost_datagrams():
    order, _ = await migrate_all(0.2)
    assert sorted(order) == [100 * n for n in range(1, 10)]


async def test_run_does_not_wait_for_an_unresponsive_owner():
    """An engine's owner goes down together with the engine.

    If the runs waited for slots that no node grants, all of them would be lost.
    """
    coordinator = site(0.0, names=("n1",))["n1"]
    await coordinator.acquire("e", "r", 100)
    coordinator.release("e", "r")


async def test_cancelled_wait_withdraws_the_slot_request():
    coordinator_by_name = site(0.0)
    owner, other = coordinator_by_name["n0"], coordinator_by_name["n1"]
    waiting = asyncio.create_task(other.acquire("e", "r1", 1))
    await asyncio.sleep(0)
    waiting.cancel()
    other.release("e", "r1")
    await asyncio.sleep(0)
    await owner.acquire("e", "r2", 2)
    owner.release("e", "r2")


async def test_unexpected_messages_change_nothing():
    coordinator = site(0.0)["n1"]
    sender, endpoint = codec.Sender("n2", 1), transport.Endpoint("10.0.0.1", 1)
    for kind in messages.MigrationSlotKind:
        coordinator.handle_message(messages.MigrationSlot(kind, 1, 2, 3), sender, endpoint)
    coordinator.tick()


async def test_runs_arrive_at_an_engine_one_at_a_time_also_while_others_leave_it():
    """Two engines stop, and runs of two instances are migrated to the same third engine.

    Its owner grants the arrival slots one after the other. Runs that leave the engine do not
    wait for arriving runs.
    """
    coordinator_by_name = site(0.0)
    first, second = coordinator_by_name["n1"], coordinator_by_name["n2"]
    arrive = migrationcoordinator.SlotDirection.ARRIVE
    await first.acquire("e", "r1", 10, arrive)
    waiting = asyncio.create_task(second.acquire("e", "r2", 10, arrive))
    await second.acquire("e", "r3", 10)
    second.release("e", "r3")
    was_waiting = not waiting.done()
    first.release("e", "r1", arrive)
    await waiting
    second.release("e", "r2", arrive)
    assert was_waiting
