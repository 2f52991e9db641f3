"""The origins of streams known to one instance, and their exchange with other instances.

Explanation
===========

A caller may take a stream up at any instance; it names the attempt that brought the first event,
and the stream may go on only at replicas of the software version that began it.

While one version is listed, the list of replicas tells which
(:mod:`hornbeamglade.origins.versionhistory`), and nothing is sent. Otherwise:

1. The instance that relays a first event sends the origin of the stream to its *keepers*,
   :data:`KEEPER_COUNT` live instances of other failure domains where there are such, in batches.
   It also does so for the streams that it serves when a second version is first listed, and when
   its keepers change.
2. An instance at which a stream of unknown origin is taken up asks all instances, since any of
   them may be a keeper. Only those that know the origin respond.
3. A stream whose origin remains unknown is refused: it would be continued at a version that was
   guessed.

Alternatives considered: *keepers by the stream's id* (look-ups ask few instances, but no two
streams of an instance have the same keepers, so nothing can be sent in batches: at 360 nodes some
60 datagrams a second instead of 12); *a row in the store for each stream* (thousands of writes a
second, and nothing while the store is unavailable); *the list of replicas alone* (refuses every
stream that is taken up during a release).
"""

import asyncio
import collections.abc
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages
from hornbeamglade.membership import rendezvous
from hornbeamglade.membership import view as membershipview
from hornbeamglade.observability import logs
from hornbeamglade.origins import origintable, versionhistory, versionrows, versions
from hornbeamglade.store import contract

KEEPER_COUNT = 3
WRITER_COUNT = 3
FLUSH_INTERVAL_S = 0.25
LOOKUP_BATCH_S = 0.005
LOOKUP_TIMEOUT_S = 0.15
LOOKUP_REPEAT_S = 0.06
"""A look-up is sent a second time after this, as datagrams may be lost."""

MIN_RETENTION_S = 60.0
RETENTION_TIMEOUTS = 2.0
"""A caller may take a stream up until its time is over, which an operator does not state; routes'
timeouts are at least as long."""

CHANGED_SINCE_S = 5.0
"""A stored time that is earlier by more than this was stored before a change that was missed."""

Members = collections.abc.Callable[[], collections.abc.Collection[membershipview.Member]]
Names = collections.abc.Callable[[], collections.abc.Collection[str]]
Send = collections.abc.Callable[[str, messages.Message], None]
Write = collections.abc.Callable[[contract.Put], None]


def retention_s(timeout_s: float) -> float:
    """Return for how long the origin of a stream is kept.

    :param timeout_s: the timeout of its route.
    """
    return max(MIN_RETENTION_S, RETENTION_TIMEOUTS * timeout_s)


@dataclasses.dataclass(frozen=True, slots=True)
class FoundOrigin:
    """The origin of a stream, and how it is known.

    :param version: key of the version that began it, or None if it is unknown.
    :param source: ``own`` table, ``list`` of replicas, or ``peers``.
    :param sole_for_s: seconds for which the version was the only one, as far as known; None for
        always, or if the list was not used.
    """

    version: int | None
    source: str
    sole_for_s: float | None = None


