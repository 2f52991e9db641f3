"""Slow factors of owned engines at their schedulers, and the log of changes."""

import types

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.entry import enginepaces
from hornbeamglade.grants import schedulerset
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.observability import logs
from hornbeamglade.replicas import models
from hornbeamglade.speeds import enginespeeds, outlook
from tests.routed import test_enginecatalog

ENGINE = models.Replica("e0", "llm", "10.0.0.1:1", "a", 8)


class Paces:
    def __init__(self):
        self.token_s = 0.006
        self.engines = [ENGINE]
        self.schedulers = schedulerset.SchedulerSet(
            clocks.ManualClock(), lengthmodel.LengthModel()
        )
        self.schedulers.configure({"e0": test_enginecatalog.SPEC})
        catalog = types.SimpleNamespace(outlook=self._outlook)
        self.paces = enginepaces.EnginePaces(lambda: self.engines, catalog, self.schedulers)

    def _outlook(self, replica):
        if self.token_s is None:
            return None
        pool = outlook.pool_outlook([enginespeeds.Pace(0.006)], 4)
        return outlook.EngineOutlook(pool, enginespeeds.Pace(self.token_s))

    def update(self, token_s):
        self.token_s = token_s
        self.paces.update()

    def wait_s(self):
        found = []
        self.schedulers.apply("e0", lambda each, now: found.append(each.prompts.wait_s(now)))
        return found[0]


@pytest.fixture
def changes(monkeypatch):
    found = []
    monkeypatch.setattr(logs, "state_changed", lambda *states, **_: found.append(states))
    return found


def test_prompts_of_a_slow_engine_take_longer_until_it_is_normal_again(changes):
    """Requests waited behind prompts of more than the bound of 0.8 s at a slow engine."""
    site = Paces()
    site.schedulers.apply("e0", lambda each, now: each.prompts.add(7000, now))
    waits = []
    for token_s in (0.006, 0.012, None):
        site.update(token_s)
        waits.append(site.wait_s())
    assert waits == pytest.approx([1.0, 2.0, 1.0])


def test_engine_near_the_bound_is_logged_once(changes):
    """One line per change of belief, not one per measurement."""
    site = Paces()
    for token_s in (0.006, 0.012, 0.0085, 0.0095, 0.006):
        site.update(token_s)
    real = [states for states in changes if states[1] != states[2]]
    assert real == [("engine_pace", "normal", "slow"), ("engine_pace", "slow", "normal")]


def test_replaced_engine_is_not_counted(changes):
    """The gauge would grow with every slow engine that departed."""
    site = Paces()
    site.update(0.012)
    assert site.paces.slow_count("llm") == 1
    site.engines = []
    site.paces.update()
    assert site.paces.slow_count("llm") == 0
