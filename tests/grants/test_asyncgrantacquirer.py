"""Acquiring grants in an event loop: locally, remotely, and from owners that do not respond."""

import asyncio
import contextlib
import dataclasses
import random

import pytest

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
from hornbeamglade.speeds import enginespeeds, outlook
from tests import eventloop

KEYS = codec.KeyRing(1, {1: b"sixteen bytes at least"})
SPEC = schedulerset.SchedulerSpec(
    10_000, replicaadmission.AdmissionSettings(max_running=2), queuesettings.QueueSettings()
)


class Node(grantacquirer.ReplicaOwners):
    """One node's schedulers, and the client and server of its grant exchange."""

    def __init__(self, name, owned):
        self.name = name
        self.clock = clocks.SystemClock()
        self.owner_by_replica = {}
        self.unresponsive = []
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
        self.remote_scheduler = remotescheduler.RemoteScheduler(self.schedulers, self.clock, names)
        self.server = grantserver.GrantServer(self.remote_scheduler, self.transport, self.clock)
        self.remote_scheduler.set_push(self.server.push)
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

    async def acquire(self, request_id, *known, **more):
        return await self.acquirer.acquire(placement(request_id, self, *known, **more))

    async def fill(self, replica, *request_ids):
        """Acquire grants of an engine, which has room for two; return them."""
        return [await self.acquire(each, candidate(replica)) for each in request_ids]

    def start_waiting(self, request_id, *known):
        """Start to acquire a grant; return the task."""
        return asyncio.ensure_future(self.acquire(request_id, *known))

    def own_both_engines(self):
        self.report("e0")
        self.schedulers.set_owned(frozenset(("e0", "e1")))

    def owner(self, replica):
        return self.owner_by_replica.get(replica)

    def record_no_response(self, owner):
        self.unresponsive.append(owner)

    def _handle(self, message, sender, source):
        take_by_type = {
            messages.GrantRequest: self.server.on_request,
            messages.GrantResponse: self.client.on_response,
            messages.Progress: self.server.on_progress,
        }
        take_by_type[type(message)](message, sender, source)

    def _failed(self, error, where):
        raise error


def candidate(replica, headroom=9_000, queued=0):
    return candidates.Candidate(replica, "", False, headroom, queued, 0.0, 0.0, "a")


def placement(name, node, *known, wait_s=5.0, produced=0):
    work = outcomes.Work(name, "draft", "clinic", 1, 500, 100)
    deadline = node.clock.now() + wait_s
    return asyncgrantacquirer.PlacementRequest(
        work, 1.0, deadline, lambda: known, produced=produced
    )


@contextlib.asynccontextmanager
async def two_nodes():
    local, remote = Node("n0", ["e0"]), Node("n1", ["e1"])
    endpoint = transport.Endpoint("127.0.0.1", 0)
    await local.transport.listen(endpoint)
    at = await remote.transport.listen(endpoint)
    local.owner_by_replica["e1"] = transport.Peer("n1", at)
    try:
        yield local, remote
    finally:
        local.transport.close()
        remote.transport.close()


def running(node, replica):
    return node.schedulers.states()[replica].running


async def test_local_grant_is_given_and_released():
    async with two_nodes() as (local, _remote):
        grant = await local.acquire("r1", candidate("e0"))
        held = running(local, "e0")
        local.acquirer.release(grant)
        local.acquirer.release(grant)
        assert (grant.replica, held) == ("e0", 1)
        assert (running(local, "e0"), local.acquirer.active_count) == (0, 0)


async def test_remote_grant_is_given_and_released():
    async with two_nodes() as (local, remote):
        grant = await local.acquire("r1", candidate("e1"))
        held = running(remote, "e1")
        local.acquirer.release(grant)
        await eventloop.until(lambda: running(remote, "e1") == 0)
        assert (grant.replica, held) == ("e1", 1)


async def test_request_waits_for_headroom_and_gets_a_grant():
    async with two_nodes() as (local, _remote):
        first = await local.fill("e0", "r1", "r2")
        waiting = local.start_waiting("r3", candidate("e0"))
        await eventloop.until(lambda: local.schedulers.states()["e0"].waiting)
        local.acquirer.release(first[0])
        assert (await waiting).replica == "e0"


