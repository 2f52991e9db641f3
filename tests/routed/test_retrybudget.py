"""The bound on retries holds in every sliding window, over all nodes."""

import bisect

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.routed import retrybudget

SETTINGS = retrybudget.BudgetSettings(ratio=0.2, slack=12.0, window_s=10.0)
NODES = 3
LONG_AGO = -100.0
STEP_S = 0.5
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["request", "retry"]),
        strategies.integers(0, NODES - 1),
        strategies.floats(0.0, 1.5),
    ),
    max_size=300,
)


def budget_of(nodes, settings=SETTINGS):
    budget = retrybudget.RetryBudgets(settings, LONG_AGO)
    budget.set_node_count(nodes, LONG_AGO)
    return budget


@hypothesis.given(_STEPS)
@hypothesis.settings(max_examples=60)
def test_bound_holds_in_every_window(steps):
    budgets = [budget_of(NODES) for _ in range(NODES)]
    now = 0.0
    requests, retries = [], []
    for kind, node, pause_s in steps:
        now += pause_s
        if kind == "request":
            budgets[node].record_request("s", now)
            requests.append(now)
        elif budgets[node].spend("s", now):
            retries.append(now)
    for end in retries:
        start = end - SETTINGS.window_s
        spent = sum(start < at <= end for at in retries)
        # The most requests in the window itself or in one up to a window length earlier.
        counts = [
            sum(start - back < at <= end - back for at in requests)
            for back in (0.0, SETTINGS.window_s / 2, SETTINGS.window_s)
        ]
        assert spent <= SETTINGS.ratio * max(counts) + SETTINGS.slack + 1e-6


def test_resumed_runs_are_counted_but_never_refused():
    budget = budget_of(12)
    budget.record_resumed("s", 1.0)
    assert not budget.spend("s", 1.0)


def test_new_settings_apply_at_once():
    budget = budget_of(1)
    assert budget.spend("s", 1.0)
    budget.configure(retrybudget.BudgetSettings(0.0, 0.0, 10.0), 1.0)
    assert not budget.spend("s", 1.0)


@pytest.mark.parametrize("window_s", [5.0, 20.0])
def test_new_window_length_does_not_refill_the_slack(window_s):
    """Each change of the window's length forgot what had been spent."""
    budget = budget_of(1)
    spent = 0
    for step in range(9):
        while budget.spend("s", float(step)):
            spent += 1
        settings = retrybudget.BudgetSettings(0.0, SETTINGS.slack, window_s + step / 100)
        budget.configure(settings, float(step))
    assert spent <= SETTINGS.slack


@pytest.mark.parametrize("nodes", [6, 60, 360])
@pytest.mark.parametrize("at_once", [1, 2, None])
@pytest.mark.parametrize("is_listed", [False, True])
def test_bound_holds_while_processes_are_replaced(nodes, at_once, is_listed):
    """A new process spent the whole slack until it knew its peers, and its own part again then."""
    settings = retrybudget.BudgetSettings(0.0, 4.0 * nodes, SETTINGS.window_s)
    budgets = [budget_of(nodes, settings) for _ in range(nodes)]
    retries = []
    for step in range(120):
        now = step * STEP_S
        # From 15 s on the next ones are replaced every 3 s, and are away for 1.5 s.
        turn, phase = divmod(step - 30, 6)
        first = turn * (at_once or nodes) % nodes
        chosen = range(first, first + (at_once or nodes))
        for number in chosen if turn >= 0 else ():
            if phase == 0:
                budgets[number % nodes] = None
            elif phase == 3:
                budgets[number % nodes] = retrybudget.RetryBudgets(settings, now)
        running = [budget for budget in budgets if budget is not None]
        for budget in running:
            while budget.spend("s", now):
                retries.append(now)
            budget.set_node_count(nodes if is_listed else len(running), now)
    assert retries
    for number, end in enumerate(retries, start=1):
        before = bisect.bisect_right(retries, end - settings.window_s)
        assert number - before <= settings.slack
