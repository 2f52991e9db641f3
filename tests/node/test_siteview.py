import types

import pytest

from hornbeamglade.configuration import models
from hornbeamglade.node import siteview

SITE = {
    "site": "krakow",
    "services": {
        "drafts": {
            "kind": "generation",
            "pool": "engines",
            "model": "draft",
            "max_body_bytes": 50,
        },
        "holds": {"kind": "plain", "pool": "counter", "max_body_bytes": 70},
    },
    "pools": {},
    "teams": {
        "clerks": {"key_hashes": [], "services": ["drafts"], "weight": 3.0, "priority": 2},
        "scheduler": {"key_hashes": []},
    },
}


@pytest.fixture(scope="module")
def view():
    site = models.SiteConfiguration(
        site=SITE["site"],
        service_by_name={name: models.Service(**each) for name, each in SITE["services"].items()},
        pool_by_name={},
        team_by_name={name: models.Team(**each) for name, each in SITE["teams"].items()},
    )
    return siteview.derive(
        types.SimpleNamespace(revision=types.SimpleNamespace(number=7), site=site)
    )


def test_generations_are_found_by_their_model(view):
    assert (view.revision, view.service_by_model) == (7, {"draft": "drafts"})


def test_the_maximum_body_size_of_any_service_is_returned(view):
    assert view.max_body_bytes() == 70


def test_a_team_may_call_only_its_services(view):
    assert view.permitted("clerks", "drafts").model == "draft"
    assert view.permitted("clerks", "holds").code == "service_not_permitted"
    assert view.permitted("scheduler", "holds").kind == "plain"
    assert view.permitted("scheduler", "none").code == "service_unknown"


def test_limits_are_taken_from_the_teams(view):
    limit = {each.name: each for each in view.team_limits()}["clerks"]
    assert (limit.weight, limit.priority, limit.requests_in_flight) == (3.0, 2, 64)


def test_a_node_without_a_configuration_returns_a_retry_time():
    refusal = siteview.not_ready("config_missing")
    assert (refusal.http_status, refusal.retry_after_s) == (503, siteview.NOT_READY_RETRY_S)
