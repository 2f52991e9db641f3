"""Which lost runs were ended by a crash of their replica.

Explanation
===========

A run is lost when its connection ends before its answer does. That may be a crash of the
replica, a reset of the connection, or an answer that the replica broke off; a replica that
stops as planned ends what is left there as well. Only a crash is evidence against the requests
that ran there. It is taken for one when the replica was listed, had not announced its stop, and

- nothing listens at its address any more, which is asked once for all runs lost there, or
- it is taken from the list, or listed as started anew, within :data:`UNLISTED_WITHIN_S`. So a
  crash is found also where the machine falls silent and no connection is refused.

A replica may be taken from the list without an announcement, and serve on for some seconds. A
connection that it closes after that is a planned end; a run that had no answer from it by then,
on a connection that stands, is one that its crash ended.
"""

import asyncio
import collections.abc
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.observability import logs
from hornbeamglade.quarantine import lostruns
from hornbeamglade.replicas import models, replicalist

UNLISTED_WITHIN_S = 6.0
"""An entry lapses after three missed heartbeats, some four seconds after a crash."""

MOST_RUNS = 64
"""Lost runs that are remembered of one replica; it runs no more at once."""

Crashed = collections.abc.Callable[[models.Replica, tuple[lostruns.LostRun, ...]], None]
Listens = collections.abc.Callable[[str], collections.abc.Awaitable[bool | None]]


@dataclasses.dataclass(slots=True)
class _LostRuns:
    """Runs lost at one replica, of which it is not known yet what ended them."""

    replica: models.Replica
    since: float
    run_by_fingerprint: dict[int, lostruns.LostRun] = dataclasses.field(default_factory=dict)
    is_probed: bool = False


class CrashDetector:
    """Tells crashes of replicas from other ends of runs; to be used on an event loop.

    :param replicas: the list.
    :param listens: tells whether a server listens at an address; None without an answer.
    :param reported_stop: tells whether a replica's own reports announced its stop.
    :param crashed: called with a replica that has crashed, and with the runs that it ended.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        replicas: replicalist.ReplicaList,
        listens: Listens,
        reported_stop: collections.abc.Callable[[str], bool],
        crashed: Crashed,
        clock: clocks.Clock,
    ) -> None:
        self._replicas = replicas
        self._listens = listens
        self._reported_stop = reported_stop
        self._crashed = crashed
        self._clock = clock
        self._lost_by_replica: dict[str, _LostRuns] = {}
        self._crashed_at_by_replica: dict[str, float] = {}
        self._probes: set[asyncio.Task[None]] = set()

    def run_lost(self, fingerprint: int, replica: models.Replica, began_at: float) -> None:
        """Take a run whose connection ended before its answer did.

        :param began_at: monotonic seconds at which it was sent there.
        """
        run = lostruns.LostRun(fingerprint, began_at, self._clock.now())
        if self._is_explained(run, replica) or replica.id not in self._replicas.by_id:
            return
        lost = self._note(run, replica)
        if not lost.is_probed:
            lost.is_probed = True
            probe = asyncio.ensure_future(self._probe(lost))
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)

    def run_unanswered(self, fingerprint: int, replica: models.Replica, began_at: float) -> None:
        """Take a run that was given up without an answer, on a connection that stands.

        :param began_at: monotonic seconds at which it was sent there.
        """
        run = lostruns.LostRun(fingerprint, began_at, self._clock.now())
        if self._is_explained(run, replica):
            return
        lost = self._note(run, replica)
        if replica.id in self._replicas.departed_by_id:
            self._confirm(lost, "gone")

    def list_changed(self, changes: collections.abc.Iterable[replicalist.ListChange]) -> None:
        """Take changes of the list of replicas."""
        for change in changes:
            replica = change.replica
            lost = self._lost_by_replica.get(replica.id)
            if change.kind == "leaving":
                self._lost_by_replica.pop(replica.id, None)
            elif lost is not None and change.kind in ("gone", "restarted"):
                self._confirm(lost, change.kind)
            elif change.kind == "restarted" and not self._has_announced_stop(replica):
                # Its runs here are given up next.
                self._crashed_at_by_replica[replica.id] = self._clock.now()

    def forget_old(self) -> None:
        """Forget runs whose replica is still listed after so long, and crashes of long ago."""
        since = self._clock.now() - UNLISTED_WITHIN_S
        for replica_id, lost in tuple(self._lost_by_replica.items()):
            if lost.since < since:
                del self._lost_by_replica[replica_id]
        for replica_id, at in tuple(self._crashed_at_by_replica.items()):
            if at < since:
                del self._crashed_at_by_replica[replica_id]

    def _is_explained(self, run: lostruns.LostRun, replica: models.Replica) -> bool:
        """Tell whether it is known what ended a run, and pass on a crash that is."""
        if replica.id in self._crashed_at_by_replica:
            self._crashed(replica, (run,))
            return True
        known = self._replicas.by_id.get(replica.id, self._replicas.departed_by_id.get(replica.id))
        return known is None or self._has_announced_stop(known)

    def _has_announced_stop(self, replica: models.Replica) -> bool:
        return replica.is_leaving or self._reported_stop(replica.id)

    def _note(self, run: lostruns.LostRun, replica: models.Replica) -> _LostRuns:
        lost = self._lost_by_replica.get(replica.id)
        if lost is None:
            lost = self._lost_by_replica[replica.id] = _LostRuns(replica, self._clock.now())
        if len(lost.run_by_fingerprint) < MOST_RUNS:
            lost.run_by_fingerprint[run.fingerprint] = run
        return lost

    async def _probe(self, lost: _LostRuns) -> None:
        listens = await self._listens(lost.replica.address)
        if self._lost_by_replica.get(lost.replica.id) is not lost:
            return
        if listens is False:
            self._confirm(lost, "refused")
        elif listens:
            del self._lost_by_replica[lost.replica.id]

    def _confirm(self, lost: _LostRuns, reason: str) -> None:
        replica = lost.replica
        del self._lost_by_replica[replica.id]
        self._crashed_at_by_replica[replica.id] = self._clock.now()
        logs.state_changed(
            "replica_process",
            "running",
            "crashed",
            replica=replica.id,
            service=replica.service,
            address=replica.address,
            reason=reason,
            count=len(lost.run_by_fingerprint),
        )
        self._crashed(replica, tuple(lost.run_by_fingerprint.values()))
