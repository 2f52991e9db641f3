"""Orders to one engine, each with the complete state that it is to load.

Explanation
===========

Each order uses a new connection: the engine may have closed a persistent one, so
the order would fail after it was sent and count as one that may still take effect.
``may_send`` is called when the connection is established, right before the first
byte, so that a slow connect does not use up the lease's margin.
"""

import collections.abc
import dataclasses
import http.client
import typing

import pydantic
import urllib3

from hornbeamglade.configuration import models
from hornbeamglade.core import clocks
from hornbeamglade.http1 import wholeheads

_PATH = "/orders"
_MAX_BODY_BYTES = 1 << 18
_READ_BYTES = 65_536
_DETAIL_CHARACTERS = 200
_RESPONSE_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine has loaded, or is to load.

    :param models: names of models, with their versions.
    :param adapters: names of adapters.
    :param role: the engine's role; empty when it has none yet.

    Examples
    ========

    >>> old = EngineState(frozenset({"draft@1", "tags@1"}), frozenset(), "mixed")
    >>> new = EngineState(frozenset({"draft@2", "tags@1"}), frozenset(), "mixed")
    >>> sorted(new.loaded - old.loaded)
    ['draft@2']
    """

    models: frozenset[str]
    adapters: frozenset[str] = frozenset()
    role: str = ""

    @classmethod
    def from_configuration(cls, wanted: models.Wanted) -> "EngineState":
        """Return the state that a pool's configuration wants."""
        return cls(frozenset(wanted.models), frozenset(wanted.adapters), wanted.role)

    @property
    def loaded(self) -> frozenset[str]:
        """Return the names of all models and adapters."""
        return self.models | self.adapters


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The engine accepted the order, or was read.

    :param present: what it has loaded now; it may still be loading the rest.
    """

    present: EngineState


@dataclasses.dataclass(frozen=True, slots=True)
class Outdated:
    """The engine has seen an order of a later lease holder; this one had no effect.

    :param newest: the largest fencing number that it has seen.
    """

    newest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The engine rejected the order as invalid; it had no effect.

    :param status: the HTTP status.
    :param detail: the beginning of the response body.
    """

    status: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The order was sent and its response was lost; it may still take effect.

    :param reason: for a person.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the order was sent.

    :param reason: for a person.
    :param is_unreachable: whether the engine cannot be reached; otherwise
        ``may_send`` returned False.
    """

    reason: str
    is_unreachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """The response is malformed; the order may have taken effect.

    :param detail: for a person.
    """

    detail: str


OrderOutcome = Accepted | Outdated | Refused | Lost | NotSent | Malformed


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True, frozen=True)


_Name = typing.Annotated[str, pydantic.Field(max_length=200)]
_Names = typing.Annotated[tuple[_Name, ...], pydantic.Field(max_length=1000)]


class _State(_Strict):
    models: _Names
    adapters: _Names = ()
    role: _Name = ""


class _PresentBody(_Strict):
    present: _State


class _OutdatedBody(_Strict):
    newest: typing.Annotated[int, pydantic.Field(ge=0)]


class _OrderBody(_Strict):
    fencing: int
    wanted: _State


@dataclasses.dataclass(frozen=True, slots=True)
class OrderTimeouts:
    """Timeouts of one call, in seconds.

    :param connect_s: for establishing the connection.
    :param response_s: from then until the whole response is read; it also bounds each
        wait for bytes, so a call takes at most twice as long.
    """

    connect_s: float = 1.0
    response_s: float = 3.0


class OrderClient:
    """Sends orders to one engine and reads its state.

    :param address: the engine's ``ip:port``.
    :param clock: measures the time that reading a response takes.
    :param timeouts: of each call.
    """

    def __init__(self, address: str, clock: clocks.Clock, timeouts: OrderTimeouts) -> None:
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._clock = clock
        self._timeouts = timeouts

    def read(self) -> OrderOutcome:
        """Read the state that is loaded."""
        return self._call("GET", None, lambda: True)

    def send(
        self, fencing: int, wanted: EngineState, may_send: collections.abc.Callable[[], bool]
    ) -> OrderOutcome:
        """Order the engine to load exactly the wanted state.

        :param fencing: the fencing number of the lease.
        :param wanted: the complete state.
        :param may_send: called right before the first byte; False cancels the order.
        """
        state = _State(
            models=tuple(sorted(wanted.models)),
            adapters=tuple(sorted(wanted.adapters)),
            role=wanted.role,
        )
        body = _OrderBody(fencing=fencing, wanted=state).model_dump_json().encode()
        return self._call("POST", body, may_send)

    def _call(
        self, method: str, body: bytes | None, may_send: collections.abc.Callable[[], bool]
    ) -> OrderOutcome:
        connection = wholeheads.WholeHeadConnection(
            self._host, self._port, timeout=self._timeouts.connect_s
        )
        try:
            try:
                connection.connect()
            except (urllib3.exceptions.HTTPError, OSError) as error:
                return NotSent(f"no connection: {error}", True)
            if not may_send():
                return NotSent("the sender may no longer send orders", False)
            return self._exchange(connection, method, body)
        finally:
            connection.close()

    def _exchange(
        self, connection: wholeheads.WholeHeadConnection, method: str, body: bytes | None
    ) -> OrderOutcome:
        connection.timeout = self._timeouts.response_s
        connection.sock.settimeout(self._timeouts.response_s)
        deadline = self._clock.now() + self._timeouts.response_s
        try:
            connection.request(
                method,
                _PATH,
                body=body,
                headers={"Content-Type": "application/json"},
                preload_content=False,
            )
            response = connection.getresponse()
            raw = self._read_body(response, deadline)
        except _RESPONSE_ERRORS as error:
            return Lost(repr(error))
        if raw is None:
            return Lost("the response is too long or too slow")
        return _outcome(response.status, raw)

    def _read_body(self, response: urllib3.HTTPResponse, deadline: float) -> bytes | None:
        parts: list[bytes] = []
        size = 0
        while part := response.read1(_READ_BYTES, decode_content=False):
            parts.append(part)
            size += len(part)
            # An engine that sends its response very slowly would delay the orders to
            # all other engines of the pool.
            if size > _MAX_BODY_BYTES or self._clock.now() > deadline:
                return None
        return b"".join(parts)


def _outcome(status: int, raw: bytes) -> OrderOutcome:
    try:
        if status == 200:
            present = _PresentBody.model_validate_json(raw).present
            names = frozenset(present.models), frozenset(present.adapters)
            return Accepted(EngineState(*names, present.role))
        if status == 409:
            return Outdated(_OutdatedBody.model_validate_json(raw).newest)
    except pydantic.ValidationError as error:
        return Malformed(str(error.errors()[0]["msg"]))
    detail = raw[:_DETAIL_CHARACTERS].decode(errors="replace")
    if 400 <= status < 500:
        return Refused(status, detail)
    # A server that failed midway may have accepted the order.
    return Lost(f"status {status}: {detail}")
