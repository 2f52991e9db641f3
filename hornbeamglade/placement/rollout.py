"""Brings the engines of one pool to what the newest configuration wants.

Explanation
===========

Plain decisions, without I/O: what is read and answered goes in, orders come out.
All orders are absolute: each states everything that the engine is to have, so an
order may be repeated, and a newer goal replaces an older one in the middle of a
rollout without any undoing [1]_. Unlike there, no step of the rollout is kept in a
store: the engines themselves are read back.

What was weighed: *two orders for each replica, old and new together and then the
new alone*, which spares the draining and needs memory for both; *draining by
model*, for which load reports would have to count streams by model. A replica
that is to lose something is closed for all new work until it has changed.

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
    drainahead,
    pace,
    placementsettings,
    placementstatus,
    placementvalues,
    replicaprogress,
    roster,
)

_Reason = placementvalues.Reason


class Rollout:
    """The engines of one pool, as the node that gives them orders sees them.

    :param goal: what is wanted at first.
    :param settings: bounds and waits.
    :param flight_s: the longest flight of an order to an engine that does not check
        fencing numbers.
    :param rng: spreads the waits after failures.
    :param now: monotonic seconds.

    Examples
    ========

    >>> from hornbeamglade.configuration import models
    >>> engine = models.Replica(address="192.0.2.1:8000", failure_domain="z1")
    >>> wanted = orders.EngineState(frozenset({"draft@2"}), role="mixed")
    >>> goal = placementvalues.DesiredState(1, wanted, {"engine-1": engine})
    >>> settings = placementsettings.PlacementSettings()
    >>> rollout = Rollout(goal, settings, 10.0, random.Random(1), now=0.0)
    >>> rollout.was_read("engine-1", orders.EngineState(frozenset()), now=1.0)
    >>> [order.replica for order in rollout.plan(fencing=1, now=9.0)]
    ['engine-1']
    """

    def __init__(
        self,
        goal: placementvalues.DesiredState,
        settings: placementsettings.PlacementSettings,
        flight_s: float,
        rng: random.Random,
        now: float,
    ) -> None:
        self._settings = settings
        self._flight_s = flight_s
        self._rng = rng
        self._pace = pace.LoadPace(settings.pace, now)
        self._ahead = drainahead.DrainAhead(settings)
        self._reason_by_name: dict[str, _Reason] = {}
        self._is_suspended = False
        self.goal = goal
        self.roster = roster.Roster(goal)

    def set_desired(self, goal: placementvalues.DesiredState) -> None:
        """Replace the goal at once by that of a newer revision."""
        # Guard: a late answer of the store must not bring back an older goal.
        if goal.revision <= self.goal.revision:
            return
        same = goal.wanted == self.goal.wanted
        self.goal = goal
        self.roster.take(goal)
        if not same:
            for progress in self.roster:
                progress.failures = 0
                progress.retry_at = float("-inf")
                progress.refusal = None

    def restart(self, now: float) -> None:
        """Begin anew from what will be read back; to be called with each new number."""
        self._is_suspended = False
        self._pace = pace.LoadPace(self._settings.pace, now)
        for progress in self.roster:
            progress.forget()

    def suspend(self) -> None:
        """Close nothing any more: without the lease nothing is changed, and all serve on."""
        self._is_suspended = True

    def resume(self, now: float) -> None:
        """Go on under the same number after a time in which closed replicas were open."""
        if not self._is_suspended:
            return
        self._is_suspended = False
        for progress in self.roster:
            if progress.closed_at is not None:
                progress.close(now)

    def reread_unchecked(self) -> None:
        """Read engines again that do not check numbers; old orders have arrived by now."""
        for progress in self.roster:
            if not progress.replica.checks_fencing:
                progress.present = None

    def closed(self) -> frozenset[str]:
        """Name the replicas that must get no new work, so that their streams end."""
        if self._is_suspended:
            return frozenset()
        return frozenset(p.name for p in self.roster if p.closed_at is not None)

    def was_read(self, name: str, present: orders.EngineState, now: float) -> None:
        """Take what an engine has.

        :param now: when the read began.
        """
        if progress := self.roster.find(name):
            progress.was_read(present, now)

    def had_no_answer(self, name: str, now: float) -> None:
        """Note that an engine could not be read."""
        if progress := self.roster.find(name):
            progress.unreachable = True
            progress.read_failures += 1
            progress.read_retry_at = now + self._wait_s(progress.read_failures)

    def had_load(self, name: str, streams: int, observed_at: float) -> None:
        """Take the streams running and waiting at a replica, as of ``observed_at``."""
        if progress := self.roster.find(name):
            progress.had_load(streams, observed_at, self._settings.spread_s)

    def plan(
        self, fencing: int, now: float, is_settled: bool = True
    ) -> tuple[placementvalues.Order, ...]:
        """Decide which orders go out now, and which replicas are closed or reopened.

        :param fencing: the number of the lease that is held.
        :param is_settled: whether orders of a former holder have arrived or are lost;
            until then engines that do not check numbers get none.
        """
        # Replicas that failed come last, so that they hold up no others.
        progresses = sorted(self.roster, key=lambda p: p.failures)
        for progress in progresses:
            self._tidy(progress, now)
        gate = changegate.ChangeGate(
            self._settings, progresses, self.goal.wanted, self._pace, self._ahead
        )
        planned = []
        for progress in progresses:
            reason = self._obstacle(progress, gate, fencing, now, is_settled)
            if reason is None:
                reason = _Reason.LOADING
                loads = bool(progress.missing(self.goal.wanted))
                progress.begin(replicaprogress.Sent(self.goal.wanted, fencing, now, loads))
                checks = progress.replica.checks_fencing
                planned.append(placementvalues.Order(progress.name, self.goal.wanted, checks))
            self._reason_by_name[progress.name] = reason
        return tuple(planned)

    def answered(
        self,
        order: placementvalues.Order,
        outcome: orders.OrderOutcome,
        fencing: int,
        now: float,
    ) -> None:
        """Take what came of an order.

        :param now: when it was known.
        """
        progress = self.roster.find(order.replica)
        if progress is None:
            return
        match outcome:
            case orders.Accepted(present):
                progress.accepted(fencing, present, now)
            case orders.NotSent(is_unreachable=is_unreachable):
                progress.took_no_effect()
                if is_unreachable:
                    self.had_no_answer(order.replica, now)
            case orders.Refused() | orders.Outdated():
                progress.took_no_effect()
                progress.reopen()
                is_outdated = isinstance(outcome, orders.Outdated)
                refusal = _Reason.NEWER_FENCING_SEEN if is_outdated else _Reason.ENGINE_REFUSES
                self._failed(progress, refusal, now)
            case orders.Lost() | orders.Malformed():
                progress.lost(replicaprogress.Sent(order.wanted, fencing, now))
                self._failed(progress, None, now)

    def statuses(
        self, barrier: _Reason | None
    ) -> collections.abc.Mapping[str, placementvalues.PlacementStatus]:
        """Return, for each backend server, what is wanted, present, and why they differ.

        :param barrier: why no order may be given, or None when orders are given.
        """
        return {
            progress.name: placementstatus.status(
                progress,
                self.goal.wanted,
                self._reason_by_name.get(progress.name, _Reason.NOT_READ_YET),
                barrier,
            )
            for progress in self.roster
        }

    def _tidy(self, progress: replicaprogress.ReplicaProgress, now: float) -> None:
        progress.settle(now, self._flight_s)
        if progress.is_in_sync(self.goal.wanted):
            if progress.sent is not None and progress.sent.loads:
                self._ahead.loaded(now - progress.sent.at)
            progress.sent = None
            progress.failures = 0
            progress.refusal = None
            progress.reopen()
        sent = progress.sent
        if sent is not None and now >= sent.at + self._settings.load_timeout_s:
            progress.sent = None
            progress.reopen()
            self._failed(progress, _Reason.LOAD_TIMED_OUT, now)

    def _obstacle(
        self,
        progress: replicaprogress.ReplicaProgress,
        gate: changegate.ChangeGate,
        fencing: int,
        now: float,
        is_settled: bool,
    ) -> _Reason | None:
        """Return why no order goes to this replica now, or None."""
        goal = self.goal.wanted
        if progress.unreachable or progress.present is None:
            return _Reason.NO_ANSWER if progress.unreachable else _Reason.NOT_READ_YET
        checks = progress.replica.checks_fencing
        if not checks and (not is_settled or progress.adrift(goal)):
            return _Reason.OLD_ORDERS_UNDER_WAY
        is_confirmed = progress.confirmed_fencing >= fencing
        if is_confirmed and progress.is_in_sync(goal):
            return _Reason.AS_WANTED
        if now < progress.retry_at:
            return progress.refusal or _Reason.BACK_OFF
        sent = progress.sent
        if is_confirmed and sent is not None and sent.wanted == goal and not progress.failures:
            return _Reason.LOADING
        return gate.obstacle(progress, now)

    def _failed(
        self, progress: replicaprogress.ReplicaProgress, refusal: _Reason | None, now: float
    ) -> None:
        progress.failures += 1
        progress.refusal = refusal
        progress.retry_at = now + self._wait_s(progress.failures)

    def _wait_s(self, failures: int) -> float:
        longest = self._settings.back_off_s * 2.0 ** min(failures - 1, 30)
        bounded = min(longest, self._settings.max_back_off_s)
        return bounded * self._rng.uniform(0.5, 1.0)
