"""A routed request as the engines' schedulers see it."""

from hornbeamglade.admission import promptbacklog
from hornbeamglade.configuration import models
from hornbeamglade.core import outcomes
from hornbeamglade.routed import callrouter, calls

QUEUE_GOAL_MULTIPLE = 2.5
"""A request waits for an engine for so many times the time to its first event that is on
time. It is late by then but still wanted; much later its caller gives up, and the wait
would only have kept it from coming back."""

QUEUE_SHARE = 0.6
"""Of the caller's time left, for a short request: the rest is for its run."""

NO_GENERATION = calls.Generation("", 0, 0)


def work(routed: callrouter.RoutedRequest) -> outcomes.Work:
    """Return what the schedulers decide by."""
    generation = routed.call.generation or NO_GENERATION
    return outcomes.Work(
        request_id=routed.call.request_id,
        service=routed.route.name,
        team="" if routed.team is None else routed.team.name,
        # The schedulers' larger priority is the more urgent.
        priority=max(0, models.HIGHEST_PRIORITY - routed.urgency),
        prompt_tokens=generation.prompt_tokens,
        max_tokens=generation.max_tokens or None,
    )


def latest_start_at(routed: callrouter.RoutedRequest) -> float:
    """Return the monotonic seconds by which a request must start to be on time."""
    generation = routed.call.generation or NO_GENERATION
    read_s = generation.prompt_tokens / promptbacklog.PromptSettings().tokens_per_s
    return routed.call.arrived_at + routed.route.goal_s - read_s


def queue_deadline(routed: callrouter.RoutedRequest, now: float) -> float:
    """Return the monotonic seconds until which a request waits for an engine."""
    goal_deadline = routed.call.arrived_at + QUEUE_GOAL_MULTIPLE * routed.route.goal_s
    return min(goal_deadline, now + QUEUE_SHARE * (routed.ends_at - now))
