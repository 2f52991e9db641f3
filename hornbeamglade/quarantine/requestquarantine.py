"""Which requests an instance refuses since they crash the replicas that run them.

Explanation
===========

A request that crashes its replica comes again under another id, at any instance. Instances
therefore share what they see:

1. Whoever loses a run to a crash reports its fingerprint and the replica to the request's
   *homes*: the :data:`HOMES` live instances that rendezvous hashing prefers for it. Evidence on
   one request so adds up in one place, at a cost that does not grow with the instances.
2. A home that counts :data:`CRASHES <hornbeamglade.quarantine.crashledger.CRASHES>` crashes
   tells all instances, which refuse the request from then on. Few requests come so far, so this
   may be sent to everyone.
3. Heartbeats carry a digest of what their sender refuses. Where it differs from the
   recipient's, the recipient sends what it has. So an instance that starts, or returns after
   having been cut off, learns of it with the first heartbeats.

Every instance also counts what it sees itself, and acts on it without the homes.

What is refused is also kept in the store, in the table of the instances, which each reads at its
start and now and then. So it outlives a loss of all instances, and reaches one that is cut off
from the others only. Whoever counts the third crash writes a row; the first home restores a row
that is missing when it reads the table, and removes one whose time is over.

Weighed against *counting at each instance alone*: with ``n`` instances ``n`` times as many
replicas are lost. Against *telling all instances of each lost run*: a crash ends dozens of them,
nearly all innocent. Against *a row in the store for each*: the store may be away, and each
instance would have to follow another table.

A request that was run to its end within the last minute is not reported, and not refused where
that was seen.
"""

import collections.abc
import functools
import threading
import typing

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import messages
from hornbeamglade.membership import rendezvous
from hornbeamglade.observability import logs
from hornbeamglade.quarantine import (
    completions,
    crashledger,
    fingerprints,
    lostruns,
    quarantinelist,
    quarantinerows,
    retransmissions,
)
from hornbeamglade.store import contract

HOMES = 3
"""Some may be cut off, or die with what they have counted."""

QUARANTINED = "request_quarantined"
PAGE_EVERY_S = 1.0
MILLISECONDS = 1000

MOST_STORED = 400
"""Rows of requests in the store; a list of nodes with them is still one answer."""

OWN = "own"
PEER = "peer"
STORE = "store"

Names = collections.abc.Callable[[], collections.abc.Collection[str]]
Send = collections.abc.Callable[[str, messages.Message], None]
Write = collections.abc.Callable[[contract.Put | contract.Delete], None]


_Method = typing.TypeVar("_Method", bound=collections.abc.Callable[..., typing.Any])


def _locked(method: _Method) -> _Method:
    """Let one thread at a time into any method that is so marked."""

    @functools.wraps(method)
    def locked(self: "RequestQuarantine", *arguments: typing.Any) -> typing.Any:
        with self._lock:
            return method(self, *arguments)

    return typing.cast(_Method, locked)


