"""Which services' waiting requests are ordered over the whole site."""

import pytest

from hornbeamglade.routes import models, objectives


def route(goal_s, *splits):
    kind = models.RouteKind.STREAM
    return models.Route("r", "a.example", "/", kind, splits, 20.0, goal_s, 0, 1)


@pytest.mark.parametrize(("goal_s", "is_mixed"), [(1.5, False), (2.9, False), (3.0, True)])
def test_objectives_are_mixed_from_a_factor_of_two(goal_s, is_mixed):
    routes = (route(1.5, models.Split("chat", 1)), route(goal_s, models.Split("chat", 1)))
    assert objectives.has_mixed_objectives("chat", routes) is is_mixed


def test_a_split_without_weight_does_not_change_how_a_service_is_served():
    # A route that is prepared with weight 0 sends nothing to the service.
    routes = (route(1.5, models.Split("chat", 1)), route(9.0, models.Split("chat", 0)))
    assert not objectives.has_mixed_objectives("chat", routes)


def test_a_service_on_shared_machines_is_coordinated_without_mixed_objectives():
    services = objectives.CoordinatedServices(lambda service: service == "shared")
    services.configure((route(1.5, models.Split("chat", 1)),))
    assert services.includes("shared")
    assert not services.includes("chat")
