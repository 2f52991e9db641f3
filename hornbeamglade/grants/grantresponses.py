"""Grant requests, and the refusals that stand for an owner's responses or its silence."""

import collections.abc
import dataclasses
import math

from hornbeamglade.core import outcomes
from hornbeamglade.exchange import messages
from hornbeamglade.grants import replicascheduler

NO_REPLICA_RETRY_S = 2.0
NAMES_RETRY_S = 0.5
OWNER_SILENT = "owner_silent"
NO_ROOM_NOW = "no_room_now"
PACE_BOUND = "pace_bound"
REFUSED_BY_FORECAST = "refused_by_forecast"
NAMES_UNKNOWN = "names_unknown"
TEAM_CODES = frozenset(("team_queue_full",))
"""Refusals caused by the team's own load; they have the same HTTP status at every owner."""

UNOWNED_CODES = frozenset((OWNER_SILENT, NAMES_UNKNOWN, replicascheduler.OWNER_MOVED))
"""Refusals that say nothing about the replica itself: no node admits requests to it at the
moment. The owner was killed, is unreachable, or has just started and has no configuration yet.
The nodes agree on another owner after about three seconds."""

TEAM_STATUS = 429
MILLISECONDS_PER_SECOND = 1000


def grant_request(
    work: outcomes.Work,
    replica: str,
    weight: float,
    wait_s: float,
    produced: int = 0,
    avoid: collections.abc.Iterable[str] = (),
    due_s: float = math.inf,
    *,
    allow_other: bool = True,
    immediate: bool = False,
    may_find_other: bool = False,
) -> messages.GrantRequest:
    """Return the grant request for one replica.

    :param wait_s: seconds that the request may still wait in the queue.
    :param produced: tokens generated so far by a run that is migrated there; 0 for a new
        request.
    :param avoid: replicas that the owner must not choose.
    :param due_s: seconds until the request must start to be on time.
    :param allow_other: whether the owner may choose another one of its replicas.
    :param immediate: whether the owner is to refuse the request rather than queue it.
    :param may_find_other: whether it may still find a replica that keeps the pace.
    """
    pace = work.pace
    avoided = sorted(messages.key_hash(each) for each in avoid)
    return messages.GrantRequest(
        grant_id=0,
        replica=messages.key_hash(replica),
        service=messages.key_hash(work.service),
        team=messages.key_hash(work.team),
        priority=work.priority,
        prompt_tokens=work.prompt_tokens,
        max_tokens=work.max_tokens,
        weight=weight,
        deadline_ms=max(0, int(wait_s * MILLISECONDS_PER_SECOND)),
        produced=produced,
        allow_other=allow_other,
        immediate=immediate,
        avoid=tuple(avoided[: messages.MAX_AVOIDED]),
        due_ms=None if math.isinf(due_s) else max(0, int(due_s * MILLISECONDS_PER_SECOND)),
        gap_goal_ms=0 if pace is None else int(pace.gap_goal_s * MILLISECONDS_PER_SECOND),
        goal_ms=0 if pace is None else int(pace.goal_s * MILLISECONDS_PER_SECOND),
        expected_tokens=0 if pace is None else pace.expected_tokens,
        may_find_other=may_find_other,
    )


def owner_refusal(replica: str, response: messages.GrantResponse) -> outcomes.Refusal:
    """Return the refusal that an owner sent."""
    retry_after_s = response.retry_after_ms / MILLISECONDS_PER_SECOND or None
    detail = f"replica {replica} takes no more work now"
    status = TEAM_STATUS if response.code in TEAM_CODES else 503
    return outcomes.Refusal(response.code, status, detail, retry_after_s=retry_after_s)


def unusable_replica(replica: int) -> outcomes.Refusal:
    """Return the refusal for a grant at a replica that cannot serve the request.

    :param replica: the hash of the replica's name.
    """
    detail = f"the owner granted replica {replica:x}, which this request cannot use"
    return outcomes.Refusal("replica_unfit", 503, detail, retry_after_s=NO_REPLICA_RETRY_S)


def owner_silent(replica: str, owner: str) -> outcomes.Refusal:
    """Return the refusal for an owner that did not respond in time."""
    detail = f"node {owner}, which admits to replica {replica}, did not answer"
    return outcomes.Refusal(OWNER_SILENT, 503, detail, retry_after_s=NO_REPLICA_RETRY_S)


def names_unknown() -> outcomes.Refusal:
    """Return the refusal of a grant request with names that the owner has not configured."""
    detail = "the ask names a replica, service or team that is not configured here"
    return outcomes.Refusal(NAMES_UNKNOWN, 503, detail, retry_after_s=NAMES_RETRY_S)


def no_headroom_now(replica: str) -> outcomes.Refusal:
    """Return the refusal of a request that is to start immediately or not at all."""
    detail = f"replica {replica} has no room just now"
    return outcomes.Refusal(NO_ROOM_NOW, 503, detail, retry_after_s=NO_REPLICA_RETRY_S)


def pace_bound(replica: str) -> outcomes.Refusal:
    """Return the refusal of a request that may still find a replica that keeps the pace."""
    detail = f"replica {replica} would not keep the pace that the request needs"
    return outcomes.Refusal(PACE_BOUND, 503, detail, retry_after_s=NO_REPLICA_RETRY_S)


def queue_timeout(replica: str) -> outcomes.Refusal:
    """Return the refusal of a request that waited in the queue until its deadline."""
    detail = f"the request could not start on replica {replica} in time"
    return outcomes.Refusal("queue_timeout", 503, detail, retry_after_s=NO_REPLICA_RETRY_S)


def refused_by_forecast(service: str, retry_after_s: float) -> outcomes.Refusal:
    """Return the refusal of a request that could not start in time at any owner."""
    detail = f"too many requests wait for replicas of {service} for this one to start in time"
    return outcomes.Refusal(REFUSED_BY_FORECAST, 503, detail, retry_after_s=retry_after_s)


def earliest_retry(refused: list[outcomes.Refusal]) -> outcomes.Refusal:
    """Return the refusal with the shortest time until a retry."""
    if not refused:
        detail = "no replica that could serve the request is in use"
        return outcomes.Refusal("no_replica", 503, detail, retry_after_s=NO_REPLICA_RETRY_S)
    return min(refused, key=lambda each: each.retry_after_s or NO_REPLICA_RETRY_S)


def are_owners_unavailable(refused: list[outcomes.Refusal]) -> bool:
    """Return whether every refusal is for want of a node that admits requests to the replica."""
    return bool(refused) and all(each.code in UNOWNED_CODES for each in refused)


def bound_retry_after(wait_s: float, refusal: outcomes.Refusal) -> outcomes.Refusal:
    """Return the refusal with its retry time bounded by the caller's remaining time.

    A lasting refusal is returned unchanged.

    :param wait_s: seconds that remain until the caller's deadline.
    """
    if refusal.retry_after_s is None or refusal.is_lasting:
        return refusal
    return dataclasses.replace(refusal, retry_after_s=min(refusal.retry_after_s, wait_s / 3))
