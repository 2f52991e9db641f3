"""What an owner's answers, and its silence, mean to the node that asked."""

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
NAMES_UNKNOWN = "names_unknown"
TEAM_CODES = frozenset(("team_queue_full",))
"""Refusals that are a team's own doing; they bear the same status at every owner."""

UNOWNED_CODES = frozenset((OWNER_SILENT, NAMES_UNKNOWN, replicascheduler.OWNER_MOVED))
"""Refusals that say nothing of the replica: nobody admits to it just now. Its owner was
killed or cut off, or has started and does not know the configuration yet; the nodes agree on
another one some three seconds later."""

TEAM_STATUS = 429
MILLISECONDS = 1000


def grant_request(
    work: outcomes.Work,
    replica: str,
    weight: float,
    wait_s: float,
    produced: int = 0,
    avoid: collections.abc.Iterable[str] = (),
    due_s: float = math.inf,
    *,
    or_other: bool = True,
    at_once: bool = False,
) -> messages.GrantRequest:
    """Return the ask for one replica.

    :param wait_s: seconds that the request may still queue.
    :param produced: tokens that a run has which is to go on there; 0 for a new one.
    :param avoid: replicas that will not do.
    :param due_s: seconds until it must start to be on time.
    :param or_other: whether another replica of its owner will do.
    :param at_once: whether it is to be refused rather than queued.
    """
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
        deadline_ms=max(0, int(wait_s * MILLISECONDS)),
        produced=produced,
        or_other=or_other,
        at_once=at_once,
        avoid=tuple(avoided[: messages.MAX_AVOIDED]),
        due_ms=None if math.isinf(due_s) else max(0, int(due_s * MILLISECONDS)),
    )


def owner_refusal(replica: str, response: messages.GrantResponse) -> outcomes.Refusal:
    """Return the refusal that an owner gave."""
    retry_after_s = response.retry_after_ms / MILLISECONDS or None
    detail = f"replica {replica} takes no more work now"
    status = TEAM_STATUS if response.code in TEAM_CODES else 503
    return outcomes.Refusal(response.code, status, detail, retry_after_s=retry_after_s)


def unusable_replica(replica: int) -> outcomes.Refusal:
    """Return the refusal that stands for a grant of a replica that will not do here."""
    detail = f"the owner granted replica {replica:x}, which this request cannot use"
    return outcomes.Refusal("replica_unfit", 503, detail, retry_after_s=NO_REPLICA_RETRY_S)


def owner_silent(replica: str, owner: str) -> outcomes.Refusal:
    """Return the refusal that stands for an owner's silence."""
    detail = f"node {owner}, which admits to replica {replica}, did not answer"
    return outcomes.Refusal(OWNER_SILENT, 503, detail, retry_after_s=NO_REPLICA_RETRY_S)


def names_unknown() -> outcomes.Refusal:
    """Return the refusal of an ask that names what is not configured at the owner."""
    detail = "the ask names a replica, service or team that is not configured here"
    return outcomes.Refusal(NAMES_UNKNOWN, 503, detail, retry_after_s=NAMES_RETRY_S)


def no_headroom_now(replica: str) -> outcomes.Refusal:
    """Return the refusal of a request that may only start now."""
    detail = f"replica {replica} has no room just now"
    return outcomes.Refusal(NO_ROOM_NOW, 503, detail, retry_after_s=NO_REPLICA_RETRY_S)


def queue_timeout(replica: str) -> outcomes.Refusal:
    """Return the refusal of a request whose wait is over."""
    detail = f"the request could not start on replica {replica} in time"
    return outcomes.Refusal("queue_timeout", 503, detail, retry_after_s=NO_REPLICA_RETRY_S)


def earliest_retry(refused: list[outcomes.Refusal]) -> outcomes.Refusal:
    """Return the refusal with the earliest time to come back."""
    if not refused:
        detail = "no replica that could serve the request is in use"
        return outcomes.Refusal("no_replica", 503, detail, retry_after_s=NO_REPLICA_RETRY_S)
    return min(refused, key=lambda each: each.retry_after_s or NO_REPLICA_RETRY_S)


def are_owners_unavailable(refused: list[outcomes.Refusal]) -> bool:
    """Tell whether all that refused did so only because nobody admits to their replicas."""
    return bool(refused) and all(each.code in UNOWNED_CODES for each in refused)


def bound_retry_after(wait_s: float, refusal: outcomes.Refusal) -> outcomes.Refusal:
    """Return a refusal whose time to come back lies within the caller's wait, unless it lasts.

    :param wait_s: what is left of the caller's time.
    """
    if refusal.retry_after_s is None or refusal.is_lasting:
        return refusal
    return dataclasses.replace(refusal, retry_after_s=min(refusal.retry_after_s, wait_s / 3))
