"""One streamed response, across all replicas at which its run executes."""

import asyncio
import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.http1 import clientside, exchanges, listeners
from hornbeamglade.observability import logs
from hornbeamglade.origins import versions
from hornbeamglade.quarantine import fingerprints, lostruns, partquarantine
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import (
    attemptlog,
    callrouter,
    calls,
    drainadmission,
    engineselector,
    enginework,
    eventrelay,
    formerrun,
    migration,
    responseroom,
    responses,
    rundependencies,
    runends,
    runregistry,
    sending,
    streamorigin,
)

MAX_EVENT_DIGITS = 6
"""Bounds the number of events that a caller states to have."""

STATED = "stated"
UNSTATED = "unstated"
"""How a stream ended in order: by its last chunk or length, or with its connection only."""

MIGRATION_WAIT_S = 2.0
"""Longest wait for a migration to end after the stream from the source has closed. It
usually takes a few hundredths of a second; if the engine is gone, the migration fails with
it."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamResult:
    """Outcome of a stream that was started.

    :param is_complete: whether the whole stream was relayed.
    :param events: number of relayed events.
    :param migrations: number of times that the run continued at another engine.
    :param first_event_s: seconds from the arrival of the request to the first event, or None.
    :param longest_gap_s: longest pause between events in seconds.
    :param end: how the last connection to an engine showed the end of the stream, for logs.
    """

    is_complete: bool
    events: int
    migrations: int
    first_event_s: float | None
    longest_gap_s: float
    end: str


class StreamRun(runregistry.Run):
    """Answers one request with a stream of events.

    Explanation
    ===========

    A request that must not run twice is sent once. When its engine will stop soon, the run
    is migrated (:mod:`hornbeamglade.routed.migration`) and the stream continues from the
    copy of its KV cache. It remains the same run, so no event is generated again. Only a
    repeatable request is run again after its stream was lost; it continues after the last
    event that the caller received.

    :param routed: the request.
    :param exchange: the exchange with the caller.
    :param log: the attempts made for the request.
    :param dependencies: shared dependencies of streamed runs.
    """

    def __init__(
        self,
        routed: callrouter.RoutedRequest,
        exchange: exchanges.Exchange,
        log: attemptlog.AttemptLog,
        dependencies: rundependencies.RunDependencies,
    ) -> None:
        self._routed = routed
        self._exchange = exchange
        self._log = log
        self._dependencies = dependencies
        self._stream_times = dependencies.metrics.stream_times(
            routed.service.name, routed.call.arrived_at
        )
        self._relay = eventrelay.EventRelay(
            exchange, dependencies.clock, routed.call.last_event_id, self._stream_times
        )
        self._selector = engineselector.EngineSelector(routed, log, dependencies)
        self._assignment: engineselector.Assignment | None = None
        self._response_start: eventrelay.ResponseStart | None = None
        self._first_event = asyncio.Event()
        self._writing_since: float | None = None
        self._is_proven = False
        self._late_refusal: outcomes.Refusal | None = None
        self._former: replicamodels.Replica | None = None
        self._end = "-"
        self._origin = streamorigin.StreamOrigin(routed, dependencies.origins, dependencies.clock)
        self._migration: migration.Migration | None = None
        self._migration_task: asyncio.Task[None] | None = None
        self._migration_count = 0
        self._reservation = dependencies.sender.room.open()

    async def answer(self) -> outcomes.Refusal | responses.Response | StreamResult:
        """Answer the request.

        :returns: the response to send instead of a stream, or the outcome of the stream.
        """
        is_complete = False
        try:
            if self._routed.call.resumes_stream:
                refusal = await self._origin.find()
                if refusal is not None:
                    return refusal
                self._require_origin()
            answer = await self._start_stream()
            if not isinstance(answer, sending.StartedResponse):
                return answer
            is_complete = await self._relay_stream()
            if not is_complete and not self._relay.has_started:
                return self._late_refusal or self._selector.failure_refusal()
            if not is_complete:
                self._exchange.abort()
            return self.result(is_complete)
        finally:
            self._finish(is_complete)

    def result(self, is_complete: bool) -> StreamResult:
        """Return the outcome of the stream so far."""
        relay = self._relay
        first_s = None
        if relay.first_at is not None:
            first_s = relay.first_at - self._routed.call.arrived_at
        return StreamResult(
            is_complete,
            relay.event_count,
            self._migration_count,
            first_s,
            relay.longest_gap_s,
            self._end,
        )

    def pause_s(self, now: float) -> float | None:
        """Return the seconds since the newest event, or None before the first one."""
        return None if self._relay.last_at is None else now - self._relay.last_at

    def on_replica_leaving(self) -> None:
        """Start a migration to another engine, if the engine supports it."""
        assignment = self._assignment
        engine = self._routed.service.engine
        if assignment is None or engine is None or not engine.can_migrate:
            return
        if self._migration_task is not None and not self._migration_task.done():
            return
        if self._migration is not None and self._migration.may_have_stopped_run:
            return
        self._migration_task = asyncio.ensure_future(self._migrate(assignment))

    def on_replica_gone(self) -> None:
        """Close the stream from an engine that has restarted; it may continue elsewhere."""
        assignment = self._assignment
        if assignment is None or assignment.response is None:
            return
        version = versions.version_key(assignment.replica.version)
        if self._relay.event_count and not self._dependencies.catalog.is_named_of_version(
            assignment.replica.name, version
        ):
            # The request may have been sent to the new incarnation, before it was listed.
            self._origin.lose()
        assignment.response.connection.close()

    async def _start_stream(
        self,
    ) -> sending.StartedResponse | outcomes.Refusal | responses.Response:
        """Send the request until a replica responds with a stream."""
        while True:
            assignment = await self._selector.find()
            if isinstance(assignment, outcomes.Refusal):
                return assignment
            self._assignment = assignment
            accepted_at = self._dependencies.clock.now()
            response = await self._send(await self._stop_former_run(), accepted_at)
            if isinstance(response, sending.StartedResponse) and _is_stream(response):
                return response
            answer = await self._handle_unstreamed(response)
            if answer is not None:
                return answer

    async def _stop_former_run(self) -> calls.KvCopy | None:
        """Stop the run at the engine whose stream broke off; return its copy, if there is one."""
        former, self._former = self._former, None
        engine = self._routed.service.engine
        if former is None or engine is None or not engine.can_migrate:
            return None
        dependencies = self._dependencies.migration_dependencies
        run = formerrun.FormerRun(former, self._routed.call.request_id, dependencies)
        next_engine = self._assignment.replica
        copy = await run.stop(next_engine)
        if copy is not None and not self._relay.event_count:
            # Without a head of the former engine, the response is that of a run of its own.
            dependencies.free_copy(copy.name, (former.address, next_engine.address))
            return None
        return copy

    async def _send(
        self, copy: calls.KvCopy | None, accepted_at: float | None = None
    ) -> sending.StartedResponse | sending.FailedAttempt:
        """Send the request to the assigned engine.

        :param accepted_at: see :class:`Dispatch <hornbeamglade.routed.calls.Dispatch>`.
        """
        assignment, routed = self._assignment, self._routed
        self._writing_since = None
        self._is_proven = False
        dispatch = calls.Dispatch(
            replica_name=assignment.replica.name,
            team=None if routed.team is None else routed.team.name,
            remaining_s=routed.ends_at - self._dependencies.clock.now(),
            urgency=min(routed.urgency, 9),
            last_event_id=self._relay.last_id,
            copy=copy,
            accepted_at=accepted_at,
        )
        catalog = self._dependencies.catalog
        assignment.sent_at = self._dependencies.clock.now()
        self._log.log_resend(
            routed.call.request_id,
            assignment.replica,
            assignment.sent_at,
            has_copy=copy is not None,
        )
        self._log.start(
            assignment.replica, catalog.limit(assignment.replica.id), assignment.sent_at
        )
        catalog.record_sent(assignment.replica.id)
        response = await self._dependencies.sender.send(
            routed, assignment.replica, dispatch, self._log
        )
        if isinstance(response, sending.FailedAttempt):
            self._record_end(assignment, response.run, response.was_sent, response.code)
            return response
        assignment.response = response
        self._log.record_response_started()
        self._dependencies.registry.add(assignment.replica.id, self)
        if self._response_start is None or not self._relay.event_count:
            self._response_start = eventrelay.ResponseStart(
                response.head.status, response.head.fields
            )
        if not catalog.is_usable(assignment.replica.id):
            self.on_replica_leaving()
        return response

    async def _handle_unstreamed(
        self, response: sending.StartedResponse | sending.FailedAttempt
    ) -> outcomes.Refusal | responses.Response | None:
        """Handle an attempt without a stream; return None if the request may be retried."""
        assignment = self._assignment
        self._log_attempt(response)
        if isinstance(response, sending.FailedAttempt):
            if response.is_lost:
                self._report_lost_run(assignment)
                self._former = assignment.replica
            self._release_assignment()
            if not self._selector.may_retry():
                return self._selector.failure_refusal()
            if response.is_lost:
                await self._await_evidence()
            return None
        body = await self._dependencies.sender.read_body(response)
        assignment.response = None
        self._release_assignment()
        self._record_end(assignment, outcomes.RunStatus.RAN, True, "not_a_stream")
        if isinstance(body, sending.FailedAttempt):
            return None if self._selector.may_retry() else self._selector.failure_refusal()
        status = response.head.status
        is_failure = status >= 500 or status in outcomes.NOT_RUN_STATUSES
        if is_failure and self._selector.may_retry():
            return None
        if not response.head.may_be_forwarded:
            return self._selector.failure_refusal()
        return responses.Response(status, response.head.fields, body)

    def _record_end(
        self,
        assignment: engineselector.Assignment,
        run: outcomes.RunStatus,
        was_sent: bool,
        code: str,
    ) -> None:
        now = self._dependencies.clock.now()
        self._log.record_end(assignment.replica.id, run, was_sent, now, code)

    def _log_attempt(self, response: sending.StartedResponse | sending.FailedAttempt) -> None:
        """Log an attempt that returned no stream."""
        is_failed = isinstance(response, sending.FailedAttempt)
        service = self._routed.service.name
        logs.decided(
            self._routed.call.request_id,
            "attempt",
            response.code if is_failed else "not_a_stream",
            status=response.status if is_failed else response.head.status,
            replica=self._assignment.replica.id,
            address=self._log.address,
            run=response.run.value if is_failed else "ran",
            connection=self._log.connection,
            idle_s=self._log.idle_s,
            names_request=response.names_request
            if is_failed
            else response.head.request_id is not None,
            budget=round(
                self._dependencies.budgets.remaining(service, self._dependencies.clock.now()), 1
            ),
        )

    async def _relay_stream(self) -> bool:
        """Relay events until the response is complete; return False if it cannot be completed."""
        while True:
            lost = await self._relay_events()
            if lost is None:
                return True
            self._end = lost.code
            if self._late_refusal is not None:
                return False
            logs.decided(
                self._routed.call.request_id,
                "stream_lost",
                lost.code,
                replica=self._assignment.replica.id,
                version=self._assignment.replica.version,
                events=self._relay.event_count,
                fingerprint=fingerprints.to_hex(self._routed.fingerprint),
            )
            labels = (self._routed.service.name, lost.code)
            self._dependencies.metrics.routed.broken_streams.add(labels=labels)
            self._record_end(self._assignment, outcomes.RunStatus.RAN, True, lost.code)
            self._note_origin()
            self._require_origin()
            if self._relay.event_count and not self._origin.is_certain:
                return False
            if not await self._continue_stream():
                return False

    async def _relay_events(self) -> clientside.ResponseLost | None:
        """Relay events from one replica; return None at the end of the complete response."""
        connection = self._assignment.response.connection
        self._exchange.set_read_ahead(connection.read_ahead_bytes)
        events_before = self._relay.event_count
        self._relay.start_connection(
            self._dependencies.speeds.make_meter(self._routed.service.name)
        )
        while True:
            piece = await connection.chunk(clientside.READ_AHEAD_BYTES)
            if isinstance(piece, clientside.ResponseLost):
                return piece
            if isinstance(piece, clientside.BodyEnd):
                return await self._finish_relay(piece)
            if not self._may_begin():
                drain_admission = self._dependencies.drain_admission
                self._late_refusal = drain_admission.final_refusal(self._log)
                return clientside.ResponseLost("too_late")
            if not await self._relay.relay(piece, self._response_start):
                return clientside.ResponseLost("event_missing")
            if self._relay.has_excessive_event:
                return clientside.ResponseLost("excessive")
            self._report_progress()
            if self._relay.event_count > events_before and not self._is_proven:
                self._prove(self._relay.last_at)
            await self._reserve(connection)

    async def _reserve(self, connection: clientside.ServerConnection) -> None:
        """Count what cannot be sent yet, and wait for room if it is much."""
        held_bytes = self._relay.held_bytes
        if held_bytes > responseroom.UNCHECKED_BYTES:
            # What is read ahead is counted by the exchange.
            await self._reservation.grow(held_bytes, lambda: 0, connection.pause_reading)
        elif held_bytes != self._reservation.held_bytes:
            self._reservation.end(held_bytes)

    async def _finish_relay(self, end: clientside.BodyEnd) -> clientside.ResponseLost | None:
        """End the response to the caller, if the stream is complete."""
        if self._relay.has_incomplete_event:
            return clientside.ResponseLost("torn_event")
        if not end.is_stated and not await self._is_complete():
            return clientside.ResponseLost(runends.END_UNPROVED)
        self._end = STATED if end.is_stated else UNSTATED
        await self._relay.finish(self._response_start)
        self._record_answer_started()
        self._record_good_run()
        return None

    async def _is_complete(self) -> bool:
        """Return whether a stream is complete whose engine closed the connection in order."""
        order = runends.StopOrder.NONE
        if self._migration is not None:
            if self._migration.stop_order is runends.StopOrder.UNANSWERED:
                await self._await_migration()
            order = self._migration.stop_order
        return await self._dependencies.ends.is_complete(
            self._routed, self._assignment.replica, order
        )

    def _may_begin(self) -> bool:
        """Return whether the response may begin, if need be withheld until it is complete."""
        relay, dependencies = self._relay, self._dependencies
        if relay.has_started:
            return True
        if relay.is_withholding:
            return relay.withheld_bytes <= listeners.WRITE_BUFFER_BYTES
        now = dependencies.clock.now()
        late_start = dependencies.drain_admission.late_start(self._routed, self._log.sent_at, now)
        stop = dependencies.drain_admission.stop_state(now)
        if stop is not None:
            logs.decided(
                self._routed.call.request_id,
                "answer_start",
                late_start.value,
                replica=self._assignment.replica.id,
                since_stop_s=round(stop.since_s, 3),
                remaining_s=round(stop.remaining_s, 3),
            )
        if late_start is drainadmission.LateStart.WITHHELD:
            relay.withhold()
            self._log.record_answer_withheld()
        return late_start is not drainadmission.LateStart.DROPPED

    def _prove(self, last_at: float) -> None:
        """Record that the run goes well once its replica has written for some time.

        :param last_at: monotonic seconds of its last event.
        """
        if self._writing_since is None:
            self._writing_since = last_at
        if last_at - self._writing_since >= partquarantine.WENT_WELL_S:
            self._record_good_run()

    def _record_good_run(self) -> None:
        self._is_proven = True
        if self._routed.prompt is not None:
            self._dependencies.prompt_parts.went_well(self._routed.prompt)

    @property
    def _suspected_prompt(self) -> lostruns.PromptParts | None:
        """The parts of the prompt if one of them may have ended the replica."""
        return None if self._is_proven else self._routed.prompt

    def _report_progress(self) -> None:
        if self._relay.event_count and not self._first_event.is_set():
            self._note_origin()
            self._first_event.set()
            self._record_answer_started()
        grant = self._assignment.grant
        if grant is not None:
            self._dependencies.acquirer.record_progress(
                grant, self._produced_tokens(), self._relay.meter
            )

    def _record_answer_started(self) -> None:
        has_events = self._relay.has_started and self._relay.event_count
        if has_events and self._log.answer_at is None:
            self._log.record_answer_started(self._relay.first_at)

    def _note_origin(self) -> None:
        """Record the software version of the first event that was relayed."""
        if self._relay.event_count:
            self._origin.note(self._assignment.replica.version)

    def _require_origin(self) -> None:
        """Restrict the engines to the version that began the stream, if the caller has events."""
        if self._origin.version is not None:
            self._selector.continue_stream(self._origin.version, self._continued_tokens())

    def _continued_tokens(self) -> int:
        """Return the tokens that a replica reads again before it continues the stream."""
        last_id = self._routed.call.last_event_id or ""
        is_number = last_id.isascii() and last_id.isdecimal()
        earlier = int(last_id) if is_number and len(last_id) <= MAX_EVENT_DIGITS else 0
        return self._tokens(earlier + self._relay.event_count)

    def _produced_tokens(self) -> int:
        return self._tokens(self._relay.event_count)

    def _tokens(self, events: int) -> int:
        engine = self._routed.service.engine
        return events * (1 if engine is None else engine.tokens_per_event)

    async def _continue_stream(self) -> bool:
        """Continue the stream at another replica; return whether that succeeded."""
        destination = await self._await_destination()
        if destination is None:
            self._report_lost_run(self._assignment)
        self._end_migration()
        former = self._assignment.replica
        self._release_assignment()
        if destination is not None:
            return await self._resume(destination)
        if not self._selector.may_retry():
            return False
        self._former = former
        await self._await_evidence()
        return isinstance(await self._start_stream(), sending.StartedResponse)

    async def _await_evidence(self) -> None:
        """Wait until the end of a run is known as a crash, if its prompt may have caused it."""
        prompt = self._suspected_prompt
        if prompt is not None and self._dependencies.prompt_parts.is_suspected(prompt):
            await asyncio.sleep(partquarantine.SECOND_SEND_DELAY_S)

    async def _await_destination(self) -> migration.Destination | None:
        """Wait for the migration to end; return its destination, or None if it has none."""
        if self._migration_task is None or self._migration is None:
            return None
        await self._await_migration()
        reached = self._migration.destination
        if reached is not None and (
            self._dependencies.catalog.is_evacuated(reached.replica)
            or not await self._is_stop_confirmed()
        ):
            self._migration.abandon()
        destination, self._migration.destination = self._migration.destination, None
        return destination

    async def _await_migration(self) -> None:
        if not self._migration_task.done():
            await asyncio.wait((self._migration_task,), timeout=MIGRATION_WAIT_S)

    async def _is_stop_confirmed(self) -> bool:
        """Return whether the engine that the run leaves no longer works on it."""
        is_known = self._migration.is_stopped
        is_stopped = await self._migration.confirm_stop()
        if not is_known:
            logs.decided(
                self._routed.call.request_id,
                "stop",
                "confirmed" if is_stopped else "unconfirmed",
                replica=self._assignment.replica.id,
                events=self._relay.event_count,
                evidence=self._migration.stop_evidence,
            )
        return is_stopped

    async def _resume(self, destination: migration.Destination) -> bool:
        self._assignment = engineselector.Assignment(destination.replica, destination.grant)
        self._dependencies.budgets.record_resumed(
            self._routed.service.name, self._dependencies.clock.now()
        )
        response = await self._send(destination.copy, destination.accepted_at)
        is_resumed = isinstance(response, sending.StartedResponse) and _is_stream(response)
        logs.decided(
            self._routed.call.request_id,
            "resumed",
            "ok" if is_resumed else "failed",
            replica=destination.replica.id,
            version=destination.replica.version,
            events=self._relay.event_count,
        )
        if is_resumed:
            self._migration_count += 1
            return True
        if isinstance(response, sending.StartedResponse):
            self._dependencies.sender.abandon(response)
            self._assignment.response = None
        elif response.is_lost:
            self._former = destination.replica
        self._release_assignment()
        return self._selector.may_retry() and isinstance(
            await self._start_stream(), sending.StartedResponse
        )

    async def _migrate(self, assignment: engineselector.Assignment) -> None:
        """Migrate the run to another engine before its current engine stops."""
        # The KV cache of a run that has not started cannot be copied.
        await self._first_event.wait()
        self._require_origin()
        placement = self._selector.placement_request(
            self._dependencies.clock.now() + migration.COPY_TIMEOUT_S,
            frozenset((assignment.replica.id,)),
        )
        current = self._migration = migration.Migration(
            assignment.replica,
            self._routed.call.request_id,
            placement,
            self._dependencies.migration_dependencies,
        )
        await current.run(self._produced_tokens())
        self._dependencies.metrics.routed.moves.add(labels=(current.outcome,))
        logs.decided(
            self._routed.call.request_id,
            "handover",
            current.outcome,
            replica=assignment.replica.id,
            events=self._relay.event_count,
            room_s=_rounded(current.search_s),
            wait_s=_rounded(current.slot_wait_s),
            copy_s=_rounded(current.copy_s),
            stop_order=current.stop_order.value,
            is_stop_confirmed=current.is_stopped,
            evidence=current.stop_evidence,
        )

    def _end_migration(self) -> None:
        """End the migration from an engine whose stream has ended."""
        if self._migration is not None:
            self._migration.run_ended(self._migration_task)
        elif self._migration_task is not None:
            self._migration_task.cancel()
        self._migration = None
        self._migration_task = None

    def _report_lost_run(self, assignment: engineselector.Assignment) -> None:
        """Report a lost run to the crash detector."""
        self._dependencies.crash_detector.run_lost(
            self._routed.fingerprint,
            assignment.replica,
            assignment.sent_at,
            self._suspected_prompt,
        )

    def _release_assignment(self) -> None:
        """Close the connection to the assigned engine and release the grant."""
        assignment, self._assignment = self._assignment, None
        if assignment is None:
            return
        self._dependencies.registry.remove(assignment.replica.id, self)
        if assignment.response is not None:
            self._dependencies.sender.abandon(assignment.response)
        if assignment.grant is not None:
            self._dependencies.acquirer.release(assignment.grant)

    def _finish(self, is_complete: bool) -> None:
        """Release all resources of the run, however it ended."""
        self._end_migration()
        assignment = self._assignment
        if is_complete and assignment is not None and assignment.response is not None:
            self._dependencies.sender.finish(assignment.response)
            assignment.response = None
        elif assignment is not None:
            self._dependencies.crash_detector.run_unanswered(
                self._routed.fingerprint,
                assignment.replica,
                assignment.sent_at,
                self._suspected_prompt,
            )
        self._release_assignment()
        self._relay.discard()
        self._reservation.close()
        self._record_length(is_complete)

    def _record_length(self, is_complete: bool) -> None:
        work = enginework.work(self._routed)
        produced = self._produced_tokens()
        if not produced:
            return
        self._dependencies.record_length(work.service, work.team, produced, not is_complete)
        self._dependencies.metrics.stream_finished(
            self._routed.service.name,
            self._stream_times,
            self._dependencies.clock.now(),
            tokens_per_event=self._routed.service.engine.tokens_per_event,
        )
        relay = self._relay
        tokens_after_first_event = produced - produced // relay.event_count
        self._dependencies.token_times.observe(
            self._routed.service.name, tokens_after_first_event, relay.last_at - relay.first_at
        )


def _is_stream(response: sending.StartedResponse) -> bool:
    head = response.head
    return head.status == 200 and head.is_sealed and not head.is_encoded


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
