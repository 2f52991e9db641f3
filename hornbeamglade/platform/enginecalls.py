"""The platform's calls to engines: reports and copies of runs."""

import asyncio
import dataclasses
import json
import typing

import pydantic

from hornbeamglade.engines import control, models
from hornbeamglade.http1 import clientpool, clientside
from hornbeamglade.observability import logs
from hornbeamglade.platform import requestdialect
from hornbeamglade.replicas import ratelimits

REPORT_TIMEOUT_S = 0.6
"""A report takes a few milliseconds; its engine is held for silent after that."""

DROP_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 262_144

_MS = 1000.0
_READY = "ready"
_CODE_BY_STATUS = {404: "no_run", 409: "busy", 503: "no_room"}


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class _Report(_Body):
    # Memory that cannot yield: cached prompts are not counted.
    kv_used: int
    kv_total: int
    queued: int = 0
    state: str = _READY
    leaves_ms: float | None = None
    born: pydantic.StrictInt = 0
    # Each entry: id, tokens in memory, events made, priority.
    runs: tuple[tuple[str, int, int, int], ...] = ()


class _Copy(_Body):
    # What the copy is called, for the request that goes on from it.
    handle: str
    # Events that the run had made by then.
    created: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    content: bytes
    limit: ratelimits.RateLimit | None


class EngineCalls(control.EngineControl):
    """The calls over HTTP.

    :param pool: connections.
    """

    def __init__(self, pool: clientpool.ClientPool) -> None:
        self._pool = pool

    async def report(self, address: str) -> models.EngineReport | models.ReportFailed:
        """Read an engine's report."""
        answer = await self._call(address, b"GET", b"/v1/report", b"", REPORT_TIMEOUT_S)
        if isinstance(answer, clientside.Lost):
            return models.ReportFailed(answer.is_refused)
        if answer.status != 200:
            return models.ReportFailed(is_refused=False)
        try:
            body = _Report.model_validate_json(answer.content)
        except pydantic.ValidationError as error:
            logs.failed("report", error)
            return models.ReportFailed(is_refused=False)
        return models.EngineReport(
            memory_tokens=body.kv_total,
            used_tokens=body.kv_used,
            waiting=body.queued,
            runs=tuple(models.ReportedRun(run[0], run[1], run[2]) for run in body.runs),
            is_leaving=body.state != _READY,
            leaves_in_s=None if body.leaves_ms is None else body.leaves_ms / _MS,
            started_ms=body.born,
            limit=answer.limit,
        )

    async def copy_kv_cache(
        self, address: str, request_id: str, to: str, *, is_last: bool, timeout_s: float
    ) -> models.CopySucceeded | models.CopyFailed:
        """Copy a run's memory to another engine."""
        body = json.dumps({"id": request_id, "to": to, "last": is_last}).encode()
        answer = await self._call(address, b"POST", b"/v1/kv-move", body, timeout_s)
        if isinstance(answer, clientside.Lost):
            return models.CopyFailed("no_answer")
        copy = _copy(answer.content)
        if answer.status == 200 and copy is not None:
            return models.CopySucceeded(copy.handle, copy.created)
        code = _CODE_BY_STATUS.get(answer.status, "no_answer")
        return models.CopyFailed(code, None if copy is None else copy.handle)

    async def drop_copy(self, address: str, name: str) -> bool:
        """Free a copy; one that is not there any more is free already."""
        target = f"/v1/kv-handle/{name}".encode()
        answer = await self._call(address, b"DELETE", target, b"", DROP_TIMEOUT_S)
        return not isinstance(answer, clientside.Lost)

    async def _call(
        self, address: str, method: bytes, target: bytes, body: bytes, timeout_s: float
    ) -> _Answer | clientside.Lost:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(address, method, target, body)
        except TimeoutError:
            return clientside.Lost("timeout")

    async def _exchange(
        self, address: str, method: bytes, target: bytes, body: bytes
    ) -> _Answer | clientside.Lost:
        connection = await self._pool.acquire(address)
        if isinstance(connection, clientside.Lost):
            return connection
        head: clientside.Head | clientside.Lost | None = None
        content: bytes | clientside.Lost | None = None
        try:
            sent_fields = ((b"Host", address.encode()), (b"Content-Type", b"application/json"))
            connection.send(method, target, sent_fields, body)
            head = await connection.head()
            if isinstance(head, clientside.Head):
                content = await connection.body(MAX_BODY_BYTES)
        finally:
            whole = isinstance(content, bytes)
            self._pool.release(connection, typing.cast(clientside.Head, head) if whole else None)
        if isinstance(head, clientside.Lost):
            return head
        if isinstance(content, clientside.Lost):
            return content
        return _Answer(head.status, content, requestdialect.rate_limit(head.fields))


def _copy(content: bytes) -> _Copy | None:
    try:
        return _Copy.model_validate_json(content)
    except pydantic.ValidationError:
        return None
