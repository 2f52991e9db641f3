"""Each promise is seen to be broken when it is, and only then."""

import dataclasses

import pytest

from hornbeamglade.localsite import routedsite
from hornbeamglade.soak import checks, stage
from hornbeamglade.standins import routedcaller

EVENTS = 3
KEY = "clinic-0"


def seen(route="list", **changes):
    is_stream = route in ("draft", "tag")
    whole = tuple((number, f"r1.{number}") for number in range(1, EVENTS + 1))
    told = routedcaller.Seen(
        request_id="r1",
        route=route,
        key=KEY,
        address="127.0.0.1:1",
        sent_at=10.0,
        ended_at=11.0,
        status=200,
        is_whole=True,
        is_sealed=True,
        body=b"" if is_stream else b"s0:r1",
        events=whole if is_stream else (),
    )
    return dataclasses.replace(told, **changes)


def ran(route="list", **changes):
    told = {
        "request_id": "r1",
        "target": f"/{route}/1?q=2",
        "team": "clinic",
        "names": ["host"],
        "body": "r1",
        "at": 10.1,
        "replica_id": "service-0.1",
    }
    return told | changes


def broken(all_seen, all_ran, done=(), taken=None, given=None, evacuated=(), limited=()):
    evidence = checks.Evidence(
        tuple(all_seen),
        tuple(all_ran),
        tuple(done),
        taken or {},
        given or {},
        tuple(evacuated),
        tuple(limited),
        EVENTS,
    )
    return [each.promise for each in checks.broken(evidence)]


@pytest.mark.parametrize("route", ["list", "hold", "draft", "tag"])
def test_a_request_that_was_served_breaks_nothing(route):
    assert broken([seen(route)], [ran(route)]) == []


FEW, MANY = ((1, "r1.1"),), ((1, "r1.1"), (2, "r1.2"), (2, "r1.2"))


@pytest.mark.parametrize(
    ("answer", "runs", "promise"),
    [
        (seen(body=b"s0:r2"), [ran()], "own_answer"),
        (seen(is_sealed=False), [ran()], "proved_answer"),
        (seen(status=404, is_sealed=False), [], "not_denied"),
        (seen("draft", events=MANY), [ran("draft")], "events_in_order"),
        (seen("draft", events=FEW), [ran("draft")], "whole_only_when_whole"),
        (seen("hold"), [ran("hold"), ran("hold")], "run_as_often_as_allowed"),
        (seen("draft"), [ran("draft"), ran("draft")], "run_as_often_as_allowed"),
        (seen(), [ran(), ran(), ran()], "run_as_often_as_allowed"),
        (seen("hold", status=503, is_sealed=False), [ran("hold")], "not_run_is_true"),
        (seen(), [ran(team="court")], "own_team"),
        (seen(), [ran(names=["authorization"])], "nothing_reserved_passes"),
        (seen(), [ran(body="other")], "passes_unchanged"),
        (seen(status=401, is_sealed=False), [], "valid_key_is_let_in"),
        (seen(), [ran(), ran(request_id="r9")], "nothing_unasked_runs"),
    ],
)
def test_a_promise_that_is_broken_is_named(answer, runs, promise):
    assert promise in broken([answer], runs)


def test_key_that_was_taken_away_is_refused_by_its_bound():
    taken = {KEY: 10.0 - checks.KEY_BOUND_S - 0.5}
    assert broken([seen()], [ran()], taken=taken) == ["taken_key_is_refused"]
    away = stage.Done("StoreFails", "store", 8.0, 9.0)
    assert broken([seen()], [ran()], done=[away], taken=taken) == []


def test_key_that_was_refused_is_not_let_in_again_in_one_life():
    refused = seen(status=401, is_sealed=False, sent_at=9.0, ended_at=9.1)
    later = seen(sent_at=9.5)
    taken = {KEY: 8.9}
    assert broken([refused, later], [ran()], taken=taken) == ["configuration_never_goes_back"]
    killed = stage.Done("InstanceKilled", "entry-0", 9.2, 9.4)
    assert broken([refused, later], [ran()], done=[killed], taken=taken) == []


def test_a_site_that_refuses_everything_is_no_success():
    """The instances took no entry of the list, and a run of refusals alone broke nothing."""
    refused = seen(status=503, is_sealed=False, body=b"")
    assert broken([refused] * 10, []) == ["serves"]


DOMAIN = routedsite.domain_of("service-0")


@pytest.mark.parametrize(
    ("at", "domain", "expected"),
    [
        (7.0, DOMAIN, ["nothing_new_when_evacuated"]),
        (4.9, DOMAIN, []),
        (9.1, DOMAIN, []),
        (7.0, "another", []),
    ],
)
def test_what_runs_in_an_evacuated_domain_after_the_bound_is_seen(at, domain, expected):
    evacuated = stage.Evacuated(domain, taken_at=1.0, taken_back_at=9.0)
    assert broken([seen(sent_at=at)], [ran(at=at)], evacuated=[evacuated]) == expected


def test_an_instance_that_is_hurt_meanwhile_may_not_know_of_an_evacuation():
    evacuated = stage.Evacuated(DOMAIN, taken_at=1.0, taken_back_at=9.0)
    cut = stage.Done("InstancePaused", "entry-0", 5.0, 6.5)
    assert broken([seen(sent_at=7.0)], [ran(at=7.0)], [cut], evacuated=[evacuated]) == []


def fatal_runs(*times):
    return [
        ran("hold", request_id=f"fatal-{at}", body=routedsite.FATAL_BODY, at=at) for at in times
    ]


def test_a_request_that_crashes_servers_is_seen_to_be_sent_on():
    served = [seen()], [ran()]
    within = fatal_runs(1.0, 2.0, 3.0, 3.5, 7.0, 8.0, 9.0)
    assert broken(served[0], served[1] + within) == []
    beyond = [*within, *fatal_runs(10.0)]
    assert broken(served[0], served[1] + beyond) == ["fatal_request_is_refused"]
    killed = stage.Done("InstanceKilled", "entry-0", 6.0, 6.5)
    assert broken(served[0], served[1] + beyond, done=[killed]) == []


def test_a_server_that_gets_more_than_it_named_is_seen():
    limited = stage.Limited("service-0.1", 1.0, began_at=0.0, ended_at=20.0)
    within = [ran(at=5.0 + number / 10) for number in range(11)]
    asked = [seen(request_id=f"r{number}", body=f"s0:r{number}".encode()) for number in range(12)]
    runs = [
        {**each, "request_id": f"r{number}", "body": f"r{number}"}
        for number, each in enumerate([*within, ran(at=6.2)])
    ]
    assert broken(asked, runs[:11], limited=[limited]) == []
    assert broken(asked, runs, limited=[limited]) == ["limit_is_kept_to"]
    early = [{**each, "at": each["at"] - 4.5} for each in runs]
    assert broken(asked, early, limited=[limited]) == []
