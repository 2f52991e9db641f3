"""A lease with a fencing number, kept in the platform's table.

Explanation
===========

The right to give orders to a pool's engines is a lease [1]_: one row, changed
by compare-and-set only. Clocks of different nodes are never compared:

- the holder counts the term on its own monotonic clock from *before* the write
  is sent, so it stops no later than anybody else believes it does;
- a contender counts the term from *after* it first read the row at its newest
  write, lengthened by the bound on the drift of clocks.

A write that got no answer is known again by its nonce when the row is read, and
counts from when it was sent. A late write cannot take effect once the row has
another version.

Fencing numbers grow with each acquisition, also where the store has come back from an older
copy of the row: those of an era begin above all of the eras before. Engines that check them
refuse an old holder. For engines that do not check, a new holder waits out the
longest flight of an order before its first one. What remains possible there:
an order whose sending is paused, between ``may_act`` and the socket, for
longer than the margin.

References
==========

.. [1] C. Gray and D. Cheriton, Leases: an efficient fault-tolerant mechanism
   for distributed file cache consistency, SOSP 1989.
"""

import dataclasses
import itertools
import uuid

from hornbeamglade.core import clocks
from hornbeamglade.leases import leaserecords, leasevalues
from hornbeamglade.store import contract, positions

ROW_PREFIX = "leases/"
CLOCK_DRIFT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class _Holding:
    fencing: int
    version: int
    deadline: float
    settled_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Sighting:
    nonce: str
    since: float


