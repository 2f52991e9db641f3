"""Surges on scarce engines: 66 instances, 4 owners and 23 engines, in virtual time.

A sixth of the engines is replaced every 3.3 s, and failure domains are evacuated in the surge.
"""

import collections
import dataclasses
import functools
import statistics

import pytest

from hornbeamglade.exchange import messages
from hornbeamglade.fairness import siteforecast
from tests.grants import surgesite

FAILED = "n3"
FAILS_AT_S = 3.0
HEAVY = tuple(
    dataclasses.replace(kind, surge=surge, surge_s=8.0)
    for kind, surge in ((surgesite.LONG, 3.0), (surgesite.SHORT, 2.4))
)


@functools.cache
def surge(*, is_coordinated):
    return surgesite.play(
        seconds=15.0,
        prepare=surgesite.heavy_evacuation,
        is_coordinated=is_coordinated,
        has_forecast=False,
    )


@functools.cache
def heavy_surge(*, has_forecast):
    return surgesite.play(
        seconds=18.0,
        prepare=surgesite.heavy_evacuation,
        has_forecast=has_forecast,
        kinds=HEAVY,
    )


def mean_asks(site, kind):
    return statistics.mean(each.asks for each in site.records if each.kind is kind)


def mean_wait_s(site):
    waits = [each.started_at - each.arrived_at for each in site.records if each.started_at]
    return statistics.mean(waits)


def test_fresh_figures_save_requests_for_grants():
    # With figures that are seconds old, most requests for grants in a surge are refused.
    stale, fresh = surge(is_coordinated=False), surge(is_coordinated=True)
    for kind in (surgesite.LONG, surgesite.SHORT):
        assert mean_asks(fresh, kind) < 0.8 * mean_asks(stale, kind)


def test_requests_wait_no_longer_with_fresh_figures():
    # Asking fewer owners must not leave engines idle while requests wait elsewhere.
    stale, fresh = surge(is_coordinated=False), surge(is_coordinated=True)
    late = [sum(each.is_late for each in site.records) for site in (fresh, stale)]
    assert mean_wait_s(fresh) <= 1.1 * mean_wait_s(stale)
    assert late[0] <= late[1]


def test_forecast_refuses_what_cannot_be_on_time_and_nothing_that_can():
    """The forecast is recorded, but nothing is refused by it.

    A request that it would refuse must not start on time afterwards, and what finally did not
    start must have been foreseen, mostly, while its caller could still have tried again.
    """
    site = heavy_surge(has_forecast=False)
    record_by_id = {f"r{number}": record for number, record in enumerate(site.records)}
    predicted = {each: record_by_id[each] for each in site.predicted_at}
    failed = [each for each, record in record_by_id.items() if record.started_at is None]
    assert len(predicted) > 20
    assert sum(not each.is_late for each in predicted.values()) <= 0.05 * len(predicted)
    assert sum(each in predicted for each in failed) >= 0.75 * len(failed)


def test_refused_requests_are_held_for_a_shorter_time_and_no_more_are_late():
    sites = [heavy_surge(has_forecast=has_forecast) for has_forecast in (True, False)]
    refused = [[each for each in site.records if each.refused_at] for site in sites]
    held_s = [
        statistics.mean(each.refused_at - each.arrived_at for each in some) for some in refused
    ]
    late = [sum(each.is_late for each in site.records) for site in sites]
    assert "refused_by_forecast" in {each.code for each in refused[0]}
    assert held_s[0] < 0.8 * held_s[1]
    assert late[0] <= 1.05 * late[1]


def stop_failed(site, flag):
    setattr(site.instance_by_name[FAILED], flag, True)


def thaw(site):
    instance = site.instance_by_name[FAILED]
    instance.is_frozen = False
    for each in site.instances:
        for sender, message in each.held:
            each.receive(sender, message)
        each.held.clear()


def note_figures(site, noted):
    """Note what the other owners pass on of the failed one."""
    failed_hash = messages.key_hash(FAILED)
    failed = {messages.key_hash(each) for each in site.instance_by_name[FAILED].owned}
    for owner in site.owners():
        if owner.name != FAILED:
            known = owner.figures.known(next(iter(owner.owned)))
            noted["digests"] += sum(each.digest.replica in failed for each in known.digests)
            noted["waiting"] += sum(each.owner == failed_hash for each in known.waiting)


def play_failure(*steps):
    """Check that what was passed on of the failed owner expires; return the site."""
    before, after = collections.Counter(), collections.Counter()

    def prepare(site):
        expired_at = FAILS_AT_S + siteforecast.ENTRY_LIFE_S + 0.1
        return (
            (FAILS_AT_S - 0.1, lambda: note_figures(site, before)),
            (expired_at, lambda: note_figures(site, after)),
            *((at_s, functools.partial(step, site)) for at_s, step in steps),
        )

    site = surgesite.play(seconds=9.0, prepare=prepare)
    assert before["digests"]
    assert not +after
    # No request was held beyond the time that it may wait.
    assert all(
        (each.started_at or each.refused_at) - each.arrived_at <= each.kind.wait_s + 1.0
        for each in site.records
    )
    return site


def starts_at_failed_domain(site, after_s):
    begin = site.records[0].arrived_at
    return sum(
        each.domain == "d3" and each.started_at > begin + after_s
        for each in site.records
        if each.started_at
    )


def test_figures_of_a_partitioned_owner_expire():
    # Requests would otherwise be refused because of a queue that nobody at the site can use.
    cut = functools.partial(stop_failed, flag="is_cut_off")
    play_failure((FAILS_AT_S, cut))


def test_frozen_owner_is_used_again_when_it_goes_on():
    # Its messages of the pause arrive late and must not hide that it has room again.
    freeze = functools.partial(stop_failed, flag="is_frozen")
    site = play_failure((FAILS_AT_S, freeze), (FAILS_AT_S + 3.0, thaw))
    assert starts_at_failed_domain(site, FAILS_AT_S + 3.0)


def test_engines_of_an_owner_that_is_gone_are_used_by_the_next_one():
    def move(site):
        site.owner_by_domain["d3"] = "n9"
        site.update()

    cut = functools.partial(stop_failed, flag="is_cut_off")
    site = play_failure((FAILS_AT_S, cut), (FAILS_AT_S + 2.5, move))
    assert starts_at_failed_domain(site, FAILS_AT_S + 2.5)


@pytest.fixture(scope="module", autouse=True)
def forget_plays():
    yield
    surge.cache_clear()
    heavy_surge.cache_clear()
