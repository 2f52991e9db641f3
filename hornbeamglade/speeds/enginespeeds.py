"""The paces of the engines that a node owns, from the measurements of relayed streams."""

import collections
import collections.abc
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.speeds import pacemeter

TOKEN_WINDOW_S = 15.0
PAUSE_WINDOW_S = 10.0
"""Placement follows speeds slowly, so that nodes neither abandon an engine all at once nor
converge on it."""

PAUSE_KNOWN_AFTER_S = 4.0
"""A machine becomes busy about this often, so the pauses of an engine that was observed for less
time are too short."""

MAX_OBSERVATIONS = 64
MAX_ENGINES = 256
MAX_TOKEN_US = 1_000_000
MAX_PAUSE_MS = 60_000
"""Larger measurements describe a stalled connection rather than an engine."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """The pace of one engine.

    :param token_s: seconds per token at the engine's own speed.
    :param pause_s: the longest recent pause between events, 0 if unknown.
    """

    token_s: float
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    at: float
    value: float


@dataclasses.dataclass(slots=True)
class _Engine:
    first_at: float
    tokens_s: collections.deque[_Observation]
    pauses_s: collections.deque[_Observation]


class EngineSpeeds:
    """The time per token and the longest pause of each engine that this node owns.

    Explanation
    ===========

    An engine's id names one incarnation, so a restarted engine has no earlier state.
    Services whose replicas do not share machines are neither measured nor placed by pace.

    :param clock: monotonic time.
    :param shares_machines: returns whether the replicas of a service share their machines.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> speeds = EngineSpeeds(clock, lambda service: True)
    >>> speeds.observe("e1", pacemeter.Measurement(token_us=8000, pause_ms=120))
    >>> speeds.pace("e1")
    Pace(token_s=0.008, pause_s=0.0)
    >>> clock.advance(5.0)
    >>> speeds.pace("e1")
    Pace(token_s=0.008, pause_s=0.12)
    >>> clock.advance(15.0)
    >>> speeds.pace("e1") is None
    True
    """

    def __init__(
        self, clock: clocks.Clock, shares_machines: collections.abc.Callable[[str], bool]
    ) -> None:
        self._clock = clock
        self._shares_machines = shares_machines
        self._tokens_per_event: dict[str, int] = {}
        self._engine_by_replica: dict[str, _Engine] = {}

    def configure(self, tokens_per_event: dict[str, int]) -> None:
        """Set the tokens per event of each service whose replicas are engines."""
        self._tokens_per_event = dict(tokens_per_event)

    def is_enabled(self, service: str) -> bool:
        """Return whether requests of a service are placed by pace."""
        return service in self._tokens_per_event and self._shares_machines(service)

    def tokens_per_event(self, service: str) -> int:
        """Return the tokens in one event of a configured service."""
        return self._tokens_per_event[service]

    def make_meter(self, service: str) -> pacemeter.PaceMeter | None:
        """Return a meter for a stream of a service, or None if it is not measured."""
        if not self.is_enabled(service):
            return None
        return pacemeter.PaceMeter(self._tokens_per_event[service])

    def observe(self, replica: str, measurement: pacemeter.Measurement) -> None:
        """Record the measurement of a stream."""
        now = self._clock.now()
        engine = self._engine_by_replica.get(replica)
        if engine is None:
            if len(self._engine_by_replica) >= MAX_ENGINES:
                return
            engine = self._engine_by_replica[replica] = _Engine(
                now,
                collections.deque(maxlen=MAX_OBSERVATIONS),
                collections.deque(maxlen=MAX_OBSERVATIONS),
            )
        if 0 < measurement.token_us <= MAX_TOKEN_US:
            token_s = measurement.token_us / pacemeter.MICROSECONDS_PER_SECOND
            engine.tokens_s.append(_Observation(now, token_s))
        if 0 < measurement.pause_ms <= MAX_PAUSE_MS:
            pause_s = measurement.pause_ms / pacemeter.MILLISECONDS_PER_SECOND
            engine.pauses_s.append(_Observation(now, pause_s))

    def pace(self, replica: str) -> Pace | None:
        """Return the pace of an engine, or None if it is unknown."""
        engine = self._engine_by_replica.get(replica)
        if engine is None:
            return None
        now = self._clock.now()
        tokens_s = _recent(engine.tokens_s, now - TOKEN_WINDOW_S)
        if not tokens_s:
            return None
        pauses_s = _recent(engine.pauses_s, now - PAUSE_WINDOW_S)
        is_pause_known = now - engine.first_at >= PAUSE_KNOWN_AFTER_S
        pause_s = max(pauses_s, default=0.0) if is_pause_known else 0.0
        return Pace(pacemeter.low_quantile(tokens_s), pause_s)

    def retain(self, replicas: collections.abc.Container[str]) -> None:
        """Forget all engines but ``replicas``."""
        for replica in tuple(self._engine_by_replica):
            if replica not in replicas:
                del self._engine_by_replica[replica]


def _recent(observations: collections.deque[_Observation], oldest: float) -> list[float]:
    while observations and observations[0].at < oldest:
        observations.popleft()
    return [each.value for each in observations]
