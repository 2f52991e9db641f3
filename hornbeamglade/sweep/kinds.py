"""The kinds of exchange that a sweep disturbs."""

import collections.abc
import dataclasses
import itertools
import re

from hornbeamglade.standins import (
    disturbances,
    operatordocuments,
    routedcaller,
    routedrequests,
)
from hornbeamglade.sweep import cases

HEAD_END = b"\r\n\r\n"

INSERTED_EVERYWHERE = (disturbances.Stray.ANSWER_OTHER, disturbances.Stray.REFUSAL)
"""Strays that are also inserted in the body; the others differ in fields of the head only."""

SHORT_EVENTS = 4
LONG_EVENTS = 60
LONGEST_EVENTS = 250
LOST_AFTER_EVENTS = range(30, 70, 5)
"""Events after which an engine that ignores orders loses a stream: its run goes on for longer than
two engines may work on it."""

EVENT_BYTES = 160
"""More than a stray response, which then fits into what is left of an event that breaks off."""

CONTINUED_EVENTS = 3
"""Events of a continued stream that are disturbed."""

SERVERS = ("e0", "e1", "s0", "s1")
SECOND_COPIES = 32
"""Cases of each late copy: their attempts and connections meet in different orders."""

WAVE_SIZE = 32
LEAVING_WAVE_SIZE = 16
IGNORED_WAVE_SIZE = 2
EVENT_END = rb"\n\n"

