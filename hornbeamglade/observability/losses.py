"""What callers did not get, by cause, from the log lines of all instances of a site.

Explanation
===========

Each request whose answer was not whole, or came late, is put down to one cause of a closed
list. A run that was lost with its engine is put down to the part of its move that took most
of the time: learning that the engine stops, finding room elsewhere, waiting for a turn to
leave, or the copy itself. An instance that is killed writes nothing, so a stream that was
placed and has no end in its instance's log is a cause of its own; a plain request that was
under way there leaves no line at all, and is not counted.

Examples
========

>>> lost = [Loss("r1", 3.0, "n1", "draft", Cause.NO_ROOM, 3500, 40, 1.2)]
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


class Cause(enum.Enum):
    """Why a caller did not get a whole answer on time."""

    UNMOVED = "engine_left_unmoved"
    LEARNED_LATE = "left_learned_late"
    NO_ROOM = "left_no_room"
    NO_TURN = "left_no_turn"
    COPY_LATE = "left_copy_late"
    ENGINE_LOST = "engine_lost"
    INSTANCE_STOPPED = "instance_stopped"
    INSTANCE_VANISHED = "instance_vanished"
    REFUSED = "refused"
    REPLICA_FAILED = "replica_failed"
    TOO_LATE = "time_over"
    LATE_START = "late_in_queue_or_prompt"
    LATE_PACE = "late_by_a_pause"
    LATE_PLAIN = "late_answer"
    CALLER_LEFT = "caller_left"
    UNKNOWN = "unknown"


_CAUSE_BY_OUTCOME = {
    "cut_by_stop": Cause.INSTANCE_STOPPED,
    "caller_left": Cause.CALLER_LEFT,
    "answer_too_late": Cause.TOO_LATE,
    "not_started_in_time": Cause.TOO_LATE,
    "no_answer": Cause.REPLICA_FAILED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """One request that was not served whole and on time.

    :param request_id: the request.
    :param at: seconds since 1970 of its last line.
    :param node: the instance that wrote it.
    :param service: the route, or the service where the line names no route.
    :param cause: why.
    :param tokens: of its prompt.
    :param events: that its caller got.
    :param seconds: that it took.
    :param code: the code of a refusal, else an empty text.
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
    """Losses that have something in common.

    :param key: what, by the grouping that was asked for.
    :param cause: the cause.
    :param count: requests.
    :param tokens: of their prompts.
    :param seconds: that they took.
    """

    key: str
    cause: Cause
    count: int
    tokens: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Losses:
    """What the logs of a site tell.

    :param requests: requests with an end, and streams that have none.
    :param lost: those that were not served whole and on time.
    :param domain_by_node: the failure domain of each instance that told it.
    :param began_at: seconds since 1970 of the first line on a request.
    """

    requests: int
    lost: tuple[Loss, ...]
    domain_by_node: dict[str, str]
    began_at: float


def find(lines: collections.abc.Iterable[requesttimeline.Line]) -> Losses:
    """Attribute every request of the logs that was not served whole and on time."""
    kept = sorted(lines, key=lambda line: line.at)
    own_by_id: dict[tuple[str, str], list[requesttimeline.Line]] = collections.defaultdict(list)
    learned = _Learned()
    domain_by_node = {}
    for line in kept:
        if line.is_decision:
            own_by_id[line.node, str(line.fields.get("request_id"))].append(line)
        learned.hear(line)
        if line.fields.get("subject") == "node" and "domain" in line.fields:
            domain_by_node[line.node] = str(line.fields["domain"])
    fields = [_judged(own, learned) for own in own_by_id.values() if _is_counted(own)]
    lost = sorted((loss for loss in fields if loss is not None), key=lambda loss: loss.at)
    began_at = min((own[0].at for own in own_by_id.values()), default=0.0)
    return Losses(len(fields), tuple(lost), domain_by_node, began_at)


def by_cause(lost: collections.abc.Iterable[Loss]) -> list[Row]:
    """Return losses by cause, the most frequent first."""
    return _rows(lost, lambda _loss: "all")


def by_service(lost: collections.abc.Iterable[Loss]) -> list[Row]:
    """Return losses by route and cause."""
    return _rows(lost, lambda loss: loss.service)


def by_domain(found: Losses) -> list[Row]:
    """Return losses by failure domain of the instance and by cause."""
    domains = found.domain_by_node
    return _rows(found.lost, lambda loss: domains.get(loss.node, UNKNOWN_DOMAIN))


def by_window(found: Losses) -> list[Row]:
    """Return losses by windows of :data:`WINDOW_S` from the first request, and by cause."""

    def window(loss: Loss) -> str:
        return f"{int((loss.at - found.began_at) // WINDOW_S) * WINDOW_S:06.1f}"

    return sorted(_rows(found.lost, window), key=lambda row: row.key)


