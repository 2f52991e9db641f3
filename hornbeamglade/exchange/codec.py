"""Frames between entry nodes: authenticated, bounded in size, decoded without raising.

Explanation
===========

A frame is one byte of format version, one byte of key id, a 4-byte hash of the
recipient's name, a 16-byte tag (HMAC-SHA256, truncated [1]_) over everything else and the
recipient's full name, and the packed ``Envelope`` of ``exchange.capnp``. The tag
is checked before the first byte reaches the Cap'n Proto decoder, so unauthenticated
bytes cost one hash and reach no parser. The hash of the name only distinguishes frames for
a node that had this address before from forged frames; the tag binds a frame to its
recipient.

Alternatives considered:

- *TCP connections*: with 360 nodes that may each send requests to any other, each node holds
  up to 359 connections, with their buffers and keep-alives. A stalled connection delays
  every message behind the lost one for the retransmission timeout (200 ms and doubling),
  whereas a grant request is worthless after about 300 ms. Every message here is small,
  idempotent and superseded by the next, so lossy datagrams fit. Data that must not be lost is
  never sent this way.
- *DTLS*: no well-known Python library offers it over plain sockets; the
  handshake and its state per pair of nodes bring back the cost of connections. It would add
  confidentiality, but the messages contain no caller's text, only names of teams and
  replicas and load figures, within the operator's own network.
- *A key per pair of nodes* would keep one compromised node from impersonating
  another, but keys would have to be distributed to instances that come and go; a
  shared site key with two key ids valid at a time is what operators can rotate.

References
==========

.. [1] H. Krawczyk, M. Bellare, R. Canetti: HMAC: Keyed-Hashing for Message
   Authentication, RFC 2104 (1997), section 5 on truncating the tag.
"""

import collections
import collections.abc
import dataclasses
import hashlib
import hmac
import threading

from hornbeamglade.core import clocks, codederrors
from hornbeamglade.exchange import messages, replay, wireformat

FRAME_BOUND = 1400
TAG_BYTES = 16
MIN_SECRET_BYTES = 16

_FORMAT_VERSION = 2
_RECIPIENT_HASH_BYTES = 4
_HEADER_BYTES = 2 + _RECIPIENT_HASH_BYTES
_BODY_START = _HEADER_BYTES + TAG_BYTES
_TRAVERSAL_WORDS = 64 * 1024

OVERSIZED = "oversized"
TRUNCATED = "truncated"
UNKNOWN_FORMAT = "unknown_format"
UNKNOWN_KEY = "unknown_key"
FORGED = "forged"
MALFORMED = "malformed"
NOT_FOR_US = "not_for_us"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRing:
    """The currently valid site keys; two during a rotation.

    Explanation
    ===========

    To rotate: add the new key on every node next to the old one, then let every
    node sign with the new one, then remove the old one.

    :param signing_id: the id of the key that signs, 0 to 255.
    :param secret_by_id: the accepted keys, at least 16 bytes each.
    :raises CodedError: ``exchange_key_invalid`` when a key cannot be used.
    """

    signing_id: int
    secret_by_id: collections.abc.Mapping[int, bytes] = dataclasses.field(repr=False)

    def __post_init__(self) -> None:
        if self.signing_id not in self.secret_by_id:
            raise codederrors.CodedError("exchange_key_invalid", "the signing key is missing")
        if not all(0 <= key_id <= 255 for key_id in self.secret_by_id):
            raise codederrors.CodedError("exchange_key_invalid", "a key id does not fit one byte")
        if any(len(secret) < MIN_SECRET_BYTES for secret in self.secret_by_id.values()):
            raise codederrors.CodedError("exchange_key_invalid", "a key is shorter than 16 bytes")


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """The sender of a frame.

    :param name: the node's name.
    :param incarnation: the incarnation of the node; increases with each start.
    """

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decoded:
    """An accepted frame: authentic, new and well formed."""

    message: messages.Message
    sender: Sender


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """A rejected frame.

    :param reason: a stable identifier, counted in ``dropped_by_reason``.
    :param superseded_by: the sender with the higher incarnation under which it is known, if it
        is to be notified; else None.
    """

    reason: str
    superseded_by: Sender | None = None


