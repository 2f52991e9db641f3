"""Reads the load of the replicas that this node owns, each second.

Explanation
===========

Only the owner polls a replica; other nodes receive its load in the owner's heartbeats.
A replica that does not answer is still polled, and a late answer does no harm:
reads run in a small thread pool, at most one per replica, so that one stalled
connection does not delay the reports of other replicas.
"""

import concurrent.futures
import threading
from collections.abc import Callable

from hornbeamglade.admission import tokenledger
from hornbeamglade.backends import loadreports
from hornbeamglade.core import clocks
from hornbeamglade.grants import schedulerset
from hornbeamglade.node import replicacatalog
from hornbeamglade.routing import prefixes

READ_TIMEOUT_S = 1.0
READERS = 8


class LoadPoller:
    """Polls owned replicas.

    :param clock: monotonic time.
    :param catalog: receives the reports.
    :param schedulers: receive the reports of engines.
    :param owned: returns the replicas that this node owns now.
    :param failed: called with an error that occurs while a report is applied.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        catalog: replicacatalog.ReplicaCatalog,
        schedulers: schedulerset.SchedulerSet,
        owned: Callable[[], frozenset[str]],
        failed: Callable[[Exception, str], None],
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._schedulers = schedulers
        self._owned = owned
        self._failed = failed
        self._lock = threading.Lock()
        self._reader_by_address: dict[str, loadreports.ReportReader] = {}
        self._active_reads: set[str] = set()
        self._pool = concurrent.futures.ThreadPoolExecutor(READERS, "load-reader")

    def poll(self) -> None:
        """Start reading every owned replica that is not being read already."""
        for name in self._owned():
            known = self._catalog.known_by_name.get(name)
            if known is not None and self._begin_read(name):
                self._pool.submit(self._read, known)

    def stop(self) -> None:
        """Stop reading."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _begin_read(self, name: str) -> bool:
        with self._lock:
            if name in self._active_reads:
                return False
            self._active_reads.add(name)
            return True

    def _read(self, known: replicacatalog.KnownReplica) -> None:
        try:
            reader = self._reader(known.replica.address)
            report = reader.load()
            if isinstance(report, loadreports.LoadReport):
                self._apply_report(known, report, reader)
        except Exception as error:  # noqa: BLE001
            # Without this, an error would be lost in the pool's future and the replica
            # would appear unresponsive forever.
            self._failed(error, known.name)
        finally:
            with self._lock:
                self._active_reads.discard(known.name)

    def _apply_report(
        self,
        known: replicacatalog.KnownReplica,
        report: loadreports.LoadReport,
        reader: loadreports.ReportReader,
    ) -> None:
        self._catalog.reported(known.name, report)
        if known.replica.memory_tokens is None:
            return
        leaving = report.leaving or self._catalog.is_closed(known.name)
        view = tokenledger.LoadView(
            report.sequence,
            report.age_s,
            report.capacity_tokens,
            report.used_tokens,
            report.preemptions,
        )
        self._schedulers.apply(
            known.name, lambda scheduler, now: scheduler.apply_report(view, leaving, now)
        )
        if leaving:
            self._schedulers.drain(known.name)
        self._read_events(known.name, reader)

    def _read_events(self, name: str, reader: loadreports.ReportReader) -> None:
        events = reader.cache_events(self._catalog.prefix_sequence(name))
        if isinstance(events, loadreports.CacheEvents):
            self._catalog.cache_events(name, [_event(each) for each in events.events])

    def _reader(self, address: str) -> loadreports.ReportReader:
        with self._lock:
            reader = self._reader_by_address.get(address)
            if reader is None:
                reader = loadreports.ReportReader(address, READ_TIMEOUT_S, self._clock)
                self._reader_by_address[address] = reader
            return reader


def _event(event: loadreports.CacheEvent) -> prefixes.CacheEvent:
    return prefixes.CacheEvent(event.sequence, prefixes.CacheEventKind(event.kind), event.block)
