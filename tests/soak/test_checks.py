"""Each violation of a guarantee is detected, and nothing else is reported."""

import dataclasses

import pytest

from hornbeamglade.localsite import routedsite
from hornbeamglade.soak import callerfaults, checks, enginefaults, soaksite
from hornbeamglade.standins import routedcaller

EVENTS = 3
KEY = "clinic-0"


def result(route="list", **changes):
    is_stream = route in ("draft", "tag")
    whole = tuple((number, f"r1.{number}") for number in range(1, EVENTS + 1))
    default_result = routedcaller.CallerResult(
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
    return dataclasses.replace(default_result, **changes)


def run_record(route="list", **changes):
    fields = {
        "request_id": "r1",
        "target": f"/{route}/1?q=2",
        "team": "clinic",
        "names": ["host"],
        "body": "r1",
        "at": 10.1,
        "replica_id": "service-0.1",
    }
    return fields | changes


def violations(
    all_results,
    all_runs,
    fault_records=(),
    revoked=None,
    issued=None,
    evacuated=(),
    limited=(),
    refusals=(),
):
    evidence = checks.Evidence(
        tuple(all_results),
        tuple(all_runs),
        tuple(refusals),
        tuple(fault_records),
        revoked or {},
        issued or {},
        tuple(evacuated),
        tuple(limited),
        {"127.0.0.1:1": "entry-0", "127.0.0.1:2": "entry-1"},
        EVENTS,
    )
    return [each.guarantee for each in checks.violations(evidence)]


@pytest.mark.parametrize("route", ["list", "hold", "draft", "tag"])
def test_a_served_request_violates_nothing(route):
    assert violations([result(route)], [run_record(route)]) == []


FEW, MANY = ((1, "r1.1"),), ((1, "r1.1"), (2, "r1.2"), (2, "r1.2"))


@pytest.mark.parametrize(
    ("response", "runs", "guarantee"),
    [
        (result(body=b"s0:r2"), [run_record()], "own_answer"),
        (result(is_sealed=False), [run_record()], "proved_answer"),
        (result(status=404, is_sealed=False), [], "not_denied"),
        (result("draft", events=MANY), [run_record("draft")], "events_in_order"),
        (result("draft", events=FEW), [run_record("draft")], "whole_only_when_whole"),
        (result("hold"), [run_record("hold"), run_record("hold")], "run_as_often_as_allowed"),
        (result("draft"), [run_record("draft"), run_record("draft")], "run_as_often_as_allowed"),
        (result(), [run_record(), run_record(), run_record()], "run_as_often_as_allowed"),
        (result("hold", status=503, is_sealed=False), [run_record("hold")], "not_run_is_true"),
        (result(), [run_record(team="court")], "own_team"),
        (result(), [run_record(names=["authorization"])], "nothing_reserved_passes"),
        (result(), [run_record(body="other")], "passes_unchanged"),
        (result(status=401, is_sealed=False), [], "valid_key_is_let_in"),
        (result(), [run_record(), run_record(request_id="r9")], "nothing_unasked_runs"),
    ],
)
def test_a_violated_guarantee_is_named(response, runs, guarantee):
    assert guarantee in violations([response], runs)


def stream_of(version, numbers=(1, 2, 3), request_id="r1", **changes):
    events = tuple((number, f"{request_id}.{number} {version}") for number in numbers)
    return result("tag", request_id=request_id, events=events, **changes)


@pytest.mark.parametrize(
    ("version", "expected"), [("v1", []), ("v1.10", ["one_version_a_stream"])]
)
def test_events_of_two_versions_over_a_caller_s_attempts_are_a_violation(version, expected):
    resumption = routedcaller.Resumption("r1", 1)
    first = stream_of("v1", numbers=(1,), is_whole=False)
    second = stream_of(version, (2, 3), "r2", resumption=resumption)
    runs = [run_record("tag"), run_record("tag", request_id="r2", body="r2")]
    assert violations([first, second], runs) == expected


@pytest.mark.parametrize(("count", "expected"), [(8, []), (9, ["fatal_part_is_refused"])])
def test_part_of_prompts_may_crash_eight_engines_at_most(count, expected):
    ids = [f"{enginefaults.FATAL_PREFIX}1.dead2-{number}" for number in range(count)]
    results = [
        result("tag", request_id=each, status=502, is_sealed=False, events=()) for each in ids
    ]
    served = [
        result(request_id=f"ok{number}", body=f"s:ok{number}".encode()) for number in range(9)
    ]
    runs = [run_record("tag", request_id=each, body=each) for each in ids]
    runs += [run_record(request_id=each.request_id, body=each.request_id) for each in served]
    assert violations([*results, *served], runs) == expected


def test_stream_that_was_taken_up_begins_after_the_event_that_its_caller_has():
    second = stream_of("v1", (3,), "r2", resumption=routedcaller.Resumption("r1", 1))
    runs = [run_record("tag", request_id="r2", body="r2")]
    assert violations([second], runs) == ["events_in_order", "whole_only_when_whole"]


def test_revoked_key_must_be_refused_after_its_bound():
    revoked = {KEY: 10.0 - checks.KEY_BOUND_S - 0.5}
    assert violations([result()], [run_record()], revoked=revoked) == ["taken_key_is_refused"]
    store_down = soaksite.FaultRecord("StoreFails", "store", 8.0, 9.0)
    assert (
        violations([result()], [run_record()], fault_records=[store_down], revoked=revoked) == []
    )


def test_refused_key_must_not_be_accepted_again_by_the_same_incarnation():
    refused = result(status=401, is_sealed=False, sent_at=9.0, ended_at=9.1)
    later = result(sent_at=9.5)
    revoked = {KEY: 8.9}
    assert violations([refused, later], [run_record()], revoked=revoked) == [
        "configuration_never_goes_back"
    ]
    instance_killed = soaksite.FaultRecord("InstanceKilled", "entry-0", 9.2, 9.4)
    assert (
        violations(
            [refused, later], [run_record()], fault_records=[instance_killed], revoked=revoked
        )
        == []
    )


def test_a_site_that_refuses_everything_is_a_violation():
    """Guards against a pass of a run in which instances ignored the list and refused all."""
    refused = result(status=503, is_sealed=False, body=b"")
    assert violations([refused] * 10, []) == ["serves"]


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
def test_runs_in_an_evacuated_domain_after_the_bound_are_reported(at, domain, expected):
    evacuated = soaksite.Evacuated(domain, accepted_at=1.0, ended_at=9.0)
    assert violations([result(sent_at=at)], [run_record(at=at)], evacuated=[evacuated]) == expected


def test_an_instance_with_a_fault_may_not_know_of_an_evacuation():
    evacuated = soaksite.Evacuated(DOMAIN, accepted_at=1.0, ended_at=9.0)
    instance_paused = soaksite.FaultRecord("InstancePaused", "entry-0", 5.0, 6.5)
    assert (
        violations(
            [result(sent_at=7.0)], [run_record(at=7.0)], [instance_paused], evacuated=[evacuated]
        )
        == []
    )


def fatal_runs(*times):
    return [
        run_record("hold", request_id=f"fatal-{at}", body=routedsite.FATAL_BODY, at=at)
        for at in times
    ]


def test_repeated_routing_of_a_crashing_request_is_reported():
    baseline = [result()], [run_record()]
    within = fatal_runs(1.0, 2.0, 3.0, 3.5, 7.0, 8.0, 9.0)
    assert violations(baseline[0], baseline[1] + within) == []
    beyond = [*within, *fatal_runs(10.0)]
    assert violations(baseline[0], baseline[1] + beyond) == ["fatal_request_is_refused"]
    instance_killed = soaksite.FaultRecord("InstanceKilled", "entry-0", 6.0, 6.5)
    assert violations(baseline[0], baseline[1] + beyond, fault_records=[instance_killed]) == []


def test_requests_beyond_a_server_s_limit_are_reported():
    limited = soaksite.Limited("service-0.1", 1.0, began_at=0.0, ended_at=20.0)
    within = [run_record(at=5.0 + number / 10) for number in range(11)]
    results = [
        result(request_id=f"r{number}", body=f"s0:r{number}".encode()) for number in range(12)
    ]
    runs = [
        {**each, "request_id": f"r{number}", "body": f"r{number}"}
        for number, each in enumerate([*within, run_record(at=6.2)])
    ]
    assert violations(results, runs[:11], limited=[limited]) == []
    assert violations(results, runs, limited=[limited]) == ["limit_is_kept_to"]
    early = [{**each, "at": each["at"] - 4.5} for each in runs]
    assert violations(results, early, limited=[limited]) == []


def test_requests_sent_after_a_response_stated_leaving_are_reported():
    stating = result(leaving_replica="service-0.1", sent_at=9.0, ended_at=10.0)
    soon = result(request_id="r2", body=b"s0:r2", sent_at=11.9)
    late = result(request_id="r3", body=b"s0:r3", sent_at=12.1)
    runs = [
        run_record(request_id=each.request_id, body=each.request_id, at=each.sent_at + 0.1)
        for each in (stating, soon, late)
    ]
    assert violations([stating, soon, late], runs) == ["nothing_new_when_leaving"]
    assert violations([stating, soon], runs[:2]) == []
    elsewhere = dataclasses.replace(late, address="127.0.0.1:2")
    assert violations([stating, soon, elsewhere], runs) == []
    paused = soaksite.FaultRecord("InstancePaused", "entry-0", 11.0, 11.5)
    assert violations([stating, soon, late], runs, [paused]) == []
    other_paused = dataclasses.replace(paused, component="entry-1")
    assert violations([stating, soon, late], runs, [other_paused]) == ["nothing_new_when_leaving"]


def test_falls_of_servers_that_tolerate_few_refusals_are_reported():
    fell = {"request_id": "r1", "replica_id": "s", "retry_after": "", "fell": True}
    falls = [{**fell, "at": 12.0 + number} for number in range(3)]
    fault = soaksite.FaultRecord("ServersTolerateFew", "services", 10.0, 16.0)
    assert violations([result()], [run_record()], [fault], refusals=falls) == [
        "tolerance_is_kept_to"
    ]
    assert violations([result()], [run_record()], [fault], refusals=falls[:2]) == []
    restarted = soaksite.FaultRecord("InstanceKilled", "entry-1", 11.0, 12.0)
    assert violations([result()], [run_record()], [fault, restarted], refusals=falls) == []


def test_partitioned_instance_that_serves_far_less_than_the_others_is_reported():
    def answered(number, status, address):
        name = f"r{number}"
        body = f"s0:{name}".encode() if status == 200 else b""
        return result(
            request_id=name,
            status=status,
            is_sealed=status == 200,
            body=body,
            address=address,
            sent_at=14.0,
            ended_at=14.5,
        )

    cut, others = "127.0.0.1:1", "127.0.0.1:2"
    results = [answered(number, 503, cut) for number in range(15)]
    results += [answered(number, 200, others) for number in range(15, 30)]
    runs = [
        run_record(request_id=f"r{number}", body=f"r{number}", at=14.1) for number in range(15, 30)
    ]
    fault = soaksite.FaultRecord("InstancePartitioned", "links-of-entry-0", 10.0, 16.0)
    assert violations(results, runs, [fault]) == ["serves_when_partitioned"]
    late = dataclasses.replace(fault, began_at=12.0)
    assert violations(results, runs, [late]) == []
    store_down = soaksite.FaultRecord("StoreFails", "store", 11.0, 12.0)
    assert violations(results, runs, [fault, store_down]) == []


def test_requests_that_a_stopped_instance_left_unanswered_are_reported():
    lost = result(status=None, is_whole=False, is_sealed=False, body=b"", error=checks.CLOSED)
    served = [result(request_id="r2", body=b"s0:r2")]
    runs = [run_record(), run_record(request_id="r2", body="r2")]
    stop = soaksite.FaultRecord("InstanceStopped", "entry-0", 10.5, 11.5)
    assert violations([lost, *served], runs, [stop]) == ["stops_answer"]
    assert violations([lost, *served], runs[1:], [stop]) == []
    assert violations([lost, *served], runs) == []
    other = dataclasses.replace(stop, component="entry-1")
    assert violations([lost, *served], runs, [other]) == []
    killed = dataclasses.replace(stop, name="InstanceKilled")
    assert violations([lost, *served], runs, [stop, killed]) == []
    in_time = dataclasses.replace(lost, error="ReadTimeoutError")
    assert violations([in_time, *served], runs, [stop]) == []


def test_requests_beyond_the_allowed_ones_in_a_named_time_are_reported():
    refused = {"request_id": "r0", "at": 10.0, "replica_id": "service-0.1", "retry_after": "3"}
    results = [result(request_id="r0", status=503, is_sealed=False, body=b"", sent_at=9.9)]
    results += [
        result(request_id=f"r{n}", body=f"s0:r{n}".encode(), sent_at=11.0 + n) for n in (1, 2, 3)
    ]
    times = {"r1": 10.6, "r2": 11.0, "r3": 12.9}
    runs = [run_record(request_id=name, body=name, at=at) for name, at in times.items()]
    assert violations(results, runs, refusals=[refused]) == ["backoff_is_kept"]
    early = [{**each, "at": 10.4} if each["request_id"] == "r1" else each for each in runs]
    assert violations(results, early, refusals=[refused]) == []
    timeless = {**refused, "retry_after": ""}
    assert violations(results, runs, refusals=[timeless]) == []
    link_reset = soaksite.FaultRecord("LinkReset", "service-0", 10.2, 10.4)
    assert violations(results, runs, [link_reset], refusals=[refused]) == []
    other_reset = dataclasses.replace(link_reset, component="service-1")
    assert violations(results, runs, [other_reset], refusals=[refused]) == ["backoff_is_kept"]


@pytest.mark.parametrize("status", sorted(checks.NOT_RUN))
def test_a_replica_s_own_status_that_denies_its_run_is_reported(status):
    """Guards against passing on a sealed 503 of a server that ran the request."""
    passed_on = result("hold", status=status, body=b"s0:r1")
    assert "not_run_is_true" in violations([passed_on], [run_record("hold")])


def many(route, served, count, prefix="x", key=KEY):
    """Return results of which some were served, as far as shares are concerned."""
    return [
        result(
            route,
            request_id=f"{prefix}-{route}-{key}-{number}",
            key=key,
            status=200 if number < served else 503,
            is_sealed=False,
            events=(),
            body=b"",
        )
        for number in range(count)
    ]


def shares(results):
    found = violations(results, [])
    return [each for each in found if each in ("urgent_is_served_first", "nothing_starves")]


def test_urgent_requests_that_are_served_less_often_are_reported():
    assert shares(many("rush", 60, 100) + many("draft", 95, 100)) == ["urgent_is_served_first"]
    assert shares(many("rush", 88, 100) + many("draft", 95, 100)) == []
    assert shares(many("rush", 95, 100) + many("draft", 60, 100)) == []
    assert shares(many("rush", 0, 5) + many("draft", 95, 100)) == []


def test_routes_and_teams_that_starve_are_reported():
    assert shares(many("list", 95, 100) + many("hold", 10, 100)) == ["nothing_starves"]
    assert shares(many("list", 95, 100) + many("hold", 60, 100)) == []
    starved_team = many("list", 95, 100) + many("list", 10, 100, key="court-0")
    assert shares(starved_team) == ["nothing_starves"]
    unreading = many("hold", 0, 100, prefix=callerfaults.SLOW_PREFIX, key="court-0")
    assert shares(many("list", 95, 100) + unreading) == []


def test_services_that_differ_in_what_they_can_serve_do_not_starve_each_other():
    """Guards against excusing no outage of all engines while plain services go on."""
    assert shares(many("list", 95, 100) + many("tag", 10, 100)) == []


@pytest.mark.parametrize(
    ("unread_until", "replica_id", "expected"),
    [
        ((12.0,), "engine-1.1", ["one_engine_at_a_time"]),
        ((12.0, 11.0), "engine-1.1", ["one_engine_at_a_time"]),
        ((12.0, 10.1), "engine-1.1", []),
        ((10.3,), "engine-1.1", []),
        ((12.0,), "e", []),
    ],
)
def test_run_that_continues_while_another_engine_works_on_it_is_detected(
    unread_until, replica_id, expected
):
    continuations = (
        *({"request_id": "r1", "unread_until": at, "replica_id": "e"} for at in unread_until),
        {"request_id": "r1", "continued_at": 10.0, "replica_id": replica_id},
    )
    evidence = checks.Evidence((), (), (), (), {}, {}, (), (), {}, EVENTS, continuations)
    assert [each.guarantee for each in checks.violations(evidence)] == expected