async def test_waiting_request_goes_where_headroom_appears_first():
    """A request waits for one engine while another engine gets headroom."""
    async with two_nodes() as (local, remote):
        await local.fill("e0", "r1", "r2")
        full = await remote.fill("e1", "s1", "s2")
        known = (candidate("e0"), candidate("e1"))
        waiting = local.start_waiting("r3", *known)
        await asyncio.sleep(0.3)
        remote.acquirer.release(full[0])
        grant = await waiting
        await eventloop.until(lambda: not local.schedulers.states()["e0"].waiting)
        assert grant.replica == "e1"


async def test_refusal_after_the_wait_has_a_retry_time():
    async with two_nodes() as (local, _remote):
        await local.fill("e0", "r1", "r2")
        refusal = await local.acquire("r3", candidate("e0"), wait_s=0.2)
    assert isinstance(refusal, outcomes.Refusal)
    assert refusal.retry_after_s > 0


async def test_owner_without_response_is_skipped():
    async with two_nodes() as (local, remote):
        remote.transport.close()
        known = (candidate("e1", headroom=9_500), candidate("e0", headroom=5_000))
        grant = await local.acquire("r1", *known)
        assert (grant.replica, local.unresponsive) == ("e0", ["n1"])


async def test_engine_whose_owner_does_not_respond_is_used_without_a_grant():
    """The owner of the only engine crashes.

    The engine still serves, so a refusal would be wrong while it has free capacity.
    """
    async with two_nodes() as (local, remote):
        remote.transport.close()
        grant = await local.acquire("r1", candidate("e1"))
        local.acquirer.release(grant)
        assert (grant.replica, grant.is_granted) == ("e1", False)


async def test_engine_whose_owner_has_no_configuration_yet_is_used_without_a_grant():
    """After a full outage, one instance serves while the engine's owner is still starting.

    Its callers were refused while all engines were idle.
    """
    async with two_nodes() as (local, remote):
        for names in (remote.names.replicas, remote.names.services, remote.names.teams):
            names.replace(())
        grant = await local.acquire("r1", candidate("e1"))
        assert (grant.replica, grant.is_granted) == ("e1", False)


async def test_engine_whose_new_owner_is_unaware_of_it_is_used_without_a_grant():
    """The owner of the only engine crashes, and another node becomes the owner.

    That node has not noticed yet and refuses grant requests. Callers were refused while the
    engine had free capacity.
    """
    async with two_nodes() as (local, remote):
        remote.schedulers.set_owned(frozenset())
        remote.schedulers.configure({})
        remote.schedulers.configure({"e1": SPEC})
        grant = await local.acquire("r1", candidate("e1"))
        assert (grant.replica, grant.is_granted) == ("e1", False)


async def test_no_engine_at_all_is_refused():
    async with two_nodes() as (local, _remote):
        assert (await local.acquire("r1")).code == "no_replica"


async def test_cancelled_wait_leaves_no_request_queued():
    async with two_nodes() as (local, remote):
        await remote.fill("e1", "s1", "s2")
        waiting = local.start_waiting("r1", candidate("e1"))
        await eventloop.until(lambda: remote.schedulers.states()["e1"].waiting)
        waiting.cancel()
        await eventloop.until(lambda: not remote.schedulers.states()["e1"].waiting)
        assert local.acquirer.active_count == 0


async def test_release_of_a_grant_survives_that_the_next_waiting_caller_has_just_left():
    """The end of one request must not fail because of another one, whose wait was cancelled."""
    async with two_nodes() as (local, _remote):
        held = await local.fill("e0", "r0", "r1")
        waiting = local.start_waiting("late", candidate("e0"))
        await eventloop.until(lambda: local.schedulers.has_waiting_requests)
        waiting.cancel()
        await asyncio.sleep(0)
        for grant in held:
            local.acquirer.release(grant)
        await asyncio.wait((waiting,))
        again = await local.fill("e0", "s0", "s1")
        assert waiting.cancelled()
        assert [type(each) for each in again] == [asyncgrantacquirer.Grant] * 2


