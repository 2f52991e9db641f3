"""The cases of a sweep, and what must hold in each."""

import collections.abc
import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.standins import disturbances, operatordocuments, recordingcaller

LATE_S = 0.5
"""How long after its deadline a request may be answered at the latest."""


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One disturbed exchange.

    :param disturbance: what happens to the response.
    :param is_first_use: whether its request is the first one on its connection.
    :param is_sent_again: whether its request was refused at the same address before; only the
        connection of that refusal is disturbed.
    """

    disturbance: disturbances.Disturbance
    is_first_use: bool
    is_sent_again: bool = False

    @property
    def is_own_statement(self) -> bool:
        """Whether the replica states that it refused what it runs.

        The first bytes on a connection, and bytes with the id of the request, are its own.
        """
        stray = self.disturbance.stray
        if self.disturbance.at or stray is None or self.is_sent_again:
            return False
        return stray in disturbances.OWN or (self.is_first_use and stray in disturbances.UNNAMED)


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What callers and replicas saw of one case.

    :param request_id: the request's id.
    :param received: what its caller received.
    :param next_received: what the caller received to its next request.
    :param ran_at: the replicas that ran the request, in order.
    :param overlap_s: longest time for which two engines worked on it at once.
    """

    request_id: str
    received: recordingcaller.Received
    next_received: recordingcaller.Received
    ran_at: tuple[str, ...]
    overlap_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Expected:
    """What must hold in the cases of one kind of exchange.

    :param route: the route of the requests.
    :param first_event: number of the first event of the response.
    :param events: number of the last event of the whole response.
    :param deadline_s: the time budget of a request.
    :param overlap_s: longest time for which two engines may work on a run at once.
    """

    route: operatordocuments.RouteSettings
    first_event: int
    events: int
    deadline_s: float
    overlap_s: float = 0.4

    @property
    def max_runs(self) -> int:
        """How many replicas may run a request."""
        may_repeat = self.route.kind == "idempotent" or self.route.is_resumable
        return self.route.max_attempts if may_repeat else 1


def broken(case: Case, seen: Seen, expected: Expected) -> collections.abc.Iterator[str]:
    """Return what did not hold in a case, as stable identifiers."""
    received, runs = seen.received, len(seen.ran_at)
    if runs > expected.max_runs:
        yield "ran_again"
    if seen.overlap_s > expected.overlap_s:
        yield "two_engines"
    if received.status in outcomes.NOT_RUN_STATUSES and runs and expected.max_runs == 1:
        yield "refused_though_run"
    if received.status == 200:
        yield from _broken_answer(seen, expected)
    caller_left = case.disturbance.action is disturbances.Action.CALLER_LEAVES
    if received.status is None and not caller_left:
        yield "unanswered"
    is_paused = case.disturbance.action is disturbances.Action.PAUSE
    if received.seconds > expected.deadline_s + LATE_S and not is_paused:
        yield "late"
    if seen.next_received.status != 200 or not seen.next_received.is_whole:
        yield "next_unserved"


def _broken_answer(seen: Seen, expected: Expected) -> collections.abc.Iterator[str]:
    received, request_id = seen.received, seen.request_id
    if received.seal not in [f"{replica}.{request_id}" for replica in seen.ran_at]:
        yield "unproved"
    if expected.route.kind == "streaming":
        yield from _broken_stream(received, request_id, expected)
        return
    bodies = [f"{replica}:{request_id}".encode() for replica in seen.ran_at]
    if received.is_whole and received.body not in bodies:
        is_part = any(body.startswith(received.body) for body in bodies)
        yield "part_as_whole" if is_part else "foreign_bytes"


def _broken_stream(
    received: recordingcaller.Received, request_id: str, expected: Expected
) -> collections.abc.Iterator[str]:
    numbers = [number for number, _ in received.events]
    first = expected.first_event
    if numbers != list(range(first, first + len(numbers))):
        yield "out_of_order"
    if received.is_whole and len(numbers) != expected.events - first + 1:
        yield "part_as_whole"
    foreign = [
        text for number, text in received.events if text.rstrip(".") != f"{request_id}.{number}"
    ]
    if foreign or received.has_foreign_bytes:
        yield "foreign_bytes"