class Codec:
    """Encodes and decodes the frames of one node; safe to use from several threads.

    Examples
    ========

    >>> ring = KeyRing(1, {1: b"sixteen bytes at least"})
    >>> a = Codec("a", 1, ring, clocks.ManualClock())
    >>> b = Codec("b", 1, ring, clocks.ManualClock())
    >>> b.decode(a.encode("b", messages.VersionAnnouncement(7))).message.revision
    7
    >>> b.decode(b"noise").reason
    'truncated'
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        keys: KeyRing,
        clock: clocks.Clock,
        frames_before: int = 0,
    ) -> None:
        """Create the codec of one node.

        :param name: this node's name, at most 64 bytes.
        :param incarnation: increases with each start of the node: its wall-clock time
            at the start in milliseconds.
        :param keys: the valid site keys.
        :param clock: used to check freshness.
        :param frames_before: the sequence number that precedes the first frame.
        """
        self._name = wireformat.checked_name(name)
        self._recipient_hash = _recipient_hash(name)
        self._incarnation = incarnation
        self._keys = keys
        self._clock = clock
        self._started = clock.now()
        self._sequence = frames_before
        self._guard = replay.ReplayGuard()
        self._lock = threading.Lock()
        self.dropped_by_reason: collections.Counter[str] = collections.Counter()

    def raise_incarnation_above(self, incarnation: int) -> int:
        """Continue under a higher incarnation than one that peers know; return it.

        Explanation
        ===========

        An incarnation is the wall-clock time at a node's start. If the clock was set back since
        the previous start, the incarnation is lower than the former one, and all peers that
        received that one drop this node's frames. Ignored for 90 s, such a node sent grant
        requests in vain and treated its own engines as used by no other node.
        """
        with self._lock:
            # A late frame of a former incarnation is answered with the current incarnation.
            if incarnation > self._incarnation:
                self._incarnation = incarnation + 1
            return self._incarnation

    def use_keys(self, keys: KeyRing) -> None:
        """Replace the valid keys, as a step of a rotation."""
        self._keys = keys

    def encode(self, recipient: str, message: messages.Message) -> bytes:
        """Return the frame of ``message`` for the node named ``recipient``.

        :raises CodedError: ``exchange_message_too_large`` when the message or
            its frame exceeds the size limit.
        """
        envelope = wireformat.SCHEMA.Envelope.new_message()
        envelope.sender = self._name
        envelope.incarnation = self._incarnation
        envelope.sequence = self._next_sequence()
        envelope.wallS = max(0, int(self._clock.wall()))
        envelope.elapsedTenths = max(0, int((self._clock.now() - self._started) * 10))
        try:
            wireformat.fill(envelope, message)
        except ValueError as error:
            raise codederrors.CodedError("exchange_message_too_large", str(error)) from error
        body = envelope.to_bytes_packed()
        if _BODY_START + len(body) > FRAME_BOUND:
            raise codederrors.CodedError(
                "exchange_message_too_large", f"{len(body)} bytes do not fit a datagram"
            )
        keys = self._keys
        header = bytes((_FORMAT_VERSION, keys.signing_id)) + _recipient_hash(recipient)
        return header + _tag(keys.secret_by_id[keys.signing_id], header, recipient, body) + body

    def decode(self, frame: bytes) -> Decoded | Dropped:
        """Check and decode one frame; never raises."""
        outcome = self._decode(frame)
        if isinstance(outcome, Dropped):
            with self._lock:
                self.dropped_by_reason[outcome.reason] += 1
        return outcome

    def _decode(self, frame: bytes) -> Decoded | Dropped:
        reason = self._rejection_reason(frame)
        if reason is not None:
            return Dropped(reason)
        try:
            envelope = wireformat.SCHEMA.Envelope.from_bytes_packed(
                frame[_BODY_START:], traversal_limit_in_words=_TRAVERSAL_WORDS
            )
            stamp = replay.FrameStamp(
                wireformat.checked_name(envelope.sender),
                envelope.incarnation,
                envelope.sequence,
                envelope.wallS,
                envelope.elapsedTenths / 10,
            )
            message = wireformat.read(envelope)
        # A node of another release, or a faulty one, may send content that no reader
        # expects, and the decoder's exceptions share no narrower base class. Raising
        # here would end the receiver thread, and the node would stop responding.
        except Exception:
            return Dropped(MALFORMED)
        with self._lock:
            now, wall = self._clock.now(), self._clock.wall()
            reason = self._guard.admit(stamp, now, wall)
            is_old = reason == replay.OLD_INCARNATION
            superseding = self._guard.superseding_incarnation(stamp, now, wall) if is_old else None
        if superseding is not None:
            return Dropped(reason, Sender(stamp.sender, superseding))
        if reason is not None:
            return Dropped(reason)
        return Decoded(message, Sender(stamp.sender, stamp.incarnation))

    def _next_sequence(self) -> int:
        with self._lock:
            self._sequence += 1
            return self._sequence

    def _rejection_reason(self, frame: bytes) -> str | None:
        if len(frame) > FRAME_BOUND:
            return OVERSIZED
        if len(frame) <= _BODY_START:
            return TRUNCATED
        if frame[0] != _FORMAT_VERSION:
            return UNKNOWN_FORMAT
        secret = self._keys.secret_by_id.get(frame[1])
        if secret is None:
            return UNKNOWN_KEY
        header = frame[:_HEADER_BYTES]
        if header[-_RECIPIENT_HASH_BYTES:] != self._recipient_hash:
            return NOT_FOR_US
        expected_tag = _tag(secret, header, self._name, frame[_BODY_START:])
        if not hmac.compare_digest(frame[_HEADER_BYTES:_BODY_START], expected_tag):
            return FORGED
        return None


def _recipient_hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=_RECIPIENT_HASH_BYTES).digest()


def _tag(secret: bytes, header: bytes, recipient: str, body: bytes) -> bytes:
    name = recipient.encode()
    # The length prefix separates the name from the body unambiguously.
    signed = header + len(name).to_bytes(4) + name + body
    return hmac.digest(secret, signed, hashlib.sha256)[:TAG_BYTES]
