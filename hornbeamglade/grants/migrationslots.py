"""In which order runs leave a replica that is about to stop.

Explanation
===========

A run's memory is copied over the replica's one link, and its stream stands still while
the last of it goes. Were all runs copied at once, each would wait behind the others with
its stream stopped, and those copied last would not arrive at all. So the replica's owner
gives one turn at a time, the run with the least memory first: that saves the most runs
in the time that is left.

A turn lapses when its holder does not end it: the holder may have died, and the others
must not wait for it until the replica is gone.

Examples
========

>>> turns = MigrationSlots()
>>> turns.request("engine-1", MigratingRun("a", "n1", 900), now=0.0)
True
>>> turns.request("engine-1", MigratingRun("b", "n2", 300), now=0.001)
False
>>> turns.due(now=0.002)
()
>>> turns.due(now=0.01)
(Slot(replica='engine-1', run=MigratingRun(id='b', holder='n2', tokens=300)),)
>>> turns.release("engine-1", "b", now=0.3)
>>> [turn.run.id for turn in turns.due(now=0.3)]
['a']
"""

import dataclasses

COLLECT_S = 0.006
"""The first turn waits for the asks of other nodes: they hear of the stop within a few
milliseconds of one another."""

LAPSE_S = 0.9
"""Copying the largest run between failure domains takes about half a second."""

FORGET_S = 1.0
"""A run whose node no longer asks has ended, or has gone without its turn."""


@dataclasses.dataclass(frozen=True, slots=True)
class MigratingRun:
    """A run that is to leave.

    :param id: the run.
    :param holder: the node that streams it.
    :param tokens: memory that it holds.
    """

    id: str
    holder: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """A run's turn.

    :param replica: what it leaves.
    :param run: the run.
    """

    replica: str
    run: MigratingRun


@dataclasses.dataclass(slots=True)
class _Waiting:
    run: MigratingRun
    heard_at: float


@dataclasses.dataclass(slots=True)
class _Line:
    began_at: float
    waiting_by_run: dict[str, _Waiting] = dataclasses.field(default_factory=dict)
    current: MigratingRun | None = None
    lapses_at: float = 0.0


class MigrationSlots:
    """The lines of all replicas that this node owns and that are about to stop."""

    def __init__(self) -> None:
        self._line_by_replica: dict[str, _Line] = {}

    def request(self, replica: str, run: MigratingRun, now: float) -> bool:
        """Note that a run wants its turn; repeated while it waits.

        :returns: whether it is the first one that asks there.
        """
        is_first = replica not in self._line_by_replica
        line = self._line_by_replica.setdefault(replica, _Line(now))
        line.waiting_by_run[run.id] = _Waiting(run, now)
        return is_first

    def release(self, replica: str, run_id: str, now: float) -> None:
        """End a run's turn, or its wait for one; idempotent."""
        line = self._line_by_replica.get(replica)
        if line is None:
            return
        line.waiting_by_run.pop(run_id, None)
        if line.current is not None and line.current.id == run_id:
            line.current = None

    def due(self, now: float) -> tuple[Slot, ...]:
        """Return the turns that hold now; those given before are repeated until done."""
        given = []
        for replica, line in list(self._line_by_replica.items()):
            self._forget(line, now)
            if line.current is None and now - line.began_at >= COLLECT_S:
                self._give(line, now)
            if line.current is not None:
                given.append(Slot(replica, line.current))
            elif not line.waiting_by_run:
                del self._line_by_replica[replica]
        return tuple(given)

    @property
    def is_idle(self) -> bool:
        """Whether nobody waits and nobody has a turn."""
        return not self._line_by_replica

    def _forget(self, line: _Line, now: float) -> None:
        if line.current is not None and now >= line.lapses_at:
            line.waiting_by_run.pop(line.current.id, None)
            line.current = None
        for run_id, waiting in list(line.waiting_by_run.items()):
            if now - waiting.heard_at > FORGET_S:
                del line.waiting_by_run[run_id]

    def _give(self, line: _Line, now: float) -> None:
        if not line.waiting_by_run:
            return
        smallest = min(line.waiting_by_run.values(), key=lambda each: each.run.tokens)
        line.current = smallest.run
        line.lapses_at = now + LAPSE_S
