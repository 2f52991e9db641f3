"""The order in which the owners of a service's replicas are asked for a grant.

Explanation
===========

Addresses a surge at a service whose replicas have few owners. Each response of an owner carries
the present figures of all owners, so an instance that was refused once need not find the others
full by asking each of them. An owner chooses among its replicas itself; only the choice of the
owner matters here.

Between two updates many instances hold the same figures, and if all of them asked the best
owner, it would be full after a few grants. The start that the figures of an owner predict is
therefore uncertain by their age: a random part of it is added. Fresh figures are followed
exactly, and of owners with equally old figures none is preferred by all instances.
"""

import collections.abc
import dataclasses
import random

from hornbeamglade.core import outcomes
from hornbeamglade.routing import candidates as candidatelib

FULL_TTL_S = 0.5
"""Figures at most this old that show no room mean that the owner would refuse. The prompts
queued at an engine, 0.8 s of work, keep it busy for longer."""

MAX_FULL_TTL_S = 1.0
"""Longer waits are not predicted: requests that wait may be withdrawn or refused meanwhile."""


@dataclasses.dataclass(frozen=True, slots=True)
class RankedOwner:
    """One owner with its acceptable replicas.

    :param owner: the owner's name; None for this node.
    :param replicas: its replicas, the best first; only those that may start the request now,
        unless there are none.
    :param start_s: seconds until the request would start there, by its figures.
    :param may_start_now: whether the figures permit that it grants the request now.
    """

    owner: str | None
    replicas: tuple[str, ...]
    start_s: float
    may_start_now: bool


def rank_owners(
    work: outcomes.Work,
    candidates: collections.abc.Iterable[candidatelib.Candidate],
    owner_of: collections.abc.Callable[[str], str | None],
    rng: random.Random,
    settings: candidatelib.RoutingSettings,
    max_backlog_s: float,
) -> list[RankedOwner]:
    """Return the owners of the candidates; the one that starts the request first comes first.

    :param owner_of: returns the name of a replica's owner, or None for this node.
    :param max_backlog_s: the wait up to which an owner still starts a request at once.

    Examples
    ========

    >>> work = outcomes.Work("r-1", "chat", "clerks", 0, prompt_tokens=100)
    >>> full = candidatelib.Candidate("a", "n1", False, 50, 3, 1.5, 0.05, "z1")
    >>> free = candidatelib.Candidate("b", "n2", False, 9000, 0, 0.0, 0.05, "z1")
    >>> owners = {"a": "n1", "b": "n2"}
    >>> settings = candidatelib.RoutingSettings()
    >>> ranked = rank_owners(work, (full, free), owners.get, random.Random(1), settings, 0.8)
    >>> [(each.owner, each.may_start_now) for each in ranked]
    [('n2', True), ('n1', False)]
    """
    by_owner: dict[str | None, list[candidatelib.Candidate]] = {}
    for each in candidates:
        if not each.leaving and not each.ejected:
            by_owner.setdefault(owner_of(each.replica), []).append(each)
    needed = candidatelib.needed_tokens(work, settings)
    ranked = []
    for owner, known in by_owner.items():
        open_now = [each for each in known if _may_start_now(each, needed, max_backlog_s)]
        group = open_now or known
        costs = sorted(
            (candidatelib.stall_cost_s(work, each, settings), number)
            for number, each in enumerate(group)
        )
        uncertainty_s = rng.random() * min(each.report_age_s for each in group)
        ranked.append(
            RankedOwner(
                owner,
                tuple(group[number].replica for _, number in costs),
                costs[0][0] + uncertainty_s,
                bool(open_now),
            )
        )
    return sorted(ranked, key=lambda each: (not each.may_start_now, each.start_s))


def _may_start_now(candidate: candidatelib.Candidate, needed: int, max_backlog_s: float) -> bool:
    excess_wait_s = candidate.expected_wait_s - max_backlog_s
    has_room = candidate.room_tokens >= needed and not candidate.queued
    if has_room and excess_wait_s <= 0.0:
        return True
    # A queue does not end before its expected wait, whereas memory may be freed at any time.
    return candidate.report_age_s > min(max(FULL_TTL_S, excess_wait_s), MAX_FULL_TTL_S)
