"""Finds out whether a response that ended with its connection is complete."""

import collections.abc

from hornbeamglade.core import clocks
from hornbeamglade.engines import control
from hornbeamglade.observability import logs
from hornbeamglade.replicas import availability
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import callrouter, runends

ListeningCheck = collections.abc.Callable[[str], collections.abc.Awaitable[bool | None]]


class EndInquiry:
    """Applies :mod:`hornbeamglade.routed.runends` to what is known, and asks servers.

    Explanation
    ===========

    A server is asked only after a response without a stated end, and only if something gave the
    server a cause to close the connection. An engine is asked for its report, any other server for
    a connection; each takes a few milliseconds and has a timeout.

    :param available: the list of replicas.
    :param engines: reads the reports of engines.
    :param is_listening: opens a connection to an address.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        available: availability.Availability,
        engines: control.EngineControl,
        is_listening: ListeningCheck,
        clock: clocks.Clock,
    ) -> None:
        self._available = available
        self._engines = engines
        self._is_listening = is_listening
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
        )
        known = runends.causes(state, routed.ends_at - self._clock.now(), order)
        if not known:
            return True
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
        if routed.service.engine is None:
            return runends.from_listening(await self._is_listening(replica.address))
        report = await self._engines.report(replica.address, new_only=True)
        return runends.from_report(replica, report)
