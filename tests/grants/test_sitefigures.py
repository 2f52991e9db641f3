"""Figures of a service at the whole site, as owners pass them on."""

from hornbeamglade.admission import replicaadmission, tokenledger
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import messages
from hornbeamglade.fairness import queuesettings, siteforecast
from hornbeamglade.grants import schedulerset, sitefigures
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.node import digestcache
from hornbeamglade.routes import objectives
from hornbeamglade.speeds import enginespeeds

SPEC = schedulerset.SchedulerSpec(
    10_000, replicaadmission.AdmissionSettings(max_running=1), queuesettings.QueueSettings()
)
SERVICE_BY_REPLICA = {"e0": "llm", "e1": "llm", "x0": "other"}


class Node:
    """One node's figures; the requests for its engines wait, except the first."""

    def __init__(self, name, clock, owned=(), waiting=0):
        self.schedulers = schedulerset.SchedulerSet(clock, lengthmodel.LengthModel())
        self.schedulers.configure(dict.fromkeys(SERVICE_BY_REPLICA, SPEC))
        self.schedulers.set_owned(frozenset(owned))
        self.digests = digestcache.DigestCache(clock)
        coordinated = objectives.CoordinatedServices(lambda service: service == "llm")
        self.figures = sitefigures.SiteFigures(
            name,
            self.schedulers,
            self.digests,
            coordinated,
            clock,
            enginespeeds.EngineSpeeds(clock, lambda _service: False),
        )
        self.figures.set_replicas(SERVICE_BY_REPLICA, owned)
        load = tokenledger.LoadView(1, 0.0, 10_000, 0)
        for replica in owned:
            self.schedulers.apply(
                replica, lambda scheduler, now: scheduler.apply_report(load, False, now)
            )
            for number in range(waiting + 1 if waiting else 0):
                work = outcomes.Work(f"{replica}-{number}", "chat", "", 9, 100, 100)
                self.schedulers.request_grant(
                    replica, work, 1.0, clock.now() + 60.0, lambda _outcome: None
                )

    def response(self, replica):
        known = self.figures.known(replica)
        return messages.GrantResponse(
            1, messages.GrantKind.REFUSED, digests=known.digests, waiting=known.waiting
        )

    def heartbeat_to(self, other, name):
        other.digests.record(
            name,
            tuple(each.digest for each in self.figures.known("e0").digests if not each.age_ms),
        )
        other.figures.record_heartbeat(name, self.figures.own_waiting())


def make():
    """Return two owners that know each other's figures, and a third node."""
    clock = clocks.ManualClock(100.0)
    first, second = Node("n0", clock, ["e0"], 4), Node("n1", clock, ["e1"], 2)
    second.heartbeat_to(first, "n1")
    return clock, first, second, Node("n2", clock)


def test_one_response_tells_the_state_of_the_whole_site():
    clock, first, _, third = make()
    clock.advance(0.25)
    third.figures.record_response("n0", first.response("e0"))
    ages = [
        round(third.digests.age_s(third.digests.newest(replica)), 3) for replica in ("e0", "e1")
    ]
    assert ages == [0.0, 0.25]
    assert [each.waiting for each in first.figures.known("e0").waiting] == [4, 2]


def test_figures_of_a_silent_owner_are_not_passed_on():
    # The owner is partitioned from the other owners. An instance that still reaches it would
    # otherwise replace its figures by old ones.
    clock, first, _, _ = make()
    clock.advance(sitefigures.SHARED_AGE_S)
    known = first.figures.known("e0")
    assert [each.digest.replica for each in known.digests] == [messages.key_hash("e0")]
    assert [each.waiting for each in known.waiting] == [4]


def test_other_services_get_no_figures():
    _, first, _, _ = make()
    assert not first.figures.known("x0").digests
    assert not first.figures.known(None).digests


def test_a_node_without_other_owners_figures_refuses_nothing_by_forecast():
    _, first, _, third = make()
    work = outcomes.Work("r1", "chat", "", 9, 100, 100)
    for node in (Node("n3", clocks.ManualClock(1.0), ["e0"], 50), third):
        assert node.figures.refusal(work, "llm", 0.01, 0.0, siteforecast.Position()) is None
    assert first.figures.refusal(work, "other", 0.01, 0.0, siteforecast.Position()) is None


def test_waiting_requests_of_the_whole_site_are_counted_by_class():
    """Each owner counted only its own queue, though callers' requests wait at all of them."""
    clock, first, _, third = make()
    odd = [messages.WaitingClass(messages.key_hash("llm"), p, 1, 1.0) for p in (-5, 2**31 - 1)]
    third.figures.record_heartbeat("n3", odd)
    third.figures.record_response("n0", first.response("e0"))
    assert first.figures.waiting_by_class() == {"llm": {0: 6}}
    assert third.figures.waiting_by_class() == {"llm": {0: 7, 9: 1}}
    clock.advance(siteforecast.ENTRY_LIFE_S + 0.1)
    assert first.figures.waiting_by_class() == {"llm": {0: 4}}
    assert third.figures.waiting_by_class() == {}


def test_retry_times_of_requests_refused_together_are_spread():
    # Callers that retry together would meet the same queue again.
    _, _, _, third = make()
    busy = messages.WaitingClass(messages.key_hash("llm"), 9, 100, 10.0, 100)
    third.figures.record_heartbeat("n0", (busy,))
    refusals = [
        third.figures.refusal(
            outcomes.Work(f"r{number}", "chat", "", 9, 100, 100),
            "llm",
            2.0,
            1.0,
            siteforecast.Position(),
        )
        for number in range(50)
    ]
    retries = sorted(each.retry_after_s for each in refusals)
    assert {each.code for each in refusals} == {"refused_by_forecast"}
    assert 10.0 <= retries[0] < 12.0
    assert 18.0 < retries[-1] <= 20.0


def test_a_class_that_no_longer_waits_is_replaced_by_a_response():
    clock, first, second, third = make()
    third.figures.record_response("n0", first.response("e0"))
    clock.advance(0.1)
    second.schedulers.drain("e1")
    second.heartbeat_to(first, "n1")
    third.figures.record_response("n0", first.response("e0"))
    entries = first.figures.known("e0").waiting
    assert [each.waiting for each in entries] == [4, 0]


def test_instances_without_waiting_requests_take_no_places_of_owners():
    # Heartbeats arrive from all instances, and a response carries a bounded number of entries.
    _, first, _, _ = make()
    for number in range(2 * siteforecast.MAX_OWNERS):
        first.figures.record_heartbeat(f"i{number}", ())
    assert [each.waiting for each in first.figures.known("e0").waiting] == [4, 2]
