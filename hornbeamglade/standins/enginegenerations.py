"""The generations of a stand-in engine: the engine model, stepped in real time."""

import collections
import dataclasses
import enum
import queue
import threading
import time

from hornbeamglade.emulator import enginemodel, prefixcache
from hornbeamglade.standins import engineresponses, enginesettings

_IDLE_TICK_S = 0.1
_SAMPLES_KEPT = 4096
_RUNS_KEPT = 200_000
_EVENTS_KEPT = 10_000


class RunState(enum.Enum):
    """The state of a generation."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One generation that the engine accepted; an entry of the ledger.

    :param wake: receives an item whenever there is something to send on the connection
        that the stream is attached to; replaced by a new queue on a resume.
    :param lost_at: when the connection was lost, or None while there is one.
    """

    request_id: str
    idempotency_key: str | None
    path: str
    generation: engineresponses.Generation
    mark: str
    produced: int = 0
    truncated: bool = False
    state: RunState = RunState.RUNNING
    wake: queue.SimpleQueue[None] = dataclasses.field(default_factory=queue.SimpleQueue)
    lost_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """The engine's load at one time."""

    sequence: int
    taken_at: float
    load: enginemodel.ModelLoad


class Generations:
    """Runs generations and notifies their connections of new tokens.

    :param settings: the engine's settings.
    """

    def __init__(self, settings: enginesettings.EngineSettings) -> None:
        self.faults = enginesettings.EngineFaults()
        self.refused = 0
        self._settings = settings
        self._model = enginemodel.EngineModel(
            settings.capacity_tokens,
            step_s=settings.step_s,
            max_running=settings.max_running,
            prefill_tokens_per_step=settings.prefill_tokens_per_step,
        )
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._run_by_id: dict[str, Run] = {}
        self._ledger: collections.deque[Run] = collections.deque(maxlen=_RUNS_KEPT)
        self._samples: collections.deque[LoadSample] = collections.deque(maxlen=_SAMPLES_KEPT)
        self._sample_count = 0
        self._events: collections.deque[tuple[float, prefixcache.CacheEvent]] = collections.deque(
            maxlen=_EVENTS_KEPT
        )
        self._ticker = threading.Thread(target=self._tick_until_stopped, daemon=True)

    @property
    def stopping(self) -> bool:
        """Whether the engine is stopping and connections have to be closed."""
        return self._stopping.is_set()

    def start(self) -> None:
        """Start to step the model."""
        self._ticker.start()

    def stop(self) -> None:
        """Stop the model and wake all connections, which then close."""
        self._stopping.set()
        if self._ticker.is_alive():
            self._ticker.join()
        with self._lock:
            self._wake_all()

    def set_faults(self, faults: enginesettings.EngineFaults) -> None:
        """Set the active faults."""
        with self._lock:
            self.faults = faults
            self._model.slow_factor = faults.slow
            self._wake_all()

    def submit(self, run: Run, priority: int) -> None:
        """Accept a generation.

        :raises CodedError: when it doesn't fit into the memory or its id is in use.
        """
        generation = run.generation
        prefix = self._settings.prefix_hashes(generation.prompt)
        sequence = enginemodel.Sequence(
            run.request_id, generation.prompt_tokens, generation.answer_tokens, priority, prefix
        )
        with self._lock:
            self._model.submit(sequence)
            self._run_by_id[run.request_id] = run
            self._ledger.append(run)

    def attach(self, run: Run) -> queue.SimpleQueue[None]:
        """Attach a new connection; the previous one closes."""
        with self._lock:
            previous = run.wake
            run.wake = queue.SimpleQueue()
            run.wake.put(None)
            run.lost_at = None
            previous.put(None)
            return run.wake

    def detach(self, run: Run, wake: queue.SimpleQueue[None], is_resumable: bool) -> None:
        """Record that an attached connection was lost.

        :param is_resumable: whether the stream may be resumed; otherwise it is cancelled.
        """
        with self._lock:
            if run.wake is not wake:
                return
            run.lost_at = time.monotonic()
            if not is_resumable or not self._settings.resume:
                self._drop(run)

    def find(self, request_id: str) -> Run | None:
        """Return a generation that has a connection or may be resumed."""
        with self._lock:
            return self._run_by_id.get(request_id)

    def cancel(self, request_id: str) -> bool:
        """Cancel a generation; return False when there is none with this id."""
        with self._lock:
            run = self._run_by_id.get(request_id)
            if run is None:
                return False
            self._drop(run)
            run.wake.put(None)
            return True

    def ledger(self) -> tuple[Run, ...]:
        """Return all accepted generations, oldest first."""
        with self._lock:
            return tuple(self._ledger)

    def lagging_load(self) -> tuple[LoadSample, float]:
        """Return the load of ``load_lag_s`` ago, and its age in seconds."""
        with self._lock:
            self._sample()
            now = time.monotonic()
            newest_allowed = now - self._settings.load_lag_s
            chosen = self._samples[0]
            for sample in reversed(self._samples):
                if sample.taken_at <= newest_allowed:
                    chosen = sample
                    break
            return chosen, now - chosen.taken_at

    def cache_events(self, after: int) -> tuple[prefixcache.CacheEvent, ...]:
        """Return the events after a sequence number, with the configured delay and gaps."""
        drop_every = self._settings.event_drop_every
        with self._lock:
            self._collect_events()
            newest_allowed = time.monotonic() - self._settings.event_lag_s
            return tuple(
                event
                for at, event in self._events
                if event.sequence > after
                and at <= newest_allowed
                and not (drop_every and event.sequence % drop_every == 0)
            )

    def _drop(self, run: Run) -> None:
        if run.state is RunState.RUNNING:
            self._model.cancel(run.request_id)
            run.state = RunState.CANCELLED
        if self._run_by_id.get(run.request_id) is run:
            del self._run_by_id[run.request_id]

    def _wake_all(self) -> None:
        for run in self._run_by_id.values():
            run.wake.put(None)

    def _tick_until_stopped(self) -> None:
        due = time.monotonic()
        while not self._stopping.is_set():
            step_s = self._tick()
            # Lost time is not caught up: an engine that was paused doesn't decode
            # faster afterwards.
            due = max(due + step_s, time.monotonic())
            self._stopping.wait(due - time.monotonic())

    def _tick(self) -> float:
        with self._lock:
            load = self._model.load()
            if not self._samples or time.monotonic() - self._samples[-1].taken_at > _IDLE_TICK_S:
                self._sample()
                self._collect_events()
                self._drop_expired()
            if not load.running and not load.waiting:
                return min(_IDLE_TICK_S, self._settings.step_s)
            result = self._model.step()
            for request_id in result.token_count_by_id:
                self._run_by_id[request_id].produced += 1
            # Connections read a run without the lock: its end may be visible only after its
            # last token, and before its connection is woken.
            for request_id in result.finished:
                run = self._run_by_id[request_id]
                run.truncated = request_id in result.truncated
                run.state = RunState.FINISHED
            for request_id in (*result.token_count_by_id, *result.finished):
                self._run_by_id[request_id].wake.put(None)
            return result.duration_s

    def _sample(self) -> None:
        self._sample_count += 1
        sample = LoadSample(self._sample_count, time.monotonic(), self._model.load())
        self._samples.append(sample)

    def _collect_events(self) -> None:
        now = time.monotonic()
        self._events.extend((now, event) for event in self._model.drain_cache_events())

    def _drop_expired(self) -> None:
        oldest_kept = time.monotonic() - self._settings.resume_s
        for run in tuple(self._run_by_id.values()):
            if run.lost_at is not None and run.lost_at < oldest_kept:
                self._drop(run)
