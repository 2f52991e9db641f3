"""Relays the events of one run to its caller, each once and in order."""

import dataclasses
import re

from hornbeamglade.core import clocks
from hornbeamglade.http1 import exchanges, fields
from hornbeamglade.observability import metricsstream
from hornbeamglade.routed import eventsplit
from hornbeamglade.speeds import pacemeter

_SEQUENCE_NUMBER = re.compile("[0-9]{1,18}")
"""Callers may state any text as the id of an event. int() raises for some digits that are not
ASCII, and for thousands of digits."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseStart:
    """Head of the response to the caller.

    :param status: HTTP status.
    :param fields: header fields of the first replica, used for the whole response.
    """

    status: int
    fields: fields.Fields


class EventRelay:
    """Relays events and tracks the last one sent to the caller.

    Explanation
    ===========

    A run that continues at another replica resumes after the last relayed event. Repeated
    events are dropped. A gap in the event ids means that an event was lost; the stream is
    then aborted, since the joined pieces would look like a complete response.

    The response head is sent with the first event. Until then a refusal can still be sent
    with its own status. A relay that withholds the response sends nothing before its end.

    :param exchange: the exchange with the caller.
    :param clock: monotonic time.
    :param last_id: id of the last event that the caller already has, if it resumes a stream.
    :param stream_times: records the times of events, or None.
    """

    def __init__(
        self,
        exchange: exchanges.Exchange,
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
        self.meter: pacemeter.PaceMeter | None = None
        self.is_withholding = False
        self._withheld = bytearray()

    def withhold(self) -> None:
        """Send the response only once it is complete; to be called before it has started."""
        self.is_withholding = True

    @property
    def withheld_bytes(self) -> int:
        """Bytes of events that were received and are withheld."""
        return len(self._withheld)

    @property
    def held_bytes(self) -> int:
        """Bytes that were received and cannot be sent yet: an incomplete event, or all of them."""
        return len(self._splitter.remainder) + len(self._withheld)

    def discard(self) -> None:
        """Drop what is held, as the run has ended."""
        self._splitter = eventsplit.EventSplitter()
        self._withheld.clear()

    def start_connection(self, meter: pacemeter.PaceMeter | None = None) -> None:
        """Discard the incomplete event left by a lost connection.

        :param meter: measures the pace of the stream at the connected replica. The pause before
            its first event there is not that replica's.
        """
        self._splitter = eventsplit.EventSplitter()
        self.meter = meter

    async def relay(self, data: bytes, start: ResponseStart) -> bool:
        """Relay the complete events of ``data``; return False if an event is missing."""
        for event in self._splitter.feed(data):
            if self._is_repeated(event):
                continue
            if self._is_after_gap(event):
                return False
            if self.is_withholding:
                self._record(event)
                self._withheld += event.data
                continue
            await self._start_response(start)
            self._record(event)
            await self._exchange.send(event.data)
        return True

    @property
    def has_excessive_event(self) -> bool:
        """Whether the event that is being received is longer than an event may be."""
        return self._splitter.is_excessive

    @property
    def has_incomplete_event(self) -> bool:
        """Whether a part of another event was received after the last complete one."""
        return bool(self._splitter.remainder.strip())

    async def finish(self, start: ResponseStart) -> bool:
        """End the response as complete; return False if the last event is incomplete."""
        if self.has_incomplete_event:
            return False
        await self._start_response(start)
        if self._withheld:
            await self._exchange.send(bytes(self._withheld))
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
        if self.meter is not None:
            self.meter.record(now)
        self.last_at = now
        self.event_count += 1
        if event.id is not None:
            self.last_id = event.id

    def _is_repeated(self, event: eventsplit.Event) -> bool:
        last_number, number = _sequence_number(self.last_id), _sequence_number(event.id)
        return last_number is not None and number is not None and number <= last_number

    def _is_after_gap(self, event: eventsplit.Event) -> bool:
        last_number, number = _sequence_number(self.last_id), _sequence_number(event.id)
        return last_number is not None and number is not None and number > last_number + 1


def _sequence_number(event_id: str | None) -> int | None:
    if event_id is None or not _SEQUENCE_NUMBER.fullmatch(event_id):
        return None
    return int(event_id)