class LeaseHolder:
    """One process's hold on one lease; used by one thread, ``may_act`` by any.

    :param table: the platform's table.
    :param clock: only its monotonic time is used.
    :param name: the lease's name, such as the pool's.
    :param holder: unique for each start of a process.
    :param term_s: seconds for which one write holds the lease.
    :param flight_s: the longest from ``may_act`` until an order has taken effect at
        an engine that does not check fencing numbers.

    Examples
    ========

    >>> from hornbeamglade.store import memory
    >>> clock = clocks.ManualClock()
    >>> table = memory.MemoryPlatform(clock)
    >>> first = LeaseHolder(table, clock, "pool-a", "n1", term_s=10.0)
    >>> first.acquire()
    Held(fencing=1)
    >>> clock.advance(10.0)
    >>> first.may_act(margin_s=0.0)
    False
    """

    def __init__(
        self,
        table: contract.Table,
        clock: clocks.Clock,
        name: str,
        holder: str,
        term_s: float,
        flight_s: float = 0.0,
    ) -> None:
        self._table = table
        self._clock = clock
        self._row_key = ROW_PREFIX + name
        self._holder = holder
        self._term_s = term_s
        self._flight_s = flight_s
        self._nonce_prefix = uuid.uuid4().hex
        self._nonce_numbers = itertools.count(1)
        self._holding: _Holding | None = None
        self._sighting: _Sighting | None = None
        self._sent_at_by_nonce: dict[str, float] = {}

    @property
    def fencing(self) -> int | None:
        """The number to send with each order, or None when nothing is held."""
        holding = self._holding
        return None if holding is None else holding.fencing

    def may_act(self, margin_s: float, engine_checks_fencing: bool = True) -> bool:
        """Return whether an order may be sent now; to be asked right before each.

        A holder that was paused past its term sees it here, on its own clock.

        :param margin_s: seconds that sending may take; the lease is let go so
            much earlier.
        :param engine_checks_fencing: whether the engine refuses old numbers. If
            not, orders of the previous holder must have had time to arrive.
        """
        holding = self._holding
        if holding is None:
            return False
        now = self._clock.now()
        if now + margin_s >= holding.deadline:
            return False
        return engine_checks_fencing or now >= holding.settled_at

    def acquire(self) -> leasevalues.LeaseOutcome:
        """Take the lease if it is free or has lapsed; to be called again and again."""
        if self._holding is not None:
            return self.renew()
        return self._acquire_from(self._table.read(self._row_key))

    def renew(self) -> leasevalues.LeaseOutcome:
        """Hold the lease for another term; the fencing number stays."""
        if self._holding is None:
            return self.acquire()
        return self._write(self._holding.fencing, self._holding.version)

    def release(self) -> bool:
        """Give the lease up; return whether the table knows it.

        The holder stops before the write is sent. If the write is lost, the
        lease lapses after its term.
        """
        holding, self._holding = self._holding, None
        # A late release may yet take effect and let another holder in at once. So
        # the writes before it no longer count as a hold, should this process
        # read its own row back.
        self._sent_at_by_nonce.clear()
        if holding is None:
            return True
        record = self._record(holding.fencing, released=True)
        return isinstance(self._transact(record, holding.version), contract.Committed)

    def _acquire_from(self, read: contract.ReadOutcome) -> leasevalues.LeaseOutcome:
        if isinstance(read, contract.Unavailable):
            return leasevalues.LeaseUnavailable(read.reason)
        if isinstance(read, contract.Missing):
            return self._write(1, 0)
        record = leaserecords.LeaseRecord.parse(read.row.value)
        if record is None:
            return leasevalues.LeaseUnavailable("the lease's row cannot be read")
        if record.nonce in self._sent_at_by_nonce:
            return self._adopt(record, read.row.version)
        wait_s = 0.0 if record.released else self._remaining_s(record)
        if wait_s > 0:
            return leasevalues.HeldElsewhere(record.holder, wait_s)
        return self._write(_next_fencing(record, read.row.version), read.row.version)

    def _remaining_s(self, record: leaserecords.LeaseRecord) -> float:
        # Counted from after the read: the holder's own count began before its
        # write, and so before this.
        now = self._clock.now()
        if self._sighting is None or self._sighting.nonce != record.nonce:
            self._sighting = _Sighting(record.nonce, now)
        lapses_at = self._sighting.since + record.term_s * (1 + CLOCK_DRIFT)
        return lapses_at - now

    def _write(self, fencing: int, version: int) -> leasevalues.LeaseOutcome:
        record = self._record(fencing)
        self._forget_before(self._clock.now() - self._term_s)
        # Before the write is sent: a pause while it is under way counts.
        self._sent_at_by_nonce[record.nonce] = self._clock.now()
        outcome = self._transact(record, version)
        if isinstance(outcome, contract.Committed):
            return self._adopt(record, outcome.version_by_key[self._row_key])
        if isinstance(outcome, contract.Unavailable):
            del self._sent_at_by_nonce[record.nonce]
            return leasevalues.LeaseUnavailable(outcome.reason)
        return self._read_back()

    def _read_back(self) -> leasevalues.LeaseOutcome:
        read = self._table.read(self._row_key)
        if isinstance(read, contract.Unavailable):
            return leasevalues.LeaseUnavailable(read.reason)
        record = None
        if isinstance(read, contract.Found):
            record = leaserecords.LeaseRecord.parse(read.row.value)
        if record is None:
            self._holding = None
            return leasevalues.LeaseUnavailable("the lease's row cannot be read")
        if record.nonce in self._sent_at_by_nonce:
            return self._adopt(record, read.row.version)
        self._holding = None
        return leasevalues.HeldElsewhere(record.holder, max(0.0, self._remaining_s(record)))

    def _adopt(self, record: leaserecords.LeaseRecord, version: int) -> leasevalues.LeaseOutcome:
        """Hold the lease by a write of this process that stands in the row."""
        sent_at = self._sent_at_by_nonce[record.nonce]
        holding = self._holding
        if holding is not None and holding.fencing == record.fencing:
            settled_at = holding.settled_at
        else:
            settled_at = self._clock.now() + self._flight_s
        deadline = sent_at + self._term_s
        self._holding = _Holding(record.fencing, version, deadline, settled_at)
        self._forget_before(sent_at)
        if self._clock.now() >= deadline:
            return leasevalues.LeaseUnavailable("the write took longer than the term")
        return leasevalues.Held(record.fencing)

    def _forget_before(self, sent_at: float) -> None:
        """Forget the writes that can no longer stand in the row; later ones still may."""
        self._sent_at_by_nonce = {
            nonce: other for nonce, other in self._sent_at_by_nonce.items() if other >= sent_at
        }

    def _record(self, fencing: int, released: bool = False) -> leaserecords.LeaseRecord:
        return leaserecords.LeaseRecord(
            holder=self._holder,
            fencing=fencing,
            nonce=f"{self._nonce_prefix}/{next(self._nonce_numbers)}",
            term_s=self._term_s,
            released=released,
        )

    def _transact(self, record: leaserecords.LeaseRecord, version: int) -> contract.WriteOutcome:
        condition = contract.Condition(self._row_key, version)
        write = contract.Put(self._row_key, record.text())
        return self._table.transact((condition,), (write,))


def _next_fencing(record: leaserecords.LeaseRecord, version: int) -> int:
    """Return a number above those of all holders so far.

    :param version: of the row, as it was read.
    """
    return max(record.fencing, positions.position(positions.era(version), 0)) + 1
