"""Events of one run on their way to its caller, each once and in order."""

import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.http1 import fields, serverside
from hornbeamglade.observability import metricsstream
from hornbeamglade.routed import eventsplit


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseStart:
    """The head with which a caller's answer begins.

    :param status: its status.
    :param fields: of the first replica, for the whole answer.
    """

    status: int
    fields: fields.Fields


class EventRelay:
    """Passes events on and knows which one the caller has last.

    Explanation
    ===========

    A run that goes on at another replica begins there after the last event that was
    passed on. An event that comes again is dropped, and one that comes too early means
    that something between them is lost: the stream is then broken off, as joined pieces
    would look whole.

    The caller's answer begins with the first event: until then a refusal can still have
    its proper status.

    :param exchange: the caller's.
    :param clock: monotonic time.
    :param last_id: the event that the caller has already, when it resumes a stream.
    :param times: records when events pass, or None.
    """

    def __init__(
        self,
        exchange: serverside.Exchange,
        clock: clocks.Clock,
        last_id: str | None,
        stream_times: metricsstream.StreamTimes | None = None,
    ) -> None:
        self._stream_times = stream_times
        self._exchange = exchange
        self._clock = clock
        self._splitter = eventsplit.EventSplitter()
        self.last_id = last_id
        self.event_count = 0
        self.has_started = False
        self.first_at: float | None = None
        self.last_at: float | None = None
        self.longest_gap_s = 0.0

    def start_connection(self) -> None:
        """Forget the torn event at the end of a connection that was lost."""
        self._splitter = eventsplit.EventSplitter()

    async def relay(self, data: bytes, start: ResponseStart) -> bool:
        """Pass on what is whole; return False when an event is missing."""
        for event in self._splitter.feed(data):
            if self._is_repeated(event):
                continue
            if self._is_after_gap(event):
                return False
            await self._start_response(start)
            self._record(event)
            await self._exchange.send(event.data)
        return True

    async def finish(self, start: ResponseStart) -> bool:
        """End the answer as complete; return False when an event is torn."""
        if self._splitter.remainder.strip():
            return False
        await self._start_response(start)
        await self._exchange.finish()
        return True

    async def _start_response(self, start: ResponseStart) -> None:
        if not self.has_started:
            self.has_started = True
            await self._exchange.begin(start.status, start.fields)

    def _record(self, event: eventsplit.Event) -> None:
        now = self._clock.now()
        if self._stream_times is not None:
            self._stream_times.token(now)
        if self.first_at is None:
            self.first_at = now
        if self.last_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.last_at = now
        self.event_count += 1
        if event.id is not None:
            self.last_id = event.id

    def _is_repeated(self, event: eventsplit.Event) -> bool:
        last, this = _sequence_number(self.last_id), _sequence_number(event.id)
        return last is not None and this is not None and this <= last

    def _is_after_gap(self, event: eventsplit.Event) -> bool:
        last, this = _sequence_number(self.last_id), _sequence_number(event.id)
        return last is not None and this is not None and this > last + 1


def _sequence_number(event_id: str | None) -> int | None:
    return int(event_id) if event_id is not None and event_id.isdigit() else None
