"""Applies the paces of this instance's engines to their schedulers and logs which are slow."""

import collections.abc

from hornbeamglade.grants import schedulerset
from hornbeamglade.observability import logs
from hornbeamglade.replicas import models
from hornbeamglade.routed import enginecatalog

SLOW_FROM = 1.5
NORMAL_BELOW = 1.25
"""Two bounds, so that an engine between them is not logged with every measurement."""

NORMAL = "normal"
SLOW = "slow"


class EnginePaces:
    """Keeps each owned engine's slow factor up to date at its scheduler.

    :param owned_engines: returns the engines that this instance owns.
    :param catalog: provides the outlook of each engine.
    :param schedulers: this instance's schedulers.
    """

    def __init__(
        self,
        owned_engines: collections.abc.Callable[[], collections.abc.Iterable[models.Replica]],
        catalog: enginecatalog.EngineCatalog,
        schedulers: schedulerset.SchedulerSet,
    ) -> None:
        self._owned_engines = owned_engines
        self._catalog = catalog
        self._schedulers = schedulers
        self._factor_by_replica: dict[str, float] = {}
        self._service_by_slow: dict[str, str] = {}

    def update(self) -> None:
        """Apply the present slow factors; called about once a second."""
        factors: dict[str, float] = {}
        for replica in self._owned_engines():
            outlook = self._catalog.outlook(replica)
            factor = 1.0 if outlook is None else outlook.slow_factor
            if outlook is not None:
                factors[replica.id] = factor
            if factor != self._factor_by_replica.get(replica.id, 1.0):
                self._set_factor(replica.id, factor)
                self._log_change(replica, factor)
        self._factor_by_replica = factors
        for replica_id in self._service_by_slow.keys() - factors.keys():
            del self._service_by_slow[replica_id]

    @property
    def factors(self) -> collections.abc.Mapping[str, float]:
        """The slow factor of each owned engine whose service is placed by pace."""
        return self._factor_by_replica

    def slow_count(self, service: str) -> int:
        """Return how many of this instance's engines of a service are slow."""
        return sum(each == service for each in self._service_by_slow.values())

    def _set_factor(self, replica_id: str, factor: float) -> None:
        self._schedulers.apply(
            replica_id, lambda scheduler, now: scheduler.prompts.set_slow_factor(factor, now)
        )

    def _log_change(self, replica: models.Replica, factor: float) -> None:
        was_slow = replica.id in self._service_by_slow
        is_slow = factor >= (NORMAL_BELOW if was_slow else SLOW_FROM)
        if is_slow:
            self._service_by_slow[replica.id] = replica.service
        else:
            self._service_by_slow.pop(replica.id, None)
        logs.state_changed(
            "engine_pace",
            SLOW if was_slow else NORMAL,
            SLOW if is_slow else NORMAL,
            replica=replica.id,
            service=replica.service,
            slow_factor=round(factor, 2),
        )
