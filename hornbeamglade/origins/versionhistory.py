"""Which software versions of each service were listed, and since when.

Explanation
===========

If only one version of a service was listed since before a stream can have begun, that version
began it, and nothing needs to be stored or sent for single streams. An instance observes the
versions from its start on. What was before follows from a row that instances keep in the store
(:mod:`hornbeamglade.origins.versionrows`); it counts as long as the instance itself has observed
no change.
"""

import collections.abc
import dataclasses
import math

from hornbeamglade.core import clocks

CLOCK_MARGIN_S = 60.0
"""Wall clocks of two instances differ by less; a stored time may be by another one's."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredHistory:
    """The history of one service as stored.

    :param version: key of the only listed version, or None while there were several.
    :param since: Unix seconds since which it is the only one; 0 for always.
    """

    version: int | None
    since: float


@dataclasses.dataclass(slots=True)
class _Observed:
    versions: frozenset[int]
    since: float
    has_changed: bool = False


class VersionHistory:
    """The listed versions of each service, from one instance's start on.

    :param clock: monotonic and wall-clock time.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> history = VersionHistory(clock)
    >>> history.observe("llm", frozenset((1,)))
    False
    >>> clock.advance(60.0)
    >>> history.sole_version("llm", 50.0), history.sole_version("llm", 100.0)
    (1, None)
    >>> history.observe("llm", frozenset((1, 2)))
    True
    >>> history.sole_version("llm", 0.0) is None
    True
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._observed_by_service: dict[str, _Observed] = {}
        self._stored_by_service: dict[str, StoredHistory] = {}

    @property
    def services(self) -> collections.abc.Collection[str]:
        """The services that were observed."""
        return self._observed_by_service.keys()

    def observe(self, service: str, versions: frozenset[int]) -> bool:
        """Record the listed versions of a service; return whether one version became several.

        A list without replicas of the service is no change: the same version may come back.
        """
        observed = self._observed_by_service.get(service)
        if not versions:
            return False
        if observed is None:
            self._observed_by_service[service] = _Observed(versions, self._clock.now())
            return len(versions) > 1
        if observed.versions == versions:
            return False
        was_sole = len(observed.versions) == 1
        self._observed_by_service[service] = _Observed(versions, self._clock.now(), True)
        return was_sole

    def restore(self, service: str, stored: StoredHistory) -> None:
        """Use what instances have stored about a service."""
        self._stored_by_service[service] = stored

    def sole_version(self, service: str, window_s: float) -> int | None:
        """Return the only version that was listed in the last ``window_s``, or None."""
        observed = self._observed_by_service.get(service)
        if observed is None or len(observed.versions) != 1:
            return None
        if self._clock.now() - self._sole_since(service, observed, CLOCK_MARGIN_S) < window_s:
            return None
        return next(iter(observed.versions))

    def listed(self, service: str) -> frozenset[int]:
        """Return the versions that were listed last."""
        observed = self._observed_by_service.get(service)
        return frozenset() if observed is None else observed.versions

    def only_seen(self, service: str, window_s: float) -> int | None:
        """Return the only version seen in the last ``window_s``, 0 if several, None if none.

        Unlike :meth:`sole_version` this says nothing of the time before this instance's start.
        """
        observed = self._observed_by_service.get(service)
        if observed is None:
            return None
        is_recent = self._clock.now() - observed.since < window_s
        if len(observed.versions) != 1 or (observed.has_changed and is_recent):
            return 0
        return next(iter(observed.versions))

    def has_changed_within(self, service: str, window_s: float) -> bool:
        """Return whether the versions of a service were first seen, or changed, lately."""
        observed = self._observed_by_service.get(service)
        return observed is not None and self._clock.now() - observed.since < window_s

    def sole_for_s(self, service: str) -> float | None:
        """Return the seconds for which the listed version was the only one; None for always."""
        age_s = self._clock.now() - self._sole_since(service, self._observed_by_service[service])
        return None if math.isinf(age_s) else age_s

    def current(self, service: str) -> StoredHistory | None:
        """Return what is to be stored about a service, or None if it was not observed."""
        observed = self._observed_by_service.get(service)
        if observed is None:
            return None
        if len(observed.versions) != 1:
            return StoredHistory(None, 0.0)
        age_s = self._clock.now() - self._sole_since(service, observed)
        since = 0.0 if math.isinf(age_s) else self._clock.wall() - age_s
        return StoredHistory(next(iter(observed.versions)), since)

    def _sole_since(self, service: str, observed: _Observed, margin_s: float = 0.0) -> float:
        """Return the time since which one version is listed.

        :param margin_s: by how much a stored time may be too early.
        """
        stored = self._stored_by_service.get(service)
        if observed.has_changed or stored is None or observed.versions != {stored.version}:
            return observed.since
        if not stored.since:
            return -math.inf
        stored_age_s = self._clock.wall() - stored.since - margin_s
        return min(observed.since, self._clock.now() - stored_age_s)
