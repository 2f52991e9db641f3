"""Outcomes of sending a request to a backend server."""

import dataclasses

from hornbeamglade.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly wasn't run.

    :param reason: for a person.
    :param refused_by_server: True when the backend server said so itself, False
        when no byte of the request was sent to it.
    :param port_closed: whether the server's port refused the connection: its process
        has ended.
    """

    reason: str
    refused_by_server: bool
    port_closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent and its response was lost.

    :param reason: for a person.
    :param run: ``RAN`` when the response had begun, else ``UNKNOWN``.
    """

    reason: str
    run: outcomes.RunStatus = outcomes.RunStatus.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class MismatchedResponse:
    """The response has another request's id; no part of it may be used.

    :param found: the id in the response, or None.
    """

    found: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The backend server rejected the request as invalid.

    :param status: 300 to 499; redirects aren't followed.
    :param body: the beginning of the response body.
    """

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamGone:
    """The engine no longer has the stream that was to be resumed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PortClosed:
    """The engine's port refused the connection: its process and its streams have ended."""
