"""Engine reports and results of KV cache copies, as immutable values."""

import dataclasses

from hornbeamglade.replicas import advisories


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedRun:
    """One run at an engine.

    :param request_id: the request that it serves.
    :param tokens: tokens of its KV cache.
    :param events: events that it has produced.
    """

    request_id: str
    tokens: int
    events: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report of its own state, some hundred milliseconds old.

    :param memory_tokens: tokens that its KV cache memory holds.
    :param used_tokens: tokens of that memory that cannot be reclaimed.
    :param waiting: requests in its queue.
    :param runs: its runs.
    :param is_leaving: whether it has been told to stop.
    :param leaves_in_s: seconds until it stops, at the time of the report, or None.
    :param started_ms: Unix milliseconds of the start of the reporting incarnation, or 0.
    :param advisory: what the engine states about itself in the head of the response.
    """

    memory_tokens: int
    used_tokens: int
    waiting: int
    runs: tuple[ReportedRun, ...]
    is_leaving: bool
    leaves_in_s: float | None = None
    started_ms: int = 0
    advisory: advisories.Advisory = advisories.Advisory()


@dataclasses.dataclass(frozen=True, slots=True)
class ReportFailed:
    """An engine's report could not be read.

    :param is_refused: whether the connection was refused, that is, nothing listens at its
        address; otherwise it did not respond, or its response was malformed.
    """

    is_refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CopySucceeded:
    """A run's KV cache was copied to another engine.

    :param name: the name of the copy.
    :param events: events that the run had produced by then.
    """

    name: str
    events: int


@dataclasses.dataclass(frozen=True, slots=True)
class CopyFailed:
    """A run's KV cache was not copied.

    :param code: a stable identifier: ``no_run``, ``busy``, ``no_room``, ``not_listening`` or
        ``no_answer``.
    :param name: the name of the KV cache that a stopped run keeps at its engine, or None.
    """

    code: str
    name: str | None = None
