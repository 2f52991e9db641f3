"""Engines in virtual time, for the measured rollout and for tests of failures.

Explanation
===========

An engine unloads at once, ends the streams that it cannot go on with, and loads
for ``load_s``. Orders to it may be lost, late or unanswered (:class:`Fault`).
"""

import collections.abc
import dataclasses
import enum

from hornbeamglade.backends import orders
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks
from hornbeamglade.placement import engines

LATE_S = 9.0
"""An order that was under way for longer does not count as given in time."""


class Fault(enum.Enum):
    """What is wrong on the way to an engine, or with it."""

    NONE = "none"
    DOWN = "down"
    REFUSES = "refuses"
    LOSES_ORDER = "loses_order"
    LOSES_ANSWER = "loses_answer"
    DELAYS_ORDER = "delays_order"


@dataclasses.dataclass(frozen=True, slots=True)
class DelayedOrder:
    """An order whose sender has given up waiting, and that may yet arrive."""

    engine: "VirtualEngine"
    fencing: int
    wanted: orders.EngineState
    sent_at: float


class VirtualEngine:
    """One engine.

    :param replica: its place in the configuration.
    :param present: what it has at first.
    :param load_s: seconds that a load takes.
    """

    def __init__(
        self, replica: models.Replica, present: orders.EngineState, load_s: float = 0.0
    ) -> None:
        self.replica = replica
        self.present = present
        self.fault = Fault.NONE
        self.streams = 0
        self.streams_cut = 0
        self.is_disrupted = False
        self.taken: list[orders.EngineState] = []
        self._target = present
        self._load_s = load_s
        self._ready_at = 0.0
        self._newest = 0

    def restart(self, present: orders.EngineState) -> None:
        """Lose what was loaded; start with ``present``."""
        self.present = self._target = present

    def turn(self, now: float) -> None:
        """Finish a load whose time has come."""
        if now >= self._ready_at:
            self.present = self._target
            self.is_disrupted = False

    def take(
        self, fencing: int, wanted: orders.EngineState, now: float, is_late: bool = False
    ) -> orders.OrderOutcome:
        """Take an order, or refuse it for its old number."""
        self.turn(now)
        if self.replica.checks_fencing and fencing < self._newest:
            return orders.Outdated(self._newest)
        self._newest = max(self._newest, fencing)
        self.taken.append(wanted)
        if wanted != self._target:
            self._ready_at = now + self._load_s
        if self.present.loaded - wanted.loaded:
            self.streams_cut += 0 if is_late else self.streams
            self.streams = 0
            self.is_disrupted = not is_late
        kept = self.present.models & wanted.models, self.present.adapters & wanted.adapters
        self.present = orders.EngineState(*kept, wanted.role)
        self._target = wanted
        self.turn(now)
        return orders.Accepted(self.present)


class VirtualEngineClient(engines.EngineClient):
    """Reaches virtual engines.

    :param clock: virtual time.
    """

    def __init__(
        self, clock: clocks.Clock, virtual: collections.abc.Iterable[VirtualEngine]
    ) -> None:
        self._clock = clock
        self._engine_by_address = {engine.replica.address: engine for engine in virtual}
        self.delayed: list[DelayedOrder] = []
        self.orders_sent = 0
        #: Called before a read, before the right to send is asked for, and after it
        #: was given.
        self.before_read: collections.abc.Callable[[], None] = lambda: None
        self.before_check: collections.abc.Callable[[], None] = lambda: None
        self.after_check: collections.abc.Callable[[VirtualEngine], None] = lambda _: None

    def read(self, replica: models.Replica) -> orders.OrderOutcome:
        """Read what is present."""
        self.before_read()
        engine = self._engine_by_address[replica.address]
        engine.turn(self._clock.now())
        if engine.fault is Fault.DOWN:
            return orders.NotSent("down", True)
        return orders.Accepted(engine.present)

    def order(
        self,
        replica: models.Replica,
        fencing: int,
        wanted: orders.EngineState,
        may_send: collections.abc.Callable[[], bool],
    ) -> orders.OrderOutcome:
        """Order what is wanted."""
        engine = self._engine_by_address[replica.address]
        if engine.fault is Fault.DOWN:
            return orders.NotSent("down", True)
        self.before_check()
        if not may_send():
            return orders.NotSent("not allowed", False)
        self.orders_sent += 1
        sent_at = self._clock.now()
        self.after_check(engine)
        match engine.fault:
            case Fault.REFUSES:
                return orders.Refused(400, "no such model")
            case Fault.LOSES_ORDER:
                return orders.Lost("the order")
            case Fault.DELAYS_ORDER:
                self.delayed.append(DelayedOrder(engine, fencing, wanted, sent_at))
                return orders.Lost("late")
        now = self._clock.now()
        outcome = engine.take(fencing, wanted, now, now - sent_at > LATE_S)
        return orders.Lost("its answer") if engine.fault is Fault.LOSES_ANSWER else outcome

    def streams(self, replica: models.Replica) -> engines.StreamCount | None:
        """Read the number of streams."""
        engine = self._engine_by_address[replica.address]
        if engine.fault is Fault.DOWN:
            return None
        return engines.StreamCount(engine.streams, self._clock.now())

    def deliver(self, is_due: collections.abc.Callable[[DelayedOrder], bool]) -> None:
        """Let delayed orders arrive."""
        due = [delayed for delayed in self.delayed if is_due(delayed)]
        self.delayed = [delayed for delayed in self.delayed if not is_due(delayed)]
        for delayed in due:
            delayed.engine.take(delayed.fencing, delayed.wanted, self._clock.now(), True)
