"""Simulated engines in virtual time, for rollout measurements and failure tests.

Explanation
===========

An engine that gets an order immediately unloads what is not wanted any more, which
ends its streams, and loads the rest for ``load_s``. Orders may be lost, arrive late
or get no response (:class:`Fault`).
"""

import collections.abc
import dataclasses
import enum

from hornbeamglade.backends import orders
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks
from hornbeamglade.placement import engines

LATE_S = 9.0
"""An order that takes longer than this to arrive counts as late; in seconds."""


class Fault(enum.Enum):
    """A fault of an engine or of the network path to it."""

    NONE = "none"
    DOWN = "down"
    REFUSES = "refuses"
    LOSES_ORDER = "loses_order"
    LOSES_ANSWER = "loses_answer"
    DELAYS_ORDER = "delays_order"


@dataclasses.dataclass(frozen=True, slots=True)
class DelayedOrder:
    """An order that may still arrive after its sender timed out."""

    engine: "VirtualEngine"
    fencing: int
    wanted: orders.EngineState
    sent_at: float


class VirtualEngine:
    """A simulated engine.

    :param replica: its entry in the configuration.
    :param present: its initial state.
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
        self.applied_states: list[orders.EngineState] = []
        self._target = present
        self._load_s = load_s
        self._ready_at = 0.0
        self._newest = 0

    def restart(self, present: orders.EngineState) -> None:
        """Lose what was loaded and start with ``present``."""
        self.present = self._target = present

    def advance(self, now: float) -> None:
        """Finish a load that is complete by ``now``."""
        if now >= self._ready_at:
            self.present = self._target
            self.is_disrupted = False

    def apply_order(
        self, fencing: int, wanted: orders.EngineState, now: float, is_late: bool = False
    ) -> orders.OrderOutcome:
        """Apply an order, or refuse it when its fencing number is outdated.

        :param fencing: its fencing number.
        :param wanted: the complete state to load.
        :param now: monotonic seconds.
        :param is_late: whether it arrived late; streams that it ends are not counted.
        """
        self.advance(now)
        if self.replica.checks_fencing and fencing < self._newest:
            return orders.Outdated(self._newest)
        self._newest = max(self._newest, fencing)
        self.applied_states.append(wanted)
        if wanted != self._target:
            self._ready_at = now + self._load_s
        if self.present.loaded - wanted.loaded:
            self.streams_cut += 0 if is_late else self.streams
            self.streams = 0
            self.is_disrupted = not is_late
        kept = self.present.models & wanted.models, self.present.adapters & wanted.adapters
        self.present = orders.EngineState(*kept, wanted.role)
        self._target = wanted
        self.advance(now)
        return orders.Accepted(self.present)


class VirtualEngineClient(engines.EngineClient):
    """Calls simulated engines.

    :param clock: virtual time.
    :param virtual: the engines.
    """

    def __init__(
        self, clock: clocks.Clock, virtual: collections.abc.Iterable[VirtualEngine]
    ) -> None:
        self._clock = clock
        self._engine_by_address = {engine.replica.address: engine for engine in virtual}
        self.delayed: list[DelayedOrder] = []
        self.orders_sent = 0
        #: Called before a read, before ``may_send`` is called, and after it returned
        #: True.
        self.before_read: collections.abc.Callable[[], None] = lambda: None
        self.before_permission: collections.abc.Callable[[], None] = lambda: None
        self.after_permission: collections.abc.Callable[[VirtualEngine], None] = lambda _: None

    def read(self, replica: models.Replica) -> orders.OrderOutcome:
        """Read the state that is loaded."""
        self.before_read()
        engine = self._engine_by_address[replica.address]
        engine.advance(self._clock.now())
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
        """Order an engine to load the wanted state."""
        engine = self._engine_by_address[replica.address]
        if engine.fault is Fault.DOWN:
            return orders.NotSent("down", True)
        self.before_permission()
        if not may_send():
            return orders.NotSent("not allowed", False)
        self.orders_sent += 1
        sent_at = self._clock.now()
        self.after_permission(engine)
        match engine.fault:
            case Fault.REFUSES:
                return orders.Refused(400, "no such model")
            case Fault.LOSES_ORDER:
                return orders.Lost("order lost")
            case Fault.DELAYS_ORDER:
                self.delayed.append(DelayedOrder(engine, fencing, wanted, sent_at))
                return orders.Lost("order delayed")
        now = self._clock.now()
        outcome = engine.apply_order(fencing, wanted, now, now - sent_at > LATE_S)
        return orders.Lost("response lost") if engine.fault is Fault.LOSES_ANSWER else outcome

    def stream_count(self, replica: models.Replica) -> engines.StreamCount | None:
        """Read the number of streams."""
        engine = self._engine_by_address[replica.address]
        if engine.fault is Fault.DOWN:
            return None
        return engines.StreamCount(engine.streams, self._clock.now())

    def deliver(self, is_due: collections.abc.Callable[[DelayedOrder], bool]) -> None:
        """Deliver the delayed orders for which ``is_due`` returns True."""
        due = [delayed for delayed in self.delayed if is_due(delayed)]
        self.delayed = [delayed for delayed in self.delayed if not is_due(delayed)]
        for delayed in due:
            delayed.engine.apply_order(delayed.fencing, delayed.wanted, self._clock.now(), True)
