"""Short soaks of real processes, with fixed seeds."""

import pytest

from hornbeamglade.soak import plan, running, seeds
from hornbeamglade.standins import routedfaults

SECONDS = 4.0


def test_short_soak_violates_no_guarantee(tmp_path):
    """Processes are killed, connections reset and entries overwritten under load."""
    verdict = running.run(seeds.SHORT_SEED, SECONDS, tmp_path, plan.KINDS)
    assert verdict.faults
    assert verdict.violations == ()


STATEMENT_SECONDS = 15.0


@pytest.mark.parametrize("seed", seeds.STATEMENT_SEEDS)
def test_soak_with_statements_of_servers_violates_no_guarantee(seed, tmp_path):
    verdict = running.run(seed, STATEMENT_SECONDS, tmp_path, plan.KINDS)
    assert verdict.violations == ()


def test_each_seed_of_statements_draws_both_faults():
    for seed in seeds.STATEMENT_SEEDS:
        names = {each.fault.name for each in plan.make(seed, STATEMENT_SECONDS, plan.KINDS)}
        assert {"ServerStatesLeaving", "ServerRefuses"} <= names


REACHABILITY_SECONDS = 12.0


@pytest.mark.parametrize("seed", seeds.REACHABILITY_SEEDS)
def test_soak_with_partitioned_instances_violates_no_guarantee(seed, tmp_path):
    """Guards against instances that serve nothing while their own links are cut."""
    verdict = running.run(seed, REACHABILITY_SECONDS, tmp_path, plan.REACHABILITY_KINDS)
    assert verdict.violations == ()


def test_each_seed_of_reachability_draws_both_faults():
    for seed in seeds.REACHABILITY_SEEDS:
        planned = plan.make(seed, REACHABILITY_SECONDS, plan.REACHABILITY_KINDS)
        names = {each.fault.name for each in planned}
        assert {"InstancePartitioned", "ServersTolerateFew"} <= names


LOAD_SECONDS = 12.0


@pytest.mark.parametrize("seed", seeds.LOAD_SEEDS)
def test_soak_with_scarce_capacity_violates_no_guarantee(seed, tmp_path):
    """Guards against starved kinds and teams, and urgent requests served after others."""
    verdict = running.run(seed, LOAD_SECONDS, tmp_path, plan.LOAD_KINDS)
    assert verdict.violations == ()


@pytest.mark.parametrize("seed", seeds.REFUSAL_SEEDS)
def test_soak_with_refusals_on_all_paths_violates_no_guarantee(seed, tmp_path):
    """Guards against refusals that deny a run, such as a server's own 503 that is passed on."""
    verdict = running.run(seed, LOAD_SECONDS, tmp_path, plan.REFUSAL_KINDS)
    assert verdict.violations == ()


@pytest.mark.parametrize("seed", seeds.VERSION_SEEDS)
def test_soak_with_several_software_versions_violates_no_guarantee(seed, tmp_path):
    """Guards against streams that go on at another software version."""
    verdict = running.run(seed, LOAD_SECONDS, tmp_path, plan.VERSION_KINDS)
    assert verdict.violations == ()


@pytest.mark.parametrize("seed", seeds.PART_SEEDS)
def test_soak_with_parts_that_crash_engines_violates_no_guarantee(seed, tmp_path):
    """Guards against requests of which no two are equal that end engine after engine."""
    verdict = running.run(seed, LOAD_SECONDS, tmp_path, plan.PART_KINDS)
    assert verdict.violations == ()


@pytest.mark.parametrize("seed", seeds.STRAY_SEEDS)
def test_soak_with_bytes_that_belong_to_no_request_violates_no_guarantee(seed, tmp_path):
    """Guards against second runs of requests whose refusal or stop was never stated."""
    verdict = running.run(seed, LOAD_SECONDS, tmp_path, plan.STRAY_KINDS)
    assert verdict.violations == ()


