"""The story of one request, from the log lines of several instances.

Explanation
===========

A request's own lines bear its id. What explains them often does not: an engine that was
reclaimed, an instance that stopped, a store that was lost. So changes of state are taken
in that name a replica or an instance of the request's own lines, or that concern what its
instance believed, from shortly before its first line to its end.

Lines may be missing: an instance writes none once it is killed, leaves lines out under
load (and says how many), and files may be incomplete. The story says what it cannot tell.

Instances' clocks differ; lines of one instance are in order, between instances only as far
as their clocks agree.
"""

import collections.abc
import dataclasses
import json

DECISION_TYPE = "hornbeamglade:decided"
STATE_TYPE = "hornbeamglade:state_changed"
BEFORE_S = 10.0
"""What was decided by is seconds old at the most."""

AFTER_S = 1.0
END = "answer"
_OWN_BELIEFS = frozenset(("store", "config", "settings", "node", "follower", "log"))
_SHOWN_ELSEWHERE = frozenset(
    (
        *("request_id", "decision", "outcome", "subject", "before", "after"),
        *("timestamp", "task_uuid", "task_level", "message_type", "logged_by"),
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    :param at: seconds since 1970 by the clock of the instance that wrote it.
    :param node: the instance.
    :param told: all of its fields.
    """

    at: float
    node: str
    fields: dict[str, object]

    @property
    def is_decision(self) -> bool:
        """Whether it is about a request."""
        return self.fields.get("message_type") == DECISION_TYPE

    def __str__(self) -> str:
        """Return the line as a person reads it."""
        fields = self.fields
        if self.is_decision:
            head = f"{fields.get('decision')}: {fields.get('outcome')}"
        else:
            head = f"{fields.get('subject')}: {fields.get('before')} -> {fields.get('after')}"
        rest = (
            f"{name}={value}" for name, value in fields.items() if name not in _SHOWN_ELSEWHERE
        )
        return " ".join((head, *rest))


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTimeline:
    """What logs tell of one request.

    :param request_id: the request.
    :param lines: its own lines and what explains them, in order of time.
    :param gaps: what the logs cannot tell, a sentence each.
    """

    request_id: str
    lines: tuple[Line, ...]
    gaps: tuple[str, ...]

    def text(self) -> str:
        """Return the story as text, times counted from its first own line."""
        own = [line for line in self.lines if line.is_decision]
        start = own[0].at if own else 0.0
        fields = [f"request {self.request_id}"]
        fields += [f"{line.at - start:+9.3f} s  {line.node:<16}  {line}" for line in self.lines]
        fields += [f"missing: {gap}" for gap in self.gaps]
        return "\n".join(fields)


def parse(text: collections.abc.Iterable[str]) -> collections.abc.Iterator[Line]:
    """Return the log lines of a file; whatever else stands there is passed over.

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
    """Return the story of one request.

    :param lines: of any number of instances, in any order.
    """
    kept = sorted(lines, key=lambda line: line.at)
    own = [line for line in kept if line.fields.get("request_id") == request_id]
    if not own:
        return RequestTimeline(request_id, (), _never_seen(kept))
    first, last = own[0].at - BEFORE_S, own[-1].at + AFTER_S
    nodes = {line.node for line in own}
    replicas = _replicas(own)
    explaining = [
        line
        for line in kept
        if first <= line.at <= last and not line.is_decision and _explains(line, nodes, replicas)
    ]
    story = sorted((*own, *_newest(explaining, own[0].at)), key=lambda line: line.at)
    return RequestTimeline(request_id, tuple(story), _gaps(own, kept))


def _replicas(own: list[Line]) -> frozenset[str]:
    names: set[str] = set()
    for line in own:
        fields = line.fields.get("replica")
        if isinstance(fields, str):
            names.update(each for each in fields.split(",") if each not in ("", "-"))
    return frozenset(names)


def _explains(line: Line, nodes: set[str], replicas: frozenset[str]) -> bool:
    subject = line.fields.get("subject")
    if line.fields.get("replica") in replicas:
        # Each instance learns of a replica by itself; those of the request count.
        return line.node in nodes
    if subject == "member":
        return line.node in nodes
    return subject in _OWN_BELIEFS and line.node in nodes


def _newest(lines: list[Line], start: float) -> collections.abc.Iterator[Line]:
    """Leave out what was overtaken before the request began."""
    overtaken = {}
    for line in lines:
        if line.at <= start:
            subject = line.fields.get("subject")
            about = (
                line.fields.get("replica") or line.fields.get("table") or line.fields.get("node")
            )
            overtaken[line.node, subject, about] = line
    return (line for line in lines if line.at > start or line in overtaken.values())


def _gaps(own: list[Line], kept: list[Line]) -> tuple[str, ...]:
    gaps = []
    ended = {line.node for line in own if line.fields.get("decision") == END}
    for node in sorted({line.node for line in own} - ended):
        later = [line for line in kept if line.node == node and line.at > own[-1].at]
        starts = [line for line in later if line.fields.get("after") == "serving"]
        if starts:
            gaps.append(f"{node} wrote no end of the request and started anew: it was killed")
        elif later:
            gaps.append(f"{node} wrote no end of the request, though it wrote later lines")
        else:
            gaps.append(f"{node} wrote nothing after its last line here: killed, or cut off here")
    for line in kept:
        is_told = (
            line.fields.get("subject") == "log" and line.fields.get("after") == "lines_missing"
        )
        if is_told and line.node in {each.node for each in own} and line.at >= own[0].at:
            gaps.append(
                f"{line.node} left out {line.fields.get('count')} lines up to {line.at:.3f}"
            )
    return tuple(gaps)


def _never_seen(kept: list[Line]) -> tuple[str, ...]:
    if not kept:
        return ("the files hold no log lines",)
    nodes = ", ".join(sorted({line.node for line in kept}))
    span = f"{kept[0].at:.3f} to {kept[-1].at:.3f}"
    return (f"no line of {nodes} from {span} names the request: it was not read there",)
