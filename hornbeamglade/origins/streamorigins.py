"""The origins of streams known to one instance, and their exchange with other instances.

Explanation
===========

A caller may take a stream up at any instance; it names the attempt that brought the first event,
and the stream may go on only at replicas of the software version that began it.

1. While several versions are listed, the instance that relays a first event sends the origin of
   the stream to its *keepers*, :data:`KEEPER_COUNT` live instances of other failure domains where
   there are such, in batches. It also does so for the streams that it serves when a second
   version is first listed, and when its keepers change.
2. An instance at which a stream is taken up reads the list of replicas again, and asks all
   instances if it does not know the origin. Those that know it tell it, and all tell which
   versions they have seen (:mod:`hornbeamglade.origins.versionhistory`).
3. If nobody knows the origin, only one version may have begun the stream in two cases. *List*: a
   list that was read after the stream was taken up has one version, and had one since before the
   stream can have begun. The store's answers are linearizable, so no instance had a newer list
   when the stream began. *Agreed*: the store does not answer, but enough instances do, and all
   have seen that version only. An instance tells its keepers of a change in the versions that it
   reads before it can use them, and one of the keepers of each instance is among the answers.
4. A stream whose origin remains unknown is refused: it would be continued at a version that was
   guessed.

No list that was read before a stream was taken up tells how it began, however young the list is by
the clock of this instance: it may have stood still since it read it.

Alternatives considered: *keepers by the stream's id* (look-ups ask few instances, but no two
streams of an instance have the same keepers, so nothing can be sent in batches: at 360 nodes some
60 datagrams a second instead of 12); *a row in the store for each stream* (thousands of writes a
second, and nothing while the store is unavailable); *the list of replicas alone* (refuses every
stream that is taken up during a release).
"""

import asyncio
import collections
import collections.abc
import dataclasses
import math
import secrets

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages
from hornbeamglade.membership import rendezvous
from hornbeamglade.membership import view as membershipview
from hornbeamglade.observability import logs
from hornbeamglade.origins import inquiries, origintable, versionhistory, versionrows, versions
from hornbeamglade.store import contract

KEEPER_COUNT = 3
WRITER_COUNT = 3
FLUSH_INTERVAL_S = 0.25
LOOKUP_BATCH_S = 0.005
ANSWER_S = 0.15
"""Most instances answer sooner, but one that has just stood still does not process answers."""

LOOKUP_TIMEOUT_S = 1.1
"""An unknown origin is a refusal, so late answers are waited for; a call to the store ends after a
second."""

LOOKUP_REPEATS_S = (0.06, ANSWER_S, 0.4)
"""A look-up is sent again after these times, as datagrams may be lost."""

TOKEN_BITS = 62
_DUE_S = (*LOOKUP_REPEATS_S, LOOKUP_TIMEOUT_S, math.inf)

MIN_RETENTION_S = 60.0
RETENTION_TIMEOUTS = 2.0
"""A caller may take a stream up until its time is over, which an operator does not state; routes'
timeouts are at least as long."""

STATEMENT_RETENTION_S = 3600.0
"""Longer than any stream that another instance's statement may concern."""

CHANGED_SINCE_S = 5.0
"""A stored time that is earlier by more than this was stored before a change that was missed."""

