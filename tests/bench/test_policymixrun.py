"""The experiments ``uneven`` and ``crowd`` at a reduced size."""

import dataclasses

import click.testing
import pytest

from hornbeamglade.bench import (
    policymixload,
    policymixpolicies,
    policymixpool,
    policymixreport,
    policymixrun,
)
from hornbeamglade.cli import benchgroup

SMALL = {
    "uneven": (policymixload.UNEVEN.scaled(6), 8.0),
    "crowd": (policymixload.CROWD.scaled(8), 18.0),
}


def _run(name, policy, seed=1):
    scenario, duration_s = SMALL[name]
    return policymixrun.run(scenario, policy, seed, duration_s)


@pytest.mark.parametrize("policy", policymixpolicies.POLICIES)
@pytest.mark.parametrize("name", list(SMALL))
def test_each_request_has_exactly_one_outcome_and_most_are_served(name, policy):
    """Guards against requests that vanish, or count twice, when engines depart."""
    run = _run(name, policy)
    scenario, duration_s = SMALL[name]
    drawn = policymixload.draw_requests(scenario, 1, duration_s)
    ended = sorted(request.work.request_id for request, _ in run.results)
    assert ended == sorted(request.work.request_id for request in drawn)
    on_time = sum(result is policymixpool.Result.ON_TIME for _, result in run.results)
    assert on_time > 0.5 * len(drawn)
    assert (run.migrated > 0) == (name == "crowd")


def test_the_seed_determines_the_outcomes():
    first, again, other = (_run("crowd", policymixpolicies.PRESENT, seed) for seed in (1, 1, 2))
    assert first.results == again.results
    assert first.results != other.results


def test_slow_engines_on_busy_machines_make_long_responses_late():
    """Guards against an experiment in which no engine breaks the pause objective."""

    def late(scenario):
        run = policymixrun.run(scenario, policymixpolicies.FIFO, 1, 8.0)
        return sum(result is policymixpool.Result.LATE for _, result in run.results)

    scenario, _ = SMALL["uneven"]
    even = dataclasses.replace(scenario, time_factors=(0.7,), slowdowns=None)
    assert late(even) == 0 < late(scenario)


def test_owners_hold_no_grants_after_the_last_response():
    """Guards against slots that stay reserved for runs whose migration came too late."""
    scenario, duration_s = SMALL["crowd"]
    kept = []

    create = policymixpolicies.NewProduction._create_scheduler

    def create_and_keep(*arguments):
        kept.append(create(*arguments))
        return kept[-1]

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(policymixpolicies.NewProduction, "_create_scheduler", create_and_keep)
        policymixrun.run(scenario, policymixpolicies.NEW, 1, duration_s)
    assert len(kept) > scenario.replicas
    assert not any(scheduler.running_count for scheduler in kept if not scheduler.leaving)


def test_the_new_policy_measures_engines_and_keeps_long_responses_from_slow_ones(monkeypatch):
    """Guards against a comparison in which engines' paces are not measured or not used."""
    placed = {0.7: 0, 1.7: 0}
    adopt = policymixpool.MixReplica.adopt

    def count(replica, active):
        if active.request.kind.name == "long" and active.request.at_s > 4.0:
            placed[replica.time_factor] += 1
        adopt(replica, active)

    monkeypatch.setattr(policymixpool.MixReplica, "adopt", count)
    _run("uneven", policymixpolicies.PRESENT)
    assert placed[1.7] > 0.1 * placed[0.7]
    placed.update({0.7: 0, 1.7: 0})
    _run("uneven", policymixpolicies.NEW)
    assert placed[1.7] < 0.05 * placed[0.7]


def test_the_new_policy_keeps_memory_free_for_runs_of_departing_engines(monkeypatch):
    """Guards against departures that the owners' schedulers do not learn of."""
    kept = []
    tokens = policymixpolicies.replicascheduler.ReplicaScheduler.departing_tokens

    def keep(scheduler, now):
        kept.append((now, tokens(scheduler, now)))
        return kept[-1][1]

    name = "departing_tokens"
    monkeypatch.setattr(policymixpolicies.replicascheduler.ReplicaScheduler, name, keep)
    _run("crowd", policymixpolicies.NEW)
    assert not any(reserved for now, reserved in kept if now < 3.3)
    assert any(reserved for now, reserved in kept if now > 8.0)


def test_the_new_policy_refuses_by_the_forecast_of_the_site(monkeypatch):
    """Guards against a forecast that is not asked, or not told which requests wait."""
    forecasts, forecast = [], policymixpolicies.siteforecast.SiteForecast
    start_s = forecast.start_s

    def record(site, *arguments):
        forecasts.append(start_s(site, *arguments))
        return forecasts[-1]

    monkeypatch.setattr(forecast, "start_s", record)
    _run("crowd", policymixpolicies.NEW)
    assert any(each for each in forecasts)
    monkeypatch.setattr(forecast, "start_s", lambda *_: 1000.0)
    run = _run("crowd", policymixpolicies.NEW)
    assert {result for _, result in run.results} == {policymixpool.Result.REFUSED}


@pytest.mark.parametrize(
    ("first_at", "pause_s", "ended_at", "expected"),
    [
        (1.7, 0.1, 9.0, policymixpool.Result.ON_TIME),
        (1.9, 0.1, 9.0, policymixpool.Result.LATE),
        (1.7, 0.2, 9.0, policymixpool.Result.LATE),
        (1.7, 0.1, 39.1, policymixpool.Result.FAILED),
    ],
)
def test_a_late_start_or_a_long_pause_makes_a_response_late(first_at, pause_s, ended_at, expected):
    request = next(
        each
        for each in policymixload.draw_requests(policymixload.UNEVEN, 1, 5.0)
        if each.kind.name == "long"
    )
    active = policymixpool.ActiveStream(
        request, first_at=request.at_s + first_at, longest_pause_s=pause_s
    )
    assert active.result(request.at_s + ended_at) is expected


def test_a_surge_multiplies_the_requests_of_its_kind():
    counts = {"long": [0, 0], "short": [0, 0]}
    for seed in range(5):
        for request in policymixload.draw_requests(policymixload.CROWD, seed, 21.0):
            if 10.0 <= request.at_s < 16.0:
                counts[request.kind.name][1] += 1
            elif request.at_s < 6.0:
                counts[request.kind.name][0] += 1
    assert counts["long"][1] / counts["long"][0] == pytest.approx(2.4, rel=0.2)


def test_the_command_prints_shares_by_team_and_kind_over_time(tmp_path):
    out = tmp_path / "report.json"
    arguments = ["uneven", "--engines", "3", "--seconds", "6", "--seeds", "1", "--out", str(out)]
    result = click.testing.CliRunner().invoke(benchgroup.bench, arguments)
    assert result.exit_code == 0, result.output
    for policy in policymixpolicies.POLICIES:
        assert f"| {policy} | short | team3 |" in result.output
    assert "| long | all | 5 s |" in result.output
    assert '"on time"' in out.read_text()


def test_shares_of_all_outcomes_add_up_to_one(tmp_path):
    shares = policymixreport.Shares([_run("uneven", policymixpolicies.FIFO)])
    cell = policymixreport.Cell(policymixpolicies.FIFO, "long", policymixreport.ALL_TEAMS, None)
    assert sum(shares.share(cell, each) for each in policymixreport.RESULTS) == pytest.approx(1.0)
    pytest.importorskip("matplotlib")
    policymixreport.plot(shares, tmp_path / "plot.png")
    assert (tmp_path / "plot.png").stat().st_size