async def test_migrated_run_is_admitted_by_the_memory_that_is_held():
    async with two_nodes() as (local, remote):
        near = await local.acquirer.acquire_for_migration(
            placement("r1", local, candidate("e0"), candidate("e1"), produced=300), "a"
        )
        too_large = await local.acquirer.acquire_for_migration(
            placement("r2", local, candidate("e0"), candidate("e1"), produced=9_400), "a"
        )
        assert (near is not None, too_large) == (True, None)


def test_scheduler_admits_a_migrated_run_once_and_none_while_leaving():
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


def stale(replica, **changes):
    return dataclasses.replace(candidate(replica, **changes), report_age_s=20.0)


def paced(placement_request, expected_tokens=700, due_s=5.0):
    pace = outcomes.PaceObjective(0.18, 1.8, expected_tokens)
    return dataclasses.replace(
        placement_request,
        work=dataclasses.replace(placement_request.work, pace=pace),
        due=clocks.SystemClock().now() + due_s,
    )


PACES = [enginespeeds.Pace(0.006), enginespeeds.Pace(0.06)]
POOL = outlook.pool_outlook(PACES, tokens_per_event=4)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, ("e1", 0)),
        ({"expected_tokens": 12}, ("e0", 1)),
        ({"due_s": -1.0}, ("e0", 1)),
    ],
    ids=["long", "short", "late"],
)
async def test_own_slow_engine_is_left_to_short_and_late_requests(changes, expected):
    """An instance that owns slow engines placed its own long requests there."""
    async with two_nodes() as (local, remote):
        slow, fast = (
            dataclasses.replace(
                candidate(replica), local=is_local, outlook=outlook.EngineOutlook(POOL, pace)
            )
            for replica, is_local, pace in (("e0", True, PACES[1]), ("e1", False, PACES[0]))
        )
        # The fast engine has just received requests, so it costs more than the slow one.
        fast = dataclasses.replace(fast, expected_wait_s=4.0)
        request = paced(placement("r1", local, slow, fast), **changes)
        assert ((await local.acquirer.acquire(request)).replica, running(local, "e0")) == expected


async def test_owner_is_asked_despite_an_old_report_of_a_full_engine():
    """At 82 nodes, a node receives a report of most engines once in 20 s."""
    async with two_nodes() as (local, remote):
        grant = await local.acquirer.acquire_now(placement("r1", local, stale("e1", headroom=0)))
        fresh = await local.acquirer.acquire_now(
            placement("r2", local, candidate("e1", headroom=0))
        )
        assert (grant.replica, fresh, running(remote, "e1")) == ("e1", None, 1)


async def test_grant_of_another_engine_that_the_owner_chose_is_used():
    async with two_nodes() as (local, remote):
        remote.own_both_engines()
        remote.remote_scheduler.set_alternatives(lambda replica, work: ("e0", "e1"))
        grant = await local.acquire("r1", stale("e1"), candidate("e0", headroom=0))
        held = running(remote, "e0")
        local.acquirer.release(grant)
        await eventloop.until(lambda: running(remote, "e0") == 0)
        assert (grant.replica, held) == ("e0", 1)


async def test_grant_of_an_unusable_engine_is_released():
    """The engine that the owner chooses has just refused the request."""
    async with two_nodes() as (local, remote):
        remote.own_both_engines()
        remote.remote_scheduler.set_alternatives(lambda replica, work: ("e0",))
        grant = await local.acquirer.acquire_now(placement("r1", local, stale("e1")))
        await eventloop.until(lambda: running(remote, "e0") == 0)
        assert grant is None


async def test_each_owner_is_asked_once_in_a_round():
    """Seven full engines of one owner would cost seven requests with the same response."""
    async with two_nodes() as (local, remote):
        requested = []
        remote.remote_scheduler.set_alternatives(
            lambda replica, work: requested.append(replica) or ()
        )
        local.owner_by_replica["e2"] = local.owner_by_replica["e1"]
        await local.acquirer.acquire_now(
            placement("r1", local, stale("e1", headroom=0), stale("e2", headroom=0))
        )
        assert len(requested) == 1


