"""Failed and late requests by cause, from the log lines of all instances of a site.

Explanation
===========

Each request whose response was incomplete or late is attributed to one cause of a closed
list. A run that was lost with its engine is attributed to the step of its migration that took
the longest: learning that the engine stops, finding free capacity elsewhere, waiting for a
migration slot, or the KV cache copy itself. An instance that is killed writes nothing, so a
stream that was placed and has no end in its instance's log has a cause of its own; a plain
request that was in progress there leaves no line at all, and is not counted.

Examples
========

>>> lost = [Loss("r1", 3.0, "n1", "draft", Cause.NO_CAPACITY, 3500, 40, 1.2)]
>>> [(row.cause.value, row.count, row.tokens) for row in by_cause(lost)]
[('left_no_room', 1, 3500)]
"""

import collections
import collections.abc
import dataclasses
import enum

from hornbeamglade.observability import requesttimeline

WINDOW_S = 2.0
UNKNOWN_DOMAIN = "-"
_END = "answer"

SLOW_FACTOR = 1.5
"""From this time per token, relative to the service's median, an engine counts as slow."""


class Cause(enum.Enum):
    """Why a caller did not get a complete response on time."""

    NOT_MIGRATED = "engine_left_unmoved"
    LEARNED_LATE = "left_learned_late"
    NO_CAPACITY = "left_no_room"
    NO_MIGRATION_SLOT = "left_no_turn"
    COPY_LATE = "left_copy_late"
    ENGINE_LOST = "engine_lost"
    INSTANCE_STOPPED = "instance_stopped"
    INSTANCE_VANISHED = "instance_vanished"
    REFUSED = "refused"
    REFUSED_BY_FORECAST = "refused_by_forecast"
    PACE_BOUND = "pace_bound"
    REPLICA_FAILED = "replica_failed"
    DEADLINE_PASSED = "time_over"
    LATE_START = "late_in_queue_or_prompt"
    LATE_TOKEN = "late_by_a_pause"
    SLOW_ENGINE = "slow_engine"
    LATE_RESPONSE = "late_answer"
    CALLER_LEFT = "caller_left"
    UNKNOWN = "unknown"


_CAUSE_BY_OUTCOME = {
    "cut_by_stop": Cause.INSTANCE_STOPPED,
    "stopped_before_answer": Cause.INSTANCE_STOPPED,
    "caller_left": Cause.CALLER_LEFT,
    "answer_too_late": Cause.DEADLINE_PASSED,
    "not_started_in_time": Cause.DEADLINE_PASSED,
    "no_answer": Cause.REPLICA_FAILED,
}

_CAUSE_BY_REFUSAL = {
    "refused_by_forecast": Cause.REFUSED_BY_FORECAST,
    "pace_bound": Cause.PACE_BOUND,
}

