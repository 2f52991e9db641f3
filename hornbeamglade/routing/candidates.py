"""State of a replica as known to a node, and the expected cost of routing a request to it."""

import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.speeds import outlook as outlooklib


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that may run a request, as last reported.

    :param replica: name of the replica.
    :param owner: the node that admits requests to it.
    :param local: whether this node is the owner.
    :param room_tokens: unreserved tokens of engine memory.
    :param queued: queued requests ahead of a new one.
    :param expected_wait_s: expected queueing delay of a new request in seconds.
    :param report_age_s: age of this state in seconds.
    :param failure_domain: failure domain of the replica.
    :param leaving: whether it will stop soon; it gets no new work.
    :param ejected: whether outlier detection has ejected it for now.
    :param slow_factor: its time per token relative to the pool's median; 1 is normal.
    :param cached_prefix_tokens: leading tokens of the prompt in its prefix cache.
    :param outlook: its expected pace, or None if its service is not placed by pace.
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
    cached_prefix_tokens: int = 0
    outlook: outlooklib.EngineOutlook | None = None

    def must_avoid(self, work: outcomes.Work) -> bool:
        """Return whether a request that may find another replica must not start here."""
        if self.outlook is None or work.pace is None:
            return False
        return self.outlook.must_avoid(work.pace)


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Rates and costs used by the routing choice.

    :param failure_domain: failure domain of this node.
    :param fresh_s: reports younger than this are treated as exact.
    :param usable_s: older reports are used only if no replica has a younger one.
    :param samples: number of replicas without a fresh report that are compared.
    :param prefill_tokens_per_s: prompt tokens that an engine processes per second.
    :param decode_tokens_per_s: tokens that a normal engine frees per second over all streams.
    :param expected_answer_tokens: expected length of an answer; a lower limit of the request
        takes precedence.
    :param preemption_s: stall time that a preemption costs.
    :param placement_s: queueing delay that each placement since the report adds.
    :param remote_s: cost of a replica that another node owns.
    :param other_domain_s: cost of a replica in another failure domain.
    :param same_domain_s: extra cost of a fallback in the failure domain of the first choice.
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
    """Return the engine memory in tokens that a request is expected to need."""
    answer = settings.expected_answer_tokens
    if work.max_tokens is not None:
        answer = min(answer, work.max_tokens)
    return work.prompt_tokens + answer


def stall_cost_s(work: outcomes.Work, candidate: Candidate, settings: RoutingSettings) -> float:
    """Return the expected stall in seconds if ``candidate`` runs ``work``.

    Explanation
    ===========

    The sum of the queueing delay, the wait for missing memory, the expected cost of
    a preemption when memory is scarce, the prefill time of uncached prompt tokens,
    and the network cost. The time on the engine is multiplied by its slow factor.

    If the replica is placed by pace, its owner has already included its speed in the queueing
    delay, and a pause that the response is expected to meet is added.
    """
    engine_s = _memory_cost_s(work, candidate, settings)
    engine_s += _prefill_cost_s(work, candidate, settings)
    network_s = _network_cost_s(candidate, settings)
    if candidate.outlook is None:
        return (candidate.expected_wait_s + engine_s) * candidate.slow_factor + network_s
    pause_s = 0.0 if work.pace is None else candidate.outlook.pause_cost_s(work.pace)
    engine_s *= candidate.outlook.slow_factor
    return candidate.expected_wait_s + engine_s + pause_s + network_s


def _memory_cost_s(work: outcomes.Work, candidate: Candidate, settings: RoutingSettings) -> float:
    needed = needed_tokens(work, settings) - candidate.cached_prefix_tokens
    needed = max(needed, 0)
    free_tokens = max(candidate.room_tokens, 0)
    shortage = max(needed - candidate.room_tokens, 0)
    memory_pressure = min(needed / free_tokens, 1.0) if free_tokens else 1.0
    if not needed:
        memory_pressure = 0.0
    return shortage / settings.decode_tokens_per_s + settings.preemption_s * memory_pressure**2


def _prefill_cost_s(work: outcomes.Work, candidate: Candidate, settings: RoutingSettings) -> float:
    uncached_tokens = max(work.prompt_tokens - candidate.cached_prefix_tokens, 0)
    return uncached_tokens / settings.prefill_tokens_per_s


def _network_cost_s(candidate: Candidate, settings: RoutingSettings) -> float:
    network_s = 0.0 if candidate.local else settings.remote_s
    if candidate.failure_domain != settings.failure_domain:
        network_s += settings.other_domain_s
    return network_s
