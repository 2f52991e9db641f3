"""Which replica gets a request.

Explanation
===========

Replicas with a fresh report (those that this node owns) are compared in full.
Of those known by an older report only a random few are compared [1]_, together
with the one that holds most of the prompt's prefix: were all compared, every
node would send its next requests to the replica that looked emptiest in the
same report, and overrun it.

What was weighed: *least outstanding* ignores memory, and answers grow;
*rendezvous by prefix alone* overruns the replica of a large team; *full
comparison of old reports* herds. A cost in seconds of stall lets the terms be
traded against each other, and a measured one replace a guess.

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
    :param cost_s: the expected seconds of stall there.
    """

    candidate: candidatelib.Candidate
    cost_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoCandidate:
    """No replica may take new work.

    :param leaving: how many are leaving.
    :param ejected: how many outlier detection has taken out.
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

    :param candidates: what is known, own placements added
        (:class:`hornbeamglade.routing.placements.Placements`).

    Examples
    ========

    >>> work = outcomes.Work("r-1", "chat", "clerks", 0, prompt_tokens=100)
    >>> crowded = candidatelib.Candidate("a", "n1", True, 50, 3, 1.5, 0.0, "z1")
    >>> roomy = candidatelib.Candidate("b", "n2", False, 9000, 0, 0.0, 0.0, "z2")
    >>> settings = candidatelib.RoutingSettings()
    >>> choose(work, [crowded, roomy], random.Random(1), settings).candidate.replica
    'b'
    """
    usable = _usable(candidates, settings)
    if not usable:
        leaving = sum(candidate.leaving for candidate in candidates)
        ejected = sum(candidate.ejected for candidate in candidates)
        return NoCandidate(leaving, ejected)
    compared = _compared(usable, rng, settings)
    return min(_costed(work, compared, settings), key=lambda choice: choice.cost_s)


def rank(
    work: outcomes.Work,
    candidates: collections.abc.Sequence[candidatelib.Candidate],
    rng: random.Random,
    settings: candidatelib.RoutingSettings,
) -> tuple[Choice, ...]:
    """Return the choice followed by its fall-backs, best first; empty when there is none.

    A fall-back in the failure domain of the first choice costs more: what made the
    first unreachable is likely to hold there too.
    """
    first = choose(work, candidates, rng, settings)
    if isinstance(first, NoCandidate):
        return ()

    def fallback_cost_s(choice: Choice) -> float:
        if choice.candidate.failure_domain == first.candidate.failure_domain:
            return choice.cost_s + settings.same_domain_s
        return choice.cost_s

    rest = [
        choice
        for choice in _costed(work, _usable(candidates, settings), settings)
        if choice.candidate.replica != first.candidate.replica
    ]
    return (first, *sorted(rest, key=fallback_cost_s))


def _usable(
    candidates: collections.abc.Sequence[candidatelib.Candidate],
    settings: candidatelib.RoutingSettings,
) -> list[candidatelib.Candidate]:
    able = [each for each in candidates if not each.leaving and not each.ejected]
    known = [each for each in able if each.report_age_s <= settings.usable_s]
    return known or able


def _compared(
    usable: list[candidatelib.Candidate],
    rng: random.Random,
    settings: candidatelib.RoutingSettings,
) -> list[candidatelib.Candidate]:
    fresh = [each for each in usable if each.report_age_s <= settings.fresh_s]
    old = [each for each in usable if each.report_age_s > settings.fresh_s]
    compared = fresh + rng.sample(old, min(settings.samples, len(old)))
    holder = max(old, key=lambda each: each.prefix_tokens_held, default=None)
    if holder is not None and holder.prefix_tokens_held and holder not in compared:
        compared.append(holder)
    rng.shuffle(compared)
    return compared


def _costed(
    work: outcomes.Work,
    candidates: list[candidatelib.Candidate],
    settings: candidatelib.RoutingSettings,
) -> list[Choice]:
    return [Choice(each, candidatelib.stall_cost_s(work, each, settings)) for each in candidates]
