"""Choice of the replica for a request.

Explanation
===========

All replicas with a fresh report (those that this node owns) are compared. Of
those with an older report only a small random sample is compared [1]_, plus the
one that caches the longest prefix of the prompt. If all of them were compared,
every node would send its next requests to the replica that looked emptiest in
the same report, and overload it.

Rejected alternatives: *least outstanding requests* ignores memory, although
answers grow; *rendezvous hashing by prefix alone* overloads the replica of a
large team; *full comparison of old reports* causes herding. Expressing the cost
as seconds of stall makes its terms comparable, and lets a measured term replace
an estimated one.

References
==========

.. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
   IEEE TPDS 12(10), 2001; "How Useful Is Old Information?", IEEE TPDS 11(1), 2000.
"""

import collections.abc
import dataclasses
import random

from hornbeamglade.core import outcomes
from hornbeamglade.routing import candidates as candidatelib


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The replica chosen for a request.

    :param candidate: the replica.
    :param cost_s: the expected stall there in seconds.
    """

    candidate: candidatelib.Candidate
    cost_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoCandidate:
    """The result when no replica accepts new work.

    :param leaving: number of leaving replicas.
    :param ejected: number of replicas ejected by outlier detection.
    """

    leaving: int
    ejected: int


def choose(
    work: outcomes.Work,
    candidates: collections.abc.Sequence[candidatelib.Candidate],
    rng: random.Random,
    settings: candidatelib.RoutingSettings,
) -> Choice | NoCandidate:
    """Choose a replica for ``work``.

    :param candidates: the known state of replicas, including this node's own placements
        (:class:`hornbeamglade.routing.placements.Placements`).

    Examples
    ========

    >>> work = outcomes.Work("r-1", "chat", "clerks", 0, prompt_tokens=100)
    >>> loaded = candidatelib.Candidate("a", "n1", True, 50, 3, 1.5, 0.0, "z1")
    >>> idle = candidatelib.Candidate("b", "n2", False, 9000, 0, 0.0, 0.0, "z2")
    >>> settings = candidatelib.RoutingSettings()
    >>> choose(work, [loaded, idle], random.Random(1), settings).candidate.replica
    'b'
    """
    usable = _usable(candidates, settings)
    if not usable:
        leaving = sum(candidate.leaving for candidate in candidates)
        ejected = sum(candidate.ejected for candidate in candidates)
        return NoCandidate(leaving, ejected)
    compared = _select_compared(usable, rng, settings)
    return min(_with_costs(work, compared, settings), key=lambda choice: choice.cost_s)


def rank(
    work: outcomes.Work,
    candidates: collections.abc.Sequence[candidatelib.Candidate],
    rng: random.Random,
    settings: candidatelib.RoutingSettings,
) -> tuple[Choice, ...]:
    """Return the choice followed by its fallbacks, best first; empty if there are no candidates.

    A fallback in the failure domain of the first choice costs more, since whatever made
    the first choice unreachable probably affects it too.
    """
    best = choose(work, candidates, rng, settings)
    if isinstance(best, NoCandidate):
        return ()

    def fallback_cost_s(choice: Choice) -> float:
        if choice.candidate.failure_domain == best.candidate.failure_domain:
            return choice.cost_s + settings.same_domain_s
        return choice.cost_s

    others = [
        choice
        for choice in _with_costs(work, _usable(candidates, settings), settings)
        if choice.candidate.replica != best.candidate.replica
    ]
    return (best, *sorted(others, key=fallback_cost_s))


def _usable(
    candidates: collections.abc.Sequence[candidatelib.Candidate],
    settings: candidatelib.RoutingSettings,
) -> list[candidatelib.Candidate]:
    eligible = [each for each in candidates if not each.leaving and not each.ejected]
    recent = [each for each in eligible if each.report_age_s <= settings.usable_s]
    return recent or eligible


def _select_compared(
    usable: list[candidatelib.Candidate],
    rng: random.Random,
    settings: candidatelib.RoutingSettings,
) -> list[candidatelib.Candidate]:
    fresh = [each for each in usable if each.report_age_s <= settings.fresh_s]
    stale = [each for each in usable if each.report_age_s > settings.fresh_s]
    compared = fresh + rng.sample(stale, min(settings.samples, len(stale)))
    prefix_holder = max(stale, key=lambda each: each.cached_prefix_tokens, default=None)
    if (
        prefix_holder is not None
        and prefix_holder.cached_prefix_tokens
        and prefix_holder not in compared
    ):
        compared.append(prefix_holder)
    rng.shuffle(compared)
    return compared


def _with_costs(
    work: outcomes.Work,
    candidates: list[candidatelib.Candidate],
    settings: candidatelib.RoutingSettings,
) -> list[Choice]:
    return [Choice(each, candidatelib.stall_cost_s(work, each, settings)) for each in candidates]
