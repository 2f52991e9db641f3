"""Detection of crashes of replicas from lost runs.

Explanation
===========

A run is lost when its connection ends before its response does. The cause may be a crash of the
replica, a reset of the connection, or a response that the replica aborted; a planned stop of the
replica also ends the remaining runs there. Only a crash is evidence against the requests that
ran there. A lost run is attributed to a crash if the replica was listed, had not announced its
stop, and

- no server listens at its address any more, which is probed once for all runs lost there, or
- it is removed from the list, or listed as restarted, within :data:`UNLISTED_TIMEOUT_S`. This
  also detects a crash where the machine is unreachable and no connection is refused.

A replica may be removed from the list without an announcement and continue to serve for some
seconds. A connection that it closes after its removal is a planned end. A run that has received
no response by then, on a connection that is still open, was ended by a crash.
"""

import asyncio
import collections.abc
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.observability import logs
from hornbeamglade.quarantine import lostruns
from hornbeamglade.replicas import models, replicalist

UNLISTED_TIMEOUT_S = 6.0
"""An entry expires after three missed heartbeats, some four seconds after a crash."""

MAX_LOST_RUNS = 64
"""The maximum number of lost runs stored per replica, which runs no more than these at once."""

CrashCallback = collections.abc.Callable[[models.Replica, tuple[lostruns.LostRun, ...]], None]
ListenProbe = collections.abc.Callable[[str], collections.abc.Awaitable[bool | None]]


@dataclasses.dataclass(slots=True)
class _LostRunGroup:
    """Runs lost at one replica for a cause that is not known yet."""

    replica: models.Replica
    since: float
    run_by_fingerprint: dict[int, lostruns.LostRun] = dataclasses.field(default_factory=dict)
    is_probed: bool = False


class CrashDetector:
    """Distinguishes crashes of replicas from other ends of runs; for use on an event loop.

    :param replicas: the list of replicas.
    :param listens: returns whether a server listens at an address; None if there is no response.
    :param reported_stop: returns whether a replica announced its stop in its own reports.
    :param crashed: called with each crashed replica and the runs that the crash ended.
    :param clock: the source of monotonic time.
    """

    def __init__(
        self,
        replicas: replicalist.ReplicaList,
        listens: ListenProbe,
        reported_stop: collections.abc.Callable[[str], bool],
        crashed: CrashCallback,
        clock: clocks.Clock,
    ) -> None:
        self._replicas = replicas
        self._listens = listens
        self._reported_stop = reported_stop
        self._crashed = crashed
        self._clock = clock
        self._lost_by_replica: dict[str, _LostRunGroup] = {}
        self._crashed_at_by_replica: dict[str, float] = {}
        self._probes: set[asyncio.Task[None]] = set()

    def run_lost(
        self,
        fingerprint: int,
        replica: models.Replica,
        sent_at: float,
        prompt: lostruns.PromptParts | None = None,
    ) -> None:
        """Record a run whose connection ended before its response did.

        :param sent_at: monotonic seconds at which it was sent to the replica.
        :param prompt: the parts of its prompt if one of them may have ended the replica.
        """
        run = lostruns.LostRun(fingerprint, sent_at, self._clock.now(), prompt)
        if self._handle_known_cause(run, replica) or replica.id not in self._replicas.by_id:
            return
        lost = self._record(run, replica)
        if not lost.is_probed:
            lost.is_probed = True
            probe = asyncio.ensure_future(self._probe(lost))
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)

    def run_unanswered(
        self,
        fingerprint: int,
        replica: models.Replica,
        sent_at: float,
        prompt: lostruns.PromptParts | None = None,
    ) -> None:
        """Record a run that was abandoned without a response, on a connection that is still open.

        :param sent_at: monotonic seconds at which it was sent to the replica.
        :param prompt: the parts of its prompt if one of them may have ended the replica.
        """
        run = lostruns.LostRun(fingerprint, sent_at, self._clock.now(), prompt)
        if self._handle_known_cause(run, replica):
            return
        lost = self._record(run, replica)
        if replica.id in self._replicas.departed_by_id:
            self._confirm(lost, "gone")

    def list_changed(self, changes: collections.abc.Iterable[replicalist.ListChange]) -> None:
        """Process changes of the list of replicas."""
        for change in changes:
            replica = change.replica
            lost = self._lost_by_replica.get(replica.id)
            if change.kind == "leaving":
                self._lost_by_replica.pop(replica.id, None)
            elif lost is not None and change.kind in ("gone", "restarted"):
                self._confirm(lost, change.kind)
            elif change.kind == "restarted" and not self._has_announced_stop(replica):
                # Its runs at this node are abandoned next.
                self._crashed_at_by_replica[replica.id] = self._clock.now()

    def forget_old(self) -> None:
        """Forget lost runs whose replica is still listed after the timeout, and old crashes."""
        since = self._clock.now() - UNLISTED_TIMEOUT_S
        for replica_id, lost in tuple(self._lost_by_replica.items()):
            if lost.since < since:
                del self._lost_by_replica[replica_id]
        for replica_id, at in tuple(self._crashed_at_by_replica.items()):
            if at < since:
                del self._crashed_at_by_replica[replica_id]

    def _handle_known_cause(self, run: lostruns.LostRun, replica: models.Replica) -> bool:
        """Return whether the end of a run has a known cause; report the run if it is a crash."""
        if replica.id in self._crashed_at_by_replica:
            self._crashed(replica, (run,))
            return True
        known = self._replicas.by_id.get(replica.id, self._replicas.departed_by_id.get(replica.id))
        return known is None or self._has_announced_stop(known)

    def _has_announced_stop(self, replica: models.Replica) -> bool:
        return replica.is_leaving or self._reported_stop(replica.id)

    def _record(self, run: lostruns.LostRun, replica: models.Replica) -> _LostRunGroup:
        lost = self._lost_by_replica.get(replica.id)
        if lost is None:
            lost = self._lost_by_replica[replica.id] = _LostRunGroup(replica, self._clock.now())
        if len(lost.run_by_fingerprint) < MAX_LOST_RUNS:
            lost.run_by_fingerprint[run.fingerprint] = run
        return lost

    async def _probe(self, lost: _LostRunGroup) -> None:
        listens = await self._listens(lost.replica.address)
        if self._lost_by_replica.get(lost.replica.id) is not lost:
            return
        if listens is False:
            self._confirm(lost, "refused")
        elif listens:
            del self._lost_by_replica[lost.replica.id]

    def _confirm(self, lost: _LostRunGroup, reason: str) -> None:
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
