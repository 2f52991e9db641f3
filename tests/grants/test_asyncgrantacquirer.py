"""Asking for a grant from an event loop: here, there, and of owners that are silent."""

import asyncio
import dataclasses
import random

from hornbeamglade.admission import replicaadmission, tokenledger
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import (
    asyncgrantclient,
    asyncudp,
    codec,
    grantserver,
    messages,
    transport,
)
from hornbeamglade.fairness import queuesettings
from hornbeamglade.grants import (
    asyncgrantacquirer,
    grantacquirer,
    remotescheduler,
    replicascheduler,
    schedulerset,
)
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.routing import candidates
from tests import eventloop

KEYS = codec.KeyRing(1, {1: b"sixteen bytes at least"})
SPEC = schedulerset.SchedulerSpec(
    10_000, replicaadmission.AdmissionSettings(max_running=2), queuesettings.QueueSettings()
)


class Node(grantacquirer.ReplicaOwners):
    """One node's schedulers and both sides of its exchange."""

    def __init__(self, name, owned):
        self.name = name
        self.clock = clocks.SystemClock()
        self.owner_by_replica = {}
        self.silent = []
        self.schedulers = schedulerset.SchedulerSet(self.clock, lengthmodel.LengthModel())
        self.schedulers.configure(dict.fromkeys(("e0", "e1"), SPEC))
        self.schedulers.set_owned(frozenset(owned))
        for replica in owned:
            self.report(replica)
        frames = codec.Codec(name, 1, KEYS, self.clock)
        self.transport = asyncudp.AsyncUdpTransport(frames, self._handle, self._failed)
        self.client = asyncgrantclient.AsyncGrantClient(1, self.transport, self.clock)
        self.names = names = remotescheduler.ConfiguredNames()
        names.replicas.replace(("e0", "e1"))
        names.services.replace(("draft",))
        names.teams.replace(("clinic",))
        self.remote = remotescheduler.RemoteScheduler(self.schedulers, self.clock, names)
        self.server = grantserver.GrantServer(self.remote, self.transport, self.clock)
        self.remote.set_push(self.server.push)
        self.acquirer = asyncgrantacquirer.AsyncGrantAcquirer(
            self.clock,
            self.schedulers,
            self.client,
            self,
            random.Random(1),
            candidates.RoutingSettings(usable_s=60.0),
        )

    def report(self, replica):
        load = tokenledger.LoadView(1, 0.0, 10_000, 0)
        self.schedulers.apply(
            replica, lambda scheduler, now: scheduler.apply_report(load, False, now)
        )

    def owner(self, replica):
        return self.owner_by_replica.get(replica)

    def record_no_response(self, owner):
        self.silent.append(owner)

    def _handle(self, message, sender, source):
        take_by_type = {
            messages.GrantRequest: self.server.asked,
            messages.GrantResponse: self.client.answered,
            messages.Progress: self.server.progressed,
        }
        take_by_type[type(message)](message, sender, source)

    def _failed(self, error, where):
        raise error


def candidate(replica, room=9_000, queued=0):
    return candidates.Candidate(replica, "", False, room, queued, 0.0, 0.0, "a")


def placement(name, node, *known, wait_s=5.0, produced=0):
    work = outcomes.Work(name, "draft", "clinic", 1, 500, 100)
    deadline = node.clock.now() + wait_s
    return asyncgrantacquirer.PlacementRequest(
        work, 1.0, deadline, lambda: known, produced=produced
    )


def play(test):
    async def main():
        here, there = Node("n0", ["e0"]), Node("n1", ["e1"])
        endpoint = transport.Endpoint("127.0.0.1", 0)
        await here.transport.listen(endpoint)
        at = await there.transport.listen(endpoint)
        here.owner_by_replica["e1"] = transport.Peer("n1", at)
        try:
            return await test(here, there)
        finally:
            here.transport.close()
            there.transport.close()

    return eventloop.run(main())


def running(node, replica):
    return node.schedulers.states()[replica].running


def test_grant_is_given_here_and_given_back():
    async def test(here, _there):
        grant = await here.acquirer.acquire(placement("r1", here, candidate("e0")))
        held = running(here, "e0")
        here.acquirer.release(grant)
        here.acquirer.release(grant)
        return grant.replica, held, running(here, "e0"), here.acquirer.active_count

    assert play(test) == ("e0", 1, 0, 0)


def test_grant_is_given_by_another_owner_and_given_back():
    async def test(here, there):
        grant = await here.acquirer.acquire(placement("r1", here, candidate("e1")))
        held = running(there, "e1")
        here.acquirer.release(grant)
        await eventloop.until(lambda: running(there, "e1") == 0)
        return grant.replica, held

    assert play(test) == ("e1", 1)


