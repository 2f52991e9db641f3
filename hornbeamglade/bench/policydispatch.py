"""Dispatchers of the compared policies: how requests reach engines."""

import abc
import heapq
import itertools

from hornbeamglade.bench import policymetrics, policypool, policyworkload


class Dispatcher(abc.ABC):
    """Dispatches requests to replicas and records the outcome of each.

    :param scenario: limits, such as the longest wait.
    :param pool: the replicas.
    :param recorder: receives refusals and losses.
    """

    def __init__(
        self,
        scenario: policyworkload.Scenario,
        pool: list[policypool.Replica],
        recorder: policymetrics.Recorder,
    ) -> None:
        self.scenario = scenario
        self.replica_by_name = {replica.name: replica for replica in pool}
        self.recorder = recorder

    @abc.abstractmethod
    def dispatch(self, request: policyworkload.Request, now: float) -> None:
        """Dispatch a request that has just arrived or was returned by a lost replica."""

    @abc.abstractmethod
    def tick(self, step: int, now: float) -> None:
        """Perform time-based work; called once per step."""

    def on_finished(
        self, replica: policypool.Replica, active: policypool.ActiveRequest, now: float
    ) -> None:
        """Handle the end of a response."""
        return

    def on_replica_lost(
        self, replica: policypool.Replica, active: list[policypool.ActiveRequest], now: float
    ) -> None:
        """Handle the loss of a replica: requests that have not started are dispatched again."""
        for each in active:
            if each.last_step >= 0:
                self.recorder.record_loss(each.request, now)
            else:
                self.dispatch(each.request, now)

    def on_replica_restored(self, replica: policypool.Replica, now: float) -> None:
        """Handle the return of a lost replica, which is empty."""
        return

    def deadline(self, request: policyworkload.Request) -> float:
        """Return the time by which a request must have started."""
        return self.scenario.deadline(request)

    def live_replicas(self) -> list[policypool.Replica]:
        """Return the replicas that accept work."""
        return [replica for replica in self.replica_by_name.values() if replica.is_up]


class _WithoutAdmission(Dispatcher):
    """Sends each request to an engine immediately, where it may wait up to the limit."""

    def __init__(
        self,
        scenario: policyworkload.Scenario,
        pool: list[policypool.Replica],
        recorder: policymetrics.Recorder,
    ) -> None:
        super().__init__(scenario, pool, recorder)
        self._pending: list[tuple[float, int, policypool.Replica, policyworkload.Request]] = []
        self._submitted = 0

    def dispatch(self, request: policyworkload.Request, now: float) -> None:
        """Submit the request to the replica that the policy picks."""
        replica = self.pick()
        replica.submit(request)
        self._submitted += 1
        entry = (self.deadline(request), self._submitted, replica, request)
        heapq.heappush(self._pending, entry)

    def tick(self, step: int, now: float) -> None:
        """Refuse requests that have not started by their deadline."""
        while self._pending and self._pending[0][0] <= now:
            _, _, replica, request = heapq.heappop(self._pending)
            active = replica.active_by_id.get(request.work.request_id)
            if active is not None and active.last_step < 0:
                replica.cancel(request.work.request_id)
                self.recorder.record_refusal(request, now)

    @abc.abstractmethod
    def pick(self) -> policypool.Replica:
        """Return the replica for the next request."""


class RoundRobin(_WithoutAdmission):
    """Cycles through the replicas."""

    def __init__(
        self,
        scenario: policyworkload.Scenario,
        pool: list[policypool.Replica],
        recorder: policymetrics.Recorder,
    ) -> None:
        super().__init__(scenario, pool, recorder)
        self._positions = itertools.count()

    def pick(self) -> policypool.Replica:
        """Return the next replica of the cycle."""
        live = self.live_replicas()
        return live[next(self._positions) % len(live)]


class LeastOutstanding(_WithoutAdmission):
    """Picks the replica with the fewest requests, waiting ones included."""

    def pick(self) -> policypool.Replica:
        """Return the replica with the fewest requests."""
        return min(self.live_replicas(), key=lambda replica: len(replica.active_by_id))
