"""How the compared policies get requests to engines."""

import abc
import collections
import itertools

from hornbeamglade.bench import policymetrics, policypool, policyworkload


class Dispatcher(abc.ABC):
    """Places requests and answers for each of them.

    :param scenario: bounds.
    :param pool: the engines.
    :param recorder: hears of refusals.
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
        """Take a request that has just arrived, or comes back from a lost replica."""

    @abc.abstractmethod
    def tick(self, step: int, now: float) -> None:
        """Do what is due by the passage of time; once a step."""

    def on_finished(
        self, replica: policypool.Replica, active: policypool.ActiveRequest, now: float
    ) -> None:
        """Hear that an answer has come to its end."""
        return

    def on_replica_lost(
        self, replica: policypool.Replica, active: list[policypool.ActiveRequest], now: float
    ) -> None:
        """Hear that a replica is lost: what has not begun is placed again."""
        for each in active:
            if each.last_step >= 0:
                self.recorder.record_loss(now)
            else:
                self.dispatch(each.request, now)

    def on_replica_restored(self, replica: policypool.Replica, now: float) -> None:
        """Hear that a lost replica is there again, empty."""
        return

    def deadline(self, request: policyworkload.Request) -> float:
        """Return when a request must have started."""
        return request.at_s + self.scenario.max_wait_s

    def live_replicas(self) -> list[policypool.Replica]:
        """Return the replicas that take work."""
        return [replica for replica in self.replica_by_name.values() if replica.is_up]


class _WithoutAdmission(Dispatcher):
    """Sends each request to an engine at once, where it may wait up to the bound."""

    def __init__(
        self,
        scenario: policyworkload.Scenario,
        pool: list[policypool.Replica],
        recorder: policymetrics.Recorder,
    ) -> None:
        super().__init__(scenario, pool, recorder)
        self._pending: collections.deque[tuple[policypool.Replica, policyworkload.Request]]
        self._pending = collections.deque()

    def dispatch(self, request: policyworkload.Request, now: float) -> None:
        """Submit to the replica that the policy picks."""
        replica = self.pick()
        replica.submit(request)
        self._pending.append((replica, request))

    def tick(self, step: int, now: float) -> None:
        """Refuse what has not begun by its deadline."""
        while self._pending and self.deadline(self._pending[0][1]) <= now:
            replica, request = self._pending.popleft()
            active = replica.active_by_id.get(request.work.request_id)
            if active is not None and active.last_step < 0:
                replica.cancel(request.work.request_id)
                self.recorder.record_refusal(now)

    @abc.abstractmethod
    def pick(self) -> policypool.Replica:
        """Return the replica for the next request."""


class RoundRobin(_WithoutAdmission):
    """Takes the replicas in turn."""

    def __init__(
        self,
        scenario: policyworkload.Scenario,
        pool: list[policypool.Replica],
        recorder: policymetrics.Recorder,
    ) -> None:
        super().__init__(scenario, pool, recorder)
        self._positions = itertools.count()

    def pick(self) -> policypool.Replica:
        """Return the next replica in turn."""
        live = self.live_replicas()
        return live[next(self._positions) % len(live)]


class LeastOutstanding(_WithoutAdmission):
    """Takes the replica with the fewest requests, waiting ones included."""

    def pick(self) -> policypool.Replica:
        """Return the replica with the fewest requests."""
        return min(self.live_replicas(), key=lambda replica: len(replica.active_by_id))
