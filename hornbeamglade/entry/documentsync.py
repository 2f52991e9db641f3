"""Synchronizes documents between instances when the store refuses some of them.

Explanation
===========

Each heartbeat carries the revision of the configuration and the version of the replica list
that its sender holds. An instance that stays behind for longer than an update from the store
usually takes fetches the whole document, chunk by chunk, from an instance that is ahead. An
instance that relies on followers of the store requests it at once. Both documents consist of
the store's own rows, so the receiver applies them as if it had read them itself, and only if
they are newer than its own. For the replica list it receives just the changes since its own
position, if the sender still has them (:mod:`hornbeamglade.entry.listhistory`).
"""

import collections
import collections.abc
import dataclasses
import zlib

from hornbeamglade.core import clocks
from hornbeamglade.exchange import configchunks, messages
from hornbeamglade.membership import view as membershipview

FETCH_DELAY_S = 0.3
"""The store delivers a change to all instances within about ten milliseconds of one another."""

REQUEST_RETRY_S = 0.25
MAX_DOCUMENT_BYTES = 16_777_216

_SUBJECTS = (messages.Subject.CONFIGURATION, messages.Subject.REPLICAS)


@dataclasses.dataclass(frozen=True, slots=True)
class Versions:
    """The versions that an instance holds.

    :param configuration: the revision in force, or 0.
    :param replicas: the version of the replica list, or 0.
    """

    configuration: int = 0
    replicas: int = 0

    def of(self, subject: messages.Subject) -> int:
        """Return the version of one document."""
        if subject is messages.Subject.CONFIGURATION:
            return self.configuration
        return self.replicas


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A chunk request to send.

    :param node: the recipient's name.
    :param message: the request.
    """

    node: str
    message: messages.ChunkRequest


@dataclasses.dataclass(slots=True)
class _Fetch:
    """An ongoing fetch of a newer document."""

    version: int
    started_at: float
    announced_by: str | None = None
    assembly: configchunks.ChunkAssembler | None = None
    requested_at: float = float("-inf")
    since_version: int = 0


ApplyDocument = collections.abc.Callable[[messages.Subject, int, bytes], None]
ReadDocument = collections.abc.Callable[[messages.Subject, int], bytes | None]
"""Returns a document for an instance that holds the given position of it, or None."""

MAX_CACHED_DOCUMENTS = 8
"""Documents kept split into chunks. Most instances that fetch hold the same position."""


class DocumentSync:
    """Fetches newer documents from other instances and serves this instance's own.

    :param versions: returns the versions held here.
    :param read: returns a document as it is in force, or its changes, or None.
    :param apply: called with a document fetched from another instance.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        versions: collections.abc.Callable[[], Versions],
        read: ReadDocument,
        apply: ApplyDocument,
        clock: clocks.Clock,
    ) -> None:
        self.versions = versions
        self._read = read
        self._apply = apply
        self._clock = clock
        self._fetch_by_subject: dict[messages.Subject, _Fetch] = {}
        self._live: tuple[membershipview.Member, ...] | None = None
        self._newest_by_subject: dict[messages.Subject, tuple[int, str]] = {}
        self._chunks_by_document: collections.OrderedDict[
            _DocumentKey, tuple[messages.DocumentChunk, ...]
        ]
        self._chunks_by_document = collections.OrderedDict()

    @property
    def is_fetching(self) -> bool:
        """Whether a fetch of a newer document is in progress."""
        return bool(self._fetch_by_subject)

    def next_request(
        self, live: tuple[membershipview.Member, ...], own_name: str
    ) -> OutgoingRequest | None:
        """Return the chunk request that is due, given the live instances.

        Called many times a second, mostly with the same instances, so the instances with
        the newest documents are determined only when the set changes.
        """
        if live is not self._live:
            self._live = live
            candidates = [
                member
                for member in live
                if member.heartbeat is not None and member.identity.name != own_name
            ]
            self._newest_by_subject = {
                subject: _newest(candidates, subject) for subject in _SUBJECTS
            }
        for subject in _SUBJECTS:
            request = self._next_request_for(subject, live)
            if request is not None:
                return request
        return None

    def on_announcement(
        self, node: str, announcement: messages.VersionAnnouncement
    ) -> tuple[OutgoingRequest, ...]:
        """Handle a version announcement; return the chunk requests to send back."""
        due = [
            self._fetch_now(subject, _version_in(announcement, subject), node)
            for subject in _SUBJECTS
        ]
        return tuple(each for each in due if each is not None)

    def on_newer_list(self, node: str, version: int) -> tuple[OutgoingRequest, ...]:
        """Fetch the replica list that another instance holds at once, if it is newer."""
        due = self._fetch_now(messages.Subject.REPLICAS, version, node)
        return () if due is None else (due,)

    def _fetch_now(
        self, subject: messages.Subject, version: int, node: str
    ) -> OutgoingRequest | None:
        if version <= self.versions().of(subject):
            return None
        fetch = self._fetch_by_subject.get(subject)
        if fetch is not None and fetch.version >= version and fetch.assembly is not None:
            return None
        fetch = self._fetch_by_subject[subject] = _Fetch(version, self._clock.now(), node)
        return self._chunk_request(fetch, subject, version, node)

    def on_chunk_request(self, request: messages.ChunkRequest) -> messages.DocumentChunk | None:
        """Return the chunk that another instance requests, or None."""
        key = _DocumentKey(request.subject, self.versions().of(request.subject), request.since)
        if key.version != request.revision:
            return None
        chunks = self._chunks_of(key)
        return chunks[request.chunk] if request.chunk < len(chunks) else None

    def on_chunk(self, chunk: messages.DocumentChunk) -> messages.ChunkRequest | None:
        """Process a chunk; return the request for the next one, or None at the end."""
        fetch = self._fetch_by_subject.get(chunk.subject)
        if fetch is None or fetch.assembly is None or fetch.version != chunk.revision:
            return None
        document = fetch.assembly.add(chunk)
        if document is None:
            fetch.requested_at = self._clock.now()
            return _with_since(fetch.assembly.next_request(), fetch.since_version)
        del self._fetch_by_subject[chunk.subject]
        self._apply(chunk.subject, chunk.revision, _decompress(document))
        return None

    def _next_request_for(
        self,
        subject: messages.Subject,
        live: tuple[membershipview.Member, ...],
    ) -> OutgoingRequest | None:
        now = self._clock.now()
        fetch = self._fetch_by_subject.get(subject)
        version, node = self._newest_by_subject[subject]
        if fetch is not None and _is_among(fetch.announced_by, live):
            version, node = max((version, node), (fetch.version, fetch.announced_by))
        if version <= self.versions().of(subject):
            self._fetch_by_subject.pop(subject, None)
            return None
        if fetch is None:
            fetch = self._fetch_by_subject[subject] = _Fetch(version, now)
        if fetch.announced_by is None and now - fetch.started_at < FETCH_DELAY_S:
            return None
        if now - fetch.requested_at < REQUEST_RETRY_S:
            return None
        return self._chunk_request(fetch, subject, version, node)

    def _chunk_request(
        self, fetch: _Fetch, subject: messages.Subject, version: int, node: str
    ) -> OutgoingRequest | None:
        if fetch.assembly is None or fetch.version != version:
            fetch.version = version
            fetch.assembly = configchunks.ChunkAssembler(version, subject)
            fetch.since_version = self.versions().of(subject)
        fetch.requested_at = self._clock.now()
        request = _with_since(fetch.assembly.next_request(), fetch.since_version)
        return None if request is None else OutgoingRequest(node, request)

    def _chunks_of(self, key: "_DocumentKey") -> tuple[messages.DocumentChunk, ...]:
        chunks = self._chunks_by_document.pop(key, None)
        if chunks is None:
            document = self._read(key.subject, key.since)
            if document is None:
                return ()
            chunks = configchunks.split(key.version, zlib.compress(document), key.subject)
        self._chunks_by_document[key] = chunks
        if len(self._chunks_by_document) > MAX_CACHED_DOCUMENTS:
            self._chunks_by_document.popitem(last=False)
        return chunks


