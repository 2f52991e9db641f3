"""The owner's state of its engines' paces."""

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.speeds import enginespeeds, pacemeter


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def speeds(clock):
    return enginespeeds.EngineSpeeds(clock, lambda service: service == "shared")


def test_only_configured_services_on_shared_machines_are_measured(speeds):
    """All other services are served as before."""
    speeds.configure({"shared": 4, "dedicated": 4})
    enabled = [speeds.make_meter(each) is not None for each in ("shared", "dedicated", "unknown")]
    assert enabled == [True, False, False]


def test_longest_pause_expires_before_the_pace(clock, speeds):
    """One pause would keep long responses from an engine for its whole life."""
    speeds.observe("e1", pacemeter.Measurement(8_000, 400))
    clock.advance(6.0)
    assert speeds.pace("e1") == enginespeeds.Pace(0.008, 0.4)
    clock.advance(6.0)
    assert speeds.pace("e1") == enginespeeds.Pace(0.008)


@pytest.mark.parametrize("wrong", [0, -1, 10**9])
def test_wrong_figures_are_not_used(clock, speeds, wrong):
    """One wrong message would make an engine seem infinitely fast or slow."""
    speeds.observe("e1", pacemeter.Measurement(wrong, wrong))
    clock.advance(5.0)
    assert speeds.pace("e1") is None


def test_engines_are_bounded_and_forgotten(speeds):
    """Engines are replaced every 20 s, and the table would grow without limit."""
    for number in range(enginespeeds.MAX_ENGINES + 1):
        speeds.observe(f"e{number}", pacemeter.Measurement(8_000, 10))
    assert speeds.pace(f"e{enginespeeds.MAX_ENGINES}") is None
    speeds.retain({"e1"})
    assert speeds.pace("e0") is None
    assert speeds.pace("e1") is not None