class _Learned:
    """When engines were first known to stop, by anyone and by each instance."""

    def __init__(self) -> None:
        self._first_by_replica: dict[str, float] = {}
        self._at_by_node: dict[tuple[str, str], float] = {}

    def hear(self, line: requesttimeline.Line) -> None:
        fields = line.fields
        if fields.get("subject") != "engine" or fields.get("after") != "leaving":
            return
        replica = str(fields.get("replica"))
        self._first_by_replica.setdefault(replica, line.at)
        self._at_by_node.setdefault((line.node, replica), line.at)

    def is_leaving(self, replica: str, at: float) -> bool:
        return self._first_by_replica.get(replica, at + 1) <= at

    def late_s(self, node: str, replica: str, at: float) -> float:
        """Return how much later than the first an instance knew; up to now if it does not."""
        first = self._first_by_replica.get(replica, at)
        return max(0.0, self._at_by_node.get((node, replica), at) - first)


def _is_counted(own: list[requesttimeline.Line]) -> bool:
    """Tell whether the lines are those of a routed request."""
    decisions = {line.fields.get("decision") for line in own}
    return _END in decisions or "placed" in decisions


def _judged(own: list[requesttimeline.Line], learned: _Learned) -> Loss | None:
    """Return a request's loss, or None when it was served whole and on time."""
    ends = [line for line in own if line.fields.get("decision") == _END]
    if not ends:
        return _loss(own, own[-1], Cause.INSTANCE_VANISHED)
    end = ends[-1]
    outcome = str(end.fields.get("outcome"))
    if outcome in ("answered", "streamed"):
        cause = _late(end, outcome)
        return None if cause is None else _loss(own, end, cause)
    if outcome == "broken_off":
        return _loss(own, end, _broken(own, learned))
    cause = _CAUSE_BY_OUTCOME.get(outcome)
    if cause is None:
        is_refusal = end.fields.get("status") in (408, 421, 429, 503)
        return _loss(own, end, Cause.REFUSED if is_refusal else Cause.UNKNOWN, outcome)
    return _loss(own, end, cause)


def _late(end: requesttimeline.Line, outcome: str) -> Cause | None:
    """Return why an answer that was whole came late, or None when it did not."""
    fields = end.fields
    if outcome == "answered":
        if _number(fields.get("status")) >= 500:
            return Cause.REPLICA_FAILED
        goal_s = _number(fields.get("goal_s"))
        return Cause.LATE_PLAIN if 0 < goal_s < _number(fields.get("seconds")) else None
    if 0 < _number(fields.get("goal_s")) < _number(fields.get("first_s")):
        return Cause.LATE_START
    if 0 < _number(fields.get("gap_goal_s")) < _number(fields.get("gap_s")):
        return Cause.LATE_PACE
    return None


def _broken(own: list[requesttimeline.Line], learned: _Learned) -> Cause:
    """Return why a stream was lost with its engine."""
    lost = [line for line in own if line.fields.get("decision") == "stream_lost"]
    if not lost:
        return Cause.UNKNOWN
    replica, at = str(lost[-1].fields.get("replica")), lost[-1].at
    if not learned.is_leaving(replica, at):
        return Cause.ENGINE_LOST
    moves = [
        line
        for line in own
        if line.fields.get("decision") == "handover" and line.fields.get("replica") == replica
    ]
    if not moves:
        return Cause.UNMOVED
    fields = moves[-1].fields
    seconds_by_cause = {
        Cause.COPY_LATE: _number(fields.get("copy_s")),
        Cause.NO_TURN: _number(fields.get("wait_s")),
        Cause.NO_ROOM: _number(fields.get("room_s")),
        Cause.LEARNED_LATE: learned.late_s(own[-1].node, replica, at),
    }
    return max(seconds_by_cause, key=seconds_by_cause.__getitem__)


def _loss(
    own: list[requesttimeline.Line], last: requesttimeline.Line, cause: Cause, code: str = ""
) -> Loss:
    fields = last.fields
    placed = [line.fields for line in own if line.fields.get("decision") == "placed"]
    begun = placed[-1] if placed else {}
    return Loss(
        request_id=str(fields.get("request_id")),
        at=last.at,
        node=last.node,
        service=str(fields.get("route") or begun.get("service") or "-"),
        cause=cause,
        tokens=int(_number(fields.get("tokens") or begun.get("tokens"))),
        events=int(_number(fields.get("events"))),
        seconds=_number(fields.get("seconds")) or last.at - own[0].at,
        code=code,
    )


def _number(value: object) -> float:
    """Return a field of a line as a number; what is none counts as 0, as a missing one."""
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
