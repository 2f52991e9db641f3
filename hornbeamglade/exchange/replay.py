"""Protection against replayed and overtaken frames.

Explanation
===========

Per sender the guard holds one incarnation and a window of sequence numbers, as
IPsec does [1]_. What it lets through once it never lets through again.

A sender that is not known, or that comes with a higher incarnation, has no
window yet; its first frame must be fresh by wall-clock time. The assumption is
that the clocks of two nodes differ by less than :data:`MAX_SKEW_S`; a node
whose clock is further off is not heard by newly started peers, and the reason
``stale`` is counted. A frame recorded less than that long ago can be replayed,
once, to a node that restarted since: it is then a heartbeat or ask some seconds
old, which the protocols above tolerate as they tolerate delay.

A known sender's frame that is older by the *sender's own* monotonic time than
its newest by more than :data:`MAX_FRAME_DELAY_S` is dropped too. So no frame lives
longer than that after a newer one has arrived, which is what bounds the memory
of answers in :mod:`hornbeamglade.exchange.grantserver`, and steps of the
wall clock do not matter between nodes that know each other.

A sender that is silent for :data:`SENDER_RETENTION_S` is forgotten. This is safe, as
everything recorded before is stale by then, and it is needed: a node that
comes back under its old name with its clock a little behind has a lower
incarnation, and would otherwise never be heard again. It need not wait for that: who drops
its frames tells it which incarnation it is known under
(:class:`hornbeamglade.exchange.messages.SupersededIncarnation`), and it goes on above that one.

References
==========

.. [1] S. Kent: IP Encapsulating Security Payload, RFC 4303 (2005), section 3.4.3.
"""

import dataclasses

MAX_SKEW_S = 30.0
MAX_FRAME_DELAY_S = 10.0
SENDER_RETENTION_S = 3 * MAX_SKEW_S
NOTIFY_INTERVAL_S = 0.5
"""A sender that was outrun hears of it so often at most; a datagram may be lost."""

WINDOW = 1024
MAX_SENDERS = 2048

STALE = "stale"
REPLAYED = "replayed"
OLD_INCARNATION = "old_incarnation"
TOO_MANY_SENDERS = "too_many_senders"


@dataclasses.dataclass(frozen=True, slots=True)
class FrameStamp:
    """What the envelope says of a frame's origin.

    :param sender: the sending node's name.
    :param incarnation: the sender's incarnation.
    :param sequence: the frame's number within the incarnation; from 1.
    :param wall_s: the sender's wall clock, in seconds since the Unix epoch.
    :param elapsed_s: the sender's monotonic seconds since its start; the frame
        carries tenths, fine enough for :data:`MAX_FRAME_DELAY_S`.
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
    heard_at: float
    told_at: float = float("-inf")


class ReplayGuard:
    """Decides of each authenticated frame whether it is new.

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
        """Take note of a frame.

        :param stamp: the frame's origin; its authenticity has been checked.
        :param now: monotonic seconds.
        :param wall: wall-clock seconds.
        :returns: None if the frame is new, else the reason to drop it.
        """
        window = self._window_by_sender.get(stamp.sender)
        if window is not None and now - window.heard_at > SENDER_RETENTION_S:
            window = None
        if window is not None and stamp.incarnation < window.incarnation:
            return OLD_INCARNATION
        if window is None or stamp.incarnation > window.incarnation:
            return self._begin(stamp, now, wall)
        return _advance(window, stamp, now)

    def superseding_incarnation(self, stamp: FrameStamp, now: float, wall: float) -> int | None:
        """Return the incarnation that a frame's sender must go above, or None.

        A frame that is not fresh is one that was recorded, and is not answered; nor is more
        than one frame of a sender in :data:`NOTIFY_INTERVAL_S`.
        """
        window = self._window_by_sender.get(stamp.sender)
        if window is None or stamp.incarnation >= window.incarnation:
            return None
        if abs(wall - stamp.wall_s) > MAX_SKEW_S or now - window.told_at < NOTIFY_INTERVAL_S:
            return None
        window.told_at = now
        return window.incarnation

    def _begin(self, stamp: FrameStamp, now: float, wall: float) -> str | None:
        # Guards against a recorded frame of a dead node that is played to a
        # node started since, which would show as that node coming to life:
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
            if now - window.heard_at <= SENDER_RETENTION_S
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
    window.heard_at = now
    return None
