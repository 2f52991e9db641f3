"""Derives the placement status of one backend server."""

from hornbeamglade.backends import orders
from hornbeamglade.placement import placementvalues, replicaprogress

_Condition = placementvalues.PlacementCondition
_Reason = placementvalues.Reason

_CONDITION_BY_REASON = {
    _Reason.AS_WANTED: _Condition.IN_SYNC,
    _Reason.LOADING: _Condition.ORDERED,
    _Reason.STREAMS_RUNNING: _Condition.WAITING_FOR_STREAMS,
    _Reason.NOT_READ_YET: _Condition.UNREACHABLE,
    _Reason.NO_ANSWER: _Condition.UNREACHABLE,
    _Reason.ENGINE_REFUSES: _Condition.REFUSED,
    _Reason.LOAD_TIMED_OUT: _Condition.REFUSED,
    _Reason.NEWER_FENCING_SEEN: _Condition.REFUSED,
}


def status(
    progress: replicaprogress.ReplicaProgress,
    desired: orders.EngineState,
    reason: placementvalues.Reason,
    blocked_by: placementvalues.Reason | None,
) -> placementvalues.PlacementStatus:
    """Return the wanted and the loaded state of a replica, and why they differ.

    :param progress: the replica.
    :param desired: the state that it is to reach.
    :param reason: the result of the last planning round.
    :param blocked_by: why no order may be sent to any replica of the pool, or None.
    """
    found = _reason(progress, desired, reason, blocked_by)
    condition = _CONDITION_BY_REASON.get(found, _Condition.WAITING_FOR_PACE)
    if found is blocked_by:
        condition = _Condition.NO_LEASE
    return placementvalues.PlacementStatus(
        replica=progress.name,
        wanted=desired,
        present=progress.present,
        condition=condition,
        reason=found,
        closed=blocked_by is None and progress.closed_at is not None,
        failures=progress.failures + progress.read_failures,
    )


def _reason(
    progress: replicaprogress.ReplicaProgress,
    desired: orders.EngineState,
    reason: placementvalues.Reason,
    blocked_by: placementvalues.Reason | None,
) -> placementvalues.Reason:
    if progress.unreachable:
        return _Reason.NO_ANSWER
    if progress.present is None:
        return _Reason.NOT_READ_YET
    if blocked_by is None:
        return reason
    return _Reason.AS_WANTED if progress.is_in_sync(desired) else blocked_by