def test_request_waits_for_room_and_gets_it():
    async def test(here, _there):
        first = [
            await here.acquirer.acquire(placement(f"r{n}", here, candidate("e0"))) for n in (1, 2)
        ]
        waiting = asyncio.ensure_future(
            here.acquirer.acquire(placement("r3", here, candidate("e0")))
        )
        await eventloop.until(lambda: here.schedulers.states()["e0"].waiting)
        here.acquirer.release(first[0])
        return (await waiting).replica

    assert play(test) == "e0"


def test_waiting_request_goes_where_room_comes_first():
    """A request waits for one engine while another one becomes free."""

    async def test(here, there):
        for number in (1, 2):
            await here.acquirer.acquire(placement(f"r{number}", here, candidate("e0")))
        full = [
            await there.acquirer.acquire(placement(f"s{n}", there, candidate("e1")))
            for n in (1, 2)
        ]
        both = (candidate("e0"), candidate("e1"))
        waiting = asyncio.ensure_future(here.acquirer.acquire(placement("r3", here, *both)))
        await asyncio.sleep(0.3)
        there.acquirer.release(full[0])
        grant = await waiting
        await eventloop.until(lambda: not here.schedulers.states()["e0"].waiting)
        return grant.replica

    assert play(test) == "e1"


def test_refusal_after_the_wait_says_when_to_come_back():
    async def test(here, _there):
        for number in (1, 2):
            await here.acquirer.acquire(placement(f"r{number}", here, candidate("e0")))
        return await here.acquirer.acquire(placement("r3", here, candidate("e0"), wait_s=0.2))

    refusal = play(test)
    assert isinstance(refusal, outcomes.Refusal)
    assert refusal.retry_after_s > 0


def test_silent_owner_is_passed_over():
    async def test(here, there):
        there.transport.close()
        both = (candidate("e1", room=9_500), candidate("e0", room=5_000))
        grant = await here.acquirer.acquire(placement("r1", here, *both))
        return grant.replica, here.silent

    assert play(test) == ("e0", ["n1"])


def test_engine_whose_owner_is_silent_is_used_without_a_grant():
    """The node that admits to the only engine dies.

    The engine serves: a refusal would be false while it has room.
    """

    async def test(here, there):
        there.transport.close()
        grant = await here.acquirer.acquire(placement("r1", here, candidate("e1")))
        here.acquirer.release(grant)
        return grant.replica, grant.is_granted

    assert play(test) == ("e1", False)


def test_engine_whose_owner_has_no_configuration_yet_is_used_without_a_grant():
    """After a loss of all instances one serves while the engine's owner still starts.

    Its callers were refused while all engines stood idle.
    """

    async def test(here, there):
        for names in (there.names.replicas, there.names.services, there.names.teams):
            names.replace(())
        grant = await here.acquirer.acquire(placement("r1", here, candidate("e1")))
        return grant.replica, grant.is_granted

    assert play(test) == ("e1", False)


def test_engine_whose_owner_knows_nothing_of_its_duty_is_used_without_a_grant():
    """The node that admits to the only engine dies, and another one is to follow it.

    That one has not noticed yet, and sends asks away: callers were refused while the
    engine had room.
    """

    async def test(here, there):
        there.schedulers.set_owned(frozenset())
        there.schedulers.configure({})
        there.schedulers.configure({"e1": SPEC})
        grant = await here.acquirer.acquire(placement("r1", here, candidate("e1")))
        return grant.replica, grant.is_granted

    assert play(test) == ("e1", False)


def test_no_engine_at_all_is_refused():
    async def test(here, _there):
        return await here.acquirer.acquire(placement("r1", here))

    assert play(test).code == "no_replica"


def test_cancelled_wait_leaves_nothing_behind():
    async def test(here, there):
        for number in (1, 2):
            await there.acquirer.acquire(placement(f"s{number}", there, candidate("e1")))
        waiting = asyncio.ensure_future(
            here.acquirer.acquire(placement("r1", here, candidate("e1")))
        )
        await eventloop.until(lambda: there.schedulers.states()["e1"].waiting)
        waiting.cancel()
        await eventloop.until(lambda: not there.schedulers.states()["e1"].waiting)
        return here.acquirer.active_count

    assert play(test) == 0


