"""Refusal of requests that crash the replicas that run them.

Explanation
===========

A request that crashes its replica is retried with another id, at any instance. Instances
therefore share their observations:

1. An instance that loses a run in a crash reports the fingerprint of the request and the replica
   to the request's *home instances*: the :data:`HOME_COUNT` live instances with the highest
   scores for it by rendezvous hashing. The evidence on a request is thus collected in one place,
   at a cost that does not grow with the number of instances.
2. A home instance that counts
   :data:`CRASH_THRESHOLD <hornbeamglade.quarantine.crashledger.CRASH_THRESHOLD>` crashes notifies
   all instances, which refuse the request from then on. Few requests reach this number, so the
   notice can be sent to all.
3. Heartbeats contain a digest of the requests that their sender refuses. If it differs from that
   of the recipient, the recipient sends its entries. An instance that starts, or is reachable
   again after a partition, learns of the refused requests with the first heartbeats.

Every instance also counts the crashes that it observes itself, and acts on them without the home
instances.

The refused requests are also stored in the table of the instances in the store, which each
instance reads when it starts and periodically. They therefore outlive a full outage, and reach an
instance that is partitioned only from the other instances. An instance that counts the third
crash writes a row. The first home instance restores a missing row when it reads the table, and
deletes an expired one.

Alternatives considered: *counting at each instance alone* (with ``n`` instances, ``n`` times as
many replicas are lost); *notifying all instances of each lost run* (a crash ends dozens of runs,
nearly all of which did not cause it); *a row in the store for each lost run* (the store may be
unavailable, and each instance would have to follow another table).

A request that was completed within the last minute is not reported, and is not refused by an
instance that observed its completion.
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

HOME_COUNT = 3
"""More than one, since a home instance may be partitioned, or fail and lose its counts."""

QUARANTINED = "request_quarantined"
PART_QUARANTINED = "prompt_part_quarantined"
PAGE_INTERVAL_S = 1.0
MILLISECONDS = 1000

MAX_STORED_ROWS = 400
"""The maximum number of rows of requests in the store, with which the list of nodes still fits
into one response."""

OWN = "own"
PEER = "peer"
STORE = "store"

Names = collections.abc.Callable[[], collections.abc.Collection[str]]
Send = collections.abc.Callable[[str, messages.Message], None]
Write = collections.abc.Callable[[contract.Put | contract.Delete], None]


_Method = typing.TypeVar("_Method", bound=collections.abc.Callable[..., typing.Any])


def _locked(method: _Method) -> _Method:
    """Decorate a method to run while holding the lock of its object."""

    @functools.wraps(method)
    def locked(self: "RequestQuarantine", *arguments: typing.Any) -> typing.Any:
        with self._lock:
            return method(self, *arguments)

    return typing.cast(_Method, locked)


class RequestQuarantine:
    """The quarantine of requests at one instance; thread-safe.

    :param name: this instance's name.
    :param live: returns the names of the live instances.
    :param present: returns the names of the instances that may serve callers, including
        suspected and leaving ones.
    :param send: sends a message to an instance.
    :param clock: monotonic and wall-clock time.

    Rows are written to the store only after :meth:`set_store_writer`.
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
        self._store_writer: Write | None = None
        self._stored_count = 0
        self._evidence = crashledger.CrashLedger()
        self._entries = quarantinelist.QuarantineList()
        self._completions = completions.Completions()
        self._reports = retransmissions.Retransmissions()
        self._notices = retransmissions.Retransmissions()
        self._page_sent_at_by_node: dict[str, float] = {}

    def set_store_writer(self, write: Write) -> None:
        """Set the function that writes rows to the store."""
        self._store_writer = write

    @_locked
    def refusal(
        self, fingerprint: int, prompt: lostruns.PromptParts | None = None
    ) -> outcomes.Refusal | None:
        """Return the refusal of a request in quarantine, or None.

        :param prompt: the parts of its prompt, or None if they are not known.
        """
        if not len(self._entries):
            return None
        now = self._clock.now()
        if prompt is not None:
            remaining_s = max(
                (self._entries.remaining_s(each, now) for each in prompt.refusal_keys()),
                default=0.0,
            )
            if remaining_s > 0.0:
                detail = "each server that began to answer on a part of this prompt has crashed"
                return outcomes.Refusal(
                    PART_QUARANTINED, 503, detail, retry_after_s=remaining_s, is_lasting=True
                )
        remaining_s = self._entries.remaining_s(fingerprint, now)
        if remaining_s <= 0.0 or self._completions.has(fingerprint, now):
            return None
        detail = "each server that ran this request has crashed; it is not run again"
        return outcomes.Refusal(
            QUARANTINED, 503, detail, retry_after_s=remaining_s, is_lasting=True
        )

    @_locked
    def completed(self, fingerprint: int) -> None:
        """Record that a request was completed."""
        self._completions.add(fingerprint, self._clock.now())
        self._evidence.clear(fingerprint)

    @_locked
    def crashed(self, replica_id: str, lost: collections.abc.Iterable[lostruns.LostRun]) -> None:
        """Record the runs that ended with a crash of their replica."""
        now = self._clock.now()
        replica = messages.key_hash(replica_id)
        for run in lost:
            fingerprint = run.fingerprint
            crash = crashledger.Crash(replica, run.sent_at, run.ended_at)
            was_completed = self._completions.has(fingerprint, now)
            count = 0 if was_completed else self._count(fingerprint, (crash,), now)
            logs.state_changed(
                "run",
                "running",
                "crashed",
                replica=replica_id,
                fingerprint=fingerprints.to_hex(fingerprint),
                count=count,
            )
            if not was_completed:
                self._reports.add(fingerprint, now)
        self.tick()

    @_locked
    def on_report(self, sender: str, report: messages.CrashReport) -> None:
        """Process evidence from another instance."""
        now = self._clock.now()
        known = []
        for reported in report.crashes:
            if self._entries.remaining_s(reported.fingerprint, now):
                known.append(reported.fingerprint)
                continue
            at = now - reported.age_ms / MILLISECONDS
            crash = crashledger.Crash(reported.replica, at - reported.ran_ms / MILLISECONDS, at)
            self._count(reported.fingerprint, (crash,), now)
        if known:
            self._send(sender, self._notice(known, now))
        self.tick()

    @_locked
    def on_notice(self, notice: messages.QuarantineNotice) -> None:
        """Add requests that another instance refuses."""
        now = self._clock.now()
        for request in notice.requests:
            ends_at = now + request.left_s
            entry = quarantinelist.Entry(request.fingerprint, ends_at, request.is_part)
            self._quarantine(entry, PEER, now)

    @_locked
    def on_rows(self, rows: tuple[contract.Row, ...]) -> None:
        """Process the instances' table as read from the store."""
        now, wall = self._clock.now(), self._clock.wall()
        stored = quarantinerows.decode(rows)
        self._stored_count = len(stored)
        for request in stored:
            remaining_s = min(request.until - wall, quarantinelist.DURATION_S)
            ends_at = now + remaining_s
            entry = quarantinelist.Entry(request.fingerprint, ends_at, request.is_part)
            self._quarantine(entry, STORE, now)
            if remaining_s <= 0.0 and self._is_first_home(request.fingerprint):
                self._write_row(contract.Delete(quarantinerows.key(request.fingerprint)))
        known = {request.fingerprint for request in stored}
        for entry in self._entries.entries():
            if entry.fingerprint not in known and self._is_first_home(entry.fingerprint):
                self._store(entry, now)

    @_locked
    def on_digest(self, sender: str, digest: int) -> None:
        """Send the entries of this instance to one whose digest differs."""
        now = self._clock.now()
        sent_at = self._page_sent_at_by_node.get(sender, float("-inf"))
        if (
            digest == self._entries.digest
            or not len(self._entries)
            or now - sent_at < PAGE_INTERVAL_S
        ):
            return
        self._page_sent_at_by_node[sender] = now
        page = [entry.fingerprint for entry in self._entries.page(messages.MAX_QUARANTINED)]
        self._send(sender, self._notice(page, now))

    @_locked
    def refuse_part(self, key: int, part: int, count: int) -> None:
        """Refuse the requests whose prompts contain a part, here and at all instances.

        :param key: the key of the refusal.
        :param part: hash of the part, for the log.
        :param count: how many crashes count against the part, for the log.
        """
        now = self._clock.now()
        entry = quarantinelist.Entry(key, now + quarantinelist.DURATION_S, is_part=True)
        if self._begin(entry, now, count):
            logs.state_changed(
                "prompt_part",
                "suspected",
                "found",
                fingerprint=fingerprints.to_hex(key),
                part=fingerprints.to_hex(part),
                count=count,
            )
        self.tick()

    @property
    def quarantined_part_count(self) -> int:
        """How many of the entries are parts of prompts."""
        return sum(entry.is_part for entry in self._entries.entries())

    @property
    def digest(self) -> int:
        """The digest of the requests refused here, for heartbeats."""
        return self._entries.digest

    @property
    def quarantined_count(self) -> int:
        """How many requests are refused here."""
        return len(self._entries)

    @property
    def is_idle(self) -> bool:
        """Whether no message is pending."""
        return self._reports.is_empty and self._notices.is_empty

    @_locked
    def tick(self) -> None:
        """Send the messages that are due."""
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
        """Remove expired entries; to be called about every second."""
        for entry in self._entries.forget_ended(self._clock.now()):
            self._evidence.clear(entry.fingerprint)
            logs.state_changed(
                _subject(entry),
                "quarantined",
                "allowed",
                fingerprint=fingerprints.to_hex(entry.fingerprint),
            )
        present = set(self._present())
        for node in self._page_sent_at_by_node.keys() - present:
            del self._page_sent_at_by_node[node]

    def _count(
        self, fingerprint: int, crashes: collections.abc.Iterable[crashledger.Crash], now: float
    ) -> int:
        """Add evidence; quarantine the request if it reaches the threshold."""
        count = self._evidence.add(fingerprint, crashes, now)
        if count >= crashledger.CRASH_THRESHOLD:
            entry = quarantinelist.Entry(fingerprint, now + quarantinelist.DURATION_S)
            self._begin(entry, now, count)
        return count

    def _begin(self, entry: quarantinelist.Entry, now: float, count: int) -> bool:
        """Add an entry that this instance has found; announce it and return whether it is new."""
        is_new = self._quarantine(entry, OWN, now, count)
        if is_new:
            self._notices.add(entry.fingerprint, now)
            self._store(entry, now)
        return is_new

    def _quarantine(
        self, entry: quarantinelist.Entry, source: str, now: float, count: int | None = None
    ) -> bool:
        is_new = self._entries.add(entry, now)
        if is_new:
            logs.state_changed(
                _subject(entry),
                "allowed",
                "quarantined",
                fingerprint=fingerprints.to_hex(entry.fingerprint),
                source=source,
                seconds=round(entry.ends_at - now, 1),
                count=count,
            )
        return is_new

    def _is_first_home(self, fingerprint: int) -> bool:
        return self._homes(fingerprint)[0] == self._name

    def _homes(self, fingerprint: int) -> list[str]:
        nodes = {*self._live(), self._name}
        return rendezvous.best(fingerprints.to_hex(fingerprint), nodes, HOME_COUNT)

    def _store(self, entry: quarantinelist.Entry, now: float) -> None:
        """Write a request to the store, unless there are too many rows."""
        if self._stored_count < MAX_STORED_ROWS and entry.ends_at > now:
            self._stored_count += 1
            until = self._clock.wall() + entry.ends_at - now
            self._write_row(
                quarantinerows.put(
                    quarantinerows.StoredRequest(entry.fingerprint, until, entry.is_part)
                )
            )

    def _write_row(self, write: contract.Put | contract.Delete) -> None:
        if self._store_writer is not None:
            self._store_writer(write)

    def _send_reports(self, now: float) -> None:
        """Send the evidence that is due to the home instances of the requests."""
        crashes_by_home: dict[str, list[messages.ReportedCrash]] = {}
        for fingerprint in self._reports.due(now, messages.MAX_REPORTED_CRASHES):
            reported = [
                messages.ReportedCrash(
                    fingerprint,
                    crash.replica,
                    int((now - crash.at) * MILLISECONDS),
                    int((crash.at - crash.sent_at) * MILLISECONDS),
                )
                for crash in self._evidence.crashes(fingerprint)
            ]
            for home in self._homes(fingerprint):
                if home != self._name:
                    crashes_by_home.setdefault(home, []).extend(reported)
        size = messages.MAX_REPORTED_CRASHES
        for home, crashes in crashes_by_home.items():
            for start in range(0, len(crashes), size):
                self._send(home, messages.CrashReport(tuple(crashes[start : start + size])))

    def _notice(
        self, listed: collections.abc.Iterable[int], now: float
    ) -> messages.QuarantineNotice:
        entries = filter(None, map(self._entries.get, listed))
        return messages.QuarantineNotice(
            tuple(
                messages.QuarantinedRequest(
                    each.fingerprint, int(max(0.0, each.ends_at - now)), each.is_part
                )
                for each in entries
            )
        )


def _subject(entry: quarantinelist.Entry) -> str:
    return "prompt_part" if entry.is_part else "request"
