"""Protection against replayed and reordered frames.

Explanation
===========

For each sender the guard stores one incarnation and a window of sequence numbers, as
IPsec does [1]_. A frame that was accepted once is never accepted again.

A sender that is unknown, or that has a higher incarnation, has no
window yet; its first frame must be fresh by wall-clock time. The assumption is
that the clocks of two nodes differ by less than :data:`MAX_SKEW_S`; newly started peers drop
the frames of a node whose clock is further off, and the reason
``stale`` is counted. A frame recorded less than that long ago can be replayed,
once, to a node that has restarted since: it is then a heartbeat or grant request some seconds
old, which the protocols above tolerate as they tolerate delay.

A known sender's frame that is older by the *sender's own* monotonic time than
its newest by more than :data:`MAX_FRAME_DELAY_S` is dropped too. So no frame is accepted
longer than that after a newer one has arrived, which bounds how long
:mod:`hornbeamglade.exchange.grantserver` must store responses, and steps of the
wall clock do not matter between nodes that know each other.

A sender that sends nothing for :data:`SENDER_RETENTION_S` is removed. This is safe, as
everything recorded before is stale by then, and it is needed: a node that
restarts under its old name with its clock slightly behind has a lower
incarnation, and its frames would otherwise be dropped forever. It need not wait that long:
a node that drops its frames tells it the incarnation under which it is known
(:class:`hornbeamglade.exchange.messages.SupersededIncarnation`), and it continues under a
higher one.

References
==========

.. [1] S. Kent: IP Encapsulating Security Payload, RFC 4303 (2005), section 3.4.3.
"""

import dataclasses

MAX_SKEW_S = 30.0
MAX_FRAME_DELAY_S = 10.0
SENDER_RETENTION_S = 3 * MAX_SKEW_S
NOTIFY_INTERVAL_S = 0.5
"""Minimum interval between notifications of a superseded sender; a datagram may be lost."""

WINDOW = 1024
MAX_SENDERS = 2048

STALE = "stale"
REPLAYED = "replayed"
OLD_INCARNATION = "old_incarnation"
TOO_MANY_SENDERS = "too_many_senders"


@dataclasses.dataclass(frozen=True, slots=True)
class FrameStamp:
    """The origin of a frame, as the envelope states it.

    :param sender: the sending node's name.
    :param incarnation: the sender's incarnation.
    :param sequence: the sequence number within the incarnation; from 1.
    :param wall_s: the sender's wall clock, in seconds since the Unix epoch.
    :param elapsed_s: the sender's monotonic seconds since its start; the frame
        carries tenths, precise enough for :data:`MAX_FRAME_DELAY_S`.
    """

    sender: str
    incarnation: int
    sequence: int
    wall_s: float
    elapsed_s: float


@dataclasses.dataclass(slots=True)
class _Window:
    incarnation: int
    newest: int
    seen: int
    elapsed_s: float
    last_seen_at: float
    notified_at: float = float("-inf")


class ReplayGuard:
    """Decides for each authenticated frame whether it is new.

    Examples
    ========

    >>> guard = ReplayGuard()
    >>> stamp = FrameStamp("a", incarnation=1, sequence=1, wall_s=0.0, elapsed_s=0.0)
    >>> guard.admit(stamp, now=0.0, wall=0.0)
    >>> guard.admit(stamp, now=0.0, wall=0.0)
    'replayed'
    """

    def __init__(self) -> None:
        self._window_by_sender: dict[str, _Window] = {}

    def admit(self, stamp: FrameStamp, now: float, wall: float) -> str | None:
        """Check and record a frame.

        :param stamp: the frame's origin; its authenticity has been checked.
        :param now: monotonic seconds.
        :param wall: wall-clock seconds.
        :returns: None if the frame is new, else the reason to drop it.
        """
        window = self._window_by_sender.get(stamp.sender)
        if window is not None and now - window.last_seen_at > SENDER_RETENTION_S:
            window = None
        if window is not None and stamp.incarnation < window.incarnation:
            return OLD_INCARNATION
        if window is None or stamp.incarnation > window.incarnation:
            return self._open_window(stamp, now, wall)
        return _advance(window, stamp, now)

    def superseding_incarnation(self, stamp: FrameStamp, now: float, wall: float) -> int | None:
        """Return the incarnation that a frame's sender must exceed, or None.

        A frame that is not fresh may be a replayed recording and causes no notification, nor
        does more than one frame of a sender in :data:`NOTIFY_INTERVAL_S`.
        """
        window = self._window_by_sender.get(stamp.sender)
        if window is None or stamp.incarnation >= window.incarnation:
            return None
        if abs(wall - stamp.wall_s) > MAX_SKEW_S or now - window.notified_at < NOTIFY_INTERVAL_S:
            return None
        window.notified_at = now
        return window.incarnation

    def _open_window(self, stamp: FrameStamp, now: float, wall: float) -> str | None:
        # Guards against a recorded frame of a failed node that is replayed to a
        # node that started later and would take the failed node for live:
        # nothing older than the skew bound opens a window.
        if abs(wall - stamp.wall_s) > MAX_SKEW_S:
            return STALE
        if not self._has_room(stamp.sender, now):
            return TOO_MANY_SENDERS
        self._window_by_sender[stamp.sender] = _Window(
            stamp.incarnation, stamp.sequence, 1, stamp.elapsed_s, now
        )
        return None

    def _has_room(self, sender: str, now: float) -> bool:
        if sender in self._window_by_sender or len(self._window_by_sender) < MAX_SENDERS:
            return True
        self._window_by_sender = {
            name: window
            for name, window in self._window_by_sender.items()
            if now - window.last_seen_at <= SENDER_RETENTION_S
        }
        return len(self._window_by_sender) < MAX_SENDERS


def _advance(window: _Window, stamp: FrameStamp, now: float) -> str | None:
    if window.elapsed_s - stamp.elapsed_s > MAX_FRAME_DELAY_S:
        return STALE
    behind = window.newest - stamp.sequence
    if behind >= WINDOW:
        return REPLAYED
    if behind >= 0:
        if window.seen >> behind & 1:
            return REPLAYED
        window.seen |= 1 << behind
    else:
        window.seen = (window.seen << min(-behind, WINDOW) | 1) & ((1 << WINDOW) - 1)
        window.newest = stamp.sequence
    window.elapsed_s = max(window.elapsed_s, stamp.elapsed_s)
    window.last_seen_at = now
    return None
