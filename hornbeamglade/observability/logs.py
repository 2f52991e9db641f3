"""Structured logs of decisions on requests and of state changes: one JSON object per line.

Explanation
===========

A line is written for each decision about a request, with the inputs of the decision, and
whenever this process's view of the system changes: a node's readiness, a replica's entry in
the list, the configuration in force. Nothing here is called per token. Lines about requests
are rate limited (:mod:`hornbeamglade.observability.logbudget`); dropped lines are counted, and
the count is logged.

A line never carries a key, a prompt or a body. Only the fields named in
``LOGGED_FIELDS`` are written, and only as identifiers or numbers: free text is
replaced by a placeholder, whichever code passes it.
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
GAP_REPORT_INTERVAL_S = 1.0
"""Least time between two lines that report how many lines were dropped."""

LOGGED_FIELDS = frozenset(
    {
        "address",
        "age_s",
        "attempts",
        "belief_age_s",
        "budget",
        "bytes",
        "change_id",
        "code",
        "connection",
        "copy_s",
        "count",
        "domain",
        "end",
        "era",
        "evidence",
        "events",
        "expected_wait_s",
        "failure_domain",
        "fencing",
        "fingerprint",
        "first_s",
        "gap_goal_s",
        "gap_s",
        "goal_s",
        "held_bytes",
        "idle_s",
        "sent_s",
        "budget_s",
        "incarnation",
        "is_other_ready",
        "is_repeatable",
        "is_stop_confirmed",
        "limit_per_s",
        "list_version",
        "load",
        "load_age_s",
        "moves",
        "names_request",
        "node",
        "operation",
        "outcome",
        "owner",
        "part",
        "parts",
        "pause_s",
        "pool",
        "priority",
        "produced",
        "provisional",
        "queued",
        "reason",
        "remaining_s",
        "replica",
        "request_id",
        "resumes",
        "revision",
        "room",
        "room_s",
        "route",
        "run",
        "seconds",
        "sequence",
        "service",
        "share",
        "signal",
        "since_stop_s",
        "slow_factor",
        "source",
        "status",
        "stop_order",
        "streams",
        "table",
        "team",
        "tokens",
        "version",
        "via",
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
    """Log that ``subject`` went from one state to another.

    :param subject: what changed, such as ``node`` or ``config``.
    :param before: its previous state.
    :param after: its new state.
    :param fields: further fields, by the names in ``LOGGED_FIELDS``.
    :return: whether a line was written; no line is written when the states are equal.
    """
    if before == after:
        return False
    record = {name: _loggable(name, value) for name, value in fields.items()}
    record |= {
        "subject": _identifier(subject),
        "before": _identifier(before),
        "after": _identifier(after),
    }
    eliot.log_message(message_type=MESSAGE_TYPE, **record)
    return True


def decided(request_id: str, decision: str, outcome: str, **fields: FieldValue) -> None:
    """Log a decision about a request.

    :param request_id: the request's id, as given by the caller.
    :param decision: what was decided, such as ``routed`` or ``resumed``.
    :param outcome: the result of the decision.
    :param fields: the inputs of the decision, by the names in ``LOGGED_FIELDS``.
    """
    record = {name: _loggable(name, value) for name, value in fields.items()}
    record |= {
        "request_id": _identifier(request_id),
        "decision": _identifier(decision),
        "outcome": _identifier(outcome),
    }
    eliot.log_message(message_type=DECISION_TYPE, **record)


def log_internal_error(where: str, error: Exception) -> None:
    """Log an unexpected exception in this process.

    :param where: the operation that failed.
    :param error: the exception; its type and source line are logged, its text is not.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename.rsplit('/', 1)[-1]}:{frames[-1].lineno}" if frames else "-"
    state_changed("internal_error", "none", type(error).__name__, operation=where, reason=place)


def _loggable(name: str, value: FieldValue) -> FieldValue:
    """Return the value of a field that may be logged, or the placeholder.

    An API key or a citizen's letter could otherwise reach the operators' log store
    through a newly added field, or through the text of an error that quotes a body.
    The list of field names and a pattern without spaces and quotes prevent both. The
    name of a withheld field is still logged, so that the omission is visible.
    """
    if name not in LOGGED_FIELDS:
        return WITHHELD
    if value is None or isinstance(value, bool | int | float):
        return value
    return _identifier(value)


