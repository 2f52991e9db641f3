"""The pool of simulated engines that a benchmarked policy dispatches to."""

import collections
import dataclasses

from hornbeamglade.admission import tokenledger
from hornbeamglade.bench import policymetrics, policyworkload
from hornbeamglade.emulator import enginemodel

_REPORT_EVERY_STEPS = 19


@dataclasses.dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request on an engine and what its caller has received so far."""

    request: policyworkload.Request
    produced: int = 0
    first_at: float = 0.0
    last_step: int = -1


class Replica:
    """One engine with its streams and its delayed load reports.

    :param name: name of the replica.
    :param domain: its failure domain.
    :param scenario: sizes and the delay of reports.
    """

    def __init__(self, name: str, domain: str, scenario: policyworkload.Scenario) -> None:
        self.name = name
        self.domain = domain
        self.active_by_id: dict[str, ActiveRequest] = {}
        self.is_up = True
        self.step_interval = 1
        self._scenario = scenario
        self._recomputed_before = 0
        self._sequence = 0
        self._reports: collections.deque[tuple[float, tokenledger.LoadView]] = collections.deque()
        self.engine = self._new_engine()

    @property
    def recomputed_tokens(self) -> int:
        """Tokens recomputed after preemptions, including those of engines that were lost."""
        return self._recomputed_before + self.engine.recomputed_tokens

    def submit(self, request: policyworkload.Request) -> None:
        """Submit a request to the engine."""
        work = request.work
        sequence = enginemodel.Sequence(
            work.request_id, work.prompt_tokens, request.answer_tokens, work.priority
        )
        self.engine.submit(sequence)
        self.active_by_id[work.request_id] = ActiveRequest(request)

    def cancel(self, request_id: str) -> None:
        """Cancel a request on the engine."""
        self.engine.cancel(request_id)
        del self.active_by_id[request_id]

    def fail(self) -> list[ActiveRequest]:
        """Stop the engine and return the requests it was running."""
        self.is_up = False
        active = list(self.active_by_id.values())
        self.active_by_id = {}
        self._reports.clear()
        self._recomputed_before += self.engine.recomputed_tokens
        self.engine = self._new_engine()
        return active

    def step(self, step: int, now: float, recorder: policymetrics.Recorder) -> list[ActiveRequest]:
        """Advance by one benchmark step and return the requests that finished in it."""
        if not self.is_up or step % self.step_interval:
            return []
        result = self.engine.step()
        recorder.record_preemptions(len(result.preempted), now)
        self._record_tokens(result.token_count_by_id, step, now, recorder)
        return [self.active_by_id.pop(request_id) for request_id in result.finished]

    def reports(self, step: int, now: float) -> list[tokenledger.LoadView]:
        """Publish a load report periodically and return the reports that arrive now."""
        if self.is_up and step % _REPORT_EVERY_STEPS == 0:
            load = self.engine.load()
            self._sequence += 1
            view = tokenledger.LoadView(
                self._sequence, 0.0, load.capacity_tokens, load.used_tokens, load.preemptions
            )
            self._reports.append((now, view))
        arrived = []
        while self._reports and now - self._reports[0][0] >= self._scenario.report_lag_s:
            taken_at, view = self._reports.popleft()
            arrived.append(dataclasses.replace(view, age_s=now - taken_at))
        return arrived

    def _record_tokens(
        self,
        token_count_by_id: dict[str, int],
        step: int,
        now: float,
        recorder: policymetrics.Recorder,
    ) -> None:
        teams = []
        gaps: collections.Counter[int] = collections.Counter()
        for request_id in token_count_by_id:
            active = self.active_by_id[request_id]
            active.produced += 1
            teams.append(active.request.work.team)
            if active.last_step < 0:
                active.first_at = now
                recorder.record_first_token(active.request, now)
            else:
                gaps[step - active.last_step] += 1
            active.last_step = step
        recorder.record_tokens(teams, now)
        for steps, count in gaps.items():
            recorder.record_gaps(steps, count, now)

    def _new_engine(self) -> enginemodel.EngineModel:
        return enginemodel.EngineModel(
            self._scenario.capacity_tokens,
            block_tokens=policyworkload.BLOCK_TOKENS,
            step_s=policyworkload.STEP_S,
            max_running=self._scenario.max_running,
        )


def replicas(scenario: policyworkload.Scenario) -> list[Replica]:
    """Create the replicas of a scenario."""
    return [
        Replica(f"replica{i}", f"domain{i % scenario.domains}", scenario)
        for i in range(scenario.replicas)
    ]
