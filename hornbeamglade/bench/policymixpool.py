"""Engines of the experiments ``uneven`` and ``crowd``, and what their callers receive."""

import collections.abc
import dataclasses
import enum

from hornbeamglade.bench import policymetrics, policymixload, policypool, policyworkload
from hornbeamglade.emulator import enginemodel, machineslowdowns
from hornbeamglade.speeds import pacemeter

MakeMeter = collections.abc.Callable[[], pacemeter.PaceMeter | None]
"""Returns the meter of a new stream, or None if streams are not measured."""


class Result(enum.Enum):
    """The outcome of a request as its caller sees it."""

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclasses.dataclass(slots=True, eq=False)
class ActiveStream(policypool.ActiveRequest):
    """A stream on an engine; pauses are those between its events.

    :param meter: measures its pace at this engine, or None if it is not measured.
    :param event_at: when its last event was sent.
    :param longest_pause_s: its longest pause between events so far.
    """

    meter: pacemeter.PaceMeter | None = None
    event_at: float = 0.0
    longest_pause_s: float = 0.0

    def result(self, now: float) -> Result:
        """Return the outcome of a response that is complete now."""
        kind = self.request.kind
        if now - self.request.at_s > kind.deadline_s:
            return Result.FAILED
        is_late = (
            self.first_at - self.request.at_s > kind.goal_s
            or self.longest_pause_s > kind.gap_goal_s
        )
        return Result.LATE if is_late else Result.ON_TIME


class Recorder(policymetrics.Recorder):
    """Records the outcome of each request.

    :param scenario: the experiment.
    """

    def __init__(self, scenario: policymixload.MixScenario) -> None:
        super().__init__(scenario, 0.0)
        self.results: list[tuple[policymixload.MixRequest, Result]] = []
        self.migrated = 0

    def record_refusal(self, request: policyworkload.Request, now: float) -> None:
        """Record a request that was refused or never started."""
        self.results.append((request, Result.REFUSED))

    def record_loss(self, request: policyworkload.Request, now: float) -> None:
        """Record a response that was cut off."""
        self.results.append((request, Result.FAILED))

    def record_end(self, active: ActiveStream, now: float) -> None:
        """Record a complete response."""
        self.results.append((active.request, active.result(now)))


class MixReplica(policypool.Replica):
    """One engine that advances by its own steps within a step of the benchmark.

    Explanation
    ===========

    Prompts are processed in order of arrival, as at the engines of the deployments, so the
    engine is not told of priorities.

    :param time_factor: the engine's own speed.
    :param machine: slowdowns of its machine, or None.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        scenario: policymixload.MixScenario,
        time_factor: float,
        machine: machineslowdowns.Machine | None,
    ) -> None:
        self.time_factor = time_factor
        self.machine = machine
        self.is_present = True
        self.leaves_at = float("inf")
        self.returns_at = float("inf")
        self.make_meter: MakeMeter = lambda: None
        super().__init__(name, domain, scenario)

    @property
    def held_tokens(self) -> int:
        """Tokens of prompts and answers so far, including prompts that wait."""
        return sum(
            active.request.work.prompt_tokens + active.produced
            for active in self.active_by_id.values()
        )

    def has_room(self, tokens: int) -> bool:
        """Return whether a run of this size fits into the memory that is free now."""
        is_below = len(self.active_by_id) < self._scenario.max_running
        return is_below and self.held_tokens + tokens <= self._scenario.capacity_tokens

    def submit(self, request: policymixload.MixRequest) -> None:
        """Submit a request to the engine."""
        self.adopt(ActiveStream(request))

    def adopt(self, active: ActiveStream) -> None:
        """Submit a request, or continue a stream whose KV cache was copied to this engine."""
        work = active.request.work
        prompt_tokens = work.prompt_tokens + active.produced
        sequence = enginemodel.Sequence(
            work.request_id,
            prompt_tokens,
            active.request.answer_tokens - active.produced,
            copied_tokens=prompt_tokens if active.produced else 0,
        )
        active.meter = self.make_meter()
        self.engine.submit(sequence)
        self.active_by_id[work.request_id] = active

    def announce_leaving(self, leaves_at: float, returns_at: float) -> None:
        """Accept no more work; the engine runs on until it leaves."""
        self.is_up = False
        self.leaves_at = leaves_at
        self.returns_at = returns_at

    def fail(self) -> list[policypool.ActiveRequest]:
        """Leave, and return the requests that were not moved away."""
        self.is_present = False
        self.leaves_at = float("inf")
        return super().fail()

    def restore(self, time_factor: float, now: float) -> None:
        """Take the place of the engine that left."""
        self.time_factor = time_factor
        self.engine = self._new_engine()
        self.engine.now_s = now
        self.returns_at = float("inf")
        self.is_present = self.is_up = True

    def step(self, step: int, now: float, recorder: policymetrics.Recorder) -> list[ActiveStream]:
        """Advance to the end of a benchmark step; return the streams that finished in it."""
        finished: list[ActiveStream] = []
        until = now + policyworkload.STEP_S
        while self.is_present and self.active_by_id and self.engine.now_s < until:
            self.engine.now_s = max(self.engine.now_s, now)
            result = self.engine.step()
            for request_id in result.token_count_by_id:
                self._record_token(self.active_by_id[request_id], step)
            for request_id in result.finished:
                active = self.active_by_id.pop(request_id)
                if request_id in result.truncated:
                    recorder.record_loss(active.request, self.engine.now_s)
                else:
                    recorder.record_end(active, self.engine.now_s)
                finished.append(active)
        return finished

    def _record_token(self, active: ActiveStream, step: int) -> None:
        active.produced += 1
        is_last = active.produced == active.request.answer_tokens
        if active.produced % policymixload.TOKENS_PER_EVENT and not is_last:
            return
        now = self.engine.now_s
        if active.last_step < 0:
            active.first_at = now
        else:
            pause_s = now - active.event_at
            active.longest_pause_s = max(active.longest_pause_s, pause_s)
        if active.meter is not None:
            active.meter.record(now)
        active.event_at = now
        active.last_step = step

    def _new_engine(self) -> enginemodel.EngineModel:
        return enginemodel.EngineModel(
            self._scenario.capacity_tokens,
            block_tokens=policyworkload.BLOCK_TOKENS,
            step_s=policymixload.STEP_S,
            max_running=self._scenario.max_running,
            prefill_tokens_per_step=policymixload.PREFILL_CHUNK_TOKENS,
            time_factor=self.time_factor,
            costs=policymixload.COSTS,
            machine=self.machine,
        )


def replicas(scenario: policymixload.MixScenario, seed: int) -> list[MixReplica]:
    """Create the engines of an experiment; neighbors are in different failure domains."""
    factors = scenario.time_factors
    found = []
    for number in range(scenario.replicas):
        machine = None
        if scenario.slowdowns is not None:
            machine = machineslowdowns.Machine(scenario.slowdowns, f"{seed}/{number}")
        # Engines of one failure domain get all factors, rather than one each.
        factor = factors[(number + number // scenario.domains) % len(factors)]
        domain = f"domain{number % scenario.domains}"
        found.append(MixReplica(f"replica{number}", domain, scenario, factor, machine))
    return found