DEADLINE_S = 0.4
LONG_DEADLINE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of exchange.

    :param name: its name.
    :param route: the name of the requests' route.
    :param is_relayed: whether another instance relays the connections to replicas.
    :param resumed_after: the event after which the request takes a stream up, or 0.
    :param target: ``answer``, ``continuation``, ``copy`` or ``stop``: which response is disturbed.
    :param ignores_stops: whether the engine that the runs leave does not stop them.
    :param is_sent_again: whether each server has taken its address over, and refuses the request
        once as meant for the one before.
    :param is_unframed: whether only the ends of connections end streams.
    """

    name: str
    route: str
    is_relayed: bool = False
    resumed_after: int = 0
    target: str = "answer"
    ignores_stops: bool = False
    is_sent_again: bool = False
    is_unframed: bool = False

    @property
    def moves_runs(self) -> bool:
        """Whether the runs leave their engine."""
        return self.ignores_stops or self.target != "answer"

    @property
    def events(self) -> int:
        """Events of a whole stream."""
        if self.ignores_stops:
            return LONGEST_EVENTS
        return LONG_EVENTS if self.moves_runs else SHORT_EVENTS

    @property
    def wave_size(self) -> int:
        """Cases that are played at once: runs leave an engine one after the other."""
        if self.ignores_stops:
            return IGNORED_WAVE_SIZE
        return LEAVING_WAVE_SIZE if self.moves_runs else WAVE_SIZE

    @property
    def has_kept_connections(self) -> bool:
        """Whether its requests may be sent on connections that carried others."""
        is_stream_or_answer = self.target in ("answer", "continuation")
        is_plain = not (self.is_relayed or self.ignores_stops or self.is_sent_again)
        return is_stream_or_answer and is_plain

    @property
    def expected(self) -> cases.Expected:
        """What must hold in its cases."""
        route = operatordocuments.SETTINGS_BY_ROUTE[self.route]
        has_stalls = not self.moves_runs and not self.is_sent_again
        deadline_s = DEADLINE_S if has_stalls else LONG_DEADLINE_S
        return cases.Expected(route, self.resumed_after + 1, self.events, deadline_s)

    @property
    def misdirected(self) -> dict[str, int] | None:
        """How many first arrivals of each request each server refuses, or None."""
        if not self.is_sent_again:
            return None
        # Only runs of the first engine leave it.
        return dict.fromkeys(SERVERS, 1) | ({SERVERS[1]: 2} if self.moves_runs else {})

    @property
    def resumption(self) -> routedcaller.Resumption | None:
        """The stream that its requests take up, or None."""
        if not self.resumed_after:
            return None
        return routedcaller.Resumption("1" * 16, self.resumed_after)

    def target_id(self, request: routedrequests.Request) -> str:
        """Return the id of the request whose exchange is disturbed if its response is; or ""."""
        order = request.copy_order
        if order is not None:
            wanted = "stop" if order.is_last else "copy"
            return order.request_id if self.target == wanted else ""
        wanted = "continuation" if request.is_continuation else "answer"
        return request.request_id if self.target == wanted else ""

    def cases(self, good: bytes) -> collections.abc.Iterator[cases.Case]:
        """Return all cases.

        :param good: the bytes of an undisturbed response.
        """
        if self.ignores_stops:
            yield from _lost_streams(good)
            return
        if self.is_sent_again:
            yield from _second_copies()
            return
        head_bytes = good.index(HEAD_END) + len(HEAD_END)
        positions = range(len(good) + 1)
        if self.target == "continuation":
            # How many events are left differs from run to run.
            positions = range(_event_ends(good)[CONTINUED_EVENTS])
        for is_first_use in (True, False) if self.has_kept_connections else (True,):
            for disturbance in _disturbances(head_bytes, positions):
                case = cases.Case(disturbance, is_first_use)
                if not case.is_own_statement:
                    yield case


KINDS = (
    Kind("single", "hold"),
    Kind("plain", "list"),
    Kind("stream", "draft"),
    Kind("resumable", "tag"),
    Kind("resumed", "tag", resumed_after=2),
    Kind("relayed", "hold", is_relayed=True),
    Kind("relayed-stream", "draft", is_relayed=True),
    Kind("copied", "draft", target="copy"),
    Kind("stopped", "draft", target="stop"),
    Kind("moved", "draft", target="continuation"),
    Kind("unstopped", "draft", ignores_stops=True),
    Kind("again", "hold", is_sent_again=True),
    Kind("again-plain", "list", is_sent_again=True),
    Kind("again-stream", "draft", is_sent_again=True),
    Kind("again-resumable", "tag", is_sent_again=True),
    Kind("again-resumed", "tag", resumed_after=2, is_sent_again=True),
    Kind("again-relayed", "hold", is_relayed=True, is_sent_again=True),
    Kind("again-relayed-stream", "draft", is_relayed=True, is_sent_again=True),
    Kind("again-moved", "tag", target="continuation", is_sent_again=True),
    Kind("unframed-copied", "draft", target="copy", is_unframed=True),
    Kind("unframed-stopped", "draft", target="stop", is_unframed=True),
)
"""All kinds. The runs of ``copied`` to ``unstopped``, of ``again-moved`` and of the last two leave
their engine."""


def _event_ends(good: bytes) -> list[int]:
    return [each.end() for each in re.finditer(EVENT_END, good)]


def _lost_streams(good: bytes) -> collections.abc.Iterator[cases.Case]:
    ends = _event_ends(good)
    for action in (disturbances.Action.CLOSE, disturbances.Action.RESET):
        for events in LOST_AFTER_EVENTS:
            yield cases.Case(disturbances.Disturbance(action, ends[events - 1]), True)


def _second_copies() -> collections.abc.Iterator[cases.Case]:
    """Yield late copies of the refusal, and of other responses with the request's id."""
    for stray in sorted(disturbances.OWN, key=lambda each: each.value):
        disturbance = disturbances.Disturbance(disturbances.Action.INSERT, 0, stray)
        case = cases.Case(disturbance, is_first_use=True, is_sent_again=True)
        yield from itertools.repeat(case, SECOND_COPIES)


def _disturbances(
    head_bytes: int, positions: collections.abc.Sequence[int]
) -> collections.abc.Iterator[disturbances.Disturbance]:
    actions = disturbances.Action
    for action in (each for each in actions if each not in disturbances.INSERTIONS):
        for at in positions[:-1]:
            yield disturbances.Disturbance(action, at)
    for stray in disturbances.Stray:
        is_everywhere = stray in INSERTED_EVERYWHERE
        for at in positions:
            if is_everywhere or at < head_bytes or at == positions[-1]:
                yield disturbances.Disturbance(actions.INSERT, at, stray)
            if is_everywhere:
                yield disturbances.Disturbance(actions.INSERT_APART, at, stray)
