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


class Owners(grantacquirer.ReplicaOwners):
    def __init__(self, remote):
        self.remote = remote
        self.silent = []

    def owner(self, replica):
        return REMOTE if replica in self.remote else None

    def record_no_response(self, owner):
        self.silent.append(owner)


class Client:
    """Answers asks as told, by replica."""

    def __init__(self, **answer_by_replica):
        self.answer_by_replica = answer_by_replica
        self.asked = []
        self.calls = []

    def request_grant(self, owner, ask, wanted):
        names = {messages.key_hash(name): name for name in test_schedulerset.REPLICAS}
        self.asked.append(names[ask.replica])
        return self.answer_by_replica[self.asked[-1]]

    def note(self, number, produced):
        self.calls.append(("note", number, produced))

    def close(self, number):
        self.calls.append(("close", number))


class Site:
    """Two replicas, of which ``e1`` is preferred; a caller that may leave."""

    def __init__(self, remote=(), **answer_by_replica):
        self.asking = test_schedulerset.Asking()
        self.schedulers = self.asking.schedulers
        for replica in test_schedulerset.REPLICAS:
            self.asking.report(replica)
        self.owners = Owners(remote)
        self.client = Client(**answer_by_replica)
        self.gone = threading.Event()
        self.room_by_replica = {"e1": 90_000, "e2": 900}
        settings = candidates.RoutingSettings(failure_domain="d1")
        self.acquirer = grantacquirer.GrantAcquirer(
            self.asking.clock,
            self.schedulers,
            self.client,
            self.owners,
            random.Random(1),
            settings,
        )

    def placement(self, name="r1", prompt=20, is_gone=None):
        work = outcomes.Work(name, "chat", "clerks", 0, prompt)
        deadline = self.asking.clock.now() + 3.0
        return grantacquirer.PlacementRequest(work, 1.0, deadline, is_gone or self.gone.is_set)

    def find(self, *args, **kwargs):
        return self.acquirer.acquire(self.placement(*args, **kwargs), self.known)

    def known(self):
        return [
            candidates.Candidate(
                name, "n2", name not in self.owners.remote, room, 0, 0.0, 0.0, "d1"
            )
            for name, room in self.room_by_replica.items()
        ]

    def held(self):
        states = self.schedulers.states().values()
        return sum(state.running + state.waiting for state in states)

    def fill(self, *replicas):
        for replica in replicas:
            for number in range(FILLED):
                self.asking.ask(replica, f"{replica}-{number}", prompt=900)


def granted(number):
    return messages.GrantResponse(number, messages.GrantKind.GRANTED)


def refused(code="queue_full"):
    return messages.GrantResponse(1, messages.GrantKind.REFUSED, code, 700)


def test_a_grant_here_is_given_back_once():
    site = Site()
    grant = site.find()
    assert (grant.replica, grant.grant_id, site.held()) == ("e1", None, 1)
    assert site.acquirer.active_count == 1
    grant.release()
    assert (site.held(), site.acquirer.active_count) == (0, 0)
    site.asking.ask("e1", grant.request_id)
    grant.release()
    assert site.held() == 1


def test_a_grant_there_is_given_back_once_with_its_tokens():
    site = Site(remote={"e1"}, e1=granted(7))
    grant = site.find()
    grant.produced = 5
    site.acquirer.report_progress()
    grant.release()
    grant.release()
    site.acquirer.report_progress()
    assert site.client.calls == [("note", 7, 5), ("note", 7, 5), ("close", 7)]


@pytest.mark.parametrize("answer", [refused(), grantrequests.NoResponse("n2"), None])
def test_the_next_replica_is_asked_when_the_first_gives_nothing(answer):
    site = Site(remote={"e1"}, e1=answer)
    grant = site.find()
    assert (grant.replica, site.client.asked) == ("e2", ["e1"])
    assert site.owners.silent == (["n2"] if isinstance(answer, grantrequests.NoResponse) else [])


def test_a_refusal_by_all_is_the_one_with_the_earliest_return():
    site = Site(remote={"e1", "e2"}, e1=refused("team_queue_full"), e2=refused())
    answer = site.find()
    assert answer.retry_after_s == 0.7
    assert answer.run is outcomes.RunStatus.NOT_RUN
    assert set(site.client.asked) == {"e1", "e2"}


def find_in_thread(site):
    """Start to look for a replica, and return once the request waits at ``e1``."""
    found = []
    before = site.schedulers.states()["e1"].waiting
    thread = threading.Thread(target=lambda: found.append(site.find(prompt=900)), daemon=True)
    thread.start()
    callerside.wait_for(lambda: site.schedulers.states()["e1"].waiting > before)
    return thread, found


def test_a_wait_ends_with_the_grant_of_another():
    site = Site()
    site.fill("e1")
    thread, found = find_in_thread(site)
    for number in range(FILLED):
        site.schedulers.finish("e1", f"e1-{number}")
    thread.join(callerside.PATIENCE_S)
    assert found[0].replica == "e1"


def test_room_elsewhere_ends_a_wait_and_its_place_is_given_back():
    site = Site()
    site.fill("e1")
    before = site.held()
    thread, found = find_in_thread(site)
    site.room_by_replica["e2"] = 90_000
    thread.join(callerside.PATIENCE_S)
    assert found[0].replica == "e2"
    assert site.held() == before + 1
    found[0].release()
    assert (site.held(), site.acquirer.active_count) == (before, 0)


def test_a_caller_that_leaves_gives_its_place_back():
    """A caller hangs up while it waits.

    A place that it kept would be granted later, and the engine's memory held for nobody.
    """
    site = Site()
    site.fill("e1", "e2")
    before = site.held()
    site.gone.set()
    assert site.find(prompt=900).code == "queue_timeout"
    assert site.held() == before


def test_a_former_refusal_does_not_end_the_next_wait():
    """A replica's settings change, and one that waited there is refused by the new scheduler.

    Before it is told, its wait there ends and it waits at another replica. The late
    refusal carries its id: taken for the answer of the second, it would end a wait
    whose place is still queued, and the grant of that place would be nobody's.
    """
    asking = test_schedulerset.Asking()
    asking.ask("e1", "r0")
    asking.ask("e1", "r1")
    specs = {"e1": test_schedulerset.spec(max_waiting=1), "e2": test_schedulerset.spec()}
    asking.schedulers.configure(specs)
    asking.schedulers.finish("e1", "r1")
    asking.ask("e2", "r1")
    asking.schedulers.process_queues()
    assert asking.told["r1"] == []
    assert asking.schedulers.states()["e2"].waiting == 1


@pytest.mark.parametrize("answer", [grantrequests.NoResponse("n2"), refused("owner_moved")])
def test_an_engine_that_nobody_admits_to_is_used_without_a_grant(answer):
    """The node that admits to both engines is killed, and a caller asks another node.

    Until the nodes agree on a new owner, some three seconds, asks go unanswered or to a
    node that does not know of its duty yet. The caller was told to come back though both
    engines stood idle.
    """
    site = Site(remote={"e1", "e2"}, e1=answer, e2=answer)
    begun = site.asking.clock.now()
    grant = site.find()
    assert (grant.replica, grant.grant_id) == ("e1", None)
    waited_s = site.asking.clock.now() - begun
    assert grantacquirer.UNOWNED_TIMEOUT_S <= waited_s <= grantacquirer.UNOWNED_TIMEOUT_S + 0.2
    grant.release()
    assert (site.held(), site.client.calls) == (0, [])
