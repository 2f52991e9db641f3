"""What may come of offering a request to a backend server."""

import dataclasses

from hornbeamglade.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request wasn't run, as a fact.

    :param refused_by_server: True when the backend server said so itself, False
        when no byte of the request was offered to it.
    :param port_closed: nobody listens at the server's port: its process has ended.
    """

    reason: str
    refused_by_server: bool
    port_closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request was offered and its answer is lost.

    :param run: ``RAN`` when the answer had begun, else ``UNKNOWN``.
    """

    reason: str
    run: outcomes.RunStatus = outcomes.RunStatus.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class MismatchedResponse:
    """The answer bears another request's id; nothing of it may be used.

    :param found: the id that the answer bears, or None.
    """

    found: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The backend server found the request wrong.

    :param status: 300 to 499; redirects aren't followed.
    :param body: the beginning of the answer's body.
    """

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamGone:
    """The engine no longer has the stream that was to be resumed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PortClosed:
    """Nobody listens where the engine was: its process has ended, with its streams."""