@pytest.mark.parametrize("seed", seeds.BROKEN_SEEDS)
def test_soak_with_responses_that_break_off_violates_no_guarantee(seed, tmp_path):
    """Guards against a head or body that runs into another response on the connection."""
    verdict = running.run(seed, LOAD_SECONDS, tmp_path, plan.BROKEN_KINDS)
    assert verdict.violations == ()


@pytest.mark.parametrize("seed", seeds.OUTAGE_SEEDS)
def test_soak_with_outages_of_all_instances_violates_no_guarantee(seed, tmp_path):
    """Guards against streams of two versions after the loss of all that was known of them."""
    verdict = running.run(seed, LOAD_SECONDS, tmp_path, plan.OUTAGE_KINDS)
    assert verdict.violations == ()


@pytest.mark.parametrize("seed", seeds.TAKEOVER_SEEDS)
def test_soak_with_servers_that_take_over_an_address_violates_no_guarantee(seed, tmp_path):
    """Guards against a second copy of a refusal that counts for the attempt after it."""
    verdict = running.run(seed, LOAD_SECONDS, tmp_path, plan.TAKEOVER_KINDS)
    assert verdict.violations == ()


@pytest.mark.parametrize("seed", seeds.CROWD_SEEDS)
def test_soak_with_crowds_violates_no_guarantee(seed, tmp_path):
    """Guards against instances that misbehaving callers end, hold up or keep from others."""
    verdict = running.run(seed, LOAD_SECONDS, tmp_path, plan.CROWD_KINDS)
    assert verdict.violations == ()


@pytest.mark.parametrize("seed", seeds.ENDS_SEEDS)
def test_soak_with_streams_that_only_connections_end_violates_no_guarantee(seed, tmp_path):
    """Guards against streams that a move or a notice ended and that look whole."""
    verdict = running.run(seed, LOAD_SECONDS, tmp_path, plan.ENDS_KINDS)
    assert verdict.violations == ()


def test_seeds_of_ends_draw_each_way_to_close_streams():
    faults = [
        each.fault
        for seed in seeds.ENDS_SEEDS
        for each in plan.make(seed, LOAD_SECONDS, plan.ENDS_KINDS)
    ]
    drawn = {each.stop_reply for each in faults if each.name == "EngineClosesStreams"}
    assert drawn == {None, *routedfaults.StopReply}


def test_each_seed_of_load_and_refusals_draws_their_faults():
    load = {"MachineBusy", "MemoryShrinks", "CallersSurge", "CallersReadSlowly", "ServerLeaves"}
    for drawn, kinds, names in (
        (seeds.LOAD_SEEDS, plan.LOAD_KINDS, load),
        (
            seeds.VERSION_SEEDS,
            plan.VERSION_KINDS,
            {"ServerReplaced", "ServerKilled", "InstanceKilled"},
        ),
        (
            seeds.STRAY_SEEDS,
            plan.STRAY_KINDS,
            {"ServerRefusesLate", "ServerSendsWithoutEnd", "EngineIgnoresStops"},
        ),
        (seeds.BROKEN_SEEDS, plan.BROKEN_KINDS, {"ResponsesBreakOff", "ServerRefusesLate"}),
        (seeds.OUTAGE_SEEDS, plan.OUTAGE_KINDS, {"AllInstancesKilled", "ServerReplaced"}),
        (seeds.TAKEOVER_SEEDS, plan.TAKEOVER_KINDS, {"AddressTakenOver", "InstancePaused"}),
        (seeds.CROWD_SEEDS, plan.CROWD_KINDS, {"CrowdPresses", "InstanceStopped", "StoreFails"}),
        (seeds.ENDS_SEEDS, plan.ENDS_KINDS, {"EngineClosesStreams", "InstanceStopped"}),
        (seeds.PART_SEEDS, plan.PART_KINDS, {"PartCrashesEngines", "CallersSurge"}),
        (seeds.REFUSAL_SEEDS, plan.REFUSAL_KINDS, {"StatusAfterRun", "InstancePartitioned"}),
    ):
        for seed in drawn:
            planned = plan.make(seed, LOAD_SECONDS, kinds)
            assert names <= {each.fault.name for each in planned}
