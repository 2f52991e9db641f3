"""What a node knows of a replica when it places a request, and how it judges it."""

import dataclasses

from hornbeamglade.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that may run a request, as last reported.

    :param replica: the replica's name.
    :param owner: the node that admits to it.
    :param local: whether this node is the owner.
    :param room_tokens: tokens of engine memory that are free or not promised.
    :param queued: requests that wait for it and that a newcomer stands behind.
    :param expected_wait_s: seconds until a request behind these starts.
    :param report_age_s: seconds since this was true.
    :param failure_domain: where the replica stands.
    :param leaving: whether it is about to stop; it gets no new work.
    :param ejected: whether outlier detection has taken it out for now.
    :param slow_factor: its time per token over the pool's usual one; 1 is usual.
    :param prefix_tokens_held: leading tokens of the prompt in its prefix cache.
    """

    replica: str
    owner: str
    local: bool
    room_tokens: int
    queued: int
    expected_wait_s: float
    report_age_s: float
    failure_domain: str
    leaving: bool = False
    ejected: bool = False
    slow_factor: float = 1.0
    prefix_tokens_held: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Rates and trade-offs of the routing choice.

    :param failure_domain: where this node stands.
    :param fresh_s: reports younger than this count as exact.
    :param usable_s: older reports are used only when there is no younger one.
    :param samples: how many replicas with reports that are not fresh are compared.
    :param prefill_tokens_per_s: prompt tokens that an engine computes per second.
    :param decode_tokens_per_s: tokens that a usual engine frees per second, all streams.
    :param expected_answer_tokens: growth to allow for where none is bounded.
    :param preemption_s: what a preemption costs in stall time.
    :param placement_s: wait that one placement since the report adds.
    :param remote_s: cost of passing the request through another node.
    :param other_domain_s: cost of leaving the failure domain.
    :param same_domain_s: what a fall-back in the first choice's failure domain costs.
    """

    failure_domain: str = ""
    fresh_s: float = 0.2
    usable_s: float = 10.0
    samples: int = 2
    prefill_tokens_per_s: float = 5000.0
    decode_tokens_per_s: float = 1000.0
    expected_answer_tokens: int = 300
    preemption_s: float = 2.0
    placement_s: float = 0.1
    remote_s: float = 0.005
    other_domain_s: float = 0.003
    same_domain_s: float = 0.05


def needed_tokens(work: outcomes.Work, settings: RoutingSettings) -> int:
    """Return the engine memory, in tokens, that a request is expected to need."""
    answer = settings.expected_answer_tokens
    if work.max_tokens is not None:
        answer = min(answer, work.max_tokens)
    return work.prompt_tokens + answer


def stall_cost_s(work: outcomes.Work, candidate: Candidate, settings: RoutingSettings) -> float:
    """Return the expected seconds of stall when ``candidate`` runs ``work``.

    Explanation
    ===========

    The sum of the wait in its queue, the wait for memory that it lacks, the
    chance of a preemption as memory runs short, the prefill of what its prefix
    cache does not hold, and the way there. Time on the engine is stretched by
    its slow factor.
    """
    on_engine = candidate.expected_wait_s
    on_engine += _memory_s(work, candidate, settings)
    on_engine += _prefill_s(work, candidate, settings)
    return on_engine * candidate.slow_factor + _way_s(candidate, settings)


def _memory_s(work: outcomes.Work, candidate: Candidate, settings: RoutingSettings) -> float:
    needed = needed_tokens(work, settings) - candidate.prefix_tokens_held
    needed = max(needed, 0)
    room = max(candidate.room_tokens, 0)
    shortage = max(needed - candidate.room_tokens, 0)
    crowding = min(needed / room, 1.0) if room else 1.0
    if not needed:
        crowding = 0.0
    return shortage / settings.decode_tokens_per_s + settings.preemption_s * crowding**2


def _prefill_s(work: outcomes.Work, candidate: Candidate, settings: RoutingSettings) -> float:
    missing = max(work.prompt_tokens - candidate.prefix_tokens_held, 0)
    return missing / settings.prefill_tokens_per_s


def _way_s(candidate: Candidate, settings: RoutingSettings) -> float:
    way_s = 0.0 if candidate.local else settings.remote_s
    if candidate.failure_domain != settings.failure_domain:
        way_s += settings.other_domain_s
    return way_s
