"""One attempt: a request sent to one replica, until the head of its own answer is here."""

import dataclasses

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.http1 import clientpool, clientside
from hornbeamglade.replicas import models
from hornbeamglade.routed import callrouter, calls, dialect

MAX_BODY_BYTES = 16_777_216
MAX_STRAYS = 2
"""Answers to other requests that are passed over on one connection before it is given up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt that gave no answer of the replica.

    :param code: a stable identifier for logs.
    :param run: what is known of whether the replica ran the request.
    """

    code: str
    run: outcomes.RunStatus


@dataclasses.dataclass(slots=True)
class Begun:
    """An answer whose head is here.

    :param connection: carries the rest.
    :param raw: the head as it came.
    :param head: the head, decoded.
    """

    connection: clientside.ServerConnection
    raw: clientside.Head
    head: calls.ResponseHead


class Sender:
    """Sends requests to replicas.

    :param pool: connections.
    :param words: how requests and answers are written.
    :param clock: monotonic time.
    """

    def __init__(
        self, pool: clientpool.ClientPool, words: dialect.Dialect, clock: clocks.Clock
    ) -> None:
        self._pool = pool
        self._words = words
        self._clock = clock

    async def begin(
        self,
        routed: callrouter.RoutedRequest,
        replica: models.Replica,
        dispatch: calls.Dispatch,
    ) -> Begun | Failed:
        """Send a request and wait for the head of its answer; cancellation closes."""
        connection = await self._pool.acquire(replica.address)
        if isinstance(connection, clientside.Lost):
            return Failed(connection.code, outcomes.RunStatus.NOT_RUN)
        try:
            begun = await self._exchange(connection, routed.call, dispatch)
        except BaseException:
            self._pool.release(connection, None)
            raise
        if isinstance(begun, Failed):
            self._pool.release(connection, None)
        return begun

    async def whole_body(self, begun: Begun) -> bytes | Failed:
        """Read an answer to its end, and give its connection back."""
        body = None
        try:
            body = await begun.connection.body(MAX_BODY_BYTES)
        finally:
            is_whole = isinstance(body, bytes)
            self._pool.release(begun.connection, begun.raw if is_whole else None)
        if isinstance(body, clientside.Lost):
            return Failed(body.code, outcomes.RunStatus.UNKNOWN)
        return body

    def close(self, begun: Begun) -> None:
        """Give up an answer; its replica stops the run."""
        self._pool.release(begun.connection, None)

    def finished(self, begun: Begun) -> None:
        """Take back the connection of an answer that was read to its end."""
        self._pool.release(begun.connection, begun.raw)

    async def _exchange(
        self,
        connection: clientside.ServerConnection,
        call: calls.Call,
        dispatch: calls.Dispatch,
    ) -> Begun | Failed:
        sent_fields = self._words.dispatch_fields(call, dispatch)
        connection.send(call.method, call.target, sent_fields, call.body)
        for _ in range(MAX_STRAYS + 1):
            raw = await connection.head()
            if isinstance(raw, clientside.Lost):
                return Failed(raw.code, outcomes.RunStatus.UNKNOWN)
            head = self._words.response_head(raw)
            if _is_for(call, head):
                return Begun(connection, raw, head)
            if head.request_id is None:
                break
            # A late answer to an earlier request stands where this one's is due. Taken
            # for it, it would give one caller the answer of another.
            stray = await connection.body(MAX_BODY_BYTES)
            if isinstance(stray, clientside.Lost) or not connection.skip_answer():
                break
        return Failed("crossed_answer", outcomes.RunStatus.UNKNOWN)


def _is_for(call: calls.Call, head: calls.ResponseHead) -> bool:
    if head.request_id is None:
        # A refusal may bear no id; it gives the caller nothing of another request.
        return head.is_not_run
    return head.request_id == call.request_id
