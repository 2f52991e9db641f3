"""The memory that this instance's engines keep free, and the log of when it is for departures."""

import collections
import collections.abc

from hornbeamglade.grants import schedulerset
from hornbeamglade.observability import logs
from hornbeamglade.replicas import models

NONE = "none"
RESERVED = "reserved"


class ReservedMemory:
    """The reserved memory of each service whose engines this instance owns.

    :param owned_engines: returns the engines that this instance owns.
    :param schedulers: this instance's schedulers.
    :param departing_share: returns the share of a service's engines that departs together.
    """

    def __init__(
        self,
        owned_engines: collections.abc.Callable[[], collections.abc.Iterable[models.Replica]],
        schedulers: schedulerset.SchedulerSet,
        departing_share: collections.abc.Callable[[str], float],
    ) -> None:
        self._owned_engines = owned_engines
        self._schedulers = schedulers
        self._departing_share = departing_share
        self._departing: frozenset[str] = frozenset()

    def by_service(self) -> dict[str, schedulerset.ReservedTokens]:
        """Return the tokens that new requests leave free at present."""
        replicas_by_service = collections.defaultdict(list)
        for replica in self._owned_engines():
            replicas_by_service[replica.service].append(replica.id)
        return {
            service: self._schedulers.reserved_memory(replicas)
            for service, replicas in replicas_by_service.items()
        }

    def update(self) -> None:
        """Log the services for which headroom begins or ends; called about once a second."""
        reserved = self.by_service()
        departing = frozenset(name for name, each in reserved.items() if each.departing)
        for service in sorted(departing - self._departing):
            logs.state_changed(
                "departing_memory",
                NONE,
                RESERVED,
                service=service,
                room=reserved[service].departing,
                share=round(self._departing_share(service), 3),
            )
        for service in sorted(self._departing - departing):
            logs.state_changed("departing_memory", RESERVED, NONE, service=service, room=0)
        self._departing = departing
