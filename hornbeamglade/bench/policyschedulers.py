"""The production path in the benchmark: routing, the owner's scheduler and admission."""

import collections
import collections.abc
import dataclasses
import random

from hornbeamglade.admission import policies, tokenledger
from hornbeamglade.bench import policydispatch, policymetrics, policypool, policyworkload
from hornbeamglade.core import outcomes
from hornbeamglade.fairness import fairqueue, queuesettings
from hornbeamglade.grants import replicascheduler
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.routing import candidates, choice, outliers, placements

_PROGRESS_EVERY_STEPS = 38
_QUEUE_EVERY_STEPS = 8
_DIGEST_EVERY_STEPS = 10
_MAX_TRIES = 2
NODES = 6
_NODES_PER_TEAM = 2

AdmissionFactory = collections.abc.Callable[[lengthmodel.LengthModel], policies.AdmissionPolicy]


class SchedulerDispatcher(policydispatch.Dispatcher):
    """Chooses a replica by delayed digests; its owner admits or queues the request.

    Explanation
    ===========

    Six entry nodes choose replicas, each by its own recent placements; the callers of a
    team use two of them. Node i owns replica i and knows the current state of its scheduler.
    Progress reaches the owner once per second, as in production. Digests of the schedulers
    and load reports of the engines arrive with the delay of the scenario. With several
    owners, a replica has one scheduler per owner, which learns of the others only through
    the load reports of the engine.

    :param admission: creates the admission policy of one scheduler.
    :param queue: limits of the schedulers' queues.
    :param seed: seed of the random samples of routing.
    """

    def __init__(
        self,
        scenario: policyworkload.Scenario,
        pool: list[policypool.Replica],
        recorder: policymetrics.Recorder,
        admission: AdmissionFactory,
        queue: queuesettings.QueueSettings,
        seed: int,
    ) -> None:
        super().__init__(scenario, pool, recorder)
        self._rng = random.Random(seed)
        self._admission = admission
        self._queue_settings = queue
        self._lengths = lengthmodel.LengthModel()
        self._settings = candidates.RoutingSettings(samples=scenario.samples)
        self._placements_by_node = [placements.Placements(self._settings) for _ in range(NODES)]
        self._detector = outliers.OutlierDetector(outliers.OutlierSettings())
        self._detector.set_members(list(self.replica_by_name))
        self._schedulers_by_replica = {
            name: self._new_schedulers(name, 0.0) for name in self.replica_by_name
        }
        self._request_by_id: dict[str, policyworkload.Request] = {}
        self._scheduler_by_request: dict[str, replicascheduler.ReplicaScheduler] = {}
        self._digests: collections.deque[tuple[float, list[candidates.Candidate]]]
        self._digests = collections.deque()

    def dispatch(self, request: policyworkload.Request, now: float) -> None:
        """Send a grant request to the best replica's owner, then to the next if it refuses."""
        work = request.work
        self._request_by_id[work.request_id] = request
        node = self._node_of(work.team)
        for name in self._ranked_replicas(work, node, now):
            scheduler = self._rng.choice(self._schedulers_by_replica[name])
            response = self._request_grant(scheduler, request, now)
            if isinstance(response, outcomes.Refusal):
                continue
            needed = candidates.needed_tokens(work, self._settings)
            self._placements_by_node[node].placed(name, needed, now)
            self._scheduler_by_request[work.request_id] = scheduler
            if isinstance(response, replicascheduler.Granted):
                self.replica_by_name[name].submit(request)
            return
        self._refuse(work.request_id, now)

    def on_finished(
        self, replica: policypool.Replica, active: policypool.ActiveRequest, now: float
    ) -> None:
        """Learn the response length, release the grant and process the queue."""
        work = active.request.work
        self._lengths.observe(work.service, work.team, active.produced)
        if active.produced > 1:
            token_interval_s = (now - active.first_at) / (active.produced - 1)
            self._detector.succeeded(replica.name, token_interval_s, now)
        scheduler = self._scheduler_by_request.pop(work.request_id)
        scheduler.finish(work.request_id, now)
        del self._request_by_id[work.request_id]
        self._process_queue(replica, scheduler, now)

    def on_replica_lost(
        self, replica: policypool.Replica, active: list[policypool.ActiveRequest], now: float
    ) -> None:
        """Also dispatch again the requests that were queued for the replica."""
        queued_ids = [
            settled.request_id
            for scheduler in self._schedulers_by_replica[replica.name]
            for settled in scheduler.drain()
        ]
        super().on_replica_lost(replica, active, now)
        for request_id in queued_ids:
            self.dispatch(self._request_by_id[request_id], now)

    def on_replica_restored(self, replica: policypool.Replica, now: float) -> None:
        """Create new schedulers for the replica."""
        self._schedulers_by_replica[replica.name] = self._new_schedulers(replica.name, now)

    def tick(self, step: int, now: float) -> None:
        """Deliver reports, progress and digests that are due."""
        for i, replica in enumerate(self.live_replicas()):
            schedulers = self._schedulers_by_replica[replica.name]
            for view in replica.reports(step, now):
                for scheduler in schedulers:
                    scheduler.apply_report(view, False, now)
            if (step + 6 * i) % _PROGRESS_EVERY_STEPS == 0:
                self._report_progress(replica, now)
            if (step + i) % _QUEUE_EVERY_STEPS == 0:
                for scheduler in schedulers:
                    self._process_queue(replica, scheduler, now)
        if step % _DIGEST_EVERY_STEPS == 0:
            self._digests.append((now, self._digest(now)))
            while len(self._digests) > 1 and self._is_due(self._digests[1][0], now):
                self._digests.popleft()

    def _request_grant(
        self,
        scheduler: replicascheduler.ReplicaScheduler,
        request: policyworkload.Request,
        now: float,
    ) -> replicascheduler.Granted | replicascheduler.Queued | outcomes.Refusal:
        weight = policyworkload.WEIGHT_BY_TEAM[request.work.team]
        due = self.scenario.due(request)
        return scheduler.request_grant(request.work, weight, now, self.deadline(request), due)

    def _new_schedulers(self, replica: str, now: float) -> list[replicascheduler.ReplicaScheduler]:
        return [self._new_scheduler(replica, now) for _ in range(self.scenario.owners)]

    def _new_scheduler(self, replica: str, now: float) -> replicascheduler.ReplicaScheduler:
        queue = fairqueue.FairQueue(self._queue_settings)
        scheduler = self._create_scheduler(replica, self._admission(self._lengths), queue)
        # An owner grants nothing before it has received a load report of the replica.
        scheduler.apply_report(
            tokenledger.LoadView(0, 0.0, self.scenario.capacity_tokens, 0), False, now
        )
        return scheduler

    def _create_scheduler(
        self, replica: str, admission: policies.AdmissionPolicy, queue: fairqueue.FairQueue
    ) -> replicascheduler.ReplicaScheduler:
        return replicascheduler.ReplicaScheduler(replica, admission, queue)

    def _node_of(self, team: str) -> int:
        first = list(policyworkload.WEIGHT_BY_TEAM).index(team)
        return (first + self._rng.randrange(_NODES_PER_TEAM)) % NODES

    def _ranked_replicas(self, work: outcomes.Work, node: int, now: float) -> list[str]:
        probe = self._detector.probe_due(now)
        if probe is not None and self.replica_by_name[probe].is_up:
            return [probe]
        known = self._placements_by_node[node].applied(self._candidates_at(node, now), now)
        ordered = self._rank(work, known)
        return [each.candidate.replica for each in ordered[:_MAX_TRIES]]

    def _rank(
        self, work: outcomes.Work, known: list[candidates.Candidate]
    ) -> collections.abc.Sequence[choice.Choice]:
        return choice.rank(work, known, self._rng, self._settings)

    def _candidates_at(self, node: int, now: float) -> list[candidates.Candidate]:
        """Return the candidates a node knows: its own with current state, others by digest."""
        if not self.scenario.report_lag_s:
            return self._digest(now)
        taken_at, digest = self._digests[0]
        known = []
        for i, (replica, stale) in enumerate(
            zip(self.replica_by_name.values(), digest, strict=True)
        ):
            if i % NODES == node:
                known.append(dataclasses.replace(self._candidate(replica, now), local=True))
                continue
            stale = dataclasses.replace(
                stale,
                report_age_s=now - taken_at,
                leaving=not replica.is_up,
                ejected=self._detector.is_ejected(replica.name),
                slow_factor=self._detector.slow_factor(replica.name),
            )
            known.append(stale)
        return known

    def _digest(self, now: float) -> list[candidates.Candidate]:
        return [self._candidate(replica, now) for replica in self.replica_by_name.values()]

    def _candidate(self, replica: policypool.Replica, now: float) -> candidates.Candidate:
        schedulers = self._schedulers_by_replica[replica.name]
        return candidates.Candidate(
            replica=replica.name,
            owner=replica.name,
            local=False,
            room_tokens=int(min(scheduler.admission.headroom(now) for scheduler in schedulers)),
            queued=sum(scheduler.queued_count for scheduler in schedulers),
            expected_wait_s=max(scheduler.queue.expected_wait_s(now) for scheduler in schedulers),
            report_age_s=0.0,
            failure_domain=replica.domain,
            leaving=not replica.is_up,
            ejected=self._detector.is_ejected(replica.name),
            slow_factor=self._detector.slow_factor(replica.name),
        )

    def _is_due(self, taken_at: float, now: float) -> bool:
        return now - taken_at >= self.scenario.report_lag_s

    def _report_progress(self, replica: policypool.Replica, now: float) -> None:
        for request_id, active in replica.active_by_id.items():
            scheduler = self._scheduler_by_request[request_id]
            scheduler.progress(request_id, active.produced, now)

    def _process_queue(
        self, replica: policypool.Replica, scheduler: replicascheduler.ReplicaScheduler, now: float
    ) -> None:
        for settled in scheduler.process_queue(now):
            if isinstance(settled.answer, outcomes.Refusal):
                self._refuse(settled.request_id, now)
            else:
                replica.submit(self._request_by_id[settled.request_id])

    def _refuse(self, request_id: str, now: float) -> None:
        request = self._request_by_id.pop(request_id)
        self._scheduler_by_request.pop(request_id, None)
        self.recorder.record_refusal(request, now)