@dataclasses.dataclass(frozen=True, slots=True)
class _DocumentKey:
    """A requested document: its version, and the version that the requester holds."""

    subject: messages.Subject
    version: int
    since: int


def _with_since(request: messages.ChunkRequest | None, since: int) -> messages.ChunkRequest | None:
    """Return the request with the position that its sender holds."""
    return None if request is None else dataclasses.replace(request, since=since)


def _newest(members: list[membershipview.Member], subject: messages.Subject) -> tuple[int, str]:
    """Return the newest version that any of ``members`` holds, and the holder's name."""
    candidates = ((_version_held_by(member, subject), member.identity.name) for member in members)
    return max(candidates, default=(0, ""))


def _is_among(name: str | None, members: tuple[membershipview.Member, ...]) -> bool:
    return name is not None and any(member.identity.name == name for member in members)


def _version_held_by(member: membershipview.Member, subject: messages.Subject) -> int:
    if subject is messages.Subject.CONFIGURATION:
        return member.heartbeat.config_revision
    return member.heartbeat.list_version


def _version_in(announcement: messages.VersionAnnouncement, subject: messages.Subject) -> int:
    return (
        announcement.revision
        if subject is messages.Subject.CONFIGURATION
        else announcement.list_version
    )


def _decompress(document: bytes) -> bytes:
    # Limits decompression: a faulty peer must not exhaust memory with a few bytes.
    return zlib.decompressobj().decompress(document, MAX_DOCUMENT_BYTES)