_UNSPECIFIC_REFUSALS = frozenset(("no_room_now", "queue_timeout"))
"""Of the refusals of several owners, the one with the shortest retry time ends the request. These
say only that no engine had room; the last `placed` line may tell why."""


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """One request that was not served completely and on time.

    :param request_id: the request.
    :param at: Unix time of its last line, in seconds.
    :param node: the instance that wrote this line.
    :param service: the route, or the service when the line names no route.
    :param cause: why the request failed or was late.
    :param tokens: tokens of its prompt.
    :param events: events that its caller received.
    :param seconds: its duration.
    :param code: the code of a refusal, otherwise empty.
    """

    request_id: str
    at: float
    node: str
    service: str
    cause: Cause
    tokens: int
    events: int
    seconds: float
    code: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A group of losses.

    :param key: the value that the losses share in the chosen grouping.
    :param cause: the cause that they share.
    :param count: number of requests.
    :param tokens: total tokens of their prompts.
    :param seconds: their total duration.
    """

    key: str
    cause: Cause
    count: int
    tokens: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Losses:
    """The requests and losses in the logs of a site.

    :param requests: number of requests with an end, plus streams without one.
    :param lost: those that were not served completely and on time.
    :param domain_by_node: the failure domain of each instance that logged it.
    :param began_at: Unix time of the first line about a request, in seconds.
    """

    requests: int
    lost: tuple[Loss, ...]
    domain_by_node: dict[str, str]
    began_at: float


def find(lines: collections.abc.Iterable[requesttimeline.Line]) -> Losses:
    """Attribute each request that was not served completely and on time to a cause."""
    ordered = sorted(lines, key=lambda line: line.at)
    lines_by_request: dict[tuple[str, str], list[requesttimeline.Line]] = collections.defaultdict(
        list
    )
    leaving_times = _LeavingTimes()
    domain_by_node = {}
    for line in ordered:
        if line.is_decision:
            lines_by_request[line.node, str(line.fields.get("request_id"))].append(line)
        leaving_times.observe(line)
        if line.fields.get("subject") == "node" and "domain" in line.fields:
            domain_by_node[line.node] = str(line.fields["domain"])
    results = [
        _classify(request_lines, leaving_times)
        for request_lines in lines_by_request.values()
        if _is_counted(request_lines)
    ]
    lost = sorted((loss for loss in results if loss is not None), key=lambda loss: loss.at)
    began_at = min(
        (request_lines[0].at for request_lines in lines_by_request.values()), default=0.0
    )
    return Losses(len(results), tuple(lost), domain_by_node, began_at)


def by_cause(lost: collections.abc.Iterable[Loss]) -> list[Row]:
    """Return the losses grouped by cause, the most frequent first."""
    return _rows(lost, lambda _loss: "all")


def by_service(lost: collections.abc.Iterable[Loss]) -> list[Row]:
    """Return the losses grouped by route and cause."""
    return _rows(lost, lambda loss: loss.service)


def by_domain(found: Losses) -> list[Row]:
    """Return the losses grouped by the instance's failure domain and by cause."""
    domains = found.domain_by_node
    return _rows(found.lost, lambda loss: domains.get(loss.node, UNKNOWN_DOMAIN))


def by_window(found: Losses) -> list[Row]:
    """Return the losses grouped by cause and by windows of :data:`WINDOW_S` seconds.

    The first window begins with the first request.
    """

    def window(loss: Loss) -> str:
        return f"{int((loss.at - found.began_at) // WINDOW_S) * WINDOW_S:06.1f}"

    return sorted(_rows(found.lost, window), key=lambda row: row.key)


class _LeavingTimes:
    """When engines were first known to be leaving, by any instance and by each one."""

    def __init__(self) -> None:
        self._first_by_replica: dict[str, float] = {}
        self._at_by_node: dict[tuple[str, str], float] = {}

    def observe(self, line: requesttimeline.Line) -> None:
        fields = line.fields
        if fields.get("subject") != "engine" or fields.get("after") != "leaving":
            return
        replica = str(fields.get("replica"))
        self._first_by_replica.setdefault(replica, line.at)
        self._at_by_node.setdefault((line.node, replica), line.at)

    def is_leaving(self, replica: str, at: float) -> bool:
        return self._first_by_replica.get(replica, at + 1) <= at

    def delay_s(self, node: str, replica: str, at: float) -> float:
        """Return how much later than the first instance this one knew, up to ``at``."""
        first = self._first_by_replica.get(replica, at)
        return max(0.0, self._at_by_node.get((node, replica), at) - first)


def _is_counted(request_lines: list[requesttimeline.Line]) -> bool:
    """Return whether the lines are those of a routed request."""
    decisions = {line.fields.get("decision") for line in request_lines}
    return _END in decisions or "placed" in decisions


def _classify(
    request_lines: list[requesttimeline.Line], leaving_times: _LeavingTimes
) -> Loss | None:
    """Return a request's loss, or None when it was served completely and on time."""
    ends = [line for line in request_lines if line.fields.get("decision") == _END]
    if not ends:
        return _loss(request_lines, request_lines[-1], Cause.INSTANCE_VANISHED)
    end = ends[-1]
    outcome = str(end.fields.get("outcome"))
    if outcome in ("answered", "streamed"):
        cause = _lateness_cause(end, outcome)
        if cause is Cause.LATE_TOKEN and _was_engine_slow(request_lines):
            cause = Cause.SLOW_ENGINE
        return None if cause is None else _loss(request_lines, end, cause)
    if outcome == "broken_off":
        return _loss(request_lines, end, _interruption_cause(request_lines, leaving_times))
    cause = _CAUSE_BY_OUTCOME.get(outcome)
    if cause is None:
        is_refusal = end.fields.get("status") in (408, 421, 429, 503)
        cause = _refusal_cause(request_lines, outcome) if is_refusal else Cause.UNKNOWN
        return _loss(request_lines, end, cause, outcome)
    return _loss(request_lines, end, cause)


