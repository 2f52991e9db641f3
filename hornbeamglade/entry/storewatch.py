"""Whether this instance follows the store itself, and whom it tells what is new there.

Explanation
===========

At sites where a few instances follow the store for all
(:mod:`hornbeamglade.membership.followers`), a follower sends each instance that it tells
a hint each :data:`HINT_EVERY_S`, and several at each change. A hint names the versions
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

HINT_EVERY_S = 1.0
LEFT_ALONE_S = 2.2
"""Two hints are missing, of each of two followers. A change must be in force within 3 s,
and an instance on its own reads it in some hundredths of a second."""

CHANGE_HINTS = 3
CHANGE_HINT_EVERY_S = 0.2
"""A change is told this often: one datagram may be lost, and the next regular hint comes
too late to matter."""

ALONE_AT_LEAST_S = 1.0
"""One lost hint more or less must not have it begin and end all the time: each beginning
costs a reading of the whole tables. But after an outage of the store every instance of a site
is on its own, and each further second is paid for by all."""

BEGIN_S = 1.0
"""An instance that starts waits so long for the list of the others, which tells it
whether it follows at all."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hint:
    """A hint to send.

    :param node: the recipient's name.
    :param message: what it is told.
    """

    node: str
    message: messages.VersionAnnouncement


class StoreWatch:
    """One instance's part in following the store; to be used on the event loop only.

    :param name: this instance's name.
    :param versions: returns the configuration's revision and the list's version here.
    :param evacuations: returns the evacuated failure domains as they are known here.
    :param reached: returns whether the store answers this instance.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        name: str,
        versions: collections.abc.Callable[[], tuple[int, int]],
        evacuations: collections.abc.Callable[[], evacuationlib.Evacuations],
        reached: collections.abc.Callable[[], bool],
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._versions = versions
        self._evacuations = evacuations
        self._reached = reached
        self._clock = clock
        self._nodes: tuple[str, ...] = ()
        self._told: tuple[str, ...] = ()
        self._is_chosen = False
        self._begins_at = clock.now() + BEGIN_S
        self._heard_at = clock.now()
        self._alone_until = float("-inf")
        self._hint_at = clock.now()
        self._hinted: tuple[tuple[int, int], frozenset[str]] = ((0, 0), frozenset())
        self._change_hints = 0
        self.is_following = False

    def on_introduction(self) -> None:
        """Note that the list of the others was read."""
        self._begins_at = min(self._begins_at, self._clock.now())

    def heard(self, hint: messages.VersionAnnouncement) -> None:
        """Take a hint: a follower lives."""
        if hint.is_reached:
            self._heard_at = self._clock.now()

    def tick(self, nodes: tuple[str, ...]) -> tuple[Hint, ...]:
        """Return the hints that are due; whether to follow is then in ``is_following``.

        :param nodes: names of the instances that live, in order.
        """
        now = self._clock.now()
        if nodes != self._nodes:
            self._choose(nodes)
        self._decide(now)
        return self._hints(now)

    @property
    def is_telling(self) -> bool:
        """Whether hints of a change are still to be sent."""
        return bool(self._told) and self._change_hints > 0

    @property
    def is_on_its_own(self) -> bool:
        """Whether it follows only for want of a follower that reaches the store."""
        return self.is_following and not self._is_chosen

    def _choose(self, nodes: tuple[str, ...]) -> None:
        chosen = followers.select(nodes)
        self._nodes = nodes
        # An instance that leaves is no more among them: nobody tells it anything, and it
        # serves its callers for some seconds yet.
        self._is_chosen = self._name in chosen or self._name not in nodes
        self._told = ()
        if self._is_chosen:
            self._told = tuple(
                node for node in nodes if self._name in followers.notifiers(node, chosen)
            )

    def _decide(self, now: float) -> None:
        if now < self._begins_at:
            return
        if now - self._heard_at > LEFT_ALONE_S:
            self._alone_until = now + ALONE_AT_LEAST_S
        if self._is_chosen:
            self._heard_at = now
        is_following = self._is_chosen or now < self._alone_until
        if is_following is not self.is_following:
            self.is_following = is_following
            logs.state_changed(
                "follower",
                "no" if is_following else "yes",
                "yes" if is_following else "no",
                reason="chosen" if self._is_chosen else "alone" if is_following else "told",
                count=len(self._nodes),
            )

    def _hints(self, now: float) -> tuple[Hint, ...]:
        versions, evacuations = self._versions(), self._evacuations()
        if (versions, evacuations.domains) != self._hinted:
            self._hinted = (versions, evacuations.domains)
            self._change_hints = CHANGE_HINTS
            self._hint_at = now
        if not self._told or now < self._hint_at:
            return ()
        self._change_hints = max(0, self._change_hints - 1)
        self._hint_at = now + (CHANGE_HINT_EVERY_S if self._change_hints else HINT_EVERY_S)
        message = messages.VersionAnnouncement(*versions, self._reached(), evacuations)
        return tuple(Hint(node, message) for node in self._told)
