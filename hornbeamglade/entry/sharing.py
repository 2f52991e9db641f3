"""What instances read from one another when the platform's store turns some of them away.

Explanation
===========

Each heartbeat tells the revision of the configuration and the version of the list of
replicas that its sender has. An instance that stays behind for longer than the store's
own way takes asks an instance that is ahead for the whole document, chunk by chunk; one
that has others follow the store for it asks at once. Both documents are the store's own
rows, so the receiver takes them as if it had read them, and only when they are newer than
what it has. Of the list it gets what has changed since the position that it has, where whoever
is asked still knows that (:mod:`hornbeamglade.entry.listhistory`).
"""

import collections
import collections.abc
import dataclasses
import zlib

from hornbeamglade.core import clocks
from hornbeamglade.exchange import configchunks, messages
from hornbeamglade.membership import view as membershipview

BEHIND_S = 0.3
"""The store tells a change to all instances within some ten milliseconds of one another."""

ASK_AGAIN_S = 0.25
MAX_DOCUMENT_BYTES = 16_777_216

_SUBJECTS = (messages.Subject.CONFIGURATION, messages.Subject.REPLICAS)


@dataclasses.dataclass(frozen=True, slots=True)
class Versions:
    """What an instance has.

    :param configuration: the revision in force, or 0.
    :param replicas: the version of the list of replicas, or 0.
    """

    configuration: int = 0
    replicas: int = 0

    def of(self, subject: messages.Subject) -> int:
        """Return the version of one document."""
        if subject is messages.Subject.CONFIGURATION:
            return self.configuration
        return self.replicas


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A question to send.

    :param node: the instance that is asked.
    :param message: the question.
    """

    node: str
    message: messages.ChunkRequest


@dataclasses.dataclass(slots=True)
class _Pursuit:
    """A newer document that this instance wants."""

    version: int
    since: float
    hinted_by: str | None = None
    assembly: configchunks.Assembly | None = None
    asked_at: float = float("-inf")
    held: int = 0


Take = collections.abc.Callable[[messages.Subject, int, bytes], None]
Read = collections.abc.Callable[[messages.Subject, int], bytes | None]
"""Returns a document for someone that has a position of it, or None."""

MOST_OFFERS = 8
"""Documents that are kept cut into chunks: those who ask have mostly the same position."""


class SharedDocuments:
    """Both documents of one instance, as the others may read them.

    :param versions: returns what this instance has.
    :param read: returns a document as it is in force, or what has changed in it, or None.
    :param take: called with a document that was read from another instance.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        versions: collections.abc.Callable[[], Versions],
        read: Read,
        take: Take,
        clock: clocks.Clock,
    ) -> None:
        self.versions = versions
        self._read = read
        self._take = take
        self._clock = clock
        self._pursuit_by_subject: dict[messages.Subject, _Pursuit] = {}
        self._live: tuple[membershipview.Member, ...] | None = None
        self._ahead_by_subject: dict[messages.Subject, tuple[int, str]] = {}
        self._offers: collections.OrderedDict[_Wanted, tuple[messages.DocumentChunk, ...]]
        self._offers = collections.OrderedDict()

    @property
    def is_behind(self) -> bool:
        """Whether it wants a newer document."""
        return bool(self._pursuit_by_subject)

    def due(self, live: tuple[membershipview.Member, ...], own_name: str) -> Ask | None:
        """Return a question that is due, given the instances that live.

        Asked many times a second, mostly with the same instances, so whoever is furthest
        ahead is looked for only when they are others than before.
        """
        if live is not self._live:
            self._live = live
            told = [
                member
                for member in live
                if member.heartbeat is not None and member.identity.name != own_name
            ]
            self._ahead_by_subject = {subject: _furthest(told, subject) for subject in _SUBJECTS}
        for subject in _SUBJECTS:
            ask = self._due(subject, live)
            if ask is not None:
                return ask
        return None

    def on_hint(self, node: str, hint: messages.VersionAnnouncement) -> tuple[Ask, ...]:
        """Take a hint of an instance that follows the store; return what to ask it."""
        now = self._clock.now()
        had = self.versions()
        due = []
        for subject in _SUBJECTS:
            version = _version_in(hint, subject)
            if version <= had.of(subject):
                continue
            pursuit = self._pursuit_by_subject.get(subject)
            if pursuit is None or pursuit.version < version:
                pursuit = self._pursuit_by_subject[subject] = _Pursuit(version, now, node)
                due.append(self._question(pursuit, subject, version, node))
        return tuple(each for each in due if each is not None)

    def asked(self, ask: messages.ChunkRequest) -> messages.DocumentChunk | None:
        """Return the chunk that another instance asks for, or None."""
        wanted = _Wanted(ask.subject, self.versions().of(ask.subject), ask.since)
        if wanted.version != ask.revision:
            return None
        offers = self._offers_of(wanted)
        return offers[ask.chunk] if ask.chunk < len(offers) else None

    def offered(self, offer: messages.DocumentChunk) -> messages.ChunkRequest | None:
        """Take a chunk; return the question for the next one, or None at the end."""
        pursuit = self._pursuit_by_subject.get(offer.subject)
        if pursuit is None or pursuit.assembly is None or pursuit.version != offer.revision:
            return None
        document = pursuit.assembly.add(offer)
        if document is None:
            pursuit.asked_at = self._clock.now()
            return _since(pursuit.assembly.next_request(), pursuit.held)
        del self._pursuit_by_subject[offer.subject]
        self._take(offer.subject, offer.revision, _inflated(document))
        return None

    def _due(
        self,
        subject: messages.Subject,
        live: tuple[membershipview.Member, ...],
    ) -> Ask | None:
        now = self._clock.now()
        pursuit = self._pursuit_by_subject.get(subject)
        version, node = self._ahead_by_subject[subject]
        if pursuit is not None and _is_among(pursuit.hinted_by, live):
            version, node = max((version, node), (pursuit.version, pursuit.hinted_by))
        if version <= self.versions().of(subject):
            self._pursuit_by_subject.pop(subject, None)
            return None
        if pursuit is None:
            pursuit = self._pursuit_by_subject[subject] = _Pursuit(version, now)
        if pursuit.hinted_by is None and now - pursuit.since < BEHIND_S:
            return None
        if now - pursuit.asked_at < ASK_AGAIN_S:
            return None
        return self._question(pursuit, subject, version, node)

    def _question(
        self, pursuit: _Pursuit, subject: messages.Subject, version: int, node: str
    ) -> Ask | None:
        if pursuit.assembly is None or pursuit.version != version:
            pursuit.version = version
            pursuit.assembly = configchunks.Assembly(version, subject)
            pursuit.held = self.versions().of(subject)
        pursuit.asked_at = self._clock.now()
        question = _since(pursuit.assembly.next_request(), pursuit.held)
        return None if question is None else Ask(node, question)

    def _offers_of(self, wanted: "_Wanted") -> tuple[messages.DocumentChunk, ...]:
        made = self._offers.pop(wanted, None)
        if made is None:
            document = self._read(wanted.subject, wanted.since)
            if document is None:
                return ()
            made = configchunks.split(wanted.version, zlib.compress(document), wanted.subject)
        self._offers[wanted] = made
        if len(self._offers) > MOST_OFFERS:
            self._offers.popitem(last=False)
        return made


