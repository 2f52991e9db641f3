"""Finds out whether a response that ended with its connection is complete."""

import collections.abc

from hornbeamglade.core import clocks
from hornbeamglade.engines import control
from hornbeamglade.observability import logs
from hornbeamglade.replicas import availability
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import callrouter, runends

ConnectionCheck = collections.abc.Callable[[str, float], collections.abc.Awaitable[bool | None]]
ListAge = collections.abc.Callable[[], float | None]


class EndInquiry:
    """Applies :mod:`hornbeamglade.routed.runends` to what is known, and asks servers.

    Explanation
    ===========

    A server is asked only after a response without a stated end. If nothing gave it a cause to
    close the connection, it may still have been killed: its system then closes its connections in
    order, and nothing listens at its address. Another connection shows this: if none can be
    opened, by this instance or another one, the response is not shown to be complete. One that is
    accepted is kept for another request, as the one that ended would have been.

    If something gave it a cause, a report takes a few milliseconds, and a connection is held for
    :data:`EXIT_S <hornbeamglade.routed.runends.EXIT_S>`; all have a timeout.

    :param available: the list of replicas.
    :param engines: reads the reports of engines.
    :param accepts_another: returns whether a server accepts another connection.
    :param stays_open: returns whether a new connection to an address is still open after a time.
    :param list_age_s: returns the seconds since the list was last confirmed, or None.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        available: availability.Availability,
        engines: control.EngineControl,
        accepts_another: collections.abc.Callable[[str], collections.abc.Awaitable[bool]],
        stays_open: ConnectionCheck,
        list_age_s: ListAge,
        clock: clocks.Clock,
    ) -> None:
        self._available = available
        self._engines = engines
        self._accepts_another = accepts_another
        self._stays_open = stays_open
        self._list_age_s = list_age_s
        self._clock = clock

    async def is_complete(
        self,
        routed: callrouter.RoutedRequest,
        replica: replicamodels.Replica,
        order: runends.StopOrder = runends.StopOrder.NONE,
    ) -> bool:
        """Return whether a response is complete whose connection was closed in order.

        :param order: the order to stop the run, if it is being migrated.
        """
        replicas = self._available.replicas
        state = runends.ServerState(
            replicas.is_usable(replica.id),
            self._available.is_evacuated(replica),
            replicas.is_replaced(replica),
            self._list_age_s(),
        )
        known = runends.causes(state, routed.ends_at - self._clock.now(), order)
        if not known:
            if await self._accepts_another(replica.address):
                return True
            known = (runends.Cause.KILLED,)
        inquiry = await self._inquire(routed, replica) if runends.may_be_excluded(known) else None
        is_complete = runends.is_complete(known, inquiry)
        logs.decided(
            routed.call.request_id,
            "end",
            "complete" if is_complete else "unproved",
            replica=replica.id,
            reason="+".join(known),
            evidence="-" if inquiry is None else inquiry.evidence,
        )
        return is_complete

    async def _inquire(
        self, routed: callrouter.RoutedRequest, replica: replicamodels.Replica
    ) -> runends.Inquiry:
        if routed.service.engine is not None:
            report = await self._engines.report(replica.address, new_only=True)
            inquiry = runends.from_report(replica, report)
            if inquiry is not None:
                return inquiry
        return runends.from_connection(await self._stays_open(replica.address, runends.EXIT_S))
