"""Frames between entry nodes: authenticated, bounded, decoded without raising.

Explanation
===========

A frame is one byte of format version, one byte of key id, a 4-byte hash of the
recipient's name, a 16-byte tag (HMAC-SHA256, cut [1]_) over all the rest and the
recipient's whole name, and the packed ``Envelope`` of ``exchange.capnp``. The tag
is checked before the first byte reaches the Cap'n Proto decoder, so a stranger's
bytes cost one hash and reach no parser. The hash of the name is there to tell
frames for a node that had this address before from forged ones; the binding is
the tag's.

Weighed against:

- *TCP connections*: 360 nodes that may each ask any other hold up to 359
  connections each, with their buffers and keep-alives; a stalled link holds
  up every message behind the lost one for the retransmission time-out (200 ms
  and doubling), whereas an ask is worth nothing after about 300 ms. Every
  message here is small, idempotent and superseded by the next, so datagrams
  that may get lost fit. What must last never travels here.
- *DTLS*: no well-known library offers it to Python over plain sockets; the
  handshake and its state per pair bring back the cost of connections. What it
  adds is secrecy, and the messages hold no caller's text: names of teams and
  replicas and load figures, within the operator's own network.
- *A key per pair of nodes* would keep one captured node from speaking as
  another, but someone has to hand out keys to instances that come and go; a
  shared site key with two key ids valid at a time is what operators can rotate.

References
==========

.. [1] H. Krawczyk, M. Bellare, R. Canetti: HMAC: Keyed-Hashing for Message
   Authentication, RFC 2104 (1997), section 5 on cutting the tag.
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
_MARK_BYTES = 4
_HEADER_BYTES = 2 + _MARK_BYTES
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
    """The site keys that are valid now; two during a rotation.

    Explanation
    ===========

    To rotate: give every node the new key beside the old one, then let every
    node sign with the new one, then take the old one away.

    :param signing_id: the id of the key that signs, 0 to 255.
    :param secret_by_id: the keys that are accepted, at least 16 bytes each.
    :raises CodedError: ``exchange_key_invalid`` when a key cannot be used.
    """

    signing_id: int
    secret_by_id: collections.abc.Mapping[int, bytes] = dataclasses.field(repr=False)

    def __post_init__(self) -> None:
        if self.signing_id not in self.secret_by_id:
            raise codederrors.CodedError("exchange_key_invalid", "the signing key is not given")
        if not all(0 <= key_id <= 255 for key_id in self.secret_by_id):
            raise codederrors.CodedError("exchange_key_invalid", "a key id is one byte")
        if any(len(secret) < MIN_SECRET_BYTES for secret in self.secret_by_id.values()):
            raise codederrors.CodedError("exchange_key_invalid", "a key is shorter than 16 bytes")


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """Who sent a frame.

    :param name: the node's name.
    :param incarnation: which run of the node; grows with each start.
    """

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decoded:
    """A frame that was authentic, new and well formed."""

    message: messages.Message
    sender: Sender


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """A frame that was not taken.

    :param reason: a stable identifier, counted in ``dropped_by_reason``.
    :param superseded_by: the sender, with the higher incarnation that it is to be told of;
        else None.
    """

    reason: str
    superseded_by: Sender | None = None


class Codec:
    """Encodes for and decodes at one node; safe to use from several threads.

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
        sent_before: int = 0,
    ) -> None:
        """Make the codec of one node.

        :param name: this node's name, at most 64 bytes.
        :param incarnation: grows with each start of the node: its wall clock
            at the start in milliseconds.
        :param keys: the valid site keys.
        :param clock: for freshness.
        :param sent_before: the number of the frame before the first.
        """
        self._name = wireformat.checked_name(name)
        self._mark = _mark(name)
        self._incarnation = incarnation
        self._keys = keys
        self._clock = clock
        self._started = clock.now()
        self._sequence = sent_before
        self._guard = replay.ReplayGuard()
        self._lock = threading.Lock()
        self.dropped_by_reason: collections.Counter[str] = collections.Counter()

    def raise_incarnation_above(self, incarnation: int) -> int:
        """Go on under a higher incarnation than one that others know; return it.

        Explanation
        ===========

        An incarnation is the time of day at a node's start. When that was set back since
        the start before, it is lower than the former one, and everyone who heard that one
        drops this node's frames: unheard for 90 s, it asked owners in vain and took its
        own engines for its alone.
        """
        with self._lock:
            # A late frame of a former run is answered with this run's own incarnation.
            if incarnation > self._incarnation:
                self._incarnation = incarnation + 1
            return self._incarnation

    def use_keys(self, keys: KeyRing) -> None:
        """Replace the valid keys, at a step of a rotation."""
        self._keys = keys

    def encode(self, recipient: str, message: messages.Message) -> bytes:
        """Make the frame of ``message`` for the node called ``recipient``.

        :raises CodedError: ``exchange_message_too_large`` when the message is
            beyond its bounds or the frame would be.
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
        header = bytes((_FORMAT_VERSION, keys.signing_id)) + _mark(recipient)
        return header + _tag(keys.secret_by_id[keys.signing_id], header, recipient, body) + body

    def decode(self, frame: bytes) -> Decoded | Dropped:
        """Check and read one frame; never raises."""
        outcome = self._decode(frame)
        if isinstance(outcome, Dropped):
            with self._lock:
                self.dropped_by_reason[outcome.reason] += 1
        return outcome

    def _decode(self, frame: bytes) -> Decoded | Dropped:
        reason = self._unauthentic(frame)
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
        # A key holder of another release, or one with a fault, may send what
        # no reader foresees, and the decoder's own exceptions share no narrower
        # base. Raising here would end the receiver thread and silence the node.
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

    def _unauthentic(self, frame: bytes) -> str | None:
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
        if header[-_MARK_BYTES:] != self._mark:
            return NOT_FOR_US
        wanted = _tag(secret, header, self._name, frame[_BODY_START:])
        if not hmac.compare_digest(frame[_HEADER_BYTES:_BODY_START], wanted):
            return FORGED
        return None


def _mark(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=_MARK_BYTES).digest()


def _tag(secret: bytes, header: bytes, recipient: str, body: bytes) -> bytes:
    name = recipient.encode()
    # The name's length keeps its end and the body's beginning apart.
    bound = header + len(name).to_bytes(4) + name + body
    return hmac.digest(secret, bound, hashlib.sha256)[:TAG_BYTES]
