"""One run of the policy benchmark: a policy, a scenario and a seed, in virtual time."""

import collections.abc
import dataclasses
import re

from hornbeamglade.admission import policies, replicaadmission
from hornbeamglade.bench import (
    policyclairvoyant,
    policydispatch,
    policymetrics,
    policypool,
    policyschedulers,
    policyworkload,
)
from hornbeamglade.core import codederrors
from hornbeamglade.fairness import queuesettings
from hornbeamglade.lengths import lengthmodel

WARM_UP_SHARE = 0.4
_FIXED_RESERVE = re.compile(r"fixed-reserve-(\d+)")
_FAULT_AT = 0.5
_FAULT_SPAN_S = 60.0
_SLOW_STEPS = 3
# No overtaking in the queue: since the clairvoyant policy knows the lengths, short requests
# would otherwise pass long ones indefinitely. That raises goodput, but every long request
# would be refused.
_FIRST_COME_FIRST = queuesettings.QueueSettings(max_passes=0)

POLICIES = (
    "round-robin",
    "least-outstanding",
    "present-memory",
    "fixed-reserve-100",
    "fixed-reserve-300",
    "probabilistic",
    "clairvoyant",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The result of one run."""

    scenario: policyworkload.Scenario
    policy: str
    seed: int
    figures: policymetrics.Figures


def run(scenario: policyworkload.Scenario, policy: str, seed: int, duration_s: float) -> Run:
    """Run one policy in one scenario.

    :param policy: one of :data:`POLICIES`, or a fixed reserve of another size.
    :param seed: seed of the requests, which are the same for every policy.
    :param duration_s: virtual seconds, of which the first two fifths are not measured.
    """
    requests = policyworkload.draw_requests(scenario, seed, duration_s)
    pool = policypool.replicas(scenario)
    recorder = policymetrics.Recorder(scenario, WARM_UP_SHARE * duration_s)
    dispatcher = _dispatcher(scenario, policy, seed, requests, pool, recorder)
    arrivals = iter(requests)
    next_request = next(arrivals, None)
    recomputed_before = 0
    for step in range(int(duration_s / policyworkload.STEP_S)):
        now = step * policyworkload.STEP_S
        _apply_fault(scenario, pool[0], dispatcher, now, duration_s)
        dispatcher.tick(step, now)
        while next_request is not None and next_request.at_s <= now:
            recorder.record_arrival(next_request)
            dispatcher.dispatch(next_request, now)
            next_request = next(arrivals, None)
        for replica in pool:
            for active in replica.step(step, now, recorder):
                dispatcher.on_finished(replica, active, now)
        if now < WARM_UP_SHARE * duration_s:
            recomputed_before = sum(replica.recomputed_tokens for replica in pool)
    recorder.recomputed_tokens = sum(replica.recomputed_tokens for replica in pool)
    recorder.recomputed_tokens -= recomputed_before
    return Run(scenario, policy, seed, recorder.figures(duration_s))


def _apply_fault(
    scenario: policyworkload.Scenario,
    replica: policypool.Replica,
    dispatcher: policydispatch.Dispatcher,
    now: float,
    duration_s: float,
) -> None:
    start_s = _FAULT_AT * duration_s
    is_faulty = start_s <= now < start_s + _FAULT_SPAN_S
    if scenario.fault is policyworkload.Fault.SLOWED:
        replica.step_interval = _SLOW_STEPS if is_faulty else 1
    if scenario.fault is not policyworkload.Fault.LOST:
        return
    if is_faulty and replica.is_up:
        dispatcher.on_replica_lost(replica, replica.fail(), now)
    elif not is_faulty and not replica.is_up:
        replica.is_up = True
        dispatcher.on_replica_restored(replica, now)


def _dispatcher(
    scenario: policyworkload.Scenario,
    policy: str,
    seed: int,
    requests: list[policyworkload.Request],
    pool: list[policypool.Replica],
    recorder: policymetrics.Recorder,
) -> policydispatch.Dispatcher:
    if policy == "round-robin":
        return policydispatch.RoundRobin(scenario, pool, recorder)
    if policy == "least-outstanding":
        return policydispatch.LeastOutstanding(scenario, pool, recorder)
    admission = _admission(scenario, policy, requests)
    queue = _FIRST_COME_FIRST if policy == "clairvoyant" else queuesettings.QueueSettings()
    return policyschedulers.SchedulerDispatcher(scenario, pool, recorder, admission, queue, seed)


def _admission(
    scenario: policyworkload.Scenario, policy: str, requests: list[policyworkload.Request]
) -> collections.abc.Callable[[lengthmodel.LengthModel], policies.AdmissionPolicy]:
    capacity = scenario.capacity_tokens
    max_running = scenario.max_running
    answer_tokens_by_id = {each.work.request_id: each.answer_tokens for each in requests}
    settings = replicaadmission.AdmissionSettings(max_running=max_running)
    factory_by_policy = {
        "present-memory": lambda _: policies.PresentMemory(capacity, max_running),
        "probabilistic": lambda lengths: replicaadmission.ReplicaAdmission(
            capacity, lengths, settings
        ),
        "clairvoyant": lambda _: policyclairvoyant.Clairvoyant(
            capacity, max_running, answer_tokens_by_id
        ),
    }
    fixed = _FIXED_RESERVE.fullmatch(policy)
    if fixed is not None:
        return lambda _: policies.FixedReserve(capacity, int(fixed[1]), max_running)
    if policy not in factory_by_policy:
        raise codederrors.CodedError("policy_unknown", f"unknown policy {policy!r}")
    return factory_by_policy[policy]
