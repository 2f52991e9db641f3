"""Sends orders to one pool's engines while this node holds the pool's lease.

Explanation
===========

A pool in its desired state causes no writes: the candidate node reads a few
engines in each step and acquires the lease only when one of them differs from the
desired state. It releases the lease when all engines that respond have been in the
desired state for ``idle_release_s``. The alternative, holding the lease
permanently, costs one write per renewal and pool, and saves one wait of
``flight_s`` before the first order to engines that do not check fencing numbers.

While the store is down there is no lease, so no orders are sent and no replica is
closed: all engines continue to serve with what they have loaded.
"""

import collections.abc
import concurrent.futures
import functools
import typing

from hornbeamglade import leases
from hornbeamglade.backends import orders
from hornbeamglade.core import clocks
from hornbeamglade.observability import logs
from hornbeamglade.placement import engines as enginelib
from hornbeamglade.placement import placementsettings, placementvalues
from hornbeamglade.placement import rollout as rolloutlib

_Reason = placementvalues.Reason
_SUPERSEDED_LEASE_WAIT_S = 10.0
_T = typing.TypeVar("_T")
_R = typing.TypeVar("_R")


class Placer:
    """Places the models of one pool, for one node; not thread-safe.

    :param lease: on the pool's name, with the ``term_s`` and ``flight_s`` of
        ``settings``.
    :param rollout: the decisions, with the initial desired state.
    :param engine_client: calls the engines.
    :param is_candidate: tells whether this node should hold the lease. Several nodes
        may believe so at a time; the lease decides.
    :param newest_revision: reads the revision of the configuration's head row; None
        when it cannot be read.
    :param settings: timing.
    :param clock: monotonic time, the same as the lease's.
    :param executor: runs calls to several engines concurrently; None runs them one
        after another.
    """

    def __init__(
        self,
        lease: leases.LeaseHolder,
        rollout: rolloutlib.Rollout,
        engine_client: enginelib.EngineClient,
        is_candidate: collections.abc.Callable[[], bool],
        newest_revision: collections.abc.Callable[[], int | None],
        settings: placementsettings.PlacerSettings,
        clock: clocks.Clock,
        executor: concurrent.futures.Executor | None = None,
    ) -> None:
        self._lease = lease
        self._rollout = rollout
        self._engine_client = engine_client
        self._is_candidate = is_candidate
        self._newest_revision = newest_revision
        self._settings = settings
        self._clock = clock
        self._map = map if executor is None else executor.map
        self._fencing: int | None = None
        self._prior_orders_expired = False
        self._head_revision: int | None = None
        self._renewed_at = float("-inf")
        self._last_work_at = float("-inf")
        self._lease_retry_at = float("-inf")
        self._was_outdated = False
        self._must_confirm_fencing = True
        self._blocked_by: _Reason | None = _Reason.LEASE_NOT_ASKED

    def set_desired(self, desired: placementvalues.DesiredState) -> None:
        """Set the desired state of a newer revision; call it in the thread of ``step``."""
        self._rollout.set_desired(desired)

    def closed(self) -> frozenset[str]:
        """Return the names of the replicas that get no new requests from any node.

        The node announces them to the replicas' owners after each step. Owners keep
        an announcement slightly longer than a step takes.
        """
        return self._rollout.closed()

    def statuses(self) -> collections.abc.Mapping[str, placementvalues.PlacementStatus]:
        """Return the placement status of each backend server, by name."""
        return self._rollout.statuses(self._blocked_by)

    def step(self) -> None:
        """Update the lease, read engines, and send the orders that are due."""
        self._blocked_by = self._update_lease()
        self._read_back()
        if self._blocked_by is None and self._needs_new_fencing():
            # The next step acquires the lease again, with a larger fencing number.
            self._release_lease()
            self._blocked_by = _Reason.LEASE_NOT_ASKED
        if self._blocked_by is None:
            self._read_stream_counts()
            self._send_due_orders()

    def stop(self) -> None:
        """Release the lease, so that another node need not wait until it expires."""
        self._release_lease()
        self._blocked_by = _Reason.NOT_CANDIDATE

    def _needs_new_fencing(self) -> bool:
        wanted = self._rollout.desired.wanted
        return self._rollout.replicas.needs_new_fencing(wanted, self._fencing)

    def _update_lease(self) -> _Reason | None:
        """Acquire, renew or release the lease; return why no order may be sent, or None."""
        now = self._clock.now()
        blocked_by = self._reason_to_release(now)
        if blocked_by is not None:
            self._release_lease()
            return blocked_by
        if not self._is_held(now):
            blocked_by = self._acquire(now)
        if blocked_by is not None:
            self._rollout.suspend()
            return blocked_by
        return self._reason_if_behind_head()

    def _reason_to_release(self, now: float) -> _Reason | None:
        if not self._is_candidate():
            # When this node becomes the candidate again, late orders of the holder in
            # between could still bring older models back to engines that are in the
            # desired state. So it acquires the lease once even without work, and sends
            # each engine its fencing number.
            self._must_confirm_fencing = True
            return _Reason.NOT_CANDIDATE
        if now < self._lease_retry_at:
            return _Reason.NEWER_FENCING_SEEN
        fencing = self._lease.fencing
        unconfirmed = fencing is not None and self._rollout.replicas.is_unconfirmed(fencing)
        if (
            self._must_confirm_fencing
            or unconfirmed
            or self._rollout.replicas.has_work(self._rollout.desired.wanted)
        ):
            self._last_work_at = now
        if now - self._last_work_at > self._settings.idle_release_s:
            return _Reason.LEASE_NOT_ASKED
        return None

    def _is_held(self, now: float) -> bool:
        renewed_lately = now < self._renewed_at + self._settings.renew_s
        return renewed_lately and self._lease.may_act(self._settings.margin_s)

    def _acquire(self, now: float) -> _Reason | None:
        outcome = self._lease.acquire()
        if isinstance(outcome, leases.HeldElsewhere):
            return _Reason.HELD_ELSEWHERE
        if isinstance(outcome, leases.Held):
            self._renewed_at = now
            self._must_confirm_fencing = False
        if not self._lease.may_act(self._settings.margin_s):
            return _Reason.TABLE_UNAVAILABLE
        if self._lease.fencing == self._fencing:
            self._rollout.resume(now)
            return None
        self._fencing = self._lease.fencing
        self._prior_orders_expired = False
        self._was_outdated = False
        self._head_revision = None
        logs.state_changed("placement_lease", "none", "held", fencing=self._fencing)
        self._rollout.restart(now)
        return None

    def _reason_if_behind_head(self) -> _Reason | None:
        """Return why this node's configuration may be older than a former holder's.

        A node that lags behind would acquire the lease and order the models of an
        older revision, with the larger fencing number. A former holder planned all
        its orders before its lease ended, so none of them has a later revision than
        the head that is read after this lease began.
        """
        if self._head_revision is None:
            self._head_revision = self._newest_revision()
        if self._head_revision is None:
            return _Reason.TABLE_UNAVAILABLE
        if self._rollout.desired.revision < self._head_revision:
            return _Reason.CONFIGURATION_BEHIND
        return None

    def _release_lease(self) -> None:
        self._rollout.suspend()
        self._renewed_at = float("-inf")
        if self._lease.fencing is not None:
            self._lease.release()

    def _read_back(self) -> None:
        if self._blocked_by is None and not self._prior_orders_expired:
            expired = self._lease.may_act(self._settings.margin_s, engine_checks_fencing=False)
            if expired:
                self._prior_orders_expired = True
                self._rollout.reread_engines_without_fencing()
        busy = self._blocked_by is None or self._rollout.replicas.has_unread()
        limit = self._settings.reads_per_step if busy else self._settings.reads_when_idle
        names = self._rollout.replicas.reads_due(limit, self._clock.now())
        asked_at = self._clock.now()
        for name, outcome in zip(names, self._call_each(self._read_engine, names), strict=True):
            if isinstance(outcome, orders.Accepted):
                self._rollout.on_read(name, outcome.present, asked_at)
            else:
                self._rollout.on_unreachable(name, self._clock.now())

    def _read_engine(self, name: str) -> orders.OrderOutcome:
        return self._engine_client.read(self._rollout.desired.replica_by_name[name])

    def _read_stream_counts(self) -> None:
        names = tuple(sorted(self._rollout.closed()))
        for name, streams in zip(
            names, self._call_each(self._read_stream_count, names), strict=True
        ):
            if streams is not None:
                self._rollout.on_load_report(name, streams.count, streams.observed_at)

    def _read_stream_count(self, name: str) -> enginelib.StreamCount | None:
        return self._engine_client.stream_count(self._rollout.desired.replica_by_name[name])

    def _send_due_orders(self) -> None:
        fencing = self._fencing
        planned_at = self._clock.now()
        planned = self._rollout.plan(fencing, planned_at, self._prior_orders_expired)
        send = functools.partial(self._send, fencing, planned_at)
        for order, outcome in zip(planned, self._call_each(send, planned), strict=True):
            now = self._clock.now()
            self._rollout.on_order_outcome(order, outcome, fencing, now)
            logs.state_changed(
                "placement_order",
                "planned",
                type(outcome).__name__.lower(),
                replica=order.replica,
                fencing=fencing,
                seconds=round(now - planned_at, 3),
            )
        if self._was_outdated:
            self._lease_retry_at = self._clock.now() + _SUPERSEDED_LEASE_WAIT_S
            self._blocked_by = _Reason.NEWER_FENCING_SEEN
            self._release_lease()

    def _send(
        self, fencing: int, planned_at: float, order: placementvalues.Order
    ) -> orders.OrderOutcome:
        replica = self._rollout.desired.replica_by_name[order.replica]
        may_send = functools.partial(self._may_send, planned_at, order)
        outcome = self._engine_client.order(replica, fencing, order.wanted, may_send)
        if isinstance(outcome, orders.Outdated):
            self._was_outdated = True
        return outcome

    def _may_send(self, planned_at: float, order: placementvalues.Order) -> bool:
        """Return whether an order may be sent; called right before its first byte.

        A process that was paused after planning would send orders as if no time had
        passed. Meanwhile another node may hold the lease, or the replica's owner may
        have reopened it, so that the order would end new streams.
        """
        if self._was_outdated:
            return False
        if self._clock.now() - planned_at > self._settings.plan_max_age_s:
            return False
        return self._lease.may_act(self._settings.margin_s, order.checks_fencing)

    def _call_each(
        self, function: collections.abc.Callable[[_T], _R], items: collections.abc.Sequence[_T]
    ) -> collections.abc.Iterable[_R]:
        return list(self._map(function, items))
