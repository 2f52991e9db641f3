"""What engines report, and what comes of copying a run's memory, as immutable values."""

import dataclasses

from hornbeamglade.replicas import ratelimits


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedRun:
    """One run at an engine.

    :param request_id: the request that it answers.
    :param tokens: memory that it holds.
    :param events: events that it has made.
    """

    request_id: str
    tokens: int
    events: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself; as of some hundred milliseconds ago.

    :param memory_tokens: its memory.
    :param used_tokens: memory that cannot yield.
    :param waiting: requests that wait there.
    :param runs: what it runs.
    :param is_leaving: whether it has been told to stop.
    :param leaves_in_s: seconds until it is gone, as of then, or None.
    :param started_ms: Unix milliseconds of the start that it speaks of, or 0.
    :param limit: what it takes at most, or None when it names no limit.
    """

    memory_tokens: int
    used_tokens: int
    waiting: int
    runs: tuple[ReportedRun, ...]
    is_leaving: bool
    leaves_in_s: float | None = None
    started_ms: int = 0
    limit: ratelimits.RateLimit | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReportFailed:
    """An engine gave no report.

    :param is_refused: whether nothing listens at its address; else it was silent, or what
        it said could not be read.
    """

    is_refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CopySucceeded:
    """A run's memory is at another engine.

    :param name: what the copy is called.
    :param events: events that the run had made by then.
    """

    name: str
    events: int


@dataclasses.dataclass(frozen=True, slots=True)
class CopyFailed:
    """A run's memory was not copied.

    :param code: a stable identifier: ``no_run``, ``busy``, ``no_room`` or ``no_answer``.
    :param name: what the memory is called that a stopped run keeps at its engine, or None.
    """

    code: str
    name: str | None = None