class StreamOrigins:
    """The origins known to one instance; for its event loop only.

    :param name: this instance's name.
    :param failure_domain: this instance's failure domain.
    :param live: returns the live instances.
    :param present: returns the names of the instances that may respond, including leaving ones.
    :param send: sends a message to an instance.
    :param is_list_current: returns whether this instance would know of a newer list of replicas.
    :param is_first_start: whether the site starts for the first time by its settings, so that no
        stream of a service without a row is older.
    :param clock: monotonic and wall-clock time.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        live: Members,
        present: Names,
        send: Send,
        is_list_current: collections.abc.Callable[[], bool],
        is_first_start: bool,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._live = live
        self._present = present
        self._send = send
        self._is_list_current = is_list_current
        self._is_first_start = is_first_start
        self._has_read_rows = False
        self._stored_services: set[str] = set()
        self._clock = clock
        self._store_writer: Write | None = None
        self._table = origintable.OriginTable()
        self._history = versionhistory.VersionHistory(clock)
        self._name_by_version: dict[int, str] = {}
        self._domain_by_name: dict[str, str] = {}
        self._keepers: tuple[str, ...] = ()
        self._pending: dict[int, None] = {}
        self._flushed_at = clock.now()
        self._lookups_by_stream: dict[int, set[asyncio.Future[int]]] = {}
        self._unsent_lookups: dict[int, None] = {}

    def set_store_writer(self, write: Write) -> None:
        """Set the function that writes rows to the store."""
        self._store_writer = write

    def observe(self, service: str, listed: collections.abc.Iterable[str]) -> None:
        """Process the versions that are listed for a service."""
        names = {versions.version_key(each): each for each in listed}
        self._name_by_version.update(names)
        before = self._history.current(service)
        if self._history.observe(service, frozenset(names)):
            now = self._clock.now()
            served = self._table.of_services(frozenset((service,)), now)
            self._pending.update(dict.fromkeys(served))
        if before is None:
            self._restore_first_version(service)
        after = self._history.current(service)
        if before is not None and after is not None and before.version != after.version:
            logs.state_changed(
                "versions",
                self.version_name(before.version),
                self.version_name(after.version),
                service=service,
                count=len(names),
            )
            self._store(service)

    def began(self, stream: int, version: int, service: str, kept_s: float) -> None:
        """Record that a first event of a stream was relayed.

        :param stream: key of the stream.
        :param version: key of the version, or :data:`UNCERTAIN
            <hornbeamglade.origins.origintable.UNCERTAIN>` to take back what was recorded.
        :param kept_s: seconds for which its caller may take it up.
        """
        now = self._clock.now()
        self._table.put(stream, origintable.Entry(version, service, now + kept_s))
        if self._history.sole_version(service, kept_s) is None:
            self._pending[stream] = None

    async def find(self, stream: int | None, service: str, window_s: float) -> FoundOrigin:
        """Find the version that began a stream.

        :param stream: key of the stream, or None if the caller did not name it.
        :param window_s: the longest time for which the stream may have existed.
        """
        known, source = self._known(stream), "own"
        if known is None:
            sole = self._history.sole_version(service, window_s)
            if sole is not None and self._is_list_current():
                return FoundOrigin(sole, "list", self._history.sole_for_s(service))
            known, source = None if stream is None else await self._look_up(stream), "peers"
        return FoundOrigin(None if known == origintable.UNCERTAIN else known, source)

    def on_records(self, records: messages.OriginRecords) -> None:
        """Store origins that another instance has sent."""
        now = self._clock.now()
        for record in records.origins:
            known = self._table.get(record.stream, now)
            service = "" if known is None else known.service
            entry = origintable.Entry(record.version, service, now + record.kept_s)
            self._table.put(record.stream, entry)
            for lookup in self._lookups_by_stream.get(record.stream, ()):
                if not lookup.done():
                    lookup.set_result(record.version)

    def on_query(self, sender: str, query: messages.OriginQuery) -> None:
        """Send the origins that this instance knows to one that asks for them."""
        now = self._clock.now()
        known = [each for each in query.streams if self._table.get(each, now) is not None]
        if known:
            self._send(sender, self._records(known, now))

    def on_rows(self, rows: tuple[contract.Row, ...]) -> None:
        """Process the instances' table as read from the store."""
        stored_by_service = versionrows.decode(rows)
        self._has_read_rows = True
        self._stored_services |= stored_by_service.keys()
        for service, stored in stored_by_service.items():
            self._history.restore(service, stored)
        for service in tuple(self._history.services):
            self._restore_first_version(service)
        for service in tuple(self._history.services):
            stored = stored_by_service.get(service)
            if self._is_outdated(service, stored):
                self._store(service)

    @property
    def is_idle(self) -> bool:
        """Whether no message is pending."""
        return not self._pending

    @property
    def count(self) -> int:
        """How many origins this instance keeps."""
        return len(self._table)

    def version_name(self, version: int | None) -> str:
        """Return the name of a version that was listed here, for the log."""
        return "-" if version is None else self._name_by_version.get(version, "-")

    def tick(self) -> None:
        """Send what is due."""
        now = self._clock.now()
        if not self._pending or now - self._flushed_at < FLUSH_INTERVAL_S:
            return
        self._flushed_at = now
        self._update_keepers()
        streams = [each for each in self._pending if self._table.get(each, now) is not None]
        self._pending.clear()
        self._send_to_keepers(streams, self._keepers, now)

    def expire(self) -> None:
        """Remove origins that are no longer kept; to be called about every second."""
        self._update_keepers()
        self._table.expire(self._clock.now())

    def _restore_first_version(self, service: str) -> None:
        """Take the first version of a site that starts for the first time for its only one.

        The rows tell whether it does: settings may be those of the first start for longer.
        """
        current = self._history.current(service)
        is_new = self._is_first_start and self._has_read_rows
        if not is_new or service in self._stored_services or current is None:
            return
        self._stored_services.add(service)
        if current.version is not None:
            self._history.restore(service, versionhistory.StoredHistory(current.version, 0.0))

    def _known(self, stream: int | None) -> int | None:
        entry = None if stream is None else self._table.get(stream, self._clock.now())
        return None if entry is None else entry.version

    async def _look_up(self, stream: int) -> int | None:
        """Ask the other instances for the origin of a stream."""
        lookup: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._lookups_by_stream.setdefault(stream, set()).add(lookup)
        try:
            self._request(stream)
            await asyncio.wait((lookup,), timeout=LOOKUP_REPEAT_S)
            if not lookup.done():
                self._request(stream)
                await asyncio.wait((lookup,), timeout=LOOKUP_TIMEOUT_S - LOOKUP_REPEAT_S)
            return lookup.result() if lookup.done() else None
        finally:
            waiting = self._lookups_by_stream[stream]
            waiting.discard(lookup)
            if not waiting:
                del self._lookups_by_stream[stream]

    def _request(self, stream: int) -> None:
        """Ask for a stream together with others that are taken up at the same time."""
        if not self._unsent_lookups:
            asyncio.get_running_loop().call_later(LOOKUP_BATCH_S, self._send_lookups)
        self._unsent_lookups[stream] = None

    def _send_lookups(self) -> None:
        streams = tuple(self._unsent_lookups)
        self._unsent_lookups.clear()
        for node in self._present():
            if node == self._name:
                continue
            for start in range(0, len(streams), messages.MAX_ORIGINS):
                part = streams[start : start + messages.MAX_ORIGINS]
                self._send(node, messages.OriginQuery(part))

    def _update_keepers(self) -> None:
        """Choose the keepers again if instances have come or gone."""
        identities = [each.identity for each in self._live() if each.identity.name != self._name]
        domain_by_name = {each.name: each.failure_domain for each in identities}
        if domain_by_name == self._domain_by_name:
            return
        self._domain_by_name = domain_by_name
        ranked = rendezvous.best(self._name, domain_by_name, len(domain_by_name))
        ranked.sort(key=lambda each: domain_by_name[each] == self._failure_domain)
        keepers = tuple(ranked[:KEEPER_COUNT])
        added = [each for each in keepers if each not in self._keepers]
        self._keepers = keepers
        now = self._clock.now()
        mixed = frozenset(
            each
            for each in self._history.services
            if self._history.sole_version(each, MIN_RETENTION_S) is None
        )
        if added and mixed:
            self._send_to_keepers(self._table.of_services(mixed, now), added, now)

    def _send_to_keepers(
        self,
        streams: collections.abc.Sequence[int],
        keepers: collections.abc.Iterable[str],
        now: float,
    ) -> None:
        for keeper in keepers:
            for start in range(0, len(streams), messages.MAX_ORIGINS):
                part = streams[start : start + messages.MAX_ORIGINS]
                self._send(keeper, self._records(part, now))

    def _records(
        self, streams: collections.abc.Iterable[int], now: float
    ) -> messages.OriginRecords:
        entries = ((stream, self._table.get(stream, now)) for stream in streams)
        return messages.OriginRecords(
            tuple(
                messages.OriginRecord(stream, entry.version, int(entry.ends_at - now))
                for stream, entry in entries
                if entry is not None
            )
        )

    def _is_outdated(self, service: str, stored: versionhistory.StoredHistory | None) -> bool:
        current = self._history.current(service)
        if stored is None or stored.version != current.version:
            return True
        return current.version is not None and current.since - stored.since > CHANGED_SINCE_S

    def _store(self, service: str) -> None:
        """Write the row of a service, at some of the instances: one may be lost unnoticed."""
        nodes = {*(each.identity.name for each in self._live()), self._name}
        is_writer = self._name in rendezvous.best(service, nodes, WRITER_COUNT)
        if self._store_writer is not None and is_writer:
            self._store_writer(versionrows.put(service, self._history.current(service)))
