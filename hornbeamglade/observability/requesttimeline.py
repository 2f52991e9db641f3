"""The timeline of one request, from the log lines of several instances.

Explanation
===========

The lines about a request carry its id. The events that explain them often do not: an engine
was reclaimed, an instance stopped, the connection to the store was lost. The timeline
therefore includes state changes that name a replica or an instance of the request's own
lines, or that concern its service or its instance's view of the system, from shortly before the
request's first line to its last.

Lines may be missing: a killed instance writes none, an instance under load drops lines (and
logs how many), and files may be incomplete. The timeline says what cannot be known.

The clocks of instances differ. Lines of one instance are in order; lines of different
instances are ordered only as well as their clocks agree.
"""

import collections.abc
import dataclasses
import json

DECISION_TYPE = "hornbeamglade:decided"
STATE_TYPE = "hornbeamglade:state_changed"
BEFORE_S = 10.0
"""A decision is based on state that is at most some seconds old."""

AFTER_S = 1.0
END = "answer"
_VIEW_SUBJECTS = frozenset(("store", "config", "settings", "node", "follower", "log"))
_SERVICE_SUBJECTS = frozenset(("departing_memory", "forecast"))
"""Subjects whose lines name a service: they explain why its requests were refused or waited."""

_SUBJECT_BY_REFUSAL = {
    "request_quarantined": "request",
    "prompt_part_quarantined": "prompt_part",
}
"""Refusals that may have begun long before a request, and the subject of the lines that say so."""

