"""Availability of replicas for new requests, and the refusals of unavailable ones."""

import dataclasses
import random

from hornbeamglade.core import clocks
from hornbeamglade.replicas import (
    availability,
    evacuations,
    models,
    ratelimits,
    replicalist,
    slowstart,
)
from hornbeamglade.routes import models as routemodels


def available():
    listed = replicalist.ReplicaList()
    domains = (("e0", "a"), ("e1", "b"), ("e2", "b"))
    listed.replace(
        [
            models.Replica(name, "llm", f"10.0.0.{n}:1", domain, 8, is_leaving=name == "e2")
            for n, (name, domain) in enumerate(domains, 1)
        ],
        1,
    )
    return availability.Availability(
        listed,
        slowstart.SlowStarts(random.Random(1)),
        ratelimits.RateLimits(clocks.ManualClock()),
        slowstart.Bound(),
        {"a": "r", "b": "s"},
    )


def ids(replicas):
    return [each.id for each in replicas]


def test_evacuated_domain_gets_no_requests_until_the_evacuation_ends():
    known = available()
    assert ids(known.usable("llm")) == ["e0", "e1"]
    assert known.apply_evacuations(evacuations.Evacuations(5, frozenset("a")), 0.0) == {"a"}
    assert ids(known.usable("llm")) == ["e1"]
    assert known.refusal("e0", 0.0).code == "replica_evacuated"
    assert known.refusal("e1", 0.0) is None
    assert known.apply_evacuations(evacuations.Evacuations(9), 0.0) == {"a"}
    assert ids(known.usable("llm")) == ["e0", "e1"]


def test_older_state_of_evacuations_is_ignored():
    known = available()
    known.apply_evacuations(evacuations.Evacuations(5, frozenset("a")), 0.0)
    assert not known.apply_evacuations(evacuations.Evacuations(4), 0.0)
    assert ids(known.usable("llm")) == ["e1"]


def test_two_domains_may_be_evacuated_at_once():
    known = available()
    known.apply_evacuations(evacuations.Evacuations(5, frozenset("ab")), 0.0)
    assert not known.usable("llm")


def cold_site(engine):
    """Return replicas of a service that accept ten requests per second after their start."""
    known = available()
    start = routemodels.SlowStart(requests_per_s=10.0, duration_s=3.0)
    known.configure({"llm": routemodels.Service("llm", "/h", 50, engine, start)})
    return known


def test_replica_is_cold_for_the_time_in_its_entry():
    known = cold_site(None)
    replica = models.Replica("e3", "llm", "10.0.0.9:1", "a", 8, warm_in_s=2.0)
    known.list_changed(known.replicas.update([replica], [], 2), 10.0)
    assert known.is_cold("e3", 11.9)
    assert not known.is_cold("e3", 12.0)


def test_replicas_are_cold_after_the_evacuation_of_their_domain():
    known = cold_site(None)
    known.apply_evacuations(evacuations.Evacuations(5, frozenset("a")), 0.0)
    known.apply_evacuations(evacuations.Evacuations(6), 10.0)
    assert [name for name in ("e0", "e1") if known.is_cold(name, 10.1)] == ["e0"]
    assert not known.is_cold("e0", 13.0)


def test_cold_replica_refuses_until_the_next_request_is_allowed():
    known = cold_site(None)
    replica = models.Replica("e3", "llm", "10.0.0.9:1", "a", 8, warm_in_s=30.0)
    known.list_changed(known.replicas.update([replica], [], 2), 0.0)
    first_at = known.cold_wait_s("e3", 0.0)
    assert known.refusal("e3", first_at) is None
    known.started("e3", first_at)
    refusal = known.refusal("e3", first_at)
    assert refusal.code == "replica_cold"
    assert 0.0 < refusal.retry_after_s <= 30.0


def test_replica_of_a_service_without_slow_start_is_not_cold():
    known = available()
    replica = models.Replica("e3", "llm", "10.0.0.9:1", "a", 8, warm_in_s=30.0)
    known.list_changed(known.replicas.update([replica], [], 2), 0.0)
    assert not known.is_cold("e3", 0.1)


def test_only_replicas_in_allowed_regions_are_usable():
    known = available()
    assert ids(known.usable("llm", frozenset("r"))) == ["e0"]
    assert ids(known.usable("llm", frozenset("s"))) == ["e1"]
    assert ids(known.usable("llm", frozenset())) == []
    assert ids(known.usable("llm", frozenset("rs"))) == ["e0", "e1"]


def test_failure_domain_of_unknown_region_is_in_no_region():
    known = available()
    known.replicas.update([models.Replica("e9", "llm", "10.0.0.9:1", "z", 8)], [], 2)
    assert ids(known.usable("llm")) == ["e0", "e1", "e9"]
    assert ids(known.usable("llm", frozenset("rs"))) == ["e0", "e1"]


def test_a_slow_start_is_logged_only_if_no_other_line_contains_it(monkeypatch):
    """Guards against twice as many log lines for new replicas, at each of many instances."""
    lines = []
    monkeypatch.setattr(
        availability.logs, "state_changed", lambda *states, **fields: lines.append(fields)
    )
    known = cold_site(None)
    replica = models.Replica("e3", "llm", "10.0.0.9:1", "a", 8, warm_in_s=2.0)
    known.list_changed(known.replicas.update([replica], [], 2), 0.0)
    known.forget_ended(2.0)
    again = dataclasses.replace(replica, warm_in_s=1.0)
    known.list_changed(known.replicas.update([again], [], 3), 5.0)
    assert [(each["replica"], each["reason"], each["seconds"]) for each in lines] == [
        ("e3", "changed", 1.0)
    ]
