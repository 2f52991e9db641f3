"""The calls to an engine beside its streams, behind an abstract class."""

import abc

from hornbeamglade.engines import models


class EngineControl(abc.ABC):
    """Reads reports and copies runs."""

    @abc.abstractmethod
    async def report(self, address: str) -> models.EngineReport | models.ReportFailed:
        """Read an engine's report.

        :param address: ``ip:port`` of the engine.
        """

    @abc.abstractmethod
    async def copy_kv_cache(
        self, address: str, request_id: str, to: str, *, is_last: bool, timeout_s: float
    ) -> models.CopySucceeded | models.CopyFailed:
        """Copy a run's memory to another engine; a second call copies what is new.

        :param address: ``ip:port`` of the engine that runs it.
        :param request_id: the run.
        :param to: ``ip:port`` of the other engine.
        :param is_last: whether the run stops first, to go on at the other engine.
        :param timeout_s: longest wait for the copy.
        """

    @abc.abstractmethod
    async def drop_copy(self, address: str, name: str) -> bool:
        """Free a copy that is not to be used; return whether the engine answered."""