def _refusal_cause(request_lines: list[requesttimeline.Line], code: str) -> Cause:
    """Return why a request was refused, by the code of its end or of its last placement."""
    if code in _UNSPECIFIC_REFUSALS:
        placed = [line.fields for line in request_lines if line.fields.get("decision") == "placed"]
        code = str(placed[-1].get("outcome")) if placed else code
    return _CAUSE_BY_REFUSAL.get(code, Cause.REFUSED)


def _lateness_cause(end: requesttimeline.Line, outcome: str) -> Cause | None:
    """Return why a complete response was late, or None when it was on time."""
    fields = end.fields
    if outcome == "answered":
        if _number(fields.get("status")) >= 500:
            return Cause.REPLICA_FAILED
        goal_s = _number(fields.get("goal_s"))
        return Cause.LATE_RESPONSE if 0 < goal_s < _number(fields.get("seconds")) else None
    if 0 < _number(fields.get("goal_s")) < _number(fields.get("first_s")):
        return Cause.LATE_START
    if 0 < _number(fields.get("gap_goal_s")) < _number(fields.get("gap_s")):
        return Cause.LATE_TOKEN
    return None


def _was_engine_slow(request_lines: list[requesttimeline.Line]) -> bool:
    """Return whether the engine was known to be slow when the stream was placed there."""
    granted = [
        line.fields
        for line in request_lines
        if line.fields.get("decision") == "placed" and line.fields.get("outcome") == "granted"
    ]
    return bool(granted) and _number(granted[-1].get("slow_factor")) >= SLOW_FACTOR


def _interruption_cause(
    request_lines: list[requesttimeline.Line], leaving_times: _LeavingTimes
) -> Cause:
    """Return why a stream was lost with its engine."""
    lost = [line for line in request_lines if line.fields.get("decision") == "stream_lost"]
    if not lost:
        return Cause.UNKNOWN
    replica, at = str(lost[-1].fields.get("replica")), lost[-1].at
    if not leaving_times.is_leaving(replica, at):
        return Cause.ENGINE_LOST
    migrations = [
        line
        for line in request_lines
        if line.fields.get("decision") == "handover" and line.fields.get("replica") == replica
    ]
    if not migrations:
        return Cause.NOT_MIGRATED
    fields = migrations[-1].fields
    seconds_by_cause = {
        Cause.COPY_LATE: _number(fields.get("copy_s")),
        Cause.NO_MIGRATION_SLOT: _number(fields.get("wait_s")),
        Cause.NO_CAPACITY: _number(fields.get("room_s")),
        Cause.LEARNED_LATE: leaving_times.delay_s(request_lines[-1].node, replica, at),
    }
    return max(seconds_by_cause, key=seconds_by_cause.__getitem__)


def _loss(
    request_lines: list[requesttimeline.Line],
    last: requesttimeline.Line,
    cause: Cause,
    code: str = "",
) -> Loss:
    fields = last.fields
    placed = [line.fields for line in request_lines if line.fields.get("decision") == "placed"]
    placed_fields = placed[-1] if placed else {}
    return Loss(
        request_id=str(fields.get("request_id")),
        at=last.at,
        node=last.node,
        service=str(fields.get("route") or placed_fields.get("service") or "-"),
        cause=cause,
        tokens=int(_number(fields.get("tokens") or placed_fields.get("tokens"))),
        events=int(_number(fields.get("events"))),
        seconds=_number(fields.get("seconds")) or last.at - request_lines[0].at,
        code=code,
    )


def _number(value: object) -> float:
    """Return a field of a line as a number; a missing field or another type counts as 0."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number else 0.0


def _rows(
    lost: collections.abc.Iterable[Loss], key: collections.abc.Callable[[Loss], str]
) -> list[Row]:
    by_key: dict[tuple[str, Cause], list[Loss]] = collections.defaultdict(list)
    for loss in lost:
        by_key[key(loss), loss.cause].append(loss)
    rows = [
        Row(
            name,
            cause,
            len(losses),
            sum(loss.tokens for loss in losses),
            round(sum(loss.seconds for loss in losses), 3),
        )
        for (name, cause), losses in by_key.items()
    ]
    return sorted(rows, key=lambda row: (row.key, -row.count))
