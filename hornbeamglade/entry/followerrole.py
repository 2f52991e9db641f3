"""Whether this instance follows the store itself, and whom it tells what is new there.

Explanation
===========

At sites where a few instances follow the store for all
(:mod:`hornbeamglade.membership.followers`), a follower sends each instance that it tells
a hint each :data:`ANNOUNCE_INTERVAL_S`, and several at each change. A hint names the versions
that its sender has, and says whether the store answers it. An instance that hears of no
follower that reaches the store is on its own: it follows the store itself until it hears
of one again.
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
"""Two hints are missing, of each of two followers. A change must be in force within 3 s,
and an instance on its own reads it in some hundredths of a second."""

CHANGE_REPEATS = 3
CHANGE_REPEAT_INTERVAL_S = 0.2
"""A change is told this often: one datagram may be lost, and the next regular hint comes
too late to matter."""

MIN_FALLBACK_S = 1.0
"""One lost hint more or less must not have it begin and end all the time: each beginning
costs a reading of the whole tables. But after an outage of the store every instance of a site
is on its own, and each further second is paid for by all."""

INTRODUCTION_TIMEOUT_S = 1.0
"""An instance that starts waits so long for the list of the others, which tells it
whether it follows at all."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingAnnouncement:
    """A hint to send.

    :param node: the recipient's name.
    :param message: what it is told.
    """

    node: str
    message: messages.VersionAnnouncement


class FollowerRole:
    """One instance's part in following the store; to be used on the event loop only.

    :param name: this instance's name.
    :param versions: returns the configuration's revision and the list's version here.
    :param evacuations: returns the evacuated failure domains as they are known here.
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
        self._starts_at = clock.now() + INTRODUCTION_TIMEOUT_S
        self._last_announced_at = clock.now()
        self._fallback_until = float("-inf")
        self._next_announcement_at = clock.now()
        self._announced: tuple[tuple[int, int], frozenset[str]] = ((0, 0), frozenset())
        self._change_repeats_left = 0
        self.is_following = False

    def on_introduction(self) -> None:
        """Note that the list of the others was read."""
        self._starts_at = min(self._starts_at, self._clock.now())

    def on_announcement(self, announcement: messages.VersionAnnouncement) -> None:
        """Take a announcement: a follower lives."""
        if announcement.is_reached:
            self._last_announced_at = self._clock.now()

    def tick(self, nodes: tuple[str, ...]) -> tuple[OutgoingAnnouncement, ...]:
        """Return the hints that are due; whether to follow is then in ``is_following``.

        :param nodes: names of the instances that live, in order.
        """
        now = self._clock.now()
        if nodes != self._nodes:
            self._choose(nodes)
        self._decide(now)
        return self._due_announcements(now)

    @property
    def has_pending_announcements(self) -> bool:
        """Whether hints of a change are still to be sent."""
        return bool(self._notified) and self._change_repeats_left > 0

    @property
    def is_fallback(self) -> bool:
        """Whether it follows only for want of a follower that reaches the store."""
        return self.is_following and not self._is_chosen

    def _choose(self, nodes: tuple[str, ...]) -> None:
        chosen = followers.select(nodes)
        self._nodes = nodes
        # An instance that leaves is no more among them: nobody tells it anything, and it
        # serves its callers for some seconds yet.
        self._is_chosen = self._name in chosen or self._name not in nodes
        self._notified = ()
        if self._is_chosen:
            self._notified = tuple(
                node for node in nodes if self._name in followers.notifiers(node, chosen)
            )

    def _decide(self, now: float) -> None:
        if now < self._starts_at:
            return
        if now - self._last_announced_at > ANNOUNCEMENT_TIMEOUT_S:
            self._fallback_until = now + MIN_FALLBACK_S
        if self._is_chosen:
            self._last_announced_at = now
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
