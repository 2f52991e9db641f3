"""Gives the orders to one pool's engines while it holds the pool's lease.

Explanation
===========

At rest nothing is written: the candidate reads a few engines back in each step
and takes the lease only when one of them is not as wanted. It lets go when all
engines that answer have been as wanted for a while. Weighed against holding the
lease for good, which costs one write for each renewal of each pool and spares one
wait of ``flight_s`` before the first order to engines that check no numbers.

A store that is down means: no lease, so no orders and nothing closed; all engines
serve on with what they have.
"""

import collections.abc
import concurrent.futures
import functools
import typing

from hornbeamglade import leases
from hornbeamglade.backends import orders
from hornbeamglade.core import clocks
from hornbeamglade.placement import engines as enginelib
from hornbeamglade.placement import placementsettings, placementvalues
from hornbeamglade.placement import rollout as rolloutlib

_Reason = placementvalues.Reason
_LOST_LEASE_WAIT_S = 10.0
_T = typing.TypeVar("_T")
_R = typing.TypeVar("_R")


class Placer:
    """One node's part in the placement of one pool; ``step`` is for one thread.

    :param lease: on the pool's name, with the term and flight of ``settings``.
    :param rollout: the decisions, with the first goal.
    :param engines: reaches the engines.
    :param is_candidate: tells whether this node is the one to hold the lease. More
        than one may think so; only the lease decides.
    :param newest_revision: reads the configuration's head in the table; None when
        that cannot be read.
    :param clock: monotonic time, the same as the lease's.
    :param executor: carries calls to several engines at once; None calls in turn.
    """

    def __init__(
        self,
        lease: leases.LeaseHolder,
        rollout: rolloutlib.Rollout,
        engines: enginelib.EngineClient,
        is_candidate: collections.abc.Callable[[], bool],
        newest_revision: collections.abc.Callable[[], int | None],
        settings: placementsettings.PlacerSettings,
        clock: clocks.Clock,
        executor: concurrent.futures.Executor | None = None,
    ) -> None:
        self._lease = lease
        self._rollout = rollout
        self._engines = engines
        self._is_candidate = is_candidate
        self._newest_revision = newest_revision
        self._settings = settings
        self._clock = clock
        self._map = map if executor is None else executor.map
        self._fencing: int | None = None
        self._is_settled = False
        self._head_revision: int | None = None
        self._renewed_at = float("-inf")
        self._worked_at = float("-inf")
        self._lease_retry_at = float("-inf")
        self._was_outdated = False
        self._owes_round = True
        self._barrier: _Reason | None = _Reason.LEASE_NOT_ASKED

    def set_desired(self, goal: placementvalues.DesiredState) -> None:
        """Take what a newer revision wants; between steps, in the same thread."""
        self._rollout.set_desired(goal)

    def closed(self) -> frozenset[str]:
        """Name the replicas that no node may send new work to.

        The node tells the replicas' owners after each step; they keep it for longer
        than a step takes, and not much longer.
        """
        return self._rollout.closed()

    def statuses(self) -> collections.abc.Mapping[str, placementvalues.PlacementStatus]:
        """Return, for each backend server, what is wanted, present, and why they differ."""
        return self._rollout.statuses(self._barrier)

    def step(self) -> None:
        """Hold or let go of the lease, read engines back, and order what is due."""
        self._barrier = self._hold()
        self._read_back()
        if self._barrier is None and self._needs_new_fencing():
            # Frees the lease; the next step takes it under a larger number.
            self._let_go()
            self._barrier = _Reason.LEASE_NOT_ASKED
        if self._barrier is None:
            self._read_streams()
            self._order()

    def stop(self) -> None:
        """Let go of the lease, so that another node need not wait for its end."""
        self._let_go()
        self._barrier = _Reason.NOT_CANDIDATE

    def _needs_new_fencing(self) -> bool:
        wanted = self._rollout.goal.wanted
        return self._rollout.roster.needs_new_fencing(wanted, self._fencing)

    def _hold(self) -> _Reason | None:
        """Return why no orders may be given, or None."""
        now = self._clock.now()
        barrier = self._reason_to_let_go(now)
        if barrier is not None:
            self._let_go()
            return barrier
        if not self._is_held(now):
            barrier = self._acquire(now)
        if barrier is not None:
            self._rollout.suspend()
            return barrier
        return self._behind_head()

    def _reason_to_let_go(self, now: float) -> _Reason | None:
        if not self._is_candidate():
            # Guard: once it is the candidate again, orders of the holder in between
            # may be on their way to engines that are as wanted, and would bring back
            # older models there. So it takes the lease once even when all are as
            # wanted, and has each engine see its number.
            self._owes_round = True
            return _Reason.NOT_CANDIDATE
        if now < self._lease_retry_at:
            return _Reason.NEWER_FENCING_SEEN
        fencing = self._lease.fencing
        unconfirmed = fencing is not None and self._rollout.roster.is_unconfirmed(fencing)
        if (
            self._owes_round
            or unconfirmed
            or self._rollout.roster.has_work(self._rollout.goal.wanted)
        ):
            self._worked_at = now
        if now - self._worked_at > self._settings.linger_s:
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
            self._owes_round = False
        if not self._lease.may_act(self._settings.margin_s):
            return _Reason.TABLE_UNAVAILABLE
        if self._lease.fencing == self._fencing:
            self._rollout.resume(now)
            return None
        self._fencing = self._lease.fencing
        self._is_settled = False
        self._was_outdated = False
        self._head_revision = None
        self._rollout.restart(now)
        return None

    def _behind_head(self) -> _Reason | None:
        """Return why this node's configuration may be older than a former holder's.

        Guard: a node that lags takes the lease and orders the models of an older
        revision, under the larger number. Each former holder fixed its orders before
        its lease ended, so none is of a later revision than the head read after this
        lease began.
        """
        if self._head_revision is None:
            self._head_revision = self._newest_revision()
        if self._head_revision is None:
            return _Reason.TABLE_UNAVAILABLE
        if self._rollout.goal.revision < self._head_revision:
            return _Reason.CONFIGURATION_BEHIND
        return None

    def _let_go(self) -> None:
        self._rollout.suspend()
        self._renewed_at = float("-inf")
        if self._lease.fencing is not None:
            self._lease.release()

    def _read_back(self) -> None:
        if self._barrier is None and not self._is_settled:
            settled = self._lease.may_act(self._settings.margin_s, engine_checks_fencing=False)
            if settled:
                self._is_settled = True
                self._rollout.reread_unchecked()
        busy = self._barrier is None or self._rollout.roster.has_unread()
        limit = self._settings.reads_per_step if busy else self._settings.reads_at_rest
        names = self._rollout.roster.reads_due(limit, self._clock.now())
        asked_at = self._clock.now()
        for name, outcome in zip(names, self._call(self._read, names), strict=True):
            if isinstance(outcome, orders.Accepted):
                self._rollout.was_read(name, outcome.present, asked_at)
            else:
                self._rollout.had_no_answer(name, self._clock.now())

    def _read(self, name: str) -> orders.OrderOutcome:
        return self._engines.read(self._rollout.goal.replica_by_name[name])

    def _read_streams(self) -> None:
        names = tuple(sorted(self._rollout.closed()))
        for name, streams in zip(names, self._call(self._streams, names), strict=True):
            if streams is not None:
                self._rollout.had_load(name, streams.count, streams.observed_at)

    def _streams(self, name: str) -> enginelib.StreamCount | None:
        return self._engines.streams(self._rollout.goal.replica_by_name[name])

    def _order(self) -> None:
        fencing = self._fencing
        planned_at = self._clock.now()
        planned = self._rollout.plan(fencing, planned_at, self._is_settled)
        send = functools.partial(self._send, fencing, planned_at)
        for order, outcome in zip(planned, self._call(send, planned), strict=True):
            self._rollout.answered(order, outcome, fencing, self._clock.now())
        if self._was_outdated:
            self._lease_retry_at = self._clock.now() + _LOST_LEASE_WAIT_S
            self._barrier = _Reason.NEWER_FENCING_SEEN
            self._let_go()

    def _send(
        self, fencing: int, planned_at: float, order: placementvalues.Order
    ) -> orders.OrderOutcome:
        replica = self._rollout.goal.replica_by_name[order.replica]
        may_send = functools.partial(self._may_send, planned_at, order)
        outcome = self._engines.order(replica, fencing, order.wanted, may_send)
        if isinstance(outcome, orders.Outdated):
            self._was_outdated = True
        return outcome

    def _may_send(self, planned_at: float, order: placementvalues.Order) -> bool:
        """Tell whether an order may go out; asked right before its first byte.

        Guard: a holder that was paused since it planned gives orders as if no time
        had passed. Its lease may be another's by now; or the closing of the replica
        has run out at its owner, and the order would end new streams.
        """
        if self._was_outdated:
            return False
        if self._clock.now() - planned_at > self._settings.plan_life_s:
            return False
        return self._lease.may_act(self._settings.margin_s, order.checks_fencing)

    def _call(
        self, function: collections.abc.Callable[[_T], _R], items: collections.abc.Sequence[_T]
    ) -> collections.abc.Iterable[_R]:
        return list(self._map(function, items))