async def test_under_overload_a_full_owner_is_asked_rarely_and_its_headroom_is_still_found():
    """Forty requests wait at one node while another node's engine is full.

    Each sent ten grant requests a second to that engine's owner, which used up most of the
    owner's CPU time.
    """
    async with two_nodes() as (local, remote):
        requested = []
        decide = remote.remote_scheduler.decide

        def count(key, message):
            requested.append(message.immediate)
            return decide(key, message)

        remote.remote_scheduler.decide = count
        await local.fill("e0", "a0", "a1")
        held = await local.fill("e1", "b0", "b1")
        requested.clear()
        known = (candidate("e0", queued=5), candidate("e1"))
        waiting = [local.start_waiting(f"r{n}", *known) for n in range(40)]
        await asyncio.sleep(1.0)
        immediate_count = sum(requested)
        local.acquirer.release(held[0])
        done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED, timeout=2.0)
        for each in waiting:
            each.cancel()
        granted = [each.result().replica for each in done]
    # Each sends one request before the first response arrives; then one is sent each 0.1 s.
    assert immediate_count <= 40 + 10
    assert granted == ["e1"]


async def test_coordinated_request_does_not_ask_an_owner_that_a_response_showed_to_be_full():
    """Guards against asking each owner in turn during a surge.

    The figures of both owners are old and show room. The first response shows that neither has
    any, so the other owner is not asked.
    """
    async with two_nodes() as (local, _remote):
        local.owner_by_replica["e0"] = transport.Peer("n2", transport.Endpoint("127.0.0.1", 9))
        known = [
            dataclasses.replace(candidate(replica), report_age_s=5.0) for replica in ("e0", "e1")
        ]
        asked = []

        async def request_grant(owner, message):
            asked.append(owner.name)
            known[:] = [candidate(replica, headroom=0) for replica in ("e0", "e1")]
            return messages.GrantResponse(1, messages.GrantKind.REFUSED, "no_room_now")

        local.client.request_grant = request_grant
        request = dataclasses.replace(
            placement("r1", local), list_candidates=lambda: tuple(known), site_service="llm"
        )
        refused = []
        grant = await local.acquirer.acquire_now(request, refused)
        assert (grant, len(asked), [each.code for each in refused]) == (None, 1, ["no_room_now"])


async def test_migrated_run_prefers_an_engine_that_keeps_the_pace_if_it_has_memory():
    """A run of a departing fast engine would continue at a slow one that is emptier."""
    async with two_nodes() as (local, remote):

        def known(replica, pace, headroom):
            return dataclasses.replace(
                candidate(replica, headroom=headroom), outlook=outlook.EngineOutlook(POOL, pace)
            )

        chosen = []
        for number, headroom in enumerate((5_000, 100)):
            slow, fast = known("e0", PACES[1], 9_000), known("e1", PACES[0], headroom)
            request = paced(placement(f"r{number}", local, slow, fast, produced=40))
            grant = await local.acquirer.acquire_for_migration(request, "a")
            chosen.append(grant.replica)
        assert chosen == ["e1", "e0"]


async def test_request_granted_in_its_queue_during_a_search_keeps_its_grant():
    """The search took a second grant with the same id there, and the end of one ended both."""
    async with two_nodes() as (local, remote):
        first = await local.fill("e0", "r1", "r2")

        async def request_grant(owner, message):
            for each in first:
                local.acquirer.release(each)
            await asyncio.sleep(0.02)
            return messages.GrantResponse(1, messages.GrantKind.REFUSED, "no_room_now")

        def known():
            state = local.schedulers.states()["e0"]
            # The other owner seems to have room once the request waits here.
            other = candidate("e1", headroom=9_000 if state.waiting else 0)
            return candidate("e0", int(state.headroom_tokens), state.waiting), other

        local.client.request_grant = request_grant
        request = dataclasses.replace(
            placement("r3", local), list_candidates=known, site_service="draft"
        )
        grant = await local.acquirer.acquire(request)
        await asyncio.sleep(0)
        held = running(local, "e0")
        local.acquirer.release(grant)
        assert (grant.replica, held) == ("e0", 1)
        assert (running(local, "e0"), local.acquirer.active_count) == (0, 0)
