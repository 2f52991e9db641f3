import random
import threading

import pytest

from hornbeamglade.core import outcomes
from hornbeamglade.exchange import grantrequests, messages, transport
from hornbeamglade.grants import grantacquirer
from hornbeamglade.routing import candidates
from tests.callers import callerside
from tests.grants import test_schedulerset

FILLED = 3
REMOTE = transport.Peer("n2", transport.Endpoint("127.0.0.1", 7000))


class FakeOwners(grantacquirer.ReplicaOwners):
    def __init__(self, remote):
        self.remote = remote
        self.unresponsive = []

    def owner(self, replica):
        return REMOTE if replica in self.remote else None

    def record_no_response(self, owner):
        self.unresponsive.append(owner)


class FakeClient:
    """Returns the configured response for each replica."""

    def __init__(self, **response_by_replica):
        self.response_by_replica = response_by_replica
        self.requested = []
        self.calls = []

    def request_grant(self, owner, request, wanted):
        names = {messages.key_hash(name): name for name in test_schedulerset.REPLICAS}
        self.requested.append(names[request.replica])
        return self.response_by_replica[self.requested[-1]]

    def record_progress(self, grant_id, produced):
        self.calls.append(("note", grant_id, produced))

    def close(self, grant_id):
        self.calls.append(("close", grant_id))


class Site:
    """Two replicas, of which ``e1`` is preferred, and a caller that may disconnect."""

    def __init__(self, remote=(), **response_by_replica):
        self.requester = test_schedulerset.Requester()
        self.schedulers = self.requester.schedulers
        for replica in test_schedulerset.REPLICAS:
            self.requester.report(replica)
        self.owners = FakeOwners(remote)
        self.client = FakeClient(**response_by_replica)
        self.caller_gone = threading.Event()
        self.headroom_by_replica = {"e1": 90_000, "e2": 900}
        settings = candidates.RoutingSettings(failure_domain="d1")
        self.acquirer = grantacquirer.GrantAcquirer(
            self.requester.clock,
            self.schedulers,
            self.client,
            self.owners,
            random.Random(1),
            settings,
        )

    def placement(self, name="r1", prompt=20, is_caller_gone=None):
        work = outcomes.Work(name, "chat", "clerks", 0, prompt)
        deadline = self.requester.clock.now() + 3.0
        return grantacquirer.PlacementRequest(
            work, 1.0, deadline, is_caller_gone or self.caller_gone.is_set
        )

    def acquire(self, *args, **kwargs):
        return self.acquirer.acquire(self.placement(*args, **kwargs), self.list_candidates)

    def list_candidates(self):
        return [
            candidates.Candidate(
                name, "n2", name not in self.owners.remote, headroom, 0, 0.0, 0.0, "d1"
            )
            for name, headroom in self.headroom_by_replica.items()
        ]

    def held_count(self):
        states = self.schedulers.states().values()
        return sum(state.running + state.waiting for state in states)

    def fill(self, *replicas):
        for replica in replicas:
            for number in range(FILLED):
                self.requester.request(replica, f"{replica}-{number}", prompt=900)


def granted(grant_id):
    return messages.GrantResponse(grant_id, messages.GrantKind.GRANTED)


def refused(code="queue_full"):
    return messages.GrantResponse(1, messages.GrantKind.REFUSED, code, 700)


def test_a_local_grant_is_released_once():
    site = Site()
    grant = site.acquire()
    assert (grant.replica, grant.grant_id, site.held_count()) == ("e1", None, 1)
    assert site.acquirer.active_count == 1
    grant.release()
    assert (site.held_count(), site.acquirer.active_count) == (0, 0)
    site.requester.request("e1", grant.request_id)
    grant.release()
    assert site.held_count() == 1


def test_a_remote_grant_is_released_once_with_its_tokens():
    site = Site(remote={"e1"}, e1=granted(7))
    grant = site.acquire()
    grant.produced = 5
    site.acquirer.report_progress()
    grant.release()
    grant.release()
    site.acquirer.report_progress()
    assert site.client.calls == [("note", 7, 5), ("note", 7, 5), ("close", 7)]


