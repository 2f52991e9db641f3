"""The progress of one replica towards its desired state."""

import dataclasses

from hornbeamglade.backends import orders
from hornbeamglade.configuration import models
from hornbeamglade.placement import placementvalues

_NOTHING = orders.EngineState(frozenset())


@dataclasses.dataclass(frozen=True, slots=True)
class SentOrder:
    """An order that was sent.

    :param wanted: the state that was ordered.
    :param fencing: its fencing number.
    :param at: when it was sent, in monotonic seconds.
    :param needs_load: whether the engine has something to load.
    """

    wanted: orders.EngineState
    fencing: int
    at: float
    needs_load: bool = False


class ReplicaProgress:
    """What the lease holder knows of one replica, and which orders it sent to it.

    :param name: the replica's name.
    :param replica: from the configuration.
    """

    def __init__(self, name: str, replica: models.Replica) -> None:
        self.name = name
        self.replica = replica
        self.present: orders.EngineState | None = None
        self.read_at = float("-inf")
        self.unreachable = False
        self.closed_at: float | None = None
        self.idle_at = float("-inf")
        self._is_known_idle = False
        self.pending_order: SentOrder | None = None
        self.confirmed_fencing = 0
        self.failures = 0
        self.read_failures = 0
        self.retry_at = float("-inf")
        self.read_retry_at = float("-inf")
        self.refusal: placementvalues.Reason | None = None
        self._previous_order: SentOrder | None = None
        self._lost_orders: tuple[SentOrder, ...] = ()

    def serves(self, desired: orders.EngineState) -> bool:
        """Return whether the replica serves new requests, as far as is known.

        An engine that has only a part of the desired models may be loading the others
        by an order of a former holder that this one does not know of; it does not count
        as serving.
        """
        if self.present is None or self.unreachable or self.closed_at is not None:
            return False
        return bool(self.present.models) and not self.present.loaded < desired.loaded

    @property
    def is_draining(self) -> bool:
        """Whether the replica is closed and its order has not been sent."""
        return self.closed_at is not None and self.pending_order is None

    def reset(self) -> None:
        """Discard what was read and ordered, but keep the lost orders that may arrive."""
        self.present = None
        self.closed_at = None
        self.pending_order = None
        self.retry_at = float("-inf")

    def reopen(self) -> None:
        """Open the replica to new requests."""
        self.closed_at = None
        self.idle_at = float("-inf")

    def close(self, now: float) -> None:
        """Close the replica to new requests."""
        self._is_known_idle = False
        self.closed_at = now
        self.idle_at = float("-inf")

    def on_read(self, present: orders.EngineState, now: float) -> None:
        """Record the state that was read."""
        self.present = present
        self.read_at = now
        self.unreachable = False
        self.read_failures = 0

    def on_load_report(self, streams: int, observed_at: float, propagation_s: float) -> None:
        """Record a load report.

        Until every node knows that the replica is closed, a report may show no streams
        although one is about to begin, and unloading its model would break off the
        response. So only later reports count.

        :param streams: running and waiting streams.
        :param observed_at: when the count was taken, not when the report arrived.
        :param propagation_s: seconds until every node knows that the replica is closed.
        """
        if self.closed_at is None or observed_at < self.closed_at + propagation_s:
            return
        self.idle_at = observed_at if streams == 0 else float("-inf")

    def became_idle(self) -> bool:
        """Return True in the first call since the replica was closed, else False."""
        known, self._is_known_idle = self._is_known_idle, True
        return not known

    def begin_order(self, order: SentOrder) -> None:
        """Record an order before it is sent: from now on it may take effect."""
        self._previous_order = self.pending_order
        if self.pending_order is None or self.pending_order.wanted != order.wanted:
            self.pending_order = order

    def revert_order(self) -> None:
        """Restore the previous order: the last one was not sent, or was refused."""
        self.pending_order = self._previous_order

    def on_accepted(self, fencing: int, present: orders.EngineState, now: float) -> None:
        """Record that the engine accepted an order."""
        self.confirmed_fencing = max(fencing, self.confirmed_fencing)
        self._lost_orders = tuple(
            order for order in self._lost_orders if not self._is_fenced_off(order)
        )
        self.failures = 0
        self.refusal = None
        self.on_read(present, now)

    def on_lost(self, order: SentOrder) -> None:
        """Record that an order's response was lost: it may take effect at any time."""
        self._lost_orders = (*self._lost_orders, order)

    def expire_lost_orders(self, now: float, flight_s: float) -> None:
        """Discard lost orders that cannot arrive any more.

        At an engine that checks fencing numbers, a lost order never expires by time. At
        one that does not, it expires after ``flight_s``, and the engine must then be
        read again.

        :param now: monotonic seconds.
        :param flight_s: the longest time that an order takes to arrive.
        """
        if self.replica.checks_fencing:
            return
        remaining = tuple(order for order in self._lost_orders if now < order.at + flight_s)
        if len(remaining) < len(self._lost_orders):
            self.present = None
        self._lost_orders = remaining

    def conflicting_lost_orders(self, desired: orders.EngineState) -> tuple[SentOrder, ...]:
        """Return the lost orders whose wanted state is not ``desired``."""
        return tuple(order for order in self._lost_orders if order.wanted != desired)

    def is_in_sync(self, desired: orders.EngineState) -> bool:
        """Return whether ``desired`` is loaded and no order that was sent can change that."""
        other_pending = self.pending_order is not None and self.pending_order.wanted != desired
        return (
            self.present == desired
            and not other_pending
            and not self.conflicting_lost_orders(desired)
        )

    def missing(self, desired: orders.EngineState) -> frozenset[str]:
        """Return what the engine has to load; nothing when an equal order is pending."""
        if self.pending_order is not None and self.pending_order.wanted == desired:
            return frozenset()
        return desired.loaded - (self.present or _NOTHING).loaded

    def would_disrupt(self, desired: orders.EngineState) -> bool:
        """Return whether the order may end streams: it unloads models or changes the role."""
        possible = [self.present or _NOTHING, *(order.wanted for order in self._lost_orders)]
        if self.pending_order is not None:
            possible.append(self.pending_order.wanted)
        unloads = any(state.loaded - desired.loaded for state in possible)
        return unloads or any(state.role not in ("", desired.role) for state in possible)

    def _is_fenced_off(self, order: SentOrder) -> bool:
        return self.replica.checks_fencing and order.fencing < self.confirmed_fencing
