"""A lease with a fencing number, stored in the platform's table.

Explanation
===========

The right to send orders to a pool's engines is a lease [1]_: one row, changed only by
compare-and-set. Clocks of different nodes are never compared:

- the holder measures the term on its own monotonic clock from *before* the write
  is sent, so its lease ends no later than any other node assumes;
- a contender measures the term from *after* it first read the row in its newest
  version, extended by the maximum clock drift.

A write that got no response is recognized by its nonce when the row is read, and its term
starts when it was sent. A late write cannot take effect once the row has another version.

Fencing numbers grow with each acquisition, even if the store was restored from an older copy
of the row: the numbers of an era are above those of all earlier eras. Engines that check them
reject a former holder. For engines that do not check them, a new holder waits for the maximum
flight time of an order before it sends its first one. The remaining risk there is an order
whose sending is paused, between ``may_act`` and the socket, for longer than the margin.

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
    previous_orders_done_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    nonce: str
    first_seen_at: float


class LeaseHolder:
    """One process's hold on one lease; for one thread, except ``may_act``.

    :param table: the platform's table.
    :param clock: only its monotonic time is used.
    :param name: the lease's name, such as the pool's.
    :param holder: unique for each start of a process.
    :param term_s: seconds for which one write holds the lease.
    :param flight_s: maximum time from ``may_act`` until an order has taken effect at an
        engine that does not check fencing numbers.

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
        self._observation: _Observation | None = None
        self._sent_at_by_nonce: dict[str, float] = {}

    @property
    def fencing(self) -> int | None:
        """The number to send with each order, or None if the lease is not held."""
        holding = self._holding
        return None if holding is None else holding.fencing

    def may_act(self, margin_s: float, engine_checks_fencing: bool = True) -> bool:
        """Return whether an order may be sent now; to be called right before each order.

        A holder that was paused past its term detects that here, by its own clock.

        :param margin_s: seconds that sending may take; the lease counts as expired that much
            earlier.
        :param engine_checks_fencing: whether the engine rejects older numbers. If it does
            not, orders of the previous holder must have had time to arrive.
        """
        holding = self._holding
        if holding is None:
            return False
        now = self._clock.now()
        if now + margin_s >= holding.deadline:
            return False
        return engine_checks_fencing or now >= holding.previous_orders_done_at

    def acquire(self) -> leasevalues.LeaseOutcome:
        """Acquire the lease if it is free or has expired; to be called repeatedly."""
        if self._holding is not None:
            return self.renew()
        return self._acquire_from(self._table.read(self._row_key))

    def renew(self) -> leasevalues.LeaseOutcome:
        """Hold the lease for another term; the fencing number stays the same."""
        if self._holding is None:
            return self.acquire()
        return self._write(self._holding.fencing, self._holding.version)

    def release(self) -> bool:
        """Release the lease; return whether the table has confirmed it.

        The holder stops acting before the write is sent. If the write is lost, the lease
        expires after its term.
        """
        holding, self._holding = self._holding, None
        # A late release may still take effect and let another holder acquire the lease at
        # once. So if this process reads its own row back, its earlier writes no longer count
        # as holding the lease.
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
            return self._confirm(record, read.row.version)
        wait_s = 0.0 if record.released else self._remaining_s(record)
        if wait_s > 0:
            return leasevalues.HeldElsewhere(record.holder, wait_s)
        return self._write(_next_fencing(record, read.row.version), read.row.version)

    def _remaining_s(self, record: leaserecords.LeaseRecord) -> float:
        # Measured from after the read: the holder's own term began before its write, and so
        # before this.
        now = self._clock.now()
        if self._observation is None or self._observation.nonce != record.nonce:
            self._observation = _Observation(record.nonce, now)
        expires_at = self._observation.first_seen_at + record.term_s * (1 + CLOCK_DRIFT)
        return expires_at - now

    def _write(self, fencing: int, version: int) -> leasevalues.LeaseOutcome:
        record = self._record(fencing)
        self._discard_before(self._clock.now() - self._term_s)
        # Taken before the write is sent, so that a pause while it is in flight counts.
        self._sent_at_by_nonce[record.nonce] = self._clock.now()
        outcome = self._transact(record, version)
        if isinstance(outcome, contract.Committed):
            return self._confirm(record, outcome.version_by_key[self._row_key])
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
            return self._confirm(record, read.row.version)
        self._holding = None
        return leasevalues.HeldElsewhere(record.holder, max(0.0, self._remaining_s(record)))

    def _confirm(self, record: leaserecords.LeaseRecord, version: int) -> leasevalues.LeaseOutcome:
        """Hold the lease by a write of this process that is present in the row."""
        sent_at = self._sent_at_by_nonce[record.nonce]
        holding = self._holding
        if holding is not None and holding.fencing == record.fencing:
            previous_orders_done_at = holding.previous_orders_done_at
        else:
            previous_orders_done_at = self._clock.now() + self._flight_s
        deadline = sent_at + self._term_s
        self._holding = _Holding(record.fencing, version, deadline, previous_orders_done_at)
        self._discard_before(sent_at)
        if self._clock.now() >= deadline:
            return leasevalues.LeaseUnavailable("the write took longer than the term")
        return leasevalues.Held(record.fencing)

    def _discard_before(self, sent_at: float) -> None:
        """Discard the writes that can no longer be in the row, keeping later ones."""
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

    :param version: the row's version when it was read.
    """
    return max(record.fencing, positions.position(positions.era(version), 0)) + 1
