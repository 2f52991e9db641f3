"""Services whose replicas share their machines with other work.

Explanation
===========

Such replicas report how long work currently takes on their machine. Instances observe this in
the responses that they receive; nothing is exchanged between them. All decisions that depend on
the speed of machines ask :meth:`SharedMachines.shares_machines` first, so other services are
served as if this state did not exist.
"""

import collections.abc
import typing

from hornbeamglade.core import clocks
from hornbeamglade.observability import logs

RETENTION_S = 60.0
"""How long a report counts. A service with little traffic gets a response every few seconds."""


class LoadReport(typing.Protocol):
    """The part of a load report that is observed here."""

    @property
    def slowdown(self) -> float | None:
        """How long work takes relative to the normal time, or None if it is not reported."""


class SharedMachines:
    """Whether the replicas of a service share their machines, by service.

    :param clock: monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._reported_at_by_service: dict[str, float] = {}

    def observe(self, service: str, load: LoadReport) -> None:
        """Record a load report of a replica; one without a slowdown changes nothing."""
        if load.slowdown is None:
            return
        if not self.shares_machines(service):
            logs.state_changed("replica_machines", "own", "shared", service=service)
        self._reported_at_by_service[service] = self._clock.now()

    def shares_machines(self, service: str) -> bool:
        """Return whether a replica of a service reported a slowdown recently."""
        reported_at = self._reported_at_by_service.get(service)
        return reported_at is not None and self._clock.now() - reported_at <= RETENTION_S

    def configure(self, services: collections.abc.Container[str]) -> None:
        """Forget the services that are not configured any more, which bounds the table."""
        for service in tuple(self._reported_at_by_service):
            if service not in services:
                del self._reported_at_by_service[service]

    def forget_old(self) -> None:
        """Forget the services without a recent report; to be called about every second."""
        for service in tuple(self._reported_at_by_service):
            if not self.shares_machines(service):
                del self._reported_at_by_service[service]
                logs.state_changed("replica_machines", "shared", "own", service=service)
