"""Decides whether this instance follows the store, and which instances it sends versions to.

Explanation
===========

At sites where a few instances follow the store for all
(:mod:`hornbeamglade.membership.followers`), a follower sends a version announcement to each
instance assigned to it every :data:`ANNOUNCE_INTERVAL_S`, and several after each change. The
announcement carries the versions that its sender holds and whether the store answers the
sender. An instance that receives none from a follower that reaches the store falls back to
following the store itself, until it receives one again.
"""

import collections.abc
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages
from hornbeamglade.membership import followers
from hornbeamglade.observability import logs
from hornbeamglade.replicas import evacuations as evacuationlib

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCEMENT_TIMEOUT_S = 2.2
"""Two announcements are missing, of each of two followers. A change must be in force within
3 s, and an instance that falls back reads it within some hundredths of a second."""

CHANGE_REPEATS = 3
CHANGE_REPEAT_INTERVAL_S = 0.2
"""Interval at which a change is announced repeatedly: one datagram may be lost, and the next
regular announcement would come too late."""

MIN_FALLBACK_S = 1.0
"""Prevents flapping when single announcements are lost, since each start of following costs a
snapshot of all tables. But after a store outage every instance of a site is in fallback, and
each further second costs calls by all of them."""

INSTANCE_LIST_TIMEOUT_S = 1.0
"""A starting instance waits this long for the list of the other instances, which determines
whether it follows at all."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingAnnouncement:
    """A version announcement to send.

    :param node: the recipient's name.
    :param message: the announcement.
    """

    node: str
    message: messages.VersionAnnouncement


class FollowerRole:
    """One instance's role in following the store; for the event loop only.

    :param name: this instance's name.
    :param versions: returns the configuration revision and the replica list version held here.
    :param evacuations: returns the evacuated failure domains known here.
    :param is_store_reached: returns whether the store answers this instance.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        name: str,
        versions: collections.abc.Callable[[], tuple[int, int]],
        evacuations: collections.abc.Callable[[], evacuationlib.Evacuations],
        is_store_reached: collections.abc.Callable[[], bool],
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._versions = versions
        self._evacuations = evacuations
        self._is_store_reached = is_store_reached
        self._clock = clock
        self._nodes: tuple[str, ...] = ()
        self._notified: tuple[str, ...] = ()
        self._is_chosen = False
        self._starts_at = clock.now() + INSTANCE_LIST_TIMEOUT_S
        self._follower_last_seen_at = clock.now()
        self._fallback_until = float("-inf")
        self._next_announcement_at = clock.now()
        self._announced: tuple[tuple[int, int], frozenset[str]] = ((0, 0), frozenset())
        self._change_repeats_left = 0
        self.is_following = False

    def on_instance_list(self) -> None:
        """Record that the list of the other instances was read."""
        self._starts_at = min(self._starts_at, self._clock.now())

    def on_announcement(self, announcement: messages.VersionAnnouncement) -> None:
        """Process an announcement, which shows that a follower reaches the store."""
        if announcement.is_reached:
            self._follower_last_seen_at = self._clock.now()

    def tick(self, nodes: tuple[str, ...]) -> tuple[OutgoingAnnouncement, ...]:
        """Return the announcements that are due, and update ``is_following``.

        :param nodes: sorted names of the live instances.
        """
        now = self._clock.now()
        if nodes != self._nodes:
            self._choose(nodes)
        self._decide(now)
        return self._due_announcements(now)

    @property
    def has_pending_announcements(self) -> bool:
        """Whether announcements of a change are still to be sent."""
        return bool(self._notified) and self._change_repeats_left > 0

    @property
    def is_fallback(self) -> bool:
        """Whether it follows only because no follower reaches the store."""
        return self.is_following and not self._is_chosen

    def _choose(self, nodes: tuple[str, ...]) -> None:
        chosen = followers.select(nodes)
        self._nodes = nodes
        # A leaving instance is no longer among the live ones, so no follower announces
        # versions to it, but it serves callers for some more seconds.
        self._is_chosen = self._name in chosen or self._name not in nodes
        self._notified = ()
        if self._is_chosen:
            self._notified = tuple(
                node for node in nodes if self._name in followers.notifiers(node, chosen)
            )

    def _decide(self, now: float) -> None:
        if now < self._starts_at:
            return
        if now - self._follower_last_seen_at > ANNOUNCEMENT_TIMEOUT_S:
            self._fallback_until = now + MIN_FALLBACK_S
        if self._is_chosen:
            self._follower_last_seen_at = now
        is_following = self._is_chosen or now < self._fallback_until
        if is_following is not self.is_following:
            self.is_following = is_following
            logs.state_changed(
                "follower",
                "no" if is_following else "yes",
                "yes" if is_following else "no",
                reason="chosen" if self._is_chosen else "alone" if is_following else "told",
                count=len(self._nodes),
            )

    def _due_announcements(self, now: float) -> tuple[OutgoingAnnouncement, ...]:
        versions, evacuations = self._versions(), self._evacuations()
        if (versions, evacuations.domains) != self._announced:
            self._announced = (versions, evacuations.domains)
            self._change_repeats_left = CHANGE_REPEATS
            self._next_announcement_at = now
        if not self._notified or now < self._next_announcement_at:
            return ()
        self._change_repeats_left = max(0, self._change_repeats_left - 1)
        self._next_announcement_at = now + (
            CHANGE_REPEAT_INTERVAL_S if self._change_repeats_left else ANNOUNCE_INTERVAL_S
        )
        message = messages.VersionAnnouncement(*versions, self._is_store_reached(), evacuations)
        return tuple(OutgoingAnnouncement(node, message) for node in self._notified)
