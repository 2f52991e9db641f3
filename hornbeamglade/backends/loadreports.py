"""Reads load reports and cache events of backend servers."""

import dataclasses
import typing

import pydantic
import urllib3

from hornbeamglade.core import clocks
from hornbeamglade.http1 import wholeheads

_MAX_BODY_BYTES = 4 << 20
_LARGEST = 1 << 63


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A backend server's load, up to some seconds old.

    :param sequence: grows with each state; starts over when the server restarts.
    :param age_s: the age of the state when it was sent, in seconds.
    :param capacity_tokens: tokens that its memory holds.
    :param used_tokens: tokens that are in use.
    :param running: running requests.
    :param waiting: waiting requests.
    :param preemptions: how often it has preempted a request.
    :param leaving: whether it will stop soon.
    :param models: names of the loaded models.
    :param received_at: the node's monotonic seconds when it arrived.
    """

    sequence: int
    age_s: float
    capacity_tokens: int
    used_tokens: int
    running: int
    waiting: int
    preemptions: int
    leaving: bool
    models: tuple[str, ...]
    received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of an engine's prefix cache.

    :param sequence: the number of the change.
    :param kind: ``stored``, ``evicted`` or ``cleared``.
    :param block: the block's hash; without meaning for ``cleared``.
    """

    sequence: int
    kind: str
    block: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Changes of an engine's prefix cache; their sequence may have gaps.

    :param events: the changes.
    :param next_after: the sequence number to pass to the next read.
    """

    events: tuple[CacheEvent, ...]
    next_after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """A report could not be read.

    :param code: ``unreachable``, ``status``, ``too_long`` or ``malformed``.
    :param detail: one sentence for a person.
    """

    code: str
    detail: str


_Count = typing.Annotated[int, pydantic.Field(ge=0, lt=_LARGEST)]
_Name = typing.Annotated[str, pydantic.Field(max_length=200)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True, frozen=True, allow_inf_nan=False)


class _LoadBody(_Model):
    sequence: _Count
    age_s: float = pydantic.Field(ge=0)
    capacity_tokens: _Count = 0
    used_tokens: _Count = 0
    running: _Count
    waiting: _Count = 0
    preemptions: _Count = 0
    leaving: bool
    models: tuple[_Name, ...] = pydantic.Field(default=(), max_length=1000)


class _EventBody(_Model):
    sequence: _Count
    kind: typing.Literal["stored", "evicted", "cleared"]
    block: int = pydantic.Field(ge=-_LARGEST, lt=2 * _LARGEST)


class _EventsBody(_Model):
    events: tuple[_EventBody, ...]
    next: _Count


_BodyT = typing.TypeVar("_BodyT", bound=_Model)


class ReportReader:
    """Reads one backend server's reports over a persistent connection.

    Explanation
    ===========

    Reports can be read again after a failure, so unlike requests they use a
    persistent connection.

    :param address: the backend server's ``ip:port``.
    :param timeout_s: timeout of connecting, and of each wait for bytes.
    :param clock: dates the reports.
    """

    def __init__(self, address: str, timeout_s: float, clock: clocks.Clock) -> None:
        host, _, port = address.rpartition(":")
        self._pool = wholeheads.WholeHeadPool(
            host.strip("[]"), int(port), timeout=timeout_s, maxsize=1, retries=False
        )
        self._clock = clock

    def load(self) -> LoadReport | Unreadable:
        """Read the load report."""
        body = self._get("/load", _LoadBody)
        if isinstance(body, Unreadable):
            return body
        return LoadReport(**body.model_dump(), received_at=self._clock.now())

    def cache_events(self, after: int) -> CacheEvents | Unreadable:
        """Read the cache events after a sequence number."""
        body = self._get(f"/cache-events?after={after}", _EventsBody)
        if isinstance(body, Unreadable):
            return body
        events = tuple(CacheEvent(e.sequence, e.kind, e.block) for e in body.events)
        return CacheEvents(events, body.next)

    def close(self) -> None:
        """Close the persistent connection."""
        self._pool.close()

    def _get(self, target: str, model: type[_BodyT]) -> _BodyT | Unreadable:
        try:
            response = self._pool.request("GET", target, preload_content=False)
            try:
                raw = response.read(_MAX_BODY_BYTES + 1, decode_content=False)
            finally:
                # A response read to its end has already released its connection.
                response.close()
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return Unreadable("unreachable", repr(error))
        if response.status != 200:
            return Unreadable("status", str(response.status))
        if len(raw) > _MAX_BODY_BYTES:
            return Unreadable("too_long", f"more than {_MAX_BODY_BYTES} bytes")
        try:
            return model.model_validate_json(raw)
        except pydantic.ValidationError as error:
            return Unreadable("malformed", str(error.errors()[0]["msg"]))
