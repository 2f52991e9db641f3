"""Availability of replicas for new requests, and the refusals of unavailable ones."""

import dataclasses

from hornbeamglade.replicas import availability, evacuations, models, replicalist
from hornbeamglade.routes import models as routemodels
from tests.replicas import availabilities


def make_availability():
    listed = replicalist.ReplicaList()
    domains = (("e0", "a"), ("e1", "b"), ("e2", "b"))
    listed.replace(
        [
            models.Replica(name, "llm", f"10.0.0.{n}:1", domain, 8, is_leaving=name == "e2")
            for n, (name, domain) in enumerate(domains, 1)
        ],
        1,
    )
    return availabilities.make(listed)


def ids(replicas):
    return [each.id for each in replicas]


def test_evacuated_domain_gets_no_requests_until_the_evacuation_ends():
    available = make_availability()
    assert ids(available.usable("llm")) == ["e0", "e1"]
    assert available.apply_evacuations(evacuations.Evacuations(5, frozenset("a")), 0.0) == {"a"}
    assert ids(available.usable("llm")) == ["e1"]
    assert available.refusal("e0", 0.0).code == "replica_evacuated"
    assert available.refusal("e1", 0.0) is None
    assert available.apply_evacuations(evacuations.Evacuations(9), 0.0) == {"a"}
    assert ids(available.usable("llm")) == ["e0", "e1"]


def test_older_state_of_evacuations_is_ignored():
    available = make_availability()
    available.apply_evacuations(evacuations.Evacuations(5, frozenset("a")), 0.0)
    assert not available.apply_evacuations(evacuations.Evacuations(4), 0.0)
    assert ids(available.usable("llm")) == ["e1"]


def test_stopped_run_continues_at_no_replica_whose_notice_may_have_run_out():
    """A run that continued from a copy was sent without the check that all others have."""
    available = make_availability()
    may_continue = [
        [available.may_continue(name, 100.0 - age_s, 100.0) for name in ("e0", "e2", "gone")]
        for age_s in (0.3, 1.5)
    ]
    assert may_continue == [[True, True, True], [True, False, False]]


def test_two_domains_may_be_evacuated_at_once():
    available = make_availability()
    available.apply_evacuations(evacuations.Evacuations(5, frozenset("ab")), 0.0)
    assert not available.usable("llm")


def with_slow_start(engine):
    """Return replicas of a service that accept ten requests per second after their start."""
    available = make_availability()
    start = routemodels.SlowStart(requests_per_s=10.0, duration_s=3.0)
    available.configure({"llm": routemodels.Service("llm", "/h", 50, engine, start)})
    return available


def test_replica_is_cold_for_the_time_in_its_entry():
    available = with_slow_start(None)
    replica = models.Replica("e3", "llm", "10.0.0.9:1", "a", 8, warm_in_s=2.0)
    available.list_changed(available.replicas.update([replica], [], 2), 10.0)
    assert available.is_cold("e3", 11.9)
    assert not available.is_cold("e3", 12.0)


def test_replicas_are_cold_after_the_evacuation_of_their_domain():
    available = with_slow_start(None)
    available.apply_evacuations(evacuations.Evacuations(5, frozenset("a")), 0.0)
    available.apply_evacuations(evacuations.Evacuations(6), 10.0)
    assert [name for name in ("e0", "e1") if available.is_cold(name, 10.1)] == ["e0"]
    assert not available.is_cold("e0", 13.0)


def test_cold_replica_refuses_until_the_next_request_is_allowed():
    available = with_slow_start(None)
    replica = models.Replica("e3", "llm", "10.0.0.9:1", "a", 8, warm_in_s=30.0)
    available.list_changed(available.replicas.update([replica], [], 2), 0.0)
    first_at = available.cold_wait_s("e3", 0.0)
    assert available.refusal("e3", first_at) is None
    available.started("e3", first_at)
    refusal = available.refusal("e3", first_at)
    assert refusal.code == "replica_cold"
    assert 0.0 < refusal.retry_after_s <= 30.0


def test_replica_of_a_service_without_slow_start_is_not_cold():
    available = make_availability()
    replica = models.Replica("e3", "llm", "10.0.0.9:1", "a", 8, warm_in_s=30.0)
    available.list_changed(available.replicas.update([replica], [], 2), 0.0)
    assert not available.is_cold("e3", 0.1)


def test_only_replicas_in_allowed_regions_are_usable():
    available = make_availability()
    assert ids(available.usable("llm", frozenset("r"))) == ["e0"]
    assert ids(available.usable("llm", frozenset("s"))) == ["e1"]
    assert ids(available.usable("llm", frozenset())) == []
    assert ids(available.usable("llm", frozenset("rs"))) == ["e0", "e1"]


def test_failure_domain_of_unknown_region_is_in_no_region():
    available = make_availability()
    available.replicas.update([models.Replica("e9", "llm", "10.0.0.9:1", "z", 8)], [], 2)
    assert ids(available.usable("llm")) == ["e0", "e1", "e9"]
    assert ids(available.usable("llm", frozenset("rs"))) == ["e0", "e1"]


def test_a_slow_start_is_logged_only_if_no_other_line_contains_it(monkeypatch):
    """Guards against twice as many log lines for new replicas, at each of many instances."""
    lines = []
    monkeypatch.setattr(
        availability.logs, "state_changed", lambda *states, **fields: lines.append(fields)
    )
    available = with_slow_start(None)
    replica = models.Replica("e3", "llm", "10.0.0.9:1", "a", 8, warm_in_s=2.0)
    available.list_changed(available.replicas.update([replica], [], 2), 0.0)
    available.forget_ended(2.0)
    again = dataclasses.replace(replica, warm_in_s=1.0)
    available.list_changed(available.replicas.update([again], [], 3), 5.0)
    assert [(each["replica"], each["reason"], each["seconds"]) for each in lines] == [
        ("e3", "changed", 1.0)
    ]
