"""Requests that an instance is answering, and how long recent answers took to begin."""

import asyncio
import collections
import collections.abc
import dataclasses
import math

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.routed import attemptlog, callrouter

WINDOW_S = 10.0
"""The load of a service changes within seconds, so older answers say little about the next."""

MAX_ANSWER_TIMES = 64
"""Bounds the answers of a service that are considered, and the time to evaluate them."""

REUSE_S = 0.1
"""How long the times of a service are reused, as all requests that wait are judged by them."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTime:
    """How long an answer took to begin.

    :param wait_s: seconds from the arrival of the request to its newest attempt at a replica.
    :param response_s: seconds from that attempt to the first event of a stream or to a whole
        response.
    :param has_begun: whether the answer has begun; otherwise both times are lower bounds.
    """

    wait_s: float
    response_s: float
    has_begun: bool = True


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

    @property
    def is_waiting(self) -> bool:
        """Whether its answer has not begun and it is at no replica."""
        return not self.log.has_started and self.log.in_flight_replica is None

    def end(self, refusal: outcomes.Refusal) -> None:
        """Let the task time out now, to respond with ``refusal``."""
        if self.refusal is None and not self._timeout.expired():
            self.refusal = refusal
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def answer_time(self, now: float) -> AnswerTime:
        """Return how long the answer took to begin, as far as that has happened."""
        log = self.log
        begun_at = now if log.answer_at is None else log.answer_at
        sent_at = begun_at if log.sent_at is None else min(log.sent_at, begun_at)
        return AnswerTime(
            sent_at - self.routed.call.arrived_at, begun_at - sent_at, log.answer_at is not None
        )


class RequestsInProgress:
    """The requests that an instance is answering; to be used on an event loop.

    :param clock: monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._requests: set[RequestInProgress] = set()
        self._ended_by_service: dict[str, collections.deque[tuple[float, AnswerTime]]] = {}
        self._times_by_service: dict[str, tuple[float, list[AnswerTime]]] = {}

    def keep_services(self, services: frozenset[str]) -> None:
        """Forget the answers of all other services."""
        for known in (self._ended_by_service, self._times_by_service):
            for service in known.keys() - services:
                del known[service]

    def add(self, request: RequestInProgress) -> None:
        """Add a request."""
        self._requests.add(request)

    def remove(self, request: RequestInProgress) -> None:
        """Remove a request that was answered, or whose caller has left."""
        self._requests.discard(request)
        if request.log.answer_at is None:
            return
        service = request.routed.service.name
        ended = self._ended_by_service.setdefault(
            service, collections.deque(maxlen=MAX_ANSWER_TIMES)
        )
        ended.append((request.log.answer_at, request.answer_time(request.log.answer_at)))

    def unanswered(self) -> tuple[RequestInProgress, ...]:
        """Return the requests whose answers have not begun."""
        return tuple(each for each in self._requests if each.log.answer_at is None)

    def answer_times(self, service: str) -> collections.abc.Sequence[AnswerTime]:
        """Return how long the newest answers of a service took to begin, or have taken so far."""
        now = self._clock.now()
        read_at, times = self._times_by_service.get(service, (-math.inf, []))
        if now - read_at >= REUSE_S:
            times = self._read_times(service, now)
            self._times_by_service[service] = (now, times)
        return times

    def _read_times(self, service: str, now: float) -> list[AnswerTime]:
        dated = list(self._ended_by_service.get(service, ()))
        for request in self._requests:
            if request.routed.service.name == service:
                begun_at = request.log.answer_at
                dated.append((now if begun_at is None else begun_at, request.answer_time(now)))
        recent = [each for each in dated if now - each[0] <= WINDOW_S]
        recent.sort(key=lambda each: each[0])
        return [answer_time for _, answer_time in recent[-MAX_ANSWER_TIMES:]]
