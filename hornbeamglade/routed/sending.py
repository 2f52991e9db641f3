"""Sends a request to one replica and waits for the head of its response."""

import collections.abc
import dataclasses

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.http1 import buffermemory, clientpool, clientside, fields
from hornbeamglade.replicas import advisories, models
from hornbeamglade.routed import (
    attemptlog,
    callrouter,
    calls,
    dialect,
    endinquiry,
    responseroom,
    runends,
    runevidence,
)

Body = tuple[bytes, ...]
"""The whole body of a response, in segments."""

AdvisoryCallback = collections.abc.Callable[[models.Replica, advisories.Advisory], None]
FailureCallback = collections.abc.Callable[[str, str], None]
LoadCallback = collections.abc.Callable[[models.Replica, calls.Load | None, str | None], None]

WITHHELD = "withheld"
CONNECT_REFUSED = "connect_refused"
CONNECT_TIMEOUT = "connect_timeout"

REFUSED = "replica_refused"
REFUSAL_UNPROVED = "refusal_unproved"
UNNAMED_REFUSAL_S = 10.0
"""How long requests to a replica get new connections after it has refused one without its id: on
a new connection such a refusal proves that the request has not run."""

MAX_SKIPPED_BYTES = 262_144
MAX_SKIPPED_RESPONSES = 2
"""Responses to other requests that are skipped on a connection before it is closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that got no response from the replica, or a refusal.

    :param code: stable identifier of the failure, for logs.
    :param run: whether the replica ran the request, as far as known.
    :param was_sent: whether the replica may have received the request.
    :param names_request: whether the refusal carried the id of the request; None if there was
        none.
    :param status: HTTP status of the refusal, or None.
    :param load: load that the replica reported in the refusal, or None.
    """

    code: str
    run: outcomes.RunStatus
    was_sent: bool = True
    names_request: bool | None = None
    status: int | None = None
    load: calls.Load | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the replica may have ended while it ran the request."""
        return self.run is outcomes.RunStatus.UNKNOWN and self.names_request is None


@dataclasses.dataclass(slots=True)
class StartedResponse:
    """A response whose head has been received.

    :param connection: delivers the body.
    :param raw_head: the head as received.
    :param head: the decoded head.
    :param replica: the replica that responds.
    :param routed: the request.
    """

    connection: clientside.ServerConnection
    raw_head: clientside.ResponseHead
    head: calls.ResponseHead
    replica: models.Replica
    routed: callrouter.RoutedRequest


class Sender:
    """Sends requests to replicas.

    :param pool: connections to replicas.
    :param request_dialect: writes request headers and parses response heads.
    :param still_accepts: whether a replica, by its id, still accepts a new request; it may have
        stated otherwise while the connection was opened.
    :param on_advisory: called with what a replica states about itself, once for each response
        head of the intended server, before the body is read.
    :param clock: monotonic time.
    :param on_load: called with the load that the intended server reports in a response head, and
        with the code of the problem if it is malformed; not called for a head with neither.
    :param memory: counts what is held of responses, and bounds it; None for no bound.
    :param on_failed: called with the service and the code of each failed attempt.
    :param ends: decides whether responses without a stated end are complete; None if all are.
    :param may_continue: whether a stopped run may still continue at a replica, by its id, which
        was last known to accept runs at a monotonic time.
    :ivar room: the room of responses that are received.
    """

    def __init__(
        self,
        pool: clientpool.ClientPool,
        request_dialect: dialect.Dialect,
        still_accepts: collections.abc.Callable[[str], bool],
        on_advisory: AdvisoryCallback,
        clock: clocks.Clock,
        on_load: LoadCallback = lambda _replica, _load, _problem: None,
        memory: buffermemory.BufferMemory | None = None,
        on_failed: FailureCallback = lambda _service, _code: None,
        ends: endinquiry.EndInquiry | None = None,
        may_continue: collections.abc.Callable[[str, float], bool] = lambda _replica, _at: True,
    ) -> None:
        self._ends = ends
        self._on_failed = on_failed
        self.room = responseroom.ResponseRoom(memory or buffermemory.BufferMemory(clock))
        self._pool = pool
        self._dialect = request_dialect
        self._still_accepts = still_accepts
        self._may_continue = may_continue
        self._on_advisory = on_advisory
        self._clock = clock
        self._on_load = on_load
        self._unnamed_refusal_at_by_address: dict[str, float] = {}

    async def send(
        self,
        routed: callrouter.RoutedRequest,
        replica: models.Replica,
        dispatch: calls.Dispatch,
        log: attemptlog.AttemptLog,
    ) -> StartedResponse | FailedAttempt:
        """Send a request and wait for the response head; cancellation closes the connection.

        A refusal is read to its end and returned as a failed attempt.

        :param log: records the connection, and tells to which addresses the request may have been
            sent before.
        """
        response = await self._send(routed, replica, dispatch, log)
        if isinstance(response, FailedAttempt):
            self._on_failed(replica.service, response.code)
        return response

    async def _send(
        self,
        routed: callrouter.RoutedRequest,
        replica: models.Replica,
        dispatch: calls.Dispatch,
        log: attemptlog.AttemptLog,
    ) -> StartedResponse | FailedAttempt:
        may_have_sent = replica.address in log.sent_addresses
        new_only = may_have_sent or self._refuses_unnamed(replica.address)
        request_id = routed.call.request_id
        connection = await self._pool.acquire(
            replica.address, new_only=new_only, request_id=request_id
        )
        if isinstance(connection, clientside.ResponseLost):
            code = _connect_failure_code(connection)
            return FailedAttempt(code, outcomes.RunStatus.NOT_RUN, was_sent=False)
        log.record_connection(connection.via, connection.idle_s)
        if not self._may_send(replica.id, dispatch):
            self._pool.release(connection, None)
            return FailedAttempt(WITHHELD, outcomes.RunStatus.NOT_RUN, was_sent=False)
        log.sent_addresses.add(replica.address)
        try:
            response = await self._exchange(connection, routed, replica, dispatch)
        except BaseException:
            self._pool.release(connection, None)
            raise
        if isinstance(response, FailedAttempt):
            self._pool.release(connection, None)
        elif response.head.is_not_run:
            return await self._read_refusal(response, request_id)
        return response

    def _may_send(self, replica_id: str, dispatch: calls.Dispatch) -> bool:
        """Return whether a replica may still be sent a request that it was chosen for."""
        if dispatch.copy is None:
            return self._still_accepts(replica_id)
        if dispatch.accepted_at is None:
            return True
        return self._may_continue(replica_id, dispatch.accepted_at)

    async def _read_refusal(self, response: StartedResponse, request_id: str) -> FailedAttempt:
        connection, head = response.connection, response.head
        is_first_response = connection.idle_s is None
        connection.record_refusal(request_id)
        if head.request_id is None:
            self._record_unnamed_refusal(connection.address)
        reservation = self.room.open()
        try:
            body = await self._read_body(response, reservation)
        finally:
            reservation.close()
        if isinstance(body, FailedAttempt):
            return body
        run = runevidence.run_status(head, request_id, is_first_response=is_first_response)
        return FailedAttempt(
            REFUSED if run is outcomes.RunStatus.NOT_RUN else REFUSAL_UNPROVED,
            run,
            names_request=head.request_id is not None,
            status=head.status,
            load=head.load,
        )

    def _refuses_unnamed(self, address: str) -> bool:
        refused_at = self._unnamed_refusal_at_by_address.get(address)
        return refused_at is not None and self._clock.now() - refused_at < UNNAMED_REFUSAL_S

    def _record_unnamed_refusal(self, address: str) -> None:
        self._unnamed_refusal_at_by_address = {
            each: refused_at
            for each, refused_at in self._unnamed_refusal_at_by_address.items()
            if self._refuses_unnamed(each)
        }
        self._unnamed_refusal_at_by_address[address] = self._clock.now()

    async def read_body(self, response: StartedResponse) -> Body | FailedAttempt:
        """Read the whole body and return the connection to the pool."""
        reservation = self.room.open()
        try:
            body = await self._read_body(response, reservation)
            if isinstance(body, tuple) and not await self._is_complete(response):
                body = FailedAttempt(runends.END_UNPROVED, outcomes.RunStatus.UNKNOWN)
        finally:
            reservation.close()
        if isinstance(body, FailedAttempt):
            self._on_failed(response.replica.service, body.code)
        return body

    async def _is_complete(self, response: StartedResponse) -> bool:
        """Return whether a body that was received is the whole one."""
        if response.connection.is_end_stated or self._ends is None:
            return True
        return await self._ends.is_complete(response.routed, response.replica)

    async def _read_body(
        self, response: StartedResponse, reservation: responseroom.Reservation
    ) -> Body | FailedAttempt:
        body = None
        try:
            body = await self._receive_body(response, reservation)
        finally:
            is_complete = isinstance(body, tuple)
            reservation.end(sum(map(len, body)) if is_complete else 0)
            self._pool.release(response.connection, response.raw_head if is_complete else None)
        if isinstance(body, clientside.ResponseLost):
            return FailedAttempt(body.code, outcomes.RunStatus.UNKNOWN)
        return body

    async def _receive_body(
        self, response: StartedResponse, reservation: responseroom.Reservation
    ) -> Body | clientside.ResponseLost:
        """Receive a body, and wait meanwhile for room; the request has a timeout."""
        connection = response.connection
        stated = fields.value(response.raw_head.fields, b"content-length") or b"0"
        body_bytes = int(stated) if stated.isdigit() else 0
        if responseroom.UNCHECKED_BYTES < body_bytes <= responseroom.MAX_RESPONSE_BYTES:
            connection.pause_reading()
            reservation.hold(0, connection.read_ahead_bytes())
            await reservation.reserve(body_bytes)
        return await connection.segments(
            responseroom.MAX_RESPONSE_BYTES, self._growth(connection, reservation)
        )

    @staticmethod
    def _growth(
        connection: clientside.ServerConnection, reservation: responseroom.Reservation
    ) -> collections.abc.Callable[[int], collections.abc.Awaitable[None]]:
        async def grow(byte_count: int) -> None:
            await reservation.grow(
                byte_count, connection.read_ahead_bytes, connection.pause_reading
            )

        return grow

    def abandon(self, response: StartedResponse) -> None:
        """Close the connection of an unfinished response, which makes the replica stop the run."""
        self._pool.release(response.connection, None)

    def finish(self, response: StartedResponse) -> None:
        """Return the connection of a fully read response to the pool."""
        self._pool.release(response.connection, response.raw_head)

    async def _exchange(
        self,
        connection: clientside.ServerConnection,
        routed: callrouter.RoutedRequest,
        replica: models.Replica,
        dispatch: calls.Dispatch,
    ) -> StartedResponse | FailedAttempt:
        call = routed.call
        sent_fields = self._dialect.dispatch_fields(call, dispatch)
        connection.send(call.method, call.target, sent_fields, call.body)
        for skipped_count in range(MAX_SKIPPED_RESPONSES + 1):
            raw_head = await self._await_head(connection)
            if isinstance(raw_head, clientside.ResponseLost):
                return FailedAttempt(raw_head.code, outcomes.RunStatus.UNKNOWN)
            head = self._dialect.parse_response_head(raw_head)
            is_expected = _matches_request(call, head)
            if skipped_count and head.request_id is None:
                # After a response to another request, a refusal may be another request's too.
                break
            # A late response is no evidence that an earlier statement no longer holds.
            states_something = is_expected or head.advisory != advisories.Advisory()
            if states_something and not head.is_misdirected:
                self._on_advisory(replica, head.advisory)
            if is_expected:
                reports_load = head.load is not None or head.load_problem is not None
                if reports_load and not head.is_misdirected:
                    self._on_load(replica, head.load, head.load_problem)
                return StartedResponse(connection, raw_head, head, replica, routed)
            if not head.request_id:
                break
            # A late response to an earlier request precedes the expected one. Accepting it
            # would send one caller the response meant for another.
            skipped = await connection.body(MAX_SKIPPED_BYTES)
            if isinstance(skipped, clientside.ResponseLost) or not connection.skip_response():
                break
        return FailedAttempt("crossed_answer", outcomes.RunStatus.UNKNOWN)

    async def _await_head(
        self, connection: clientside.ServerConnection
    ) -> clientside.ResponseHead | clientside.ResponseLost:
        timer = self._pool.watch(connection)
        try:
            return await connection.head()
        finally:
            if timer is not None:
                timer.cancel()


def _connect_failure_code(lost: clientside.ResponseLost) -> str:
    if lost.is_refused:
        return CONNECT_REFUSED
    return CONNECT_TIMEOUT if lost.is_timeout else lost.code


def _matches_request(call: calls.Call, head: calls.ResponseHead) -> bool:
    if head.request_id is None:
        # A refusal may lack the request id; it carries no data of another request.
        return head.is_not_run
    return head.request_id == call.request_id