Members = collections.abc.Callable[[], collections.abc.Collection[membershipview.Member]]
Names = collections.abc.Callable[[], collections.abc.Collection[str]]
Send = collections.abc.Callable[[str, messages.Message], None]
ReadList = collections.abc.Callable[[], collections.abc.Awaitable[bool]]
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
    :param source: ``own`` table, ``peers``, ``list`` of replicas read since, or ``agreed`` by the
        other instances.
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
    :param list_version: returns the version of the list of replicas held here.
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
        list_version: collections.abc.Callable[[], int],
        is_first_start: bool,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._live = live
        self._present = present
        self._send = send
        self._list_version = list_version
        self._is_first_start = is_first_start
        self._has_read_rows = False
        self._stored_services: set[str] = set()
        self._clock = clock
        self._store_writer: Write | None = None
        self._read_list: ReadList | None = None
        self._table = origintable.OriginTable()
        self._history = versionhistory.VersionHistory(clock)
        self._name_by_version: dict[int, str] = {}
        self._domain_by_name: dict[str, str] = {}
        self._keepers: tuple[str, ...] = ()
        self._pending: dict[int, None] = {}
        self._flushed_at = clock.now()
        self._service_by_hash: dict[int, str] = {}
        self._inquiries_by_stream: collections.defaultdict[int | None, set[inquiries.Inquiry]] = (
            collections.defaultdict(set)
        )
        self._unsent_inquiries: dict[inquiries.Inquiry, tuple[str, float]] = {}
        self._inquiries_by_token: dict[int, set[inquiries.Inquiry]] = {}
        self._stated_at_by_version: dict[int, dict[int, float]] = {}

    def set_list_reader(self, read: ReadList) -> None:
        """Set the function that reads the changes of the list anew, and returns whether it could.

        What it reads is observed here before it returns.
        """
        self._read_list = read

    def set_store_writer(self, write: Write) -> None:
        """Set the function that writes rows to the store."""
        self._store_writer = write

    def observe(self, service: str, listed: collections.abc.Iterable[str]) -> None:
        """Process the versions that are listed for a service."""
        names = {versions.version_key(each): each for each in listed}
        self._name_by_version.update(names)
        self._service_by_hash[messages.key_hash(service)] = service
        self._update_keepers()
        listed_before = self._history.listed(service)
        before = self._history.current(service)
        if self._history.observe(service, frozenset(names)):
            now = self._clock.now()
            served = self._table.of_services(frozenset((service,)), now)
            self._pending.update(dict.fromkeys(served))
        if before is None:
            self._restore_first_version(service)
        if self._history.listed(service) != listed_before:
            # Just after it stood still, an instance may take no other one for live.
            has_keepers = len(self._keepers) >= KEEPER_COUNT
            self._tell_versions(service, self._keepers if has_keepers else self._others())
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
        known = self._known(stream)
        others = () if known is not None else self._others()
        inquiry = inquiries.Inquiry(stream, others)
        inquiry.origin = known
        reading = asyncio.ensure_future(self._read_newest_list())
        reading.add_done_callback(inquiry.on_other_news)
        self._inquiries_by_stream[stream].add(inquiry)
        try:
            found = await self._conclude(inquiry, service, window_s, reading)
        finally:
            reading.cancel()
            self._forget(inquiry)
        return found if known is None else dataclasses.replace(found, source="own")

    def on_records(self, records: messages.OriginRecords) -> None:
        """Store origins that another instance has sent."""
        now = self._clock.now()
        for record in records.origins:
            known = self._table.get(record.stream, now)
            service = "" if known is None else known.service
            entry = origintable.Entry(record.version, service, now + record.kept_s)
            self._table.put(record.stream, entry)
            for inquiry in self._inquiries_by_stream.get(record.stream, ()):
                inquiry.on_origin(record.version)

    def on_statement(self, sender: str, statement: messages.VersionStatement) -> None:
        """Process which versions of a service another instance has seen."""
        if not statement.token:
            stated_at_by_version = self._stated_at_by_version.setdefault(statement.service, {})
            stated_at_by_version[statement.version] = self._clock.now()
        for inquiry in self._inquiries_by_token.get(statement.token, ()):
            inquiry.on_statement(sender, statement)

    def on_query(self, sender: str, query: messages.OriginQuery) -> None:
        """Tell what this instance knows to one that asks for origins."""
        service = self._service_by_hash.get(query.service)
        if query.token and service is not None:
            seen = self._history.only_seen(service, query.window_s) or 0
            if self._is_contradicted(service, seen, query.window_s):
                seen = 0
            self._send(sender, self._statement(service, seen, query.token))
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
        now = self._clock.now()
        self._table.expire(now)
        self._stated_at_by_version = {
            service: stated_at_by_version
            for service, stated_at_by_version in self._stated_at_by_version.items()
            if now - max(stated_at_by_version.values()) < STATEMENT_RETENTION_S
        }

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

    async def _conclude(
        self,
        inquiry: inquiries.Inquiry,
        service: str,
        window_s: float,
        reading: asyncio.Future[bool],
    ) -> FoundOrigin:
        """Wait until the origin of a stream is known, or nobody can tell it."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        asked_count = 0
        while True:
            elapsed_s = loop.time() - started_at
            if asked_count <= sum(elapsed_s >= each for each in LOOKUP_REPEATS_S):
                asked_count += 1
                if inquiry.origin is None:
                    self._ask(inquiry, service, window_s)
            is_listed = inquiry.origin in (None, *self._history.listed(service))
            is_late = elapsed_s >= (ANSWER_S if is_listed else LOOKUP_TIMEOUT_S)
            is_caught_up = reading.done() and self._list_version() >= inquiry.newest_list
            if is_caught_up or is_late:
                found = self._found(inquiry, service, window_s, reading, elapsed_s)
                if found is not None:
                    return found
            await inquiry.wait(min(each for each in _DUE_S if each > elapsed_s) - elapsed_s)

    def _found(
        self,
        inquiry: inquiries.Inquiry,
        service: str,
        window_s: float,
        reading: asyncio.Future[bool],
        elapsed_s: float,
    ) -> FoundOrigin | None:
        """Return the origin as far as it is known by now, or None to wait for more answers."""
        if inquiry.origin is not None:
            is_certain = inquiry.origin != origintable.UNCERTAIN
            return FoundOrigin(inquiry.origin if is_certain else None, "peers")
        sole = self._sole_version(inquiry, service, window_s)
        has_quorum = inquiry.has_quorum(KEEPER_COUNT)
        is_list_read = reading.done() and reading.result()
        is_late = elapsed_s >= ANSWER_S
        is_answered = inquiry.is_answered_by_all
        if sole is not None and is_list_read and (has_quorum or is_answered or is_late):
            return FoundOrigin(sole, "list", self._history.sole_for_s(service))
        if sole is not None and has_quorum and (is_answered or is_late):
            return FoundOrigin(sole, "agreed", self._history.sole_for_s(service))
        is_hopeless = inquiry.is_answered_twice_by_all and (sole is None or reading.done())
        if is_hopeless or elapsed_s >= LOOKUP_TIMEOUT_S:
            return FoundOrigin(None, "peers")
        return None

    def _sole_version(
        self, inquiry: inquiries.Inquiry, service: str, window_s: float
    ) -> int | None:
        """Return the only version that began streams lately, as far as others have stated."""
        sole = self._history.sole_version(service, window_s)
        if sole is None or inquiry.contradicts(sole):
            return None
        return None if self._is_contradicted(service, sole, window_s) else sole

    def _is_contradicted(self, service: str, version: int, window_s: float) -> bool:
        """Return whether another instance has stated other versions in the last ``window_s``."""
        stated = self._stated_at_by_version.get(messages.key_hash(service), {})
        since = self._clock.now() - window_s
        return any(stated_at > since for each, stated_at in stated.items() if each != version)

    async def _read_newest_list(self) -> bool:
        return False if self._read_list is None else await self._read_list()

    def _others(self) -> tuple[str, ...]:
        return tuple(each for each in self._present() if each != self._name)

    def _ask(self, inquiry: inquiries.Inquiry, service: str, window_s: float) -> None:
        """Ask for a stream together with others that are taken up at the same time."""
        if not self._unsent_inquiries:
            asyncio.get_running_loop().call_later(LOOKUP_BATCH_S, self._send_queries)
        self._unsent_inquiries[inquiry] = (service, window_s)

    def _send_queries(self) -> None:
        asked_by_service = collections.defaultdict(list)
        for inquiry, (service, window_s) in self._unsent_inquiries.items():
            asked_by_service[service].append((inquiry, window_s))
        self._unsent_inquiries.clear()
        others = self._others()
        for service, asked in asked_by_service.items():
            window_s = math.ceil(max(each for _, each in asked))
            for start in range(0, len(asked), messages.MAX_ORIGINS):
                part = [inquiry for inquiry, _ in asked[start : start + messages.MAX_ORIGINS]]
                token = secrets.randbits(TOKEN_BITS) + 1
                self._inquiries_by_token[token] = set(part)
                for inquiry in part:
                    inquiry.tokens.append(token)
                streams = tuple(each.stream for each in part if each.stream is not None)
                query = messages.OriginQuery(streams, messages.key_hash(service), window_s, token)
                for node in others:
                    self._send(node, query)

    def _forget(self, inquiry: inquiries.Inquiry) -> None:
        self._unsent_inquiries.pop(inquiry, None)
        for token in inquiry.tokens:
            self._inquiries_by_token[token].discard(inquiry)
            if not self._inquiries_by_token[token]:
                del self._inquiries_by_token[token]
        waiting = self._inquiries_by_stream[inquiry.stream]
        waiting.discard(inquiry)
        if not waiting:
            del self._inquiries_by_stream[inquiry.stream]

    def _statement(self, service: str, version: int, token: int = 0) -> messages.VersionStatement:
        return messages.VersionStatement(
            token, messages.key_hash(service), version, self._list_version()
        )

    def _tell_versions(self, service: str, keepers: collections.abc.Iterable[str]) -> None:
        """Tell keepers which versions are listed, before a stream can begin at one of them."""
        listed = self._history.listed(service)
        version = next(iter(listed)) if len(listed) == 1 else 0
        for keeper in keepers:
            self._send(keeper, self._statement(service, version))

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
        for service in self._history.services if added else ():
            if self._history.has_changed_within(service, MIN_RETENTION_S):
                self._tell_versions(service, added)

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
