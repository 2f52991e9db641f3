"""Decides the orders that bring the engines of one pool to the desired state.

Explanation
===========

This module does no I/O: it is given what engines report and respond, and returns
orders. Each order states the complete state that the engine is to have, so an
order can be repeated, and a newer desired state replaces an older one in the
middle of a rollout without a rollback [1]_. Unlike in [1]_, the progress of a
rollout is not stored: it is read from the engines.

A replica that has to unload something is closed to all new requests until it has
changed. Two alternatives were rejected: sending two orders to each replica, old
and new models together and then the new ones alone, needs no draining but memory
for both; draining by model needs load reports that count streams per model.

References
==========

.. [1] AosCore documentation, Desired State Model ("latest wins", comparison before an
   update). The measurement that supports it is in ``docs/PLACEMENT.md``.
"""

import collections.abc
import random

from hornbeamglade.backends import orders
from hornbeamglade.placement import (
    changegate,
    drainlimiter,
    loadratelimiter,
    placementsettings,
    placementstatus,
    placementvalues,
    poolreplicas,
    replicaprogress,
)

_Reason = placementvalues.Reason


class Rollout:
    """Plans the orders for one pool and tracks their outcomes.

    :param desired: the initial desired state.
    :param settings: limits and delays.
    :param flight_s: the longest time that an order takes to arrive at an engine that
        does not check fencing numbers.
    :param rng: adds jitter to the delays after failures.
    :param now: monotonic seconds.

    Examples
    ========

    >>> from hornbeamglade.configuration import models
    >>> engine = models.Replica(address="192.0.2.1:8000", failure_domain="z1")
    >>> wanted = orders.EngineState(frozenset({"draft@2"}), role="mixed")
    >>> desired = placementvalues.DesiredState(1, wanted, {"engine-1": engine})
    >>> settings = placementsettings.PlacementSettings()
    >>> rollout = Rollout(desired, settings, 10.0, random.Random(1), now=0.0)
    >>> rollout.on_read("engine-1", orders.EngineState(frozenset()), now=1.0)
    >>> [order.replica for order in rollout.plan(fencing=1, now=9.0)]
    ['engine-1']
    """

    def __init__(
        self,
        desired: placementvalues.DesiredState,
        settings: placementsettings.PlacementSettings,
        flight_s: float,
        rng: random.Random,
        now: float,
    ) -> None:
        self._settings = settings
        self._flight_s = flight_s
        self._rng = rng
        self._load_rate_limiter = loadratelimiter.LoadRateLimiter(settings.load_rate, now)
        self._drain_limiter = drainlimiter.DrainLimiter(settings)
        self._reason_by_name: dict[str, _Reason] = {}
        self._is_suspended = False
        self.desired = desired
        self.replicas = poolreplicas.PoolReplicas(desired)

    def set_desired(self, desired: placementvalues.DesiredState) -> None:
        """Replace the desired state by that of a newer revision, with immediate effect."""
        # A late response of the store must not bring back an older desired state.
        if desired.revision <= self.desired.revision:
            return
        same = desired.wanted == self.desired.wanted
        self.desired = desired
        self.replicas.set_desired(desired)
        if not same:
            for progress in self.replicas:
                progress.failures = 0
                progress.retry_at = float("-inf")
                progress.refusal = None

    def restart(self, now: float) -> None:
        """Start over from what engines report; called with each new fencing number."""
        self._is_suspended = False
        self._load_rate_limiter = loadratelimiter.LoadRateLimiter(self._settings.load_rate, now)
        for progress in self.replicas:
            progress.reset()

    def suspend(self) -> None:
        """Report no replica as closed: without the lease no order is sent."""
        self._is_suspended = True

    def resume(self, now: float) -> None:
        """Continue with the same fencing number; replicas that were closed drain again."""
        if not self._is_suspended:
            return
        self._is_suspended = False
        for progress in self.replicas:
            if progress.closed_at is not None:
                progress.close(now)

    def reread_engines_without_fencing(self) -> None:
        """Have the engines that do not check fencing numbers read again.

        Called when the orders of former holders have arrived or are lost.
        """
        for progress in self.replicas:
            if not progress.replica.checks_fencing:
                progress.present = None

    def closed(self) -> frozenset[str]:
        """Return the names of the replicas that get no new requests, so that they drain."""
        if self._is_suspended:
            return frozenset()
        return frozenset(p.name for p in self.replicas if p.closed_at is not None)

    def on_read(self, name: str, present: orders.EngineState, now: float) -> None:
        """Record the state that was read from an engine.

        :param name: the replica.
        :param present: its state.
        :param now: when the read began.
        """
        if progress := self.replicas.find(name):
            progress.on_read(present, now)

    def on_unreachable(self, name: str, now: float) -> None:
        """Record that an engine could not be reached."""
        if progress := self.replicas.find(name):
            progress.unreachable = True
            progress.read_failures += 1
            progress.read_retry_at = now + self._backoff_s(progress.read_failures)

    def on_load_report(self, name: str, streams: int, observed_at: float) -> None:
        """Record the streams running and waiting at a replica, as of ``observed_at``."""
        if progress := self.replicas.find(name):
            progress.on_load_report(streams, observed_at, self._settings.propagation_s)

    def plan(
        self, fencing: int, now: float, prior_orders_expired: bool = True
    ) -> tuple[placementvalues.Order, ...]:
        """Return the orders to send now, and close or reopen replicas.

        :param fencing: the fencing number of the lease that is held.
        :param now: monotonic seconds.
        :param prior_orders_expired: whether the orders of former holders have arrived
            or are lost; until then, engines that do not check fencing numbers get no
            orders.
        """
        # Replicas that failed come last, so that they do not delay the others.
        progresses = sorted(self.replicas, key=lambda p: p.failures)
        for progress in progresses:
            self._update_progress(progress, now)
        gate = changegate.ChangeGate(
            self._settings,
            progresses,
            self.desired.wanted,
            self._load_rate_limiter,
            self._drain_limiter,
        )
        planned = []
        for progress in progresses:
            reason = self._blocking_reason(progress, gate, fencing, now, prior_orders_expired)
            if reason is None:
                reason = _Reason.LOADING
                needs_load = bool(progress.missing(self.desired.wanted))
                progress.begin_order(
                    replicaprogress.SentOrder(self.desired.wanted, fencing, now, needs_load)
                )
                checks = progress.replica.checks_fencing
                planned.append(placementvalues.Order(progress.name, self.desired.wanted, checks))
            self._reason_by_name[progress.name] = reason
        return tuple(planned)

    def on_order_outcome(
        self,
        order: placementvalues.Order,
        outcome: orders.OrderOutcome,
        fencing: int,
        now: float,
    ) -> None:
        """Record the outcome of an order.

        :param order: the order.
        :param outcome: its outcome.
        :param fencing: the fencing number that it carried.
        :param now: when the outcome was known.
        """
        progress = self.replicas.find(order.replica)
        if progress is None:
            return
        match outcome:
            case orders.Accepted(present):
                progress.on_accepted(fencing, present, now)
            case orders.NotSent(is_unreachable=is_unreachable):
                progress.revert_order()
                if is_unreachable:
                    self.on_unreachable(order.replica, now)
            case orders.Refused() | orders.Outdated():
                progress.revert_order()
                progress.reopen()
                is_outdated = isinstance(outcome, orders.Outdated)
                refusal = _Reason.NEWER_FENCING_SEEN if is_outdated else _Reason.ENGINE_REFUSES
                self._record_failure(progress, refusal, now)
            case orders.Lost() | orders.Malformed():
                progress.on_lost(replicaprogress.SentOrder(order.wanted, fencing, now))
                self._record_failure(progress, None, now)

    def statuses(
        self, blocked_by: _Reason | None
    ) -> collections.abc.Mapping[str, placementvalues.PlacementStatus]:
        """Return the placement status of each backend server, by name.

        :param blocked_by: why no order may be sent, or None when orders may be sent.
        """
        return {
            progress.name: placementstatus.status(
                progress,
                self.desired.wanted,
                self._reason_by_name.get(progress.name, _Reason.NOT_READ_YET),
                blocked_by,
            )
            for progress in self.replicas
        }

    def _update_progress(self, progress: replicaprogress.ReplicaProgress, now: float) -> None:
        progress.expire_lost_orders(now, self._flight_s)
        if progress.is_in_sync(self.desired.wanted):
            if progress.pending_order is not None and progress.pending_order.needs_load:
                self._drain_limiter.record_load(now - progress.pending_order.at)
            progress.pending_order = None
            progress.failures = 0
            progress.refusal = None
            progress.reopen()
        pending = progress.pending_order
        if pending is not None and now >= pending.at + self._settings.load_timeout_s:
            progress.pending_order = None
            progress.reopen()
            self._record_failure(progress, _Reason.LOAD_TIMED_OUT, now)

    def _blocking_reason(
        self,
        progress: replicaprogress.ReplicaProgress,
        gate: changegate.ChangeGate,
        fencing: int,
        now: float,
        prior_orders_expired: bool,
    ) -> _Reason | None:
        """Return why no order is sent to this replica now, or None."""
        desired = self.desired.wanted
        if progress.unreachable or progress.present is None:
            return _Reason.NO_ANSWER if progress.unreachable else _Reason.NOT_READ_YET
        checks = progress.replica.checks_fencing
        if not checks and (not prior_orders_expired or progress.conflicting_lost_orders(desired)):
            return _Reason.OLD_ORDERS_UNDER_WAY
        is_confirmed = progress.confirmed_fencing >= fencing
        if is_confirmed and progress.is_in_sync(desired):
            return _Reason.AS_WANTED
        if now < progress.retry_at:
            return progress.refusal or _Reason.BACK_OFF
        pending = progress.pending_order
        if (
            is_confirmed
            and pending is not None
            and pending.wanted == desired
            and not progress.failures
        ):
            return _Reason.LOADING
        return gate.blocking_reason(progress, now)

    def _record_failure(
        self, progress: replicaprogress.ReplicaProgress, refusal: _Reason | None, now: float
    ) -> None:
        progress.failures += 1
        progress.refusal = refusal
        progress.retry_at = now + self._backoff_s(progress.failures)

    def _backoff_s(self, failures: int) -> float:
        longest = self._settings.back_off_s * 2.0 ** min(failures - 1, 30)
        bounded = min(longest, self._settings.max_back_off_s)
        return bounded * self._rng.uniform(0.5, 1.0)
