"""A run whose stream has broken off, and which its engine may still work on.

Explanation
===========

A stream that may be resumed continues at another engine when its connection breaks off. Most
engines stop a run whose connection is closed, but not all do, and two of them must not work on one
request for long. An engine that moves runs is therefore ordered to stop this one, with the next
engine as its destination. If it copies the run there, the next engine continues from the copy and
reads no part of the prompt again.

The order is answered at once by an engine that has exited, as nothing listens at its address. An
engine that is reached stops the run when it gets the order, so the wait for the copy leaves the
run stopped. One that does not answer in time may be gone; the stream then continues without the
copy, which would otherwise never come. Engines that do not move runs have no call to stop one:
closing the connection is all that can be done there.
"""

import asyncio

from hornbeamglade.engines import models
from hornbeamglade.observability import logs
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import calls, migration

MAX_WAIT_S = 0.3
"""Two engines may work on a request for 400 ms."""

ORDER_TIMEOUT_S = 0.8
RETRY_INTERVAL_S = 0.05
MAX_ORDERS = 4

_BUSY = "busy"
_ENDED_CODES = frozenset(("no_run", "not_listening"))


class FormerRun:
    """Stops one run.

    :param replica: the engine that may work on it.
    :param request_id: the request id of the run.
    :param dependencies: shared dependencies of migrations.
    """

    def __init__(
        self,
        replica: replicamodels.Replica,
        request_id: str,
        dependencies: migration.MigrationDependencies,
    ) -> None:
        self._replica = replica
        self._request_id = request_id
        self._dependencies = dependencies
        self._is_awaited = False

    async def stop(self, to: replicamodels.Replica) -> calls.KvCopy | None:
        """Stop the run; return its copy at the next engine, or None if there is none in time.

        :param to: the engine at which its stream continues.
        """
        if self._dependencies.catalog.replica(self._replica.id) is None:
            return None
        self._is_awaited = True
        stopping = asyncio.ensure_future(self._stop(to))
        self._dependencies.track(stopping)
        try:
            await asyncio.wait((stopping,), timeout=MAX_WAIT_S)
        finally:
            self._is_awaited = False
        return stopping.result() if stopping.done() else None

    async def _stop(self, to: replicamodels.Replica) -> calls.KvCopy | None:
        """Order the engine to stop the run; a copy that nobody awaits is freed."""
        result = await self._order(to)
        for _ in range(MAX_ORDERS - 1):
            if not isinstance(result, models.CopyFailed) or result.code != _BUSY:
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
            result = await self._order(to)
        is_copied = isinstance(result, models.CopySucceeded)
        is_stopped = result.name is not None or result.code in _ENDED_CODES
        logs.decided(
            self._request_id,
            "stop",
            "confirmed" if is_stopped else "unconfirmed",
            replica=self._replica.id,
            evidence="stopped" if is_copied else result.code,
        )
        if is_copied and self._is_awaited:
            return calls.KvCopy(self._replica.address, result.name)
        if result.name is not None:
            self._dependencies.free_copy(result.name, (self._replica.address, to.address))
        return None

    async def _order(self, to: replicamodels.Replica) -> models.CopySucceeded | models.CopyFailed:
        return await self._dependencies.engines.copy_kv_cache(
            self._replica.address,
            self._request_id,
            to.address,
            is_last=True,
            timeout_s=ORDER_TIMEOUT_S,
        )
