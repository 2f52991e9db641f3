"""Requests that an instance is answering."""

import asyncio

from hornbeamglade.core import outcomes
from hornbeamglade.routed import attemptlog, callrouter


class RequestInProgress:
    """One request that is being answered.

    :param routed: the request.
    :param log: its attempts.
    :param timeout: the timeout of the task that answers it.
    """

    def __init__(
        self,
        routed: callrouter.RoutedRequest,
        log: attemptlog.AttemptLog,
        timeout: asyncio.Timeout,
    ) -> None:
        self.routed = routed
        self.log = log
        self.refusal: outcomes.Refusal | None = None
        self._timeout = timeout

    def end(self, refusal: outcomes.Refusal) -> None:
        """Let the task time out now, to respond with ``refusal``."""
        if self.refusal is None and not self._timeout.expired():
            self.refusal = refusal
            self._timeout.reschedule(asyncio.get_running_loop().time())


class RequestsInProgress:
    """The requests that an instance is answering; to be used on an event loop."""

    def __init__(self) -> None:
        self._requests: set[RequestInProgress] = set()

    def add(self, request: RequestInProgress) -> None:
        """Add a request."""
        self._requests.add(request)

    def remove(self, request: RequestInProgress) -> None:
        """Remove a request that was answered, or whose caller has left."""
        self._requests.discard(request)

    def unanswered(self) -> tuple[RequestInProgress, ...]:
        """Return the requests whose answers have not begun."""
        return tuple(each for each in self._requests if each.log.answer_at is None)
