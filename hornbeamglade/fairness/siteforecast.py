"""When a request would start, by the requests that wait at all owners of a service's replicas.

Explanation
===========

Addresses surges in which more requests arrive than can start in time. Each owner refuses
what cannot start in time in its own queue, but a request may wait at one owner and then at
the next, and was refused after several seconds, without having been offered to an engine.

The forecast divides the waiting requests that are at least as urgent by the rate at which
waiting requests start at the whole site. Queues serve requests that can still be on time before
late ones of the same priority, so a request that can start on time is only behind the former, and
a late one also behind those that arrive after it. More urgent requests that arrive later are
not counted, so it tends to be too short, and requests that could start are rarely refused.

Entries expire after :data:`ENTRY_LIFE_S`: an owner that is partitioned, frozen or gone no
longer starts requests, and those that waited there go elsewhere.
"""

import collections.abc
import dataclasses
import math

from hornbeamglade.core import clocks

ENTRY_LIFE_S = 2.0
MIN_STARTS_PER_S = 2.5
"""Five starts within the window over which rates are measured. A lower rate is too uncertain to
refuse requests by."""

OPTIMISM = 1.5
"""Requests are assumed to start this much faster than lately: with 10 to 20 starts in the
measured window, the rate itself is uncertain by a third."""

MAX_OWNERS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ClassState:
    """The requests of one priority that wait at one owner.

    :param priority: larger is more urgent.
    :param waiting: requests in the owner's queues.
    :param starts_per_s: how many of them have lately started per second.
    :param on_time: those of the waiting requests that can still be on time.
    """

    priority: int
    waiting: int
    starts_per_s: float
    on_time: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _OwnerState:
    classes: tuple[ClassState, ...]
    made_at: float


@dataclasses.dataclass(slots=True)
class Position:
    """Where a request stands among those of its own priority; kept while it waits.

    :param ahead: an upper estimate of the requests that start before it; None until the first
        forecast.
    :param updated_at: when ``ahead`` was estimated.
    """

    ahead: float | None = None
    updated_at: float = 0.0


class SiteForecast:
    """The waiting requests of one service at the whole site.

    :param clock: monotonic time.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> site = SiteForecast(clock)
    >>> site.record("n1", (ClassState(9, 10, 5.0, 10), ClassState(7, 10, 5.0, 10)))
    >>> site.start_s(9, Position()), site.start_s(7, Position())
    (1.0, 2.0)
    >>> clock.advance(2.5)
    >>> site.start_s(9, Position()) is None
    True
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._state_by_owner: dict[str | int, _OwnerState] = {}

    def record(
        self, owner: str | int, classes: collections.abc.Iterable[ClassState], age_s: float = 0.0
    ) -> None:
        """Record an owner's waiting requests, unless newer ones are known.

        :param owner: identifies the owner.
        :param classes: all classes of which requests wait there.
        :param age_s: the time since the owner counted them.
        """
        now = self._clock.now()
        made_at = now - age_s
        known = self._state_by_owner.get(owner)
        if known is not None and known.made_at > made_at:
            return
        states = tuple(each for each in classes if each.waiting)
        if not states and (known is None or not known.classes):
            # Most instances own no replicas. If each of them was kept and passed on as one
            # without waiting requests, they would take the places of the owners.
            return
        if known is None and len(self._state_by_owner) >= MAX_OWNERS:
            self._state_by_owner = dict(self._current())
        if known is not None or len(self._state_by_owner) < MAX_OWNERS:
            self._state_by_owner[owner] = _OwnerState(states, made_at)

    def owners(self) -> dict[str | int, tuple[tuple[ClassState, ...], float]]:
        """Return the waiting requests of each owner, and their age in seconds."""
        now = self._clock.now()
        return {owner: (state.classes, now - state.made_at) for owner, state in self._current()}

    def start_s(
        self,
        priority: int,
        position: Position,
        due_s: float = math.inf,
        own: collections.abc.Iterable[ClassState] = (),
    ) -> float | None:
        """Return the expected seconds until a request starts; None without a forecast.

        :param priority: of the request.
        :param position: of the request; updated.
        :param due_s: seconds until it must start to be on time.
        :param own: the waiting requests at this node.
        """
        states = [each for _, state in self._current() for each in state.classes]
        if not states:
            return None
        states += own
        rate = sum(each.starts_per_s for each in states)
        if rate < MIN_STARTS_PER_S:
            return None
        same = [each for each in states if each.priority == priority]
        same_rate = sum(each.starts_per_s for each in same)
        more_urgent = sum(each.waiting for each in states if each.priority > priority)
        now = self._clock.now()
        ahead = float(sum(each.on_time for each in same))
        if position.ahead is not None:
            started = (now - position.updated_at) * same_rate
            ahead = min(ahead, max(0.0, position.ahead - started))
        position.ahead, position.updated_at = ahead, now
        on_time_s = (ahead + more_urgent) / rate
        if not is_too_late(on_time_s, due_s):
            return on_time_s
        return (sum(each.waiting for each in same) + more_urgent) / rate

    def _current(self) -> list[tuple[str | int, _OwnerState]]:
        now = self._clock.now()
        return [
            (owner, state)
            for owner, state in self._state_by_owner.items()
            if now - state.made_at <= ENTRY_LIFE_S
        ]


def is_too_late(start_s: float, left_s: float) -> bool:
    """Return whether a request cannot start in time even if the site serves faster.

    :param start_s: the forecast.
    :param left_s: seconds until the latest useful start.

    Examples
    ========

    >>> is_too_late(2.0, 1.5), is_too_late(2.0, 1.2)
    (False, True)
    """
    return start_s / OPTIMISM > left_s
