"""How large a share of a service's engines departs together."""

import collections
import dataclasses

DEPARTURE_WINDOW_S = 10.0
"""Departures of the last 10 s show whether engines keep departing: where they do, some depart
every 3.3 s."""

TOGETHER_S = 1.0
"""Departures within this time of the first one are one group: the list's changes may arrive in
several batches."""

MIN_DEPARTURES = 2
MAX_SHARE = 0.25
"""The largest group is a failure domain that is evacuated, a quarter of the engines."""

MAX_GROUPS = 8


@dataclasses.dataclass(slots=True)
class _Group:
    began_at: float
    present: int
    replicas: set[str]

    @property
    def share(self) -> float:
        return len(self.replicas) / max(1, self.present)


class Departures:
    """The recent departures of each service's engines, by the replica list.

    Examples
    ========

    >>> departures = Departures()
    >>> for number in range(4):
    ...     departures.record("chat", f"e{number}", present=20, now=5.0)
    >>> departures.share("chat", now=6.0), departures.share("chat", now=16.0)
    (0.2, 0.0)
    """

    def __init__(self) -> None:
        self._groups_by_service: dict[str, collections.deque[_Group]] = {}

    def record(self, service: str, replica: str, present: int, now: float) -> None:
        """Record that an engine is leaving or gone; only its first departure counts.

        :param present: the service's engines, with this one.
        """
        groups = self._groups_by_service.setdefault(service, collections.deque(maxlen=MAX_GROUPS))
        if any(replica in group.replicas for group in groups):
            return
        if not groups or now - groups[-1].began_at > TOGETHER_S:
            groups.append(_Group(now, present, set()))
        groups[-1].replicas.add(replica)

    def keep_services(self, services: frozenset[str]) -> None:
        """Forget services that are no longer configured."""
        for service in self._groups_by_service.keys() - services:
            del self._groups_by_service[service]

    def share(self, service: str, now: float) -> float:
        """Return the share of a service's engines whose runs the next departures will move.

        It is 0 unless engines keep departing, and at most a quarter.
        """
        recent = [
            group
            for group in self._groups_by_service.get(service, ())
            if now - group.began_at <= DEPARTURE_WINDOW_S
        ]
        if sum(len(group.replicas) for group in recent) < MIN_DEPARTURES:
            return 0.0
        return min(MAX_SHARE, sum(group.share for group in recent) / len(recent))
