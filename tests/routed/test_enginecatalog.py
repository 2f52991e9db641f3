"""Routing candidates among a node's own engines and those of other owners."""

import dataclasses

import pytest

from hornbeamglade.admission import replicaadmission, tokenledger
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import messages
from hornbeamglade.fairness import queuesettings
from hornbeamglade.grants import schedulerset
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.node import digestcache
from hornbeamglade.replicas import models, replicalist
from hornbeamglade.routed import enginecatalog
from hornbeamglade.routing import candidates
from hornbeamglade.speeds import enginespeeds, pacemeter
from tests.replicas import availabilities

WORK = outcomes.Work("r1", "draft", "clinic", 1, 500, 100)
SPEC = schedulerset.SchedulerSpec(
    10_000, replicaadmission.AdmissionSettings(max_running=8), queuesettings.QueueSettings()
)


def make(owned=("e0", "e1"), names=("e0", "e1", "e2"), shares_machines=False):
    clock = clocks.ManualClock(100.0)
    replicas = replicalist.ReplicaList()
    listed = [
        models.Replica(name, "llm", f"10.0.0.1:{port}", "a", 8)
        for port, name in enumerate(names, start=1)
    ]
    other = models.Replica("x0", "other", "10.0.0.9:1", "a", 8)
    replicas.replace([*listed, other], 1)
    schedulers = schedulerset.SchedulerSet(clock, lengthmodel.LengthModel())
    schedulers.configure(dict.fromkeys((*names, "x0"), SPEC))
    schedulers.set_owned(frozenset(owned))
    speeds = enginespeeds.EngineSpeeds(clock, lambda service: shares_machines)
    speeds.configure({"llm": 4})
    for replica, token_us in (("e0", 16_000), ("e1", 6_000)):
        speeds.observe(replica, pacemeter.Measurement(token_us, 0))
    catalog = enginecatalog.EngineCatalog(
        availabilities.make(replicas),
        schedulers,
        digestcache.DigestCache(clock),
        lambda: owned,
        candidates.RoutingSettings(),
        speeds,
        clock,
    )
    return schedulers, replicas, catalog


def report(schedulers, replica, used):
    view = tokenledger.LoadView(1, 0.0, 10_000, used)
    schedulers.apply(replica, lambda scheduler, now: scheduler.apply_report(view, False, now))


def test_own_engines_of_the_service_are_listed_by_free_memory():
    schedulers, _, catalog = make(owned=("e0", "e1", "x0"))
    report(schedulers, "e0", 8_000)
    report(schedulers, "e1", 1_000)
    report(schedulers, "x0", 0)
    assert catalog.owned_alternatives("e2", WORK) == ("e1", "e0")


def test_leaving_engine_is_not_listed():
    schedulers, _, catalog = make()
    report(schedulers, "e0", 0)
    report(schedulers, "e1", 0)
    schedulers.drain("e1")
    assert catalog.owned_alternatives("e0", WORK) == ("e0",)


def test_unknown_replica_has_no_alternatives():
    _, _, catalog = make()
    assert catalog.owned_alternatives("unknown", WORK) == ()


PACED = dataclasses.replace(WORK, pace=outcomes.PaceObjective(0.1, 2.0, 700))


@pytest.mark.parametrize(
    ("shares_machines", "expected"), [(False, ("e0", "e1")), (True, ("e1", "e0"))]
)
def test_paces_count_only_where_machines_are_shared(shares_machines, expected):
    """Services on dedicated machines must be served as before, whatever was measured."""
    schedulers, _, catalog = make(shares_machines=shares_machines)
    report(schedulers, "e0", 0)
    report(schedulers, "e1", 5_000)
    assert catalog.owned_alternatives("e0", PACED) == expected
    assert catalog.must_avoid("e0", PACED) is shares_machines
    assert not catalog.must_avoid("e1", PACED)
    outlooks = [each.outlook for each in catalog.candidates("llm", frozenset())]
    assert any(outlooks) is shares_machines


MANY = tuple(f"e{number:03}" for number in range(200))


def replica_ids(candidates_found):
    return tuple(each.replica for each in candidates_found)


def test_request_compares_all_own_engines_and_a_sample_of_the_others():
    _, _, catalog = make(owned=("e150",), names=MANY)
    compared = replica_ids(catalog.candidates("llm", frozenset(), sample_offset=190))
    assert compared == ("e150", *MANY[190:], *MANY[:54])


def test_excluded_engines_do_not_count_towards_the_sample():
    _, _, catalog = make(owned=(), names=MANY)
    compared = replica_ids(catalog.candidates("llm", frozenset(MANY[:100]), sample_offset=10))
    assert compared == MANY[100:164]


def test_engine_chosen_by_its_owner_is_found_outside_the_sample():
    _, _, catalog = make(owned=(), names=MANY)
    chosen = messages.key_hash("e120")
    assert "e120" not in replica_ids(catalog.candidates("llm", frozenset()))
    assert catalog.find(chosen, "llm", frozenset()) == "e120"
    assert catalog.find(chosen, "llm", frozenset(("e120",))) is None
    assert catalog.find(chosen, "other", frozenset()) is None
