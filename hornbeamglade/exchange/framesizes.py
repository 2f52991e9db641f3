"""Sizes of messages on the wire, found by encoding them, for the page on capacity.

Explanation
===========

The frames are those of a node that has been up for a day, with names of a typical
length and load figures of a large replica; the sizes are those of IP packets.
"""

import dataclasses
import math

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantrequests, messages

IP_AND_UDP_HEADER_BYTES = 28

_SENDER = "entry-017"
_RECIPIENT = "entry-018"
_START_S = 1_800_000_000.0
_UPTIME_S = 86_400.0
_FRAMES_BEFORE = 300_000
_GRANT_ID = 100_000
_HASH = 2**64 // 3
_TOKENS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCost:
    """The network cost of one request that is granted by another node.

    :param requester_bytes: bytes that the requesting node sends.
    :param owner_bytes: bytes that the owner sends.
    :param frames: number of frames of both.
    """

    requester_bytes: float
    owner_bytes: float
    frames: float

    @property
    def total_bytes(self) -> float:
        """Bytes of both; if all nodes send requests to all, a node sends this much per request."""
        return self.requester_bytes + self.owner_bytes


def packet_bytes(message: messages.Message) -> int:
    """Return the size of the IP packet of ``message``.

    Examples
    ========

    >>> packet_bytes(messages.VersionAnnouncement(7)) < 100
    True
    """
    clock = clocks.ManualClock(_START_S)
    ring = codec.KeyRing(1, {1: bytes(codec.MIN_SECRET_BYTES)})
    incarnation = int(_START_S * 1000)
    sender = codec.Codec(_SENDER, incarnation, ring, clock, frames_before=_FRAMES_BEFORE)
    clock.advance(_UPTIME_S)
    return len(sender.encode(_RECIPIENT, message)) + IP_AND_UDP_HEADER_BYTES


def expected_reports(duration_s: float) -> float:
    """Return the mean number of reports of a grant, without its release.

    :param duration_s: seconds between the grant and its release.

    Examples
    ========

    >>> expected_reports(2.0), expected_reports(10.0)
    (0.0, 1.5)
    """
    return (
        max(0.0, duration_s - grantrequests.FIRST_REPORT_AFTER_S) / grantrequests.REPORT_INTERVAL_S
    )


def remote_request_bytes(duration_s: float, queued_s: float = 0.0) -> RequestCost:
    """Return the mean cost of one request that shares no frames with others.

    :param duration_s: seconds between the grant and its release.
    :param queued_s: seconds in the owner's queue.

    Examples
    ========

    >>> immediate, queued = remote_request_bytes(2.0), remote_request_bytes(2.0, queued_s=1.5)
    >>> immediate.frames, queued.frames
    (4.0, 7.0)
    """
    request = messages.GrantRequest(
        _GRANT_ID, _HASH, _HASH, _HASH, 2, 2 * _TOKENS, 2 * _TOKENS, 1.0, 20_000
    )
    granted = messages.GrantResponse(
        _GRANT_ID, messages.GrantKind.GRANTED, incarnation=int(_START_S * 1000)
    )
    queued = dataclasses.replace(granted, kind=messages.GrantKind.QUEUED)
    running = messages.Progress((messages.GrantProgress(_GRANT_ID, _HASH, _TOKENS),))
    released = messages.Progress((), (messages.GrantRelease(_GRANT_ID, _TOKENS),))
    waits = 1 + math.floor(queued_s / grantrequests.POLL_INTERVAL_S) if queued_s else 0
    reports = expected_reports(duration_s)
    releases = 1 + grantrequests.RELEASE_REPEATS
    requester_bytes = (
        max(1, waits) * packet_bytes(request)
        + reports * packet_bytes(running)
        + releases * packet_bytes(released)
    )
    owner_bytes = packet_bytes(granted) + waits * packet_bytes(queued)
    frames = max(1, waits) + 1 + waits + reports + releases
    return RequestCost(requester_bytes, owner_bytes, frames)
