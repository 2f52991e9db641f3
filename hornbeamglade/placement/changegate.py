"""Limits which replicas of a pool may change now: serving floor, drains and load rate."""

import collections.abc
import math

from hornbeamglade.backends import orders
from hornbeamglade.placement import (
    drainlimiter,
    loadratelimiter,
    placementsettings,
    placementvalues,
    replicaprogress,
)

_Reason = placementvalues.Reason
_ROUNDING = 1e-9


def floor_count(floor: float, total: int) -> int:
    """Return how many replicas must stay in service; one may always change.

    :param floor: the share of the replicas that must stay in service.
    :param total: how many replicas the pool has.

    Examples
    ========

    >>> [floor_count(2 / 3, total) for total in (1, 2, 3, 6, 9, 600)]
    [0, 1, 2, 4, 6, 400]
    """
    return max(0, min(math.ceil(floor * total - _ROUNDING), total - 1))


class ChangeGate:
    """Admits changes of replicas, one after another, within one planning round.

    Explanation
    ===========

    If a change of models were ordered at all replicas at once, each would unload
    its old models first, and the pool would serve no requests until the weight
    store had delivered the new models. Therefore a replica that has to unload
    something is closed to new requests only while enough other replicas are in
    service. It counts as out of service until a read shows the desired state.
    Replicas that do not respond count as out of service too.

    :param settings: the limits.
    :param progresses: all replicas of the pool.
    :param desired: the state that each replica is to reach.
    :param load_rate_limiter: limits the rate of loads from the weight store.
    :param drain_limiter: limits how many replicas drain before the weight store can
        serve their loads.
    """

    def __init__(
        self,
        settings: placementsettings.PlacementSettings,
        progresses: collections.abc.Collection[replicaprogress.ReplicaProgress],
        desired: orders.EngineState,
        load_rate_limiter: loadratelimiter.LoadRateLimiter,
        drain_limiter: drainlimiter.DrainLimiter,
    ) -> None:
        self._settings = settings
        self._desired = desired
        self._load_rate_limiter = load_rate_limiter
        self._drain_limiter = drain_limiter
        self._serving = sum(progress.serves(desired) for progress in progresses)
        self._floor = floor_count(settings.floor, len(progresses))
        self._draining = sum(progress.is_draining for progress in progresses)
        self._loading = sum(progress.pending_order is not None for progress in progresses)

    def blocking_reason(
        self, progress: replicaprogress.ReplicaProgress, now: float
    ) -> _Reason | None:
        """Return why no order may be sent to the replica now, or None.

        A replica that must drain first is closed to new requests by this call.

        :param progress: the replica.
        :param now: monotonic seconds.
        """
        if progress.would_disrupt(self._desired):
            if progress.closed_at is None:
                return self._close(progress, now)
            if progress.idle_at < now - self._settings.idle_report_max_age_s:
                return _Reason.STREAMS_RUNNING
            if progress.became_idle():
                self._drain_limiter.record_drain(now - progress.closed_at)
        return self._load(progress, now)

    def _close(self, progress: replicaprogress.ReplicaProgress, now: float) -> _Reason:
        serves = progress.serves(self._desired)
        if serves and self._serving <= self._floor:
            return _Reason.FLOOR
        cost = self._load_rate_limiter.cost(progress.missing(self._desired))
        if self._draining >= self._drain_limiter.limit(cost):
            return _Reason.DRAINS_AT_ONCE
        self._serving -= serves
        self._draining += progress.pending_order is None
        progress.close(now)
        return _Reason.STREAMS_RUNNING

    def _load(self, progress: replicaprogress.ReplicaProgress, now: float) -> _Reason | None:
        missing = progress.missing(self._desired)
        begins = bool(missing) and progress.pending_order is None
        if begins and self._loading >= self._settings.load_rate.max_loading:
            return _Reason.LOADS_AT_ONCE
        if not self._load_rate_limiter.try_acquire(self._load_rate_limiter.cost(missing), now):
            return _Reason.LOAD_RATE
        self._loading += begins
        return None