@dataclasses.dataclass(frozen=True, slots=True)
class _Wanted:
    """What is asked for: a document as of a version, by someone that has another."""

    subject: messages.Subject
    version: int
    since: int


def _since(ask: messages.ChunkRequest | None, since: int) -> messages.ChunkRequest | None:
    """Return an ask that says which position its sender has."""
    return None if ask is None else dataclasses.replace(ask, since=since)


def _furthest(members: list[membershipview.Member], subject: messages.Subject) -> tuple[int, str]:
    """Return the newest version that any of ``members`` has, and who has it."""
    told = ((_told(member, subject), member.identity.name) for member in members)
    return max(told, default=(0, ""))


def _is_among(name: str | None, members: tuple[membershipview.Member, ...]) -> bool:
    return name is not None and any(member.identity.name == name for member in members)


def _told(member: membershipview.Member, subject: messages.Subject) -> int:
    if subject is messages.Subject.CONFIGURATION:
        return member.heartbeat.config_revision
    return member.heartbeat.list_version


def _version_in(hint: messages.VersionAnnouncement, subject: messages.Subject) -> int:
    return hint.revision if subject is messages.Subject.CONFIGURATION else hint.list_version


def _inflated(document: bytes) -> bytes:
    # A peer with a fault must not fill this instance's memory by a few bytes.
    return zlib.decompressobj().decompress(document, MAX_DOCUMENT_BYTES)
