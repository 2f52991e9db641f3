"""One streamed answer, over every replica that its run visits."""

import asyncio
import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.http1 import clientside, serverside
from hornbeamglade.observability import logs
from hornbeamglade.quarantine import fingerprints
from hornbeamglade.routed import (
    attemptlog,
    callrouter,
    calls,
    enginework,
    eventrelay,
    migration,
    placefinder,
    responses,
    rundependencies,
    runregistry,
    sending,
)

HANDOVER_WAIT_S = 2.0
"""Once its stream is closed, a run waits for its move to come to an end; that takes a
few hundredths of a second, or the engine is gone and the move ends with it."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamResult:
    """A stream was begun.

    :param is_complete: whether it came to its end.
    :param events: events that were passed on.
    :param migrations: how often its run went on at another engine.
    :param first_event_s: seconds to its first event, or None.
    :param longest_gap_s: the longest pause between events.
    """

    is_complete: bool
    events: int
    migrations: int
    first_event_s: float | None
    longest_gap_s: float


class StreamRun(runregistry.Run):
    """Answers one request with a stream of events.

    Explanation
    ===========

    A request that may not run twice is sent once. When its engine is about to stop, the
    run is moved (:mod:`hornbeamglade.routed.migration`) and its stream goes on from the
    copy of its memory: that is the same run, so no event is made anew. Only a request
    that may be repeated is run again after its stream was lost, from the last event that
    its caller has.

    :param routed: the request.
    :param exchange: the caller's.
    :param log: its attempts.
    :param parts: what it works with.
    """

    def __init__(
        self,
        routed: callrouter.RoutedRequest,
        exchange: serverside.Exchange,
        log: attemptlog.AttemptLog,
        parts: rundependencies.RunDependencies,
    ) -> None:
        self._routed = routed
        self._exchange = exchange
        self._log = log
        self._parts = parts
        self._times = parts.metrics.stream_times(routed.service.name, routed.call.arrived_at)
        self._relay = eventrelay.EventRelay(
            exchange, parts.clock, routed.call.last_event_id, self._times
        )
        self._places = placefinder.PlaceFinder(routed, log, parts)
        self._place: placefinder.Place | None = None
        self._start: eventrelay.AnswerStart | None = None
        self._first_event = asyncio.Event()
        self._handover: migration.Migration | None = None
        self._handover_task: asyncio.Task[None] | None = None
        self._moves = 0

    async def answer(self) -> outcomes.Refusal | responses.Response | StreamResult:
        """Answer the request.

        :returns: what the caller gets in place of a stream, or what became of it.
        """
        is_whole = False
        try:
            answer = await self._begin()
            if not isinstance(answer, sending.Begun):
                return answer
            is_whole = await self._stream()
            if not is_whole and not self._relay.has_begun:
                return self._places.failure()
            if not is_whole:
                self._exchange.abort()
            return self.result(is_whole)
        finally:
            self._end(is_whole)

    def result(self, is_complete: bool) -> StreamResult:
        """Return what became of the stream so far."""
        relay = self._relay
        first_s = None
        if relay.first_at is not None:
            first_s = relay.first_at - self._routed.call.arrived_at
        return StreamResult(is_complete, relay.count, self._moves, first_s, relay.longest_gap_s)

    def on_replica_leaving(self) -> None:
        """Begin to move to another engine, if the run is worth it."""
        place = self._place
        engine = self._routed.service.engine
        if place is None or engine is None or not engine.can_migrate:
            return
        if self._handover_task is not None and not self._handover_task.done():
            return
        self._handover_task = asyncio.ensure_future(self._move_away(place))

    def on_replica_gone(self) -> None:
        """Give up the stream from an engine that has started anew; it may go on elsewhere."""
        place = self._place
        if place is not None and place.begun is not None:
            place.begun.connection.close()

    async def _begin(self) -> sending.Begun | outcomes.Refusal | responses.Response:
        """Send the request until a replica answers it with a stream."""
        while True:
            place = await self._places.find()
            if isinstance(place, outcomes.Refusal):
                return place
            self._place = place
            begun = await self._send_to_place(None)
            if isinstance(begun, sending.Begun) and _is_stream(begun):
                return begun
            answer = await self._not_streamed(begun)
            if answer is not None:
                return answer

    async def _send_to_place(self, copy: calls.Copy | None) -> sending.Begun | sending.Failed:
        """Send the request to where it has leave to run."""
        place, routed = self._place, self._routed
        dispatch = calls.Dispatch(
            replica_name=place.replica.name,
            team=None if routed.team is None else routed.team.name,
            remaining_s=routed.ends_at - self._parts.clock.now(),
            urgency=min(routed.urgency, 9),
            last_event_id=self._relay.last_id,
            copy=copy,
        )
        catalog = self._parts.catalog
        self._log.begin(place.replica.id, catalog.limit(place.replica.id))
        catalog.sent(place.replica.id)
        place.sent_at = self._parts.clock.now()
        begun = await self._parts.sender.begin(routed, place.replica, dispatch)
        if isinstance(begun, sending.Failed):
            self._log.note(place.replica.id, begun.run, begun.code != "not_connected")
            return begun
        place.begun = begun
        if not begun.head.is_misdirected:
            catalog.answered(place.replica.id, begun.head.limit)
        self._log.answered()
        self._parts.registry.enter(place.replica.id, self)
        if self._start is None or not self._relay.has_begun:
            self._start = eventrelay.AnswerStart(begun.head.status, begun.head.fields)
        if not catalog.is_usable(place.replica.id):
            self.on_replica_leaving()
        return begun

    async def _not_streamed(
        self, begun: sending.Begun | sending.Failed
    ) -> outcomes.Refusal | responses.Response | None:
        """Deal with an attempt that gave no stream; None when another may be made."""
        place = self._place
        self._tell_attempt(begun)
        if isinstance(begun, sending.Failed):
            if begun.run is outcomes.RunStatus.UNKNOWN:
                self._run_lost(place)
            self._leave_place()
            return None if self._places.may_run_again() else self._places.failure()
        body = await self._parts.sender.whole_body(begun)
        place.begun = None
        self._leave_place()
        if begun.head.is_not_run:
            self._log.note(place.replica.id, outcomes.RunStatus.NOT_RUN, True)
            return None
        self._log.note(place.replica.id, outcomes.RunStatus.RAN, True)
        if isinstance(body, sending.Failed):
            return None if self._places.may_run_again() else self._places.failure()
        if begun.head.status >= 500 and self._places.may_run_again():
            return None
        if not begun.head.is_sealed or begun.head.is_encoded:
            return self._places.failure()
        return responses.Response(begun.head.status, begun.head.fields, body)

    def _tell_attempt(self, begun: sending.Begun | sending.Failed) -> None:
        """Write the line on an attempt that gave no stream."""
        is_failed = isinstance(begun, sending.Failed)
        service = self._routed.service.name
        logs.decided(
            self._routed.call.request_id,
            "attempt",
            begun.code if is_failed else "not_a_stream",
            status=None if is_failed else begun.head.status,
            replica=self._place.replica.id,
            run=begun.run.value if is_failed else "not_run" if begun.head.is_not_run else "ran",
            budget=round(self._parts.budgets.remaining(service, self._parts.clock.now()), 1),
        )

    async def _stream(self) -> bool:
        """Pass events on until the answer is whole; False when it cannot be."""
        while True:
            ended = await self._pass_on()
            if ended is None:
                return True
            logs.decided(
                self._routed.call.request_id,
                "stream_lost",
                ended.code,
                replica=self._place.replica.id,
                events=self._relay.count,
                fingerprint=fingerprints.to_hex(self._routed.fingerprint),
            )
            labels = (self._routed.service.name, ended.code)
            self._parts.metrics.routed.broken_streams.add(labels=labels)
            self._log.note(self._place.replica.id, outcomes.RunStatus.RAN, True)
            if not await self._go_on():
                return False

    async def _pass_on(self) -> clientside.Lost | None:
        """Pass events on; None at the end of the whole answer."""
        connection = self._place.begun.connection
        self._relay.start_connection()
        while True:
            piece = await connection.piece()
            if isinstance(piece, clientside.Lost):
                return piece
            if isinstance(piece, clientside.End):
                if await self._relay.finish(self._start):
                    return None
                return clientside.Lost("torn_event")
            if not await self._relay.take(piece, self._start):
                return clientside.Lost("event_missing")
            self._note_progress()

    def _note_progress(self) -> None:
        if self._relay.count:
            self._first_event.set()
        grant = self._place.grant
        if grant is not None:
            self._parts.acquirer.record_progress(grant, self._produced())

    def _produced(self) -> int:
        engine = self._routed.service.engine
        return self._relay.count * (1 if engine is None else engine.tokens_per_event)

    async def _go_on(self) -> bool:
        """Continue the stream at another replica; return whether it does."""
        destination = await self._destination()
        if destination is None:
            self._run_lost(self._place)
        self._leave_place()
        if destination is not None:
            return await self._resume(destination)
        if not self._places.may_run_again():
            return False
        return isinstance(await self._begin(), sending.Begun)

    async def _destination(self) -> migration.Destination | None:
        """Return where the run's memory is, once its move has come to an end."""
        task = self._handover_task
        if task is None or self._handover is None:
            return None
        if not task.done():
            await asyncio.wait((task,), timeout=HANDOVER_WAIT_S)
        reached = self._handover.destination
        if reached is not None and self._parts.catalog.is_evacuated(reached.replica):
            self._handover.abandon()
        destination, self._handover.destination = self._handover.destination, None
        return destination

    async def _resume(self, destination: migration.Destination) -> bool:
        self._place = placefinder.Place(destination.replica, destination.grant)
        self._handover = None
        self._handover_task = None
        self._parts.budgets.record_resumed(self._routed.service.name, self._parts.clock.now())
        begun = await self._send_to_place(destination.copy)
        is_resumed = isinstance(begun, sending.Begun) and _is_stream(begun)
        logs.decided(
            self._routed.call.request_id,
            "resumed",
            "ok" if is_resumed else "failed",
            replica=destination.replica.id,
            events=self._relay.count,
        )
        if is_resumed:
            self._moves += 1
            return True
        if isinstance(begun, sending.Begun):
            self._parts.sender.close(begun)
            self._place.begun = None
        self._leave_place()
        return self._places.may_run_again() and isinstance(await self._begin(), sending.Begun)

    async def _move_away(self, place: placefinder.Place) -> None:
        """Move the run to another engine before its own stops."""
        # Memory of a run that has not begun cannot be copied.
        await self._first_event.wait()
        placement = self._places.placement(
            self._parts.clock.now() + migration.COPY_TIMEOUT_S, frozenset((place.replica.id,))
        )
        self._handover = migration.Migration(
            place.replica, self._routed.call.request_id, placement, self._parts.moves
        )
        await self._handover.run(self._produced())
        self._parts.metrics.routed.moves.add(labels=(self._handover.outcome,))
        logs.decided(
            self._routed.call.request_id,
            "handover",
            self._handover.outcome,
            replica=place.replica.id,
            events=self._relay.count,
            room_s=_rounded(self._handover.room_s),
            wait_s=_rounded(self._handover.turn_s),
            copy_s=_rounded(self._handover.copy_s),
        )

    def _run_lost(self, place: placefinder.Place) -> None:
        """Have it found out whether a crash has ended the run."""
        self._parts.crashes.run_lost(self._routed.fingerprint, place.replica, place.sent_at)

    def _leave_place(self) -> None:
        """Give up where the run was: its connection and its grant."""
        place, self._place = self._place, None
        if place is None:
            return
        self._parts.registry.leave(place.replica.id, self)
        if place.begun is not None:
            self._parts.sender.close(place.begun)
        if place.grant is not None:
            self._parts.acquirer.release(place.grant)

    def _end(self, is_whole: bool) -> None:
        """Give back all that the run holds, however it ended."""
        if self._handover is not None:
            self._handover.run_ended(self._handover_task)
        elif self._handover_task is not None:
            self._handover_task.cancel()
        place = self._place
        if is_whole and place is not None and place.begun is not None:
            self._parts.sender.finished(place.begun)
            place.begun = None
        elif place is not None:
            self._parts.crashes.run_unanswered(
                self._routed.fingerprint, place.replica, place.sent_at
            )
        self._leave_place()
        self._learn(is_whole)

    def _learn(self, is_whole: bool) -> None:
        work = enginework.work(self._routed)
        produced = self._produced()
        if not produced:
            return
        self._parts.learn(work.service, work.team, produced, not is_whole)
        self._parts.metrics.stream_finished(
            self._routed.service.name,
            self._times,
            self._parts.clock.now(),
            tokens_per_event=self._routed.service.engine.tokens_per_event,
        )
        relay = self._relay
        later = produced - produced // relay.count
        self._parts.pace.observe(self._routed.service.name, later, relay.last_at - relay.first_at)


def _is_stream(begun: sending.Begun) -> bool:
    head = begun.head
    return head.status == 200 and head.is_sealed and not head.is_encoded


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
