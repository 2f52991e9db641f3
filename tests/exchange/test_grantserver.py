import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantrequests, grantserver, messages, transport
from hornbeamglade.speeds import pacemeter
from tests.exchange import lossynetwork

KIND = messages.GrantKind
SOURCE = transport.Endpoint("127.0.0.1", 1)
ORIGIN = codec.Sender("a", 1)


class Outbox(transport.Transport):
    def __init__(self):
        self.sent = []

    def send(self, peer, message):
        self.sent.append(message)


class Owner:
    def __init__(self, slots=1):
        self.clock = clocks.ManualClock()
        self.scheduler = lossynetwork.FakeScheduler(slots)
        self.outbox = Outbox()
        self.server = grantserver.GrantServer(self.scheduler, self.outbox, self.clock)

    def request(self, number, origin=ORIGIN):
        self.server.on_request(lossynetwork.make_request(number), origin, SOURCE)
        return self.outbox.sent[-1]

    def report(self, number, done, origin=ORIGIN):
        running = messages.GrantProgress(number, lossynetwork.REPLICA, 5)
        released = messages.GrantRelease(number, 5)
        message = messages.Progress((), (released,)) if done else messages.Progress((running,))
        self.server.on_progress(message, origin, SOURCE)


@pytest.fixture
def owner():
    return Owner()


def test_a_repeated_request_gets_the_same_response_and_reaches_the_scheduler_once(owner):
    assert owner.request(1) == owner.request(1)
    assert len(owner.scheduler.grant_history) == 1


def test_a_refusal_is_repeated_with_its_code(owner):
    owner.scheduler.refuse = True
    assert owner.request(1).code == owner.request(1).code == "queue_full"


def test_a_poll_recovers_a_lost_push():
    # A queued request is granted and the response is lost. The caller would wait
    # until its deadline while its slot stays idle.
    owner = Owner(slots=0)
    assert owner.request(1).kind is KIND.QUEUED
    owner.scheduler.slots = 1
    owner.scheduler.serve(owner.server)
    owner.outbox.sent.clear()
    assert owner.request(1).kind is KIND.GRANTED


def test_a_request_that_arrives_after_its_release_is_not_granted(owner):
    # A requester abandoned its request, and the release overtook the request. If granted
    # now, the slot would be reserved but never used.
    owner.report(1, done=True)
    assert owner.request(1).code == grantserver.RETURNED
    assert not owner.scheduler.grant_history


def test_a_release_during_the_decision_frees_what_the_scheduler_grants(owner):
    # The release arrives on another thread while the scheduler decides. Without the
    # check afterwards the grant remains until it expires.
    decide = owner.scheduler.decide

    def decide_and_interfere(key, message):
        owner.report(1, done=True)
        return decide(key, message)

    owner.scheduler.decide = decide_and_interfere
    assert owner.request(1).code == grantserver.RETURNED
    assert not owner.scheduler.granted


def test_a_push_before_the_queued_response_is_not_overwritten():
    # Another thread frees the slot after the scheduler returned "queued" and before that
    # response is stored. If it overwrote the grant, polls would receive "queued" forever.
    owner = Owner(slots=0)
    decide = owner.scheduler.decide

    def decide_and_interfere(key, message):
        response = decide(key, message)
        owner.scheduler.slots = 1
        owner.scheduler.serve(owner.server)
        return response

    owner.scheduler.decide = decide_and_interfere
    assert owner.request(1).kind is KIND.GRANTED


def test_a_push_for_a_released_request_is_not_sent():
    owner = Owner(slots=0)
    owner.request(1)
    owner.report(1, done=True)
    key = grantserver.GrantKey("a", 1, 1)
    assert not owner.server.push(key, messages.GrantResponse(1, KIND.GRANTED))


def test_a_grant_without_reports_expires_and_a_reported_one_does_not():
    # An instance is reclaimed while it has streams. Its grants would occupy the
    # replica's memory forever.
    owner = Owner(slots=2)
    owner.request(1, codec.Sender("silent", 1))
    owner.request(1)
    for _ in range(5):
        owner.clock.advance(grantrequests.REPORT_INTERVAL_S)
        owner.report(1, done=False)
        owner.server.tick()
    assert owner.scheduler.granted == {grantserver.GrantKey("a", 1, 1)}
    assert [key.holder for key in owner.scheduler.expired] == ["silent"]


def test_grants_of_a_failed_node_expire_immediately(owner):
    owner.request(1)
    owner.server.expire_holder("a")
    assert not owner.scheduler.granted


def test_grants_of_a_restarted_holder_expire_at_its_first_request(owner):
    owner.request(1, codec.Sender("a", 1))
    owner.request(1, codec.Sender("a", 2))
    assert [key.incarnation for key in owner.scheduler.expired] == [1]


def test_a_new_owner_adopts_a_running_request_once(owner):
    owner.report(1, done=False)
    owner.report(1, done=False)
    assert len(owner.scheduler.adopted) == 1
    owner.report(1, done=True)
    owner.report(1, done=False)
    assert not owner.scheduler.granted


def test_records_of_ended_requests_are_deleted_after_the_retention_time(owner):
    owner.request(1)
    owner.report(1, done=True)
    owner.clock.advance(grantserver.RECORD_RETENTION_S + 1)
    owner.server.tick()
    assert owner.request(1).kind is KIND.GRANTED