_HEADER_FIELDS = frozenset(
    (
        *("request_id", "decision", "outcome", "subject", "before", "after"),
        *("timestamp", "task_uuid", "task_level", "message_type", "logged_by"),
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    :param at: Unix time in seconds, by the clock of the instance that wrote it.
    :param node: the instance that wrote it.
    :param fields: all fields of the line.
    """

    at: float
    node: str
    fields: dict[str, object]

    @property
    def is_decision(self) -> bool:
        """Whether the line is about a request."""
        return self.fields.get("message_type") == DECISION_TYPE

    def __str__(self) -> str:
        """Return the line in a human-readable form."""
        fields = self.fields
        if self.is_decision:
            head = f"{fields.get('decision')}: {fields.get('outcome')}"
        else:
            head = f"{fields.get('subject')}: {fields.get('before')} -> {fields.get('after')}"
        rest = (f"{name}={value}" for name, value in fields.items() if name not in _HEADER_FIELDS)
        return " ".join((head, *rest))


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTimeline:
    """Everything that the logs contain about one request.

    :param request_id: the request.
    :param lines: its own lines and those that explain them, in order of time.
    :param gaps: what the logs do not show, one sentence each.
    """

    request_id: str
    lines: tuple[Line, ...]
    gaps: tuple[str, ...]

    def text(self) -> str:
        """Return the timeline as text, with times relative to the request's first line."""
        request_lines = [line for line in self.lines if line.is_decision]
        start = request_lines[0].at if request_lines else 0.0
        text_lines = [f"request {self.request_id}"]
        text_lines += [
            f"{line.at - start:+9.3f} s  {line.node:<16}  {line}" for line in self.lines
        ]
        text_lines += [f"missing: {gap}" for gap in self.gaps]
        return "\n".join(text_lines)


def parse(text: collections.abc.Iterable[str]) -> collections.abc.Iterator[Line]:
    """Return the log lines of a file; any other text in it is skipped.

    Examples
    ========

    >>> line = '{"message_type":"hornbeamglade:decided","logged_by":"n","timestamp":1.0}'
    >>> [each.node for each in parse(["noise", "12:00 n " + line])]
    ['n']
    """
    for row in text:
        start = row.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(row[start:])
        except ValueError:
            continue
        if fields.get("message_type") not in (DECISION_TYPE, STATE_TYPE):
            continue
        yield Line(float(fields.get("timestamp", 0.0)), str(fields.get("logged_by", "-")), fields)


def find(request_id: str, lines: collections.abc.Iterable[Line]) -> RequestTimeline:
    """Return the timeline of one request.

    :param lines: log lines of any number of instances, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    request_lines = [line for line in ordered if line.fields.get("request_id") == request_id]
    if not request_lines:
        return RequestTimeline(request_id, (), _not_found(ordered))
    first, last = request_lines[0].at - BEFORE_S, request_lines[-1].at + AFTER_S
    nodes = {line.node for line in request_lines}
    replicas = _replicas(request_lines)
    services = {line.fields["service"] for line in request_lines if "service" in line.fields}
    explaining = [
        line
        for line in ordered
        if first <= line.at <= last
        and not line.is_decision
        and _explains(line, nodes, replicas, services)
    ]
    explaining += _lasting_refusals(request_lines, ordered)
    timeline_lines = sorted(
        (*request_lines, *_without_superseded(explaining, request_lines[0].at)),
        key=lambda line: line.at,
    )
    return RequestTimeline(request_id, tuple(timeline_lines), _gaps(request_lines, ordered))


def _lasting_refusals(request_lines: list[Line], ordered: list[Line]) -> list[Line]:
    """Return the lines that tell since when the instance refuses such requests."""
    outcomes = {line.fields.get("outcome") for line in request_lines}
    subjects = {subject for code, subject in _SUBJECT_BY_REFUSAL.items() if code in outcomes}
    nodes = {line.node for line in request_lines}
    return [
        line
        for line in ordered
        if line.at <= request_lines[-1].at
        and line.node in nodes
        and line.fields.get("subject") in subjects
        and line.fields.get("after") == "quarantined"
    ]


def _replicas(request_lines: list[Line]) -> frozenset[str]:
    names: set[str] = set()
    for line in request_lines:
        replica = line.fields.get("replica")
        if isinstance(replica, str):
            names.update(each for each in replica.split(",") if each not in ("", "-"))
    return frozenset(names)


def _explains(
    line: Line, nodes: set[str], replicas: frozenset[str], services: set[object]
) -> bool:
    subject = line.fields.get("subject")
    if line.fields.get("replica") in replicas:
        # Every instance logs what it learns of a replica; only the request's instances matter.
        return line.node in nodes
    if subject in _SERVICE_SUBJECTS:
        return line.node in nodes and line.fields.get("service") in services
    if subject == "member":
        return line.node in nodes
    return subject in _VIEW_SUBJECTS and line.node in nodes


def _without_superseded(lines: list[Line], start: float) -> collections.abc.Iterator[Line]:
    """Leave out states that had been replaced before the request began."""
    latest_by_key = {}
    for line in lines:
        if line.at <= start:
            subject = line.fields.get("subject")
            keys = ("replica", "table", "node", "service", "fingerprint")
            affected = next((line.fields[key] for key in keys if line.fields.get(key)), None)
            latest_by_key[line.node, subject, affected] = line
    return (line for line in lines if line.at > start or line in latest_by_key.values())


def _gaps(request_lines: list[Line], ordered: list[Line]) -> tuple[str, ...]:
    gaps = []
    ended = {line.node for line in request_lines if line.fields.get("decision") == END}
    for node in sorted({line.node for line in request_lines} - ended):
        later_lines = [
            line for line in ordered if line.node == node and line.at > request_lines[-1].at
        ]
        restarts = [line for line in later_lines if line.fields.get("after") == "serving"]
        if restarts:
            gaps.append(f"{node} wrote no end of the request and started anew: it was killed")
        elif later_lines:
            gaps.append(f"{node} wrote no end of the request, though it wrote later lines")
        else:
            gaps.append(f"{node} wrote nothing after its last line here: killed, or cut off here")
    for line in ordered:
        is_gap_report = (
            line.fields.get("subject") == "log" and line.fields.get("after") == "lines_missing"
        )
        if (
            is_gap_report
            and line.node in {each.node for each in request_lines}
            and line.at >= request_lines[0].at
        ):
            gaps.append(
                f"{line.node} left out {line.fields.get('count')} lines up to {line.at:.3f}"
            )
    return tuple(gaps)


def _not_found(ordered: list[Line]) -> tuple[str, ...]:
    if not ordered:
        return ("the files hold no log lines",)
    nodes = ", ".join(sorted({line.node for line in ordered}))
    span = f"{ordered[0].at:.3f} to {ordered[-1].at:.3f}"
    return (f"no line of {nodes} from {span} names the request: it was not read there",)
