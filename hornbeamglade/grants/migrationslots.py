"""The order in which runs are migrated away from a replica that is about to stop.

Explanation
===========

A run's KV cache is copied over the replica's only network link, and its stream is paused while
the last part is copied. If all runs were copied at once, each would compete with the others for
the link while its stream is paused, and the last ones would not finish before the stop. So the
replica's owner grants one migration slot at a time, to the run with the smallest KV cache first:
this order saves the most runs in the time that remains.

A slot expires if its holder does not release it: the holder may have crashed, and the other runs
must not wait for it until the replica has stopped.

Examples
========

>>> slots = MigrationSlots()
>>> slots.request("engine-1", MigratingRun("a", "n1", 900), now=0.0)
True
>>> slots.request("engine-1", MigratingRun("b", "n2", 300), now=0.001)
False
>>> slots.due(now=0.002)
()
>>> slots.due(now=0.01)
(Slot(replica='engine-1', run=MigratingRun(id='b', holder='n2', tokens=300)),)
>>> slots.release("engine-1", "b", now=0.3)
>>> [slot.run.id for slot in slots.due(now=0.3)]
['a']
"""

import dataclasses

COLLECT_S = 0.006
"""The first slot is granted after this delay, to collect the requests of other nodes: they learn
of the stop within a few milliseconds of one another."""

SLOT_TIMEOUT_S = 0.9
"""Copying the largest run between failure domains takes about half a second."""

REQUEST_TIMEOUT_S = 1.0
"""A run whose node no longer repeats its request has ended, or was migrated without a slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class MigratingRun:
    """A run that is to be migrated.

    :param id: the run.
    :param holder: the node that streams it.
    :param tokens: size of its KV cache.
    """

    id: str
    holder: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """A migration slot that is held by a run.

    :param replica: the queue: the replica that the run leaves, or the one that it arrives at.
    :param run: the run.
    """

    replica: str
    run: MigratingRun


@dataclasses.dataclass(slots=True)
class _Request:
    run: MigratingRun
    last_seen_at: float


@dataclasses.dataclass(slots=True)
class _Queue:
    started_at: float
    request_by_run: dict[str, _Request] = dataclasses.field(default_factory=dict)
    current: MigratingRun | None = None
    expires_at: float = 0.0


class MigrationSlots:
    """The slot queues of the replicas that this node owns and that runs leave or arrive at."""

    def __init__(self) -> None:
        self._queue_by_replica: dict[str, _Queue] = {}

    def request(self, replica: str, run: MigratingRun, now: float) -> bool:
        """Queue a run for a slot; the request is repeated while the run waits.

        :returns: whether it is the first request for this replica.
        """
        is_first = replica not in self._queue_by_replica
        queue = self._queue_by_replica.setdefault(replica, _Queue(now))
        queue.request_by_run[run.id] = _Request(run, now)
        return is_first

    def release(self, replica: str, run_id: str, now: float) -> None:
        """Release a run's slot, or withdraw its request for one; idempotent."""
        queue = self._queue_by_replica.get(replica)
        if queue is None:
            return
        queue.request_by_run.pop(run_id, None)
        if queue.current is not None and queue.current.id == run_id:
            queue.current = None

    def due(self, now: float) -> tuple[Slot, ...]:
        """Return the slots that are held now; a slot is repeated until it is released."""
        slots = []
        for replica, queue in list(self._queue_by_replica.items()):
            self._drop_expired(queue, now)
            if queue.current is None and now - queue.started_at >= COLLECT_S:
                self._grant_next(queue, now)
            if queue.current is not None:
                slots.append(Slot(replica, queue.current))
            elif not queue.request_by_run:
                del self._queue_by_replica[replica]
        return tuple(slots)

    @property
    def is_idle(self) -> bool:
        """Whether no run waits for a slot or holds one."""
        return not self._queue_by_replica

    def _drop_expired(self, queue: _Queue, now: float) -> None:
        if queue.current is not None and now >= queue.expires_at:
            queue.request_by_run.pop(queue.current.id, None)
            queue.current = None
        for run_id, request in list(queue.request_by_run.items()):
            if now - request.last_seen_at > REQUEST_TIMEOUT_S:
                del queue.request_by_run[run_id]

    def _grant_next(self, queue: _Queue, now: float) -> None:
        if not queue.request_by_run:
            return
        smallest = min(queue.request_by_run.values(), key=lambda each: each.run.tokens)
        queue.current = smallest.run
        queue.expires_at = now + SLOT_TIMEOUT_S
