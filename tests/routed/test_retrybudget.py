"""The bound on retries holds in every sliding window, over all nodes."""

import hypothesis
from hypothesis import strategies

from hornbeamglade.routed import retrybudget

SETTINGS = retrybudget.BudgetSettings(ratio=0.2, slack=12.0, window_s=10.0)
NODES = 3
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["request", "retry"]),
        strategies.integers(0, NODES - 1),
        strategies.floats(0.0, 1.5),
    ),
    max_size=300,
)


@hypothesis.given(_STEPS)
@hypothesis.settings(max_examples=60)
def test_bound_holds_in_every_window(steps):
    budgets = [retrybudget.RetryBudgets(SETTINGS) for _ in range(NODES)]
    for budget in budgets:
        budget.set_node_count(NODES)
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
    budget = retrybudget.RetryBudgets(SETTINGS)
    budget.set_node_count(12)
    budget.record_resumed("s", 1.0)
    assert not budget.spend("s", 1.0)


def test_new_settings_apply_at_once():
    budget = retrybudget.RetryBudgets(SETTINGS)
    assert budget.spend("s", 1.0)
    budget.configure(retrybudget.BudgetSettings(0.0, 0.0, 10.0))
    assert not budget.spend("s", 1.0)