def test_run_that_goes_on_is_taken_in_by_the_memory_that_is_held():
    async def test(here, there):
        near = await here.acquirer.acquire_for_migration(
            placement("r1", here, candidate("e0"), candidate("e1"), produced=300), "a"
        )
        too_large = await here.acquirer.acquire_for_migration(
            placement("r2", here, candidate("e0"), candidate("e1"), produced=9_400), "a"
        )
        return near is not None, too_large

    assert play(test) == (True, None)


def test_scheduler_takes_a_run_in_once_and_never_when_it_leaves():
    clock = clocks.ManualClock()
    schedulers = schedulerset.SchedulerSet(clock, lengthmodel.LengthModel())
    schedulers.configure({"e0": SPEC})
    work = outcomes.Work("r1", "draft", "clinic", 1, 500, 100)
    assert schedulers.admit_migration("e0", work, 40) == replicascheduler.Granted("r1", "e0")
    assert schedulers.admit_migration("e0", work, 40) == replicascheduler.Granted("r1", "e0")
    assert schedulers.states()["e0"].running == 1
    schedulers.drain("e0")
    other = outcomes.Work("r2", "draft", "clinic", 1, 500, 100)
    assert schedulers.admit_migration("e0", other, 1).code == "replica_leaving"


def old(replica, **changes):
    return dataclasses.replace(candidate(replica, **changes), report_age_s=20.0)


def test_owner_is_asked_in_spite_of_an_old_word_that_its_engine_is_full():
    """At 82 nodes a node hears of most engines once in 20 s."""

    async def test(here, there):
        grant = await here.acquirer.acquire_now(placement("r1", here, old("e1", room=0)))
        fresh = await here.acquirer.acquire_now(placement("r2", here, candidate("e1", room=0)))
        return grant.replica, fresh, running(there, "e1")

    assert play(test) == ("e1", None, 1)


def test_owner_that_grants_another_engine_is_taken_at_its_word():
    async def test(here, there):
        there.report("e0")
        there.schedulers.set_owned(frozenset(("e0", "e1")))
        there.remote.set_alternatives(lambda replica, work: ("e0", "e1"))
        grant = await here.acquirer.acquire(
            placement("r1", here, old("e1"), candidate("e0", room=0))
        )
        held = running(there, "e0")
        here.acquirer.release(grant)
        await eventloop.until(lambda: running(there, "e0") == 0)
        return grant.replica, held

    assert play(test) == ("e0", 1)


def test_grant_of_an_engine_that_will_not_do_is_given_back():
    """The engine that the owner chooses has refused the request a moment ago."""

    async def test(here, there):
        there.report("e0")
        there.schedulers.set_owned(frozenset(("e0", "e1")))
        there.remote.set_alternatives(lambda replica, work: ("e0",))
        grant = await here.acquirer.acquire_now(placement("r1", here, old("e1")))
        await eventloop.until(lambda: running(there, "e0") == 0)
        return grant

    assert play(test) is None


def test_each_owner_is_asked_once_in_a_round():
    """Seven full engines of one owner would cost seven questions with one answer."""

    async def test(here, there):
        asked = []
        there.remote.set_alternatives(lambda replica, work: asked.append(replica) or ())
        here.owner_by_replica["e2"] = here.owner_by_replica["e1"]
        await here.acquirer.acquire_now(
            placement("r1", here, old("e1", room=0), old("e2", room=0))
        )
        return len(asked)

    assert play(test) == 1


def test_in_a_crowd_a_full_owner_is_asked_now_and_then_and_its_room_is_still_found():
    """Forty requests wait at one node while another one's engine is full.

    Each asked that engine's owner ten times a second, which took most of the owner's time.
    """

    async def test(here, there):
        asked = []
        ask = there.remote.decide

        def count(key, message):
            asked.append(message.at_once)
            return ask(key, message)

        there.remote.decide = count
        for number in range(2):
            await here.acquirer.acquire(placement(f"a{number}", here, candidate("e0")))
        held = [
            await here.acquirer.acquire(placement(f"b{n}", here, candidate("e1")))
            for n in range(2)
        ]
        asked.clear()
        known = (candidate("e0", queued=5), candidate("e1"))
        waiting = [
            asyncio.ensure_future(here.acquirer.acquire(placement(f"r{n}", here, *known)))
            for n in range(40)
        ]
        await asyncio.sleep(1.0)
        count_of_asks = sum(asked)
        here.acquirer.release(held[0])
        done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED, timeout=2.0)
        for each in waiting:
            each.cancel()
        return count_of_asks, [each.result().replica for each in done]

    asks_made, granted = play(test)
    # Each asks once before the first answer is here; then one a tenth of a second.
    assert asks_made <= 40 + 10
    assert granted == ["e1"]
