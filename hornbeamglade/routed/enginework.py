"""Converts a routed request to the form that the engine schedulers use."""

from hornbeamglade.admission import promptbacklog
from hornbeamglade.configuration import models
from hornbeamglade.core import outcomes
from hornbeamglade.routed import callrouter, calls

QUEUE_GOAL_MULTIPLE = 2.5
"""Longest wait for an engine, as a multiple of the route's goal for the time to the first
event. The request is late by then but its caller still waits; much later the caller gives
up, and a longer wait would only delay its retry."""

QUEUE_SHARE = 0.6
"""Longest wait for an engine, as a share of the caller's remaining time; the rest is left for
the run. It binds for requests with a short time limit."""

MIN_PATIENCE_S = 2.0
GOAL_PATIENCE_MULTIPLE = 4.0
GAP_PATIENCE_MULTIPLE = 8.0
"""A caller gives up waiting for the first event after the longest of 2 s, four times the objective
for the first event and eight times the objective for pauses."""

NO_GENERATION = calls.Generation("", 0, 0)


def work(
    routed: callrouter.RoutedRequest, pace: outcomes.PaceObjective | None = None
) -> outcomes.Work:
    """Return the description of a request on which the schedulers decide.

    :param pace: the objective for pauses, or None if it is not placed by pace.
    """
    generation = routed.call.generation or NO_GENERATION
    return outcomes.Work(
        request_id=routed.call.request_id,
        service=routed.route.name,
        team="" if routed.team is None else routed.team.name,
        # Schedulers treat a larger priority as more urgent.
        priority=max(0, models.HIGHEST_PRIORITY - routed.urgency),
        prompt_tokens=generation.prompt_tokens,
        max_tokens=generation.max_tokens or None,
        pace=pace,
    )


def pace(routed: callrouter.RoutedRequest, learned_tokens: float) -> outcomes.PaceObjective | None:
    """Return the objective for pauses of a request, or None if its route has none.

    :param learned_tokens: the mean length of responses of its route and team.
    """
    if routed.route.gap_goal_s is None:
        return None
    generation = routed.call.generation or NO_GENERATION
    expected = generation.expected_tokens or int(learned_tokens)
    if generation.max_tokens:
        expected = min(expected, generation.max_tokens)
    return outcomes.PaceObjective(routed.route.gap_goal_s, routed.route.goal_s, expected)


def latest_start_at(routed: callrouter.RoutedRequest) -> float:
    """Return the latest monotonic time at which a request can start and meet its goal."""
    return routed.call.arrived_at + routed.route.goal_s - _prefill_s(routed)


def latest_useful_start_at(routed: callrouter.RoutedRequest) -> float:
    """Return the latest monotonic time at which a stream can start before its caller gives up."""
    route = routed.route
    patience_s = max(
        MIN_PATIENCE_S,
        GOAL_PATIENCE_MULTIPLE * route.goal_s,
        GAP_PATIENCE_MULTIPLE * (route.gap_goal_s or 0.0),
    )
    # A prompt that takes most of this time to process is started all the same: its estimated
    # prefill time is not exact enough to refuse the request without trying.
    return routed.call.arrived_at + patience_s - min(_prefill_s(routed), patience_s / 2)


def _prefill_s(routed: callrouter.RoutedRequest) -> float:
    generation = routed.call.generation or NO_GENERATION
    return generation.prompt_tokens / promptbacklog.PromptSettings().tokens_per_s


def queue_deadline(routed: callrouter.RoutedRequest, now: float) -> float:
    """Return the monotonic time until which a request waits for an engine."""
    goal_deadline = routed.call.arrived_at + QUEUE_GOAL_MULTIPLE * routed.route.goal_s
    return min(goal_deadline, now + QUEUE_SHARE * (routed.ends_at - now))
