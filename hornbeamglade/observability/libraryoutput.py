"""Turns what libraries and the interpreter report into structured, rate-limited log lines.

Explanation
===========

By default they write texts and tracebacks to standard error, without any bound: the event loop
does so for each error of ``accept`` and for each write to a lost connection.
"""

import asyncio
import logging
import sys
import threading
import typing

from hornbeamglade.observability import logs

DECISION = "library_report"


class ReportHandler(logging.Handler):
    """Logs the records of the standard library's loggers."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record without its arguments' values."""
        _report(record.name, record.levelname.lower(), str(record.msg))


def capture() -> None:
    """Replace what writes to standard error, for the rest of the process."""
    root = logging.getLogger()
    root.handlers = [ReportHandler(logging.WARNING)]
    logging.captureWarnings(True)
    sys.unraisablehook = _on_unraisable
    threading.excepthook = _on_thread_error


def on_loop_error(_loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]) -> None:
    """Log an error that the event loop reports; to be set as its exception handler."""
    error = context.get("exception")
    outcome = "error" if error is None else type(error).__name__
    _report("event_loop", outcome, context.get("message", ""))


def _on_unraisable(unraisable: typing.Any) -> None:
    _report("interpreter", unraisable.exc_type.__name__, unraisable.err_msg or "unraisable")


def _on_thread_error(arguments: threading.ExceptHookArgs) -> None:
    _report("thread", arguments.exc_type.__name__, getattr(arguments.thread, "name", ""))


def _report(source: str, outcome: str, reason: str) -> None:
    logs.decided("-", DECISION, outcome, source=source, reason=logs.slug(reason))
