"""One attempt: a request sent to one replica, until the head of its own answer is here."""

import dataclasses

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.http1 import clientpool, clientside
from hornbeamglade.replicas import models
from hornbeamglade.routed import callrouter, calls, dialect

MAX_BODY_BYTES = 16_777_216
MAX_SKIPPED_RESPONSES = 2
"""Answers to other requests that are passed over on one connection before it is given up."""


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that gave no answer of the replica.

    :param code: a stable identifier for logs.
    :param run: what is known of whether the replica ran the request.
    """

    code: str
    run: outcomes.RunStatus


@dataclasses.dataclass(slots=True)
class StartedResponse:
    """An answer whose head is here.

    :param connection: carries the rest.
    :param raw: the head as it came.
    :param head: the head, decoded.
    """

    connection: clientside.ServerConnection
    raw_head: clientside.Head
    head: calls.ResponseHead


class Sender:
    """Sends requests to replicas.

    :param pool: connections.
    :param words: how requests and answers are written.
    :param clock: monotonic time.
    """

    def __init__(
        self, pool: clientpool.ClientPool, request_dialect: dialect.Dialect, clock: clocks.Clock
    ) -> None:
        self._pool = pool
        self._dialect = request_dialect
        self._clock = clock

    async def send(
        self,
        routed: callrouter.RoutedRequest,
        replica: models.Replica,
        dispatch: calls.Dispatch,
    ) -> StartedResponse | FailedAttempt:
        """Send a request and wait for the head of its answer; cancellation closes."""
        connection = await self._pool.acquire(replica.address)
        if isinstance(connection, clientside.Lost):
            return FailedAttempt(connection.code, outcomes.RunStatus.NOT_RUN)
        try:
            begun = await self._exchange(connection, routed.call, dispatch)
        except BaseException:
            self._pool.release(connection, None)
            raise
        if isinstance(begun, FailedAttempt):
            self._pool.release(connection, None)
        return begun

    async def read_body(self, begun: StartedResponse) -> bytes | FailedAttempt:
        """Read an answer to its end, and give its connection back."""
        body = None
        try:
            body = await begun.connection.body(MAX_BODY_BYTES)
        finally:
            is_whole = isinstance(body, bytes)
            self._pool.release(begun.connection, begun.raw_head if is_whole else None)
        if isinstance(body, clientside.Lost):
            return FailedAttempt(body.code, outcomes.RunStatus.UNKNOWN)
        return body

    def abandon(self, begun: StartedResponse) -> None:
        """Give up an answer; its replica stops the run."""
        self._pool.release(begun.connection, None)

    def finish(self, begun: StartedResponse) -> None:
        """Take back the connection of an answer that was read to its end."""
        self._pool.release(begun.connection, begun.raw_head)

    async def _exchange(
        self,
        connection: clientside.ServerConnection,
        call: calls.Call,
        dispatch: calls.Dispatch,
    ) -> StartedResponse | FailedAttempt:
        sent_fields = self._dialect.dispatch_fields(call, dispatch)
        connection.send(call.method, call.target, sent_fields, call.body)
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            raw_head = await connection.head()
            if isinstance(raw_head, clientside.Lost):
                return FailedAttempt(raw_head.code, outcomes.RunStatus.UNKNOWN)
            head = self._dialect.parse_response_head(raw_head)
            if _matches_request(call, head):
                return StartedResponse(connection, raw_head, head)
            if head.request_id is None:
                break
            # A late answer to an earlier request stands where this one's is due. Taken
            # for it, it would give one caller the answer of another.
            skipped = await connection.body(MAX_BODY_BYTES)
            if isinstance(skipped, clientside.Lost) or not connection.skip_answer():
                break
        return FailedAttempt("crossed_answer", outcomes.RunStatus.UNKNOWN)


def _matches_request(call: calls.Call, head: calls.ResponseHead) -> bool:
    if head.request_id is None:
        # A refusal may bear no id; it gives the caller nothing of another request.
        return head.is_not_run
    return head.request_id == call.request_id