@pytest.mark.parametrize("answer", [refused(), grantrequests.NoResponse("n2"), None])
def test_the_next_replica_is_tried_when_the_first_gives_no_grant(answer):
    site = Site(remote={"e1"}, e1=answer)
    grant = site.acquire()
    assert (grant.replica, site.client.requested) == ("e2", ["e1"])
    assert site.owners.unresponsive == (
        ["n2"] if isinstance(answer, grantrequests.NoResponse) else []
    )


def test_of_several_refusals_the_one_with_the_earliest_retry_is_returned():
    site = Site(remote={"e1", "e2"}, e1=refused("team_queue_full"), e2=refused())
    answer = site.acquire()
    assert answer.retry_after_s == 0.7
    assert answer.run is outcomes.RunStatus.NOT_RUN
    assert set(site.client.requested) == {"e1", "e2"}


def acquire_in_thread(site):
    """Start to acquire a grant, and return once the request waits at ``e1``."""
    results = []
    before = site.schedulers.states()["e1"].waiting
    thread = threading.Thread(target=lambda: results.append(site.acquire(prompt=900)), daemon=True)
    thread.start()
    callerside.wait_for(lambda: site.schedulers.states()["e1"].waiting > before)
    return thread, results


def test_a_waiting_request_is_granted_when_others_finish():
    site = Site()
    site.fill("e1")
    thread, results = acquire_in_thread(site)
    for number in range(FILLED):
        site.schedulers.finish("e1", f"e1-{number}")
    thread.join(callerside.TIMEOUT_S)
    assert results[0].replica == "e1"


def test_headroom_elsewhere_ends_a_wait_and_frees_the_queue_position():
    site = Site()
    site.fill("e1")
    before = site.held_count()
    thread, results = acquire_in_thread(site)
    site.headroom_by_replica["e2"] = 90_000
    thread.join(callerside.TIMEOUT_S)
    assert results[0].replica == "e2"
    assert site.held_count() == before + 1
    results[0].release()
    assert (site.held_count(), site.acquirer.active_count) == (before, 0)


def test_a_caller_that_disconnects_frees_its_queue_position():
    """A caller disconnects while its request waits.

    If the request stayed queued, it would be granted later and hold unused engine memory.
    """
    site = Site()
    site.fill("e1", "e2")
    before = site.held_count()
    site.caller_gone.set()
    assert site.acquire(prompt=900).code == "queue_timeout"
    assert site.held_count() == before


def test_a_late_refusal_of_one_replica_does_not_end_the_wait_at_another():
    """A replica's settings change, and the new scheduler refuses a request that waited there.

    Before the refusal is delivered, the request moves to another replica's queue. The late
    refusal has the same request id. If it ended the second wait, the request would stay in
    that queue, and its grant would never be used.
    """
    requester = test_schedulerset.Requester()
    requester.request("e1", "r0")
    requester.request("e1", "r1")
    specs = {"e1": test_schedulerset.spec(max_waiting=1), "e2": test_schedulerset.spec()}
    requester.schedulers.configure(specs)
    requester.schedulers.finish("e1", "r1")
    requester.request("e2", "r1")
    requester.schedulers.process_queues()
    assert requester.outcomes_by_id["r1"] == []
    assert requester.schedulers.states()["e2"].waiting == 1


@pytest.mark.parametrize("answer", [grantrequests.NoResponse("n2"), refused("owner_moved")])
def test_an_engine_without_an_owner_is_used_without_a_grant(answer):
    """The owner of both engines is killed, and a caller sends a request to another node.

    The nodes agree on a new owner after about three seconds. Until then, grant requests get
    no response or go to a node that does not know yet that it is the owner. The caller was
    refused although both engines were idle.
    """
    site = Site(remote={"e1", "e2"}, e1=answer, e2=answer)
    started_at = site.requester.clock.now()
    grant = site.acquire()
    assert (grant.replica, grant.grant_id) == ("e1", None)
    waited_s = site.requester.clock.now() - started_at
    assert grantacquirer.UNOWNED_TIMEOUT_S <= waited_s <= grantacquirer.UNOWNED_TIMEOUT_S + 0.2
    grant.release()
    assert (site.held_count(), site.client.calls) == (0, [])
