"""Turns between nodes over a network that loses datagrams."""

import asyncio
import random

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.grants import grantacquirer, migrationcoordinator
from tests import eventloop

OWNER = "n0"


class Network(transport.Transport):
    """Carries messages between takers by name; loses a share of them."""

    def __init__(self, name, taker_by_name, rng, loss):
        self._name = name
        self._taker_by_name = taker_by_name
        self._rng = rng
        self._loss = loss

    def send(self, peer, message):
        if self._rng.random() < self._loss or peer.name not in self._taker_by_name:
            return
        sender = codec.Sender(self._name, 1)
        endpoint = transport.Endpoint("10.0.0.1", 1)
        taker = self._taker_by_name[peer.name]
        asyncio.get_running_loop().call_soon(taker.handle_message, message, sender, endpoint)


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
    taker_by_name = {}
    rng = random.Random(1)
    for name in names:
        network = Network(name, taker_by_name, rng, loss)
        taker = migrationcoordinator.MigrationCoordinator(
            name, Owners(name), network, clocks.SystemClock()
        )
        taker_by_name[name] = taker
    return taker_by_name


def play(loss, work_s=0.01):
    """Let nine runs of three nodes leave; return the order and how many moved at once."""

    async def main():
        taker_by_name = site(loss)
        order, now_moving, most = [], [], [0]

        async def tick():
            while True:
                for taker in taker_by_name.values():
                    taker.tick()
                await asyncio.sleep(0.01)

        async def move(taker, run, tokens):
            await taker.acquire("e", run, tokens)
            now_moving.append(run)
            most[0] = max(most[0], len(now_moving))
            await asyncio.sleep(work_s)
            now_moving.remove(run)
            order.append(tokens)
            taker.release("e", run)

        ticking = asyncio.create_task(tick())
        takers = list(taker_by_name.values())
        runs = [(takers[n % 3], f"r{n}", 100 * (9 - n)) for n in range(9)]
        await asyncio.gather(*(move(*run) for run in runs))
        ticking.cancel()
        return order, most[0]

    return eventloop.run(main())


def test_runs_of_all_nodes_leave_one_at_a_time_the_smallest_first():
    order, most = play(0.0)
    assert (order, most) == ([100 * n for n in range(1, 10)], 1)


def test_every_run_leaves_though_datagrams_are_lost():
    order, _ = play(0.2)
    assert sorted(order) == [100 * n for n in range(1, 10)]


def test_silent_owner_is_not_waited_for():
    """An engine's owner dies together with it.

    Its runs would all be lost while they wait for someone to order them.
    """

    async def main():
        taker = site(0.0, names=("n1",))["n1"]
        await taker.acquire("e", "r", 100)
        taker.release("e", "r")

    eventloop.run(main())


def test_cancelled_wait_gives_its_place_up():
    async def main():
        taker_by_name = site(0.0)
        owner, other = taker_by_name["n0"], taker_by_name["n1"]
        waiting = asyncio.create_task(other.acquire("e", "r1", 1))
        await asyncio.sleep(0)
        waiting.cancel()
        other.release("e", "r1")
        await asyncio.sleep(0)
        await owner.acquire("e", "r2", 2)
        owner.release("e", "r2")

    eventloop.run(main())


def test_odd_messages_change_nothing():
    async def main():
        taker = site(0.0)["n1"]
        sender, endpoint = codec.Sender("n2", 1), transport.Endpoint("10.0.0.1", 1)
        for kind in messages.MigrationSlotKind:
            taker.handle_message(messages.MigrationSlot(kind, 1, 2, 3), sender, endpoint)
        taker.tick()

    eventloop.run(main())


def test_runs_come_to_an_engine_one_at_a_time_also_while_others_leave_it():
    """Two engines stop, and runs of two instances go to the same third one.

    Its owner lets in one after the other. Runs that leave it do not wait for those that come.
    """

    async def main():
        taker_by_name = site(0.0)
        first, second = taker_by_name["n1"], taker_by_name["n2"]
        arrive = migrationcoordinator.SlotDirection.ARRIVE
        await first.acquire("e", "r1", 10, arrive)
        waiting = asyncio.create_task(second.acquire("e", "r2", 10, arrive))
        await second.acquire("e", "r3", 10)
        second.release("e", "r3")
        was_waiting = not waiting.done()
        first.release("e", "r1", arrive)
        await waiting
        second.release("e", "r2", arrive)
        return was_waiting

    assert eventloop.run(main())
