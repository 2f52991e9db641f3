"""Routing of requests to a route, team and service."""

import dataclasses

import pytest

from hornbeamglade.core import outcomes
from hornbeamglade.platform import requestdialect
from hornbeamglade.quarantine import lostruns
from hornbeamglade.routed import callrouter, views
from hornbeamglade.routes import models
from tests.routed import fakes

LIMITS = models.CallerLimits(1000, 1000, 1.0, 1.0)
SERVICE = models.Service("s", "/healthz", 10, None)


def view(*routes, teams=()):
    configuration = models.Configuration(3, routes, {"s": SERVICE}, LIMITS, teams)
    return views.RouteView(configuration)


def route_request(route_view, *fields, target=b"/r/1"):
    call = requestdialect.PlatformDialect().parse_request(fakes.request("r1", target, *fields))
    return callrouter.route(call, route_view)


def test_request_is_routed():
    found = route_request(view(fakes.route()))
    assert (found.route.name, found.service, found.team, found.revision) == ("r", SERVICE, None, 3)


def test_before_the_first_configuration_requests_are_refused_temporarily():
    """A node that has just started knows no route.

    A 404 would tell the caller that the route does not exist, and it would not retry.
    """
    refusal = route_request(None)
    assert (refusal.http_status, refusal.code) == (503, "no_configuration")
    assert refusal.retry_after_s


@pytest.mark.parametrize("target", [b"/", b"/r", b"/x/1"])
def test_path_without_a_matching_route_is_not_found(target):
    assert route_request(view(fakes.route()), target=target).http_status == 404


@pytest.mark.parametrize(
    ("is_public", "fields", "status"),
    [
        (False, (), 401),
        (False, ((b"Authorization", b"Bearer no"),), 401),
        (False, ((b"Authorization", b"Bearer k1"),), None),
        (True, (), None),
        (True, ((b"Authorization", b"Bearer no"),), None),
    ],
)
def test_key_is_needed_unless_the_route_is_public(is_public, fields, status):
    teams = (models.Team("clinic", frozenset(("k1",))),)
    found = route_request(view(fakes.route(is_public=is_public), teams=teams), *fields)
    assert (found.http_status if isinstance(found, outcomes.Refusal) else None) == status


def test_team_urgency_overrides_the_routes():
    teams = (models.Team("clinic", frozenset(("k1",)), 4), models.Team("city", frozenset(("k2",))))
    route_view = view(fakes.route(urgency=2), teams=teams)
    ranks = [
        route_request(route_view, (b"Authorization", f"Bearer {key}".encode()))
        for key in ("k1", "k2")
    ]
    assert [found.urgency for found in ranks] == [4, 2]


def test_shorter_of_the_callers_and_the_routes_timeout_applies():
    route_view = view(fakes.route(timeout_s=2.0))
    assert route_request(route_view, (b"Deadline-Ms", b"1500")).ends_at == 1.5
    assert route_request(route_view, (b"Deadline-Ms", b"2500")).ends_at == 2.0


def route_attempt(route_view, request_id, *fields):
    request = fakes.request(request_id, b"/r/1", *fields)
    return callrouter.route(requestdialect.PlatformDialect().parse_request(request), route_view)


def test_stream_is_taken_up_at_the_service_that_its_first_attempt_was_routed_to():
    """A route is split: a stream of one service goes on at another one."""
    split = fakes.route(splits=(models.Split("s", 1), models.Split("t", 1)))
    services = {name: dataclasses.replace(SERVICE, name=name) for name in "st"}
    routes = views.RouteView(models.Configuration(3, (split,), services, LIMITS, ()))
    for number in range(20):
        first = f"first{number}"
        fields = ((b"Resumes", first.encode()), (b"Last-Event-Id", b"4"))
        began = route_attempt(routes, first).service
        assert route_attempt(routes, "again", *fields).service == began
        # Without an event nothing is taken up.
        assert route_attempt(routes, "again", fields[0]).service == (
            route_attempt(routes, "again").service
        )


@pytest.mark.parametrize(
    ("listed", "shared"), [("a:1,b:2,c:3", ("a", "b")), ("a:1", None), (None, None)]
)
def test_last_part_of_a_prompt_is_not_taken_for_one_that_others_contain(listed, shared):
    fields = [(b"Model", b"m"), (b"Token-Usage", b"6,10")]
    fields += [(b"Prompt-Prefix", listed.encode())] if listed else []
    prompt = route_request(view(fakes.route()), *fields).prompt
    expected = shared and tuple(lostruns.part_hash("s", each) for each in shared)
    assert (prompt and prompt.parts) == expected
