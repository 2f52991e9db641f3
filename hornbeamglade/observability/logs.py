"""Log lines for decisions on requests and changes of state, as JSON, one a line.

Explanation
===========

A line is written for each decision that touches a request, with what decided it, and
whenever this process comes to believe something else: a node's readiness, a replica's
entry, the configuration in force. Nothing here is called per token. Lines on requests are
bounded (:mod:`hornbeamglade.observability.logbudget`); what is left out is counted, and
said in a line of its own.

A line never carries a key, a prompt or a body. Only the fields named in
``LOGGED_FIELDS`` are written, and only as identifiers or numbers: free text is
withheld, whoever passes it.
"""

import queue
import re
import threading
import time
import traceback
import typing

import eliot

from hornbeamglade.observability import logbudget, metricsinstruments

MESSAGE_TYPE = "hornbeamglade:state_changed"
DECISION_TYPE = "hornbeamglade:decided"
WITHHELD = "[withheld]"
MAX_QUEUED_LINES = 1000
TELL_GAPS_S = 1.0
"""Lines that are missing are told this often."""

LOGGED_FIELDS = frozenset(
    {
        "address",
        "age_s",
        "attempts",
        "belief_age_s",
        "budget",
        "change_id",
        "code",
        "copy_s",
        "count",
        "domain",
        "era",
        "events",
        "expected_wait_s",
        "failure_domain",
        "fencing",
        "fingerprint",
        "first_s",
        "gap_goal_s",
        "gap_s",
        "goal_s",
        "incarnation",
        "limit_per_s",
        "list_version",
        "load",
        "load_age_s",
        "moves",
        "node",
        "operation",
        "outcome",
        "owner",
        "pool",
        "produced",
        "queued",
        "priority",
        "provisional",
        "reason",
        "replica",
        "request_id",
        "revision",
        "room",
        "room_s",
        "route",
        "run",
        "seconds",
        "sequence",
        "service",
        "signal",
        "source",
        "status",
        "streams",
        "table",
        "team",
        "tokens",
        "wait_s",
        "waiting",
        "warm_in_s",
    }
)

MAX_IDENTIFIER = 100
_IDENTIFIER = re.compile(r"[\w.:/@\[\]+,-]{1,100}", re.ASCII)
_NOT_IN_IDENTIFIER = re.compile(r"[^\w.:/@\[\]+,-]+", re.ASCII)

FieldValue = str | int | float | bool | None


def state_changed(subject: str, before: str, after: str, **fields: FieldValue) -> bool:
    """Write a line that ``subject`` went from one state to another.

    :param subject: what changed, such as ``node`` or ``config``.
    :param before: its state until now.
    :param after: its state from now on.
    :param fields: what else to say, by the names in ``LOGGED_FIELDS``.
    :return: whether a line was written; none is when the states are equal.
    """
    if before == after:
        return False
    shown = {name: _shown(name, value) for name, value in fields.items()}
    shown |= {
        "subject": _identifier(subject),
        "before": _identifier(before),
        "after": _identifier(after),
    }
    eliot.log_message(message_type=MESSAGE_TYPE, **shown)
    return True


def decided(request_id: str, decision: str, outcome: str, **fields: FieldValue) -> None:
    """Write a line on a decision that touches a request.

    :param request_id: the caller's id of the request.
    :param decision: what was decided, such as ``routed`` or ``resumed``.
    :param outcome: what came of it.
    :param fields: its inputs, by the names in ``LOGGED_FIELDS``.
    """
    shown = {name: _shown(name, value) for name, value in fields.items()}
    shown |= {
        "request_id": _identifier(request_id),
        "decision": _identifier(decision),
        "outcome": _identifier(outcome),
    }
    eliot.log_message(message_type=DECISION_TYPE, **shown)


