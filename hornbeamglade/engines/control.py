"""The abstract class of control calls to an engine."""

import abc

from hornbeamglade.engines import models


class EngineControl(abc.ABC):
    """Reads reports and copies the KV cache of runs."""

    @abc.abstractmethod
    async def report(
        self, address: str, *, new_only: bool = False
    ) -> models.EngineReport | models.ReportFailed:
        """Read an engine's report.

        :param address: ``ip:port`` of the engine.
        :param new_only: whether it must accept a new connection for that.
        """

    @abc.abstractmethod
    async def copy_kv_cache(
        self, address: str, request_id: str, to: str, *, is_last: bool, timeout_s: float
    ) -> models.CopySucceeded | models.CopyFailed:
        """Copy a run's KV cache to another engine; a second call copies what was added.

        :param address: ``ip:port`` of the engine that runs it.
        :param request_id: the request that the run serves.
        :param to: ``ip:port`` of the other engine.
        :param is_last: whether the run is stopped before the copy, so that it can continue
            at the other engine.
        :param timeout_s: the longest wait for the copy.
        """

    @abc.abstractmethod
    async def drop_copy(self, address: str, name: str) -> bool:
        """Free a copy that will not be used; return whether the engine says that it is freed.

        :param address: ``ip:port`` of the engine that holds the copy.
        :param name: the name of the copy.
        """