def slug(text: str) -> str:
    """Turn a text that this process made itself into an identifier that may be logged.

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
    """Writes log lines from a background thread; start it once per process.

    Explanation
    ===========

    The process that reads this process's output may stall. A direct write would
    then block the thread that logs, and with it the node's heartbeat or a
    caller's stream, although nothing is wrong with the node. Lines therefore go
    through a bounded queue; when it is full, new lines are dropped and counted.

    :param stream: a text stream, such as ``sys.stderr`` or an open file.
    :param node: the node's name, added to every line.
    :param changes: counts each state change by subject, before its line is queued.
    :param drops: counts lines dropped because the queue was full or the rate limit exceeded.
    :param budget: the rate limit for lines about requests.
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
        self._dropped_lines = 0
        self._dropped_reported_at = 0.0
        self._stream = stream
        self._node = node
        self._changes = changes
        self._drops = drops
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._lines_in_write = 0
        self._destination = eliot.FileDestination(file=self)
        self._thread = threading.Thread(target=self._write_lines, name="logs", daemon=True)
        self._running = False

    def start(self) -> None:
        """Start to write the process's log lines."""
        self._running = True
        self._thread.start()
        eliot.add_destinations(self._deliver)

    def stop(self, timeout_s: float = 2.0) -> None:
        """Write the queued lines and stop, or give up after ``timeout_s`` seconds; idempotent."""
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
        """Queue one line; called by the logging library.

        :raises TypeError: for bytes, which makes the library write text instead.
        """
        if isinstance(line, bytes):
            raise TypeError("the log is a text stream")
        # Lines that the thread holds while the reader is stalled take memory too.
        if self._lines.qsize() + self._lines_in_write >= MAX_QUEUED_LINES:
            self._drop()
            return
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._drop()

    def flush(self) -> None:
        """Do nothing: the background thread flushes."""

    def _deliver(self, message: dict[str, typing.Any]) -> None:
        message_type = message.get("message_type")
        if message_type not in (MESSAGE_TYPE, DECISION_TYPE):
            return
        if message_type == MESSAGE_TYPE and self._changes is not None:
            self._changes.add(labels=(message["subject"],))
        now = time.monotonic()
        self._report_dropped_lines(message, now)
        if message_type == DECISION_TYPE and not self._budget.take(now):
            self._drop()
            return
        self._destination(message | {"logged_by": self._node})

    def _drop(self) -> None:
        self._dropped_lines += 1
        if self._drops is not None:
            self._drops.add()

    def _report_dropped_lines(self, message: dict[str, typing.Any], now: float) -> None:
        """Log how many lines were dropped, so that nobody takes the log to be complete."""
        if (
            not self._dropped_lines
            or now - self._dropped_reported_at < GAP_REPORT_INTERVAL_S
            or self._lines.full()
        ):
            return
        self._dropped_reported_at = now
        dropped, self._dropped_lines = self._dropped_lines, 0
        summary = {"subject": "log", "before": "whole", "after": "lines_missing", "count": dropped}
        header = {"timestamp": message["timestamp"], "message_type": MESSAGE_TYPE}
        self._destination(header | summary | {"logged_by": self._node})

    def _write_lines(self) -> None:
        while (line := self._lines.get()) is not None:
            # A start or a change of the replica list queues hundreds of lines: write them at once.
            lines, is_last = self._drain_queue(line)
            self._lines_in_write = len(lines)
            try:
                self._stream.write("".join(lines))
                self._stream.flush()
            except (OSError, ValueError):
                if self._drops is not None:
                    self._drops.add(len(lines))
            self._lines_in_write = 0
            if is_last:
                return

    def _drain_queue(self, line: str) -> tuple[list[str], bool]:
        """Return a line, all lines queued after it, and whether the writer has to stop."""
        lines = [line]
        while True:
            try:
                following = self._lines.get_nowait()
            except queue.Empty:
                return lines, False
            if following is None:
                return lines, True
            lines.append(following)
            self._lines_in_write = len(lines)