def log_internal_error(where: str, error: Exception) -> None:
    """Write a line on an error of this process's own.

    :param where: what was being done.
    :param error: what was raised; its type and place are shown, not its text.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename.rsplit('/', 1)[-1]}:{frames[-1].lineno}" if frames else "-"
    state_changed("internal_error", "none", type(error).__name__, operation=where, reason=place)


def _shown(name: str, value: FieldValue) -> FieldValue:
    """Return what a line may show of a field.

    A key or a citizen's letter would otherwise reach the operators' log store
    through a field that was added in passing, or through the text of an error
    that quotes a body. A list of names and a pattern without spaces or quotes
    keep both out; the name of the field is still seen, so the omission shows.
    """
    if name not in LOGGED_FIELDS:
        return WITHHELD
    if value is None or isinstance(value, bool | int | float):
        return value
    return _identifier(value)


def slug(text: str) -> str:
    """Return a text of this process's own as an identifier that a line may show.

    Examples
    ========

    >>> slug("routes.0.prefix: Field required")
    'routes.0.prefix:_Field_required'
    """
    return _NOT_IN_IDENTIFIER.sub("_", text)[:MAX_IDENTIFIER] or "-"


def _identifier(value: object) -> str:
    if isinstance(value, str) and _IDENTIFIER.fullmatch(value):
        return value
    return WITHHELD


class LogWriter:
    """Writes lines from a thread of its own; start it once a process.

    Explanation
    ===========

    The reader of a process's output may stall like any link. A write would
    then block the thread that changed state, and with it the node's heartbeat
    or a caller's stream, while nothing is wrong with the node. Lines therefore
    wait in a bounded queue; a full queue drops and counts the newest.

    :param stream: a text stream, such as ``sys.stderr`` or an open file.
    :param node: the node's name, put on every line.
    :param changes: counts each change by subject before its line is queued.
    :param drops: counts lines that found the queue full, or were beyond the bound.
    :param budget: bounds the lines on requests.
    """

    def __init__(
        self,
        stream: typing.TextIO,
        node: str,
        changes: metricsinstruments.Counter | None = None,
        drops: metricsinstruments.Counter | None = None,
        budget: logbudget.LineRateLimiter | None = None,
    ) -> None:
        self._budget = budget or logbudget.LineRateLimiter()
        self._missing = 0
        self._told_at = 0.0
        self._stream = stream
        self._node = node
        self._changes = changes
        self._drops = drops
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._in_hand = 0
        self._destination = eliot.FileDestination(file=self)
        self._thread = threading.Thread(target=self._write_lines, name="logs", daemon=True)
        self._running = False

    def start(self) -> None:
        """Begin to write the process's lines."""
        self._running = True
        self._thread.start()
        eliot.add_destinations(self._deliver)

    def stop(self, timeout_s: float = 2.0) -> None:
        """Write what is queued and end, or give up after ``timeout_s`` seconds; idempotent."""
        if not self._running:
            return
        self._running = False
        eliot.remove_destination(self._deliver)
        try:
            self._lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def write(self, line: str) -> None:
        """Queue one line; called by the log library.

        :raises TypeError: for bytes, which tells the library to write text.
        """
        if isinstance(line, bytes):
            raise TypeError("the log is a text stream")
        # Lines that the thread holds while its reader stands still take memory too.
        if self._lines.qsize() + self._in_hand >= MAX_QUEUED_LINES:
            self._drop()
            return
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._drop()

    def flush(self) -> None:
        """Do nothing: the writing thread flushes."""

    def _deliver(self, message: dict[str, typing.Any]) -> None:
        kind = message.get("message_type")
        if kind not in (MESSAGE_TYPE, DECISION_TYPE):
            return
        if kind == MESSAGE_TYPE and self._changes is not None:
            self._changes.add(labels=(message["subject"],))
        now = time.monotonic()
        self._tell_gaps(message, now)
        if kind == DECISION_TYPE and not self._budget.take(now):
            self._drop()
            return
        self._destination(message | {"logged_by": self._node})

    def _drop(self) -> None:
        self._missing += 1
        if self._drops is not None:
            self._drops.add()

    def _tell_gaps(self, message: dict[str, typing.Any], now: float) -> None:
        """Say how many lines are missing, so that nobody takes the log for whole."""
        if not self._missing or now - self._told_at < TELL_GAPS_S or self._lines.full():
            return
        self._told_at = now
        missing, self._missing = self._missing, 0
        told = {"subject": "log", "before": "whole", "after": "lines_missing", "count": missing}
        kept = {"timestamp": message["timestamp"], "message_type": MESSAGE_TYPE}
        self._destination(kept | told | {"logged_by": self._node})

    def _write_lines(self) -> None:
        while (line := self._lines.get()) is not None:
            # A start or a change of the list queues hundreds: one call takes them all.
            lines, is_last = self._queued_after(line)
            self._in_hand = len(lines)
            try:
                self._stream.write("".join(lines))
                self._stream.flush()
            except (OSError, ValueError):
                if self._drops is not None:
                    self._drops.add(len(lines))
            self._in_hand = 0
            if is_last:
                return

    def _queued_after(self, line: str) -> tuple[list[str], bool]:
        """Return a line and all that are queued behind it, and whether that is the end."""
        lines = [line]
        while True:
            try:
                following = self._lines.get_nowait()
            except queue.Empty:
                return lines, False
            if following is None:
                return lines, True
            lines.append(following)
            self._in_hand = len(lines)