def test_records_are_bounded(monkeypatch):
    monkeypatch.setattr(grantserver, "MAX_RECORDS", 2)
    owner = Owner()
    for number in (1, 2):
        owner.request(number)
    assert owner.request(3).code == grantserver.OWNER_FULL


class Site:
    """One requesting node, two owners, and requests that are retried at the other owner."""

    def __init__(self, seed, faults):
        self.rng = random.Random(seed)
        self.network = lossynetwork.LossyNetwork(self.rng, faults)
        self.clock = self.network.clock
        self.tracker = grantrequests.GrantTracker(1)
        self.port = self.network.attach("a", self._on_response)
        self.scheduler_by_owner = {name: lossynetwork.FakeScheduler(2) for name in ("x", "y")}
        self.server_by_owner = {name: self._serve(name) for name in ("x", "y")}
        self.open = {}
        self.held = {}
        self.request_by_grant_id = {}

    def _serve(self, name):
        def handle(message, origin, source):
            server = self.server_by_owner[name]
            take = (
                server.on_request
                if isinstance(message, messages.GrantRequest)
                else server.on_progress
            )
            take(message, origin, source)

        port = self.network.attach(name, handle)
        return grantserver.GrantServer(self.scheduler_by_owner[name], port, self.clock)

    def _on_response(self, message, origin, source):
        owner = transport.Peer(origin.name, source)
        self.send(self.tracker.on_response(owner, message, self.clock.now()))

    def send(self, outgoing):
        for one in outgoing:
            self.port.send(one.peer, one.message)

    def begin_request(self, request_id, owner):
        request = lossynetwork.make_request()
        number = self.tracker.open(transport.Peer(owner, SOURCE), request, self.clock.now())
        self.request_by_grant_id[number] = request_id
        self.open[number] = (request_id, owner)

    def step(self, seconds=0.05):
        self.clock.advance(seconds)
        self.network.deliver()
        for number, (request_id, owner) in list(self.open.items()):
            self.send(self.tracker.advance(number, self.clock.now()))
            self._settle(number, request_id, owner)
        self.send(self.tracker.tick(self.clock.now()))
        for name, server in self.server_by_owner.items():
            server.tick()
            self.scheduler_by_owner[name].serve(server)

    def _settle(self, number, request_id, owner):
        outcome = self.tracker.outcome(number)
        if outcome is None:
            return
        del self.open[number]
        if isinstance(outcome, messages.GrantResponse) and outcome.kind is KIND.GRANTED:
            self.held[number] = request_id
            return
        self.send(self.tracker.close(number, self.clock.now()))
        self.begin_request(request_id, "y" if owner == "x" else "x")

    def finish(self, number):
        del self.held[number]
        self.send(self.tracker.close(number, self.clock.now()))

    def granted_requests(self):
        return collections.Counter(
            self.request_by_grant_id[key.grant_id]
            if key in scheduler.request_by_key
            else "adopted"
            for scheduler in self.scheduler_by_owner.values()
            for key in scheduler.granted
        )


@pytest.mark.parametrize("loss_rate", [0.0, 0.2, 0.5])
@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=15)
@hypothesis.given(seed=strategies.integers(0, 2**32))
def test_no_request_holds_two_grants_after_a_lossy_network_recovers(loss_rate, seed):
    # A grant response is lost or late, the requester tries another owner, and both have
    # granted. Unless the first grant is released or expires, the replica's headroom
    # shrinks until no request is admitted.
    site = Site(seed, lossynetwork.Faults(loss_rate, duplication_rate=0.2, max_delay_s=0.4))
    for number in range(6):
        site.begin_request(f"r{number}", site.rng.choice("xy"))
    for _ in range(100):
        site.step()
        if site.held and site.rng.random() < 0.1:
            site.finish(site.rng.choice(sorted(site.held)))
    site.network.faults = lossynetwork.Faults()
    for _ in range(200):
        site.step(0.5)
    granted = site.granted_requests()
    assert granted == collections.Counter(site.held.values())
    assert all(count == 1 for count in granted.values())
    keys = [
        key for scheduler in site.scheduler_by_owner.values() for key in scheduler.grant_history
    ]
    assert len(keys) == len(set(keys))


def test_a_repeated_response_carries_the_present_digests():
    # A waiting request is repeated each second. With the digests of the first response it
    # would compare engines by figures that are several seconds old.
    owner = Owner(slots=0)
    digests = [messages.ReplicaDigest(lossynetwork.REPLICA, room, 0, 0) for room in (100, 200)]
    present = iter([grantserver.SiteFigures((messages.AgedDigest(each),)) for each in digests])
    owner.server.set_figures(lambda replica: next(present))
    assert [owner.request(1).digests[0].digest for _ in digests] == digests


def test_pace_of_a_grant_reaches_the_scheduler_also_with_its_release(owner):
    """A short response ends before its first progress report."""
    owner.request(1)
    released = messages.GrantRelease(1, 12, 8_000, 90)
    owner.server.on_progress(messages.Progress((), (released,)), ORIGIN, SOURCE)
    assert list(owner.scheduler.pace_by_key.values()) == [pacemeter.Measurement(8_000, 90)]