class RequestQuarantine:
    """One instance's part; safe to use from several threads.

    :param name: this instance's name.
    :param live: returns the names of the instances that live.
    :param present: returns the names of those that may take callers, the suspected and
        the leaving ones included.
    :param send: sends a message to an instance.
    :param clock: monotonic and wall time.

    :meth:`set_store_writer` has it write to the store.
    """

    def __init__(
        self, name: str, live: Names, present: Names, send: Send, clock: clocks.Clock
    ) -> None:
        self._lock = threading.RLock()
        self._name = name
        self._live = live
        self._present = present
        self._send = send
        self._clock = clock
        self._write: Write | None = None
        self._stored_count = 0
        self._ledger = crashledger.CrashLedger()
        self._held = quarantinelist.QuarantineList()
        self._completions = completions.Completions()
        self._reports = retransmissions.Retransmissions()
        self._notices = retransmissions.Retransmissions()
        self._page_sent_at_by_node: dict[str, float] = {}

    def set_store_writer(self, write: Write) -> None:
        """Take what writes to the store."""
        self._write = write

    @_locked
    def refusal(self, fingerprint: int) -> outcomes.Refusal | None:
        """Return the refusal of a request that is not run any more, or None."""
        now = self._clock.now()
        left_s = self._held.left_s(fingerprint, now)
        if left_s <= 0.0 or self._completions.has(fingerprint, now):
            return None
        detail = "each server that ran this request has crashed; it is not run again"
        return outcomes.Refusal(QUARANTINED, 503, detail, retry_after_s=left_s, is_lasting=True)

    @_locked
    def completed(self, fingerprint: int) -> None:
        """Take note that a request was run to its end."""
        self._completions.add(fingerprint, self._clock.now())
        self._ledger.clear(fingerprint)

    @_locked
    def crashed(self, replica_id: str, lost: collections.abc.Iterable[lostruns.LostRun]) -> None:
        """Take the runs that ended with a crash of their replica."""
        now = self._clock.now()
        replica = messages.key_hash(replica_id)
        for run in lost:
            fingerprint = run.fingerprint
            crash = crashledger.Crash(replica, run.began_at, run.ended_at)
            is_innocent = self._completions.has(fingerprint, now)
            count = 0 if is_innocent else self._count(fingerprint, (crash,), now)
            logs.state_changed(
                "run",
                "running",
                "crashed",
                replica=replica_id,
                fingerprint=fingerprints.to_hex(fingerprint),
                count=count,
            )
            if not is_innocent:
                self._reports.add(fingerprint, now)
        self.tick()

    @_locked
    def on_report(self, sender: str, report: messages.CrashReport) -> None:
        """Take evidence that another instance has seen."""
        now = self._clock.now()
        known = []
        for told in report.crashes:
            if self._held.left_s(told.fingerprint, now):
                known.append(told.fingerprint)
                continue
            at = now - told.age_ms / MILLISECONDS
            crash = crashledger.Crash(told.replica, at - told.ran_ms / MILLISECONDS, at)
            self._count(told.fingerprint, (crash,), now)
        if known:
            self._send(sender, self._notice(known, now))
        self.tick()

    @_locked
    def on_notice(self, notice: messages.QuarantineNotice) -> None:
        """Take requests that another instance refuses."""
        now = self._clock.now()
        for told in notice.requests:
            self._hold(quarantinelist.Entry(told.fingerprint, now + told.left_s), PEER, now)

    @_locked
    def on_rows(self, rows: tuple[contract.Row, ...]) -> None:
        """Take the instances' table as it was read from the store."""
        now, wall = self._clock.now(), self._clock.wall()
        stored = quarantinerows.decode(rows)
        self._stored_count = len(stored)
        for request in stored:
            left_s = min(request.until - wall, quarantinelist.LASTS_S)
            self._hold(quarantinelist.Entry(request.fingerprint, now + left_s), STORE, now)
            if left_s <= 0.0 and self._is_first_home(request.fingerprint):
                self._write_row(contract.Delete(quarantinerows.key(request.fingerprint)))
        known = {request.fingerprint for request in stored}
        for entry in self._held.entries():
            if entry.fingerprint not in known and self._is_first_home(entry.fingerprint):
                self._store(entry, now)

    @_locked
    def on_digest(self, sender: str, digest: int) -> None:
        """Send what is refused here to an instance that refuses something else."""
        now = self._clock.now()
        sent_at = self._page_sent_at_by_node.get(sender, float("-inf"))
        if digest == self._held.digest or not len(self._held) or now - sent_at < PAGE_EVERY_S:
            return
        self._page_sent_at_by_node[sender] = now
        page = [entry.fingerprint for entry in self._held.page(messages.MAX_QUARANTINED)]
        self._send(sender, self._notice(page, now))

    @property
    def digest(self) -> int:
        """Of the requests that are refused here, for heartbeats."""
        return self._held.digest

    @property
    def quarantined_count(self) -> int:
        """How many requests are refused here."""
        return len(self._held)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is to be sent within a tick."""
        return self._reports.is_empty and self._notices.is_empty

    @_locked
    def tick(self) -> None:
        """Send what is due."""
        if self.is_idle:
            return
        now = self._clock.now()
        self._send_reports(now)
        due = self._notices.due(now, messages.MAX_QUARANTINED)
        if due:
            notice = self._notice(due, now)
            for node in self._present():
                if node != self._name:
                    self._send(node, notice)

    @_locked
    def expire(self) -> None:
        """Forget what is over; every second or so."""
        for fingerprint in self._held.forget_ended(self._clock.now()):
            self._ledger.clear(fingerprint)
            logs.state_changed(
                "request", "quarantined", "allowed", fingerprint=fingerprints.to_hex(fingerprint)
            )
        present = set(self._present())
        for node in self._page_sent_at_by_node.keys() - present:
            del self._page_sent_at_by_node[node]

    def _count(
        self, fingerprint: int, crashes: collections.abc.Iterable[crashledger.Crash], now: float
    ) -> int:
        """Add evidence up; refuse the request once there is enough."""
        count = self._ledger.add(fingerprint, crashes, now)
        if count >= crashledger.CRASHES:
            entry = quarantinelist.Entry(fingerprint, now + quarantinelist.LASTS_S)
            if self._hold(entry, OWN, now):
                self._notices.add(fingerprint, now)
                self._store(entry, now)
        return count

    def _hold(self, entry: quarantinelist.Entry, source: str, now: float) -> bool:
        is_new = self._held.add(entry, now)
        if is_new:
            logs.state_changed(
                "request",
                "allowed",
                "quarantined",
                fingerprint=fingerprints.to_hex(entry.fingerprint),
                source=source,
                seconds=round(entry.ends_at - now, 1),
            )
        return is_new

    def _is_first_home(self, fingerprint: int) -> bool:
        return self._homes(fingerprint)[0] == self._name

    def _homes(self, fingerprint: int) -> list[str]:
        nodes = {*self._live(), self._name}
        return rendezvous.best(fingerprints.to_hex(fingerprint), nodes, HOMES)

    def _store(self, entry: quarantinelist.Entry, now: float) -> None:
        """Have a request kept in the store, unless there are too many."""
        if self._stored_count < MOST_STORED and entry.ends_at > now:
            self._stored_count += 1
            until = self._clock.wall() + entry.ends_at - now
            self._write_row(
                quarantinerows.put(quarantinerows.StoredRequest(entry.fingerprint, until))
            )

    def _write_row(self, write: contract.Put | contract.Delete) -> None:
        if self._write is not None:
            self._write(write)

    def _send_reports(self, now: float) -> None:
        """Send the evidence that is due to the homes of its requests."""
        crashes_by_home: dict[str, list[messages.ReportedCrash]] = {}
        for fingerprint in self._reports.due(now, messages.MAX_REPORTED_CRASHES):
            told = [
                messages.ReportedCrash(
                    fingerprint,
                    crash.replica,
                    int((now - crash.at) * MILLISECONDS),
                    int((crash.at - crash.began_at) * MILLISECONDS),
                )
                for crash in self._ledger.crashes(fingerprint)
            ]
            for home in self._homes(fingerprint):
                if home != self._name:
                    crashes_by_home.setdefault(home, []).extend(told)
        size = messages.MAX_REPORTED_CRASHES
        for home, crashes in crashes_by_home.items():
            for start in range(0, len(crashes), size):
                self._send(home, messages.CrashReport(tuple(crashes[start : start + size])))

    def _notice(
        self, listed: collections.abc.Iterable[int], now: float
    ) -> messages.QuarantineNotice:
        return messages.QuarantineNotice(
            tuple(
                messages.QuarantinedRequest(each, int(self._held.left_s(each, now)))
                for each in listed
            )
        )
