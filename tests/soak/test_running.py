"""Short soaks of real processes, with fixed seeds."""

import dataclasses
import types

import pytest

from hornbeamglade.soak import faults, plan, running, seeds, soaksite
from hornbeamglade.standins import routedfaults

SECONDS = 4.0
LOAD_SECONDS = 12.0


@dataclasses.dataclass(frozen=True)
class Soak:
    """One group of faults; ``guards_against`` is the failure that shows without it."""

    seeds: tuple[int, ...]
    kinds: tuple[plan.FaultFactory, ...]
    guards_against: str
    draws: str
    seconds: float = LOAD_SECONDS


SOAK_BY_NAME = {
    "statements": Soak(
        seeds.STATEMENT_SEEDS,
        plan.KINDS,
        "requests to servers that state that they leave, or refuse",
        "ServerStatesLeaving ServerRefuses",
        15.0,
    ),
    "reachability": Soak(
        seeds.REACHABILITY_SEEDS,
        plan.REACHABILITY_KINDS,
        "instances that serve nothing while their own links are cut",
        "InstancePartitioned ServersTolerateFew",
    ),
    "load": Soak(
        seeds.LOAD_SEEDS,
        plan.LOAD_KINDS,
        "starved kinds and teams, and urgent requests served after others",
        "MachineBusy MemoryShrinks CallersSurge CallersReadSlowly ServerLeaves",
    ),
    "refusals": Soak(
        seeds.REFUSAL_SEEDS,
        plan.REFUSAL_KINDS,
        "refusals that deny a run, such as a server's own 503 that is passed on",
        "StatusAfterRun InstancePartitioned",
    ),
    "versions": Soak(
        seeds.VERSION_SEEDS,
        plan.VERSION_KINDS,
        "streams that go on at another software version",
        "ServerReplaced ServerKilled InstanceKilled",
    ),
    "parts": Soak(
        seeds.PART_SEEDS,
        plan.PART_KINDS,
        "requests of which no two are equal that end engine after engine",
        "PartCrashesEngines CallersSurge",
    ),
    "strays": Soak(
        seeds.STRAY_SEEDS,
        plan.STRAY_KINDS,
        "second runs of requests whose refusal or stop was never stated",
        "ServerRefusesLate ServerSendsWithoutEnd EngineIgnoresStops",
    ),
    "broken": Soak(
        seeds.BROKEN_SEEDS,
        plan.BROKEN_KINDS,
        "a head or body that runs into another response on the connection",
        "ResponsesBreakOff ServerRefusesLate",
    ),
    "outages": Soak(
        seeds.OUTAGE_SEEDS,
        plan.OUTAGE_KINDS,
        "streams of two versions after the loss of all that was known of them",
        "AllInstancesKilled ServerReplaced",
    ),
    "takeovers": Soak(
        seeds.TAKEOVER_SEEDS,
        plan.TAKEOVER_KINDS,
        "a second copy of a refusal that counts for the attempt after it",
        "AddressTakenOver InstancePaused",
    ),
    "crowds": Soak(
        seeds.CROWD_SEEDS,
        plan.CROWD_KINDS,
        "instances that misbehaving callers end, hold up or keep from others",
        "CrowdPresses InstanceStopped StoreFails",
    ),
    "ends": Soak(
        seeds.ENDS_SEEDS,
        plan.ENDS_KINDS,
        "streams that a move or a notice ended and that look whole",
        "EngineClosesStreams InstanceStopped",
    ),
    "crossings": Soak(
        seeds.CROSSING_SEEDS,
        plan.CROSSING_KINDS,
        "what servers do in a planned stop, a move of a run, and an outage of the store",
        "EnginePreempts EngineWorksOn EnginesLeaveInTurn ServerKilledWithinResponse"
        " InstanceStopped AllInstancesStopped StoreFails",
    ),
}


def test_short_soak_violates_no_guarantee(tmp_path):
    """Processes are killed, connections reset and entries overwritten under load."""
    verdict = running.run(seeds.SHORT_SEED, SECONDS, tmp_path, plan.KINDS)
    assert verdict.faults
    assert verdict.violations == ()


@pytest.mark.parametrize(
    ("name", "seed"), [(name, seed) for name, soak in SOAK_BY_NAME.items() for seed in soak.seeds]
)
def test_soak_violates_no_guarantee(name, seed, tmp_path):
    """Guards against what the group states."""
    soak = SOAK_BY_NAME[name]
    verdict = running.run(seed, soak.seconds, tmp_path, soak.kinds)
    assert verdict.violations == (), soak.guards_against


@pytest.mark.parametrize("name", SOAK_BY_NAME)
def test_each_seed_draws_the_faults_of_its_group(name):
    soak = SOAK_BY_NAME[name]
    for seed in soak.seeds:
        planned = plan.make(seed, soak.seconds, soak.kinds)
        assert set(soak.draws.split()) <= {each.fault.name for each in planned}


def test_seeds_of_ends_draw_each_way_to_close_streams():
    faults = [
        each.fault
        for seed in seeds.ENDS_SEEDS
        for each in plan.make(seed, LOAD_SECONDS, plan.ENDS_KINDS)
    ]
    drawn = {each.stop_reply for each in faults if each.name == "EngineClosesStreams"}
    assert drawn == {None, *routedfaults.StopReply}


def test_instance_that_two_faults_end_is_started_once(monkeypatch, tmp_path):
    """A second process found its port in use, and counted as one that did not stay up."""
    soak_site, started = soaksite.SoakSite(1, tmp_path), []
    child_by_name = soak_site.site.child_by_name

    def start(name):
        started.append(name)
        child_by_name[name] = object()

    monkeypatch.setattr(soak_site.site, "start_instance", start)
    child_by_name["entry-0"] = types.SimpleNamespace(send=lambda _signal: None, ended=lambda: True)
    overlapping = [faults.InstanceKilled("entry-0"), faults.InstanceStopped("entry-0")]
    for fault in overlapping:
        fault.begin(soak_site)
    for fault in overlapping:
        fault.end(soak_site)
    assert started == ["entry-0"]
