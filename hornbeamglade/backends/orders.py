"""Orders to one engine: what it is to have loaded, stated in full.

Explanation
===========

Each order goes over a fresh connection: a kept one may have been closed by the
engine, which shows as a failure after the order was sent and would count as an
order that may yet take effect. The right to send is asked for when the connection
stands, right before the first byte, so that a slow connect does not eat into the
lease's margin.
"""

import collections.abc
import dataclasses
import http.client
import typing

import pydantic
import urllib3
import urllib3.connection

from hornbeamglade.configuration import models
from hornbeamglade.core import clocks

_PATH = "/orders"
_MAX_BODY_BYTES = 1 << 18
_READ_BYTES = 65_536
_DETAIL_CHARACTERS = 200
_ANSWER_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine has loaded, or is to have loaded.

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
        """Return what a pool's configuration wants."""
        return cls(frozenset(wanted.models), frozenset(wanted.adapters), wanted.role)

    @property
    def loaded(self) -> frozenset[str]:
        """Return the names of all models and adapters."""
        return self.models | self.adapters


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The engine took the order, or was read.

    :param present: what it has now; loading may still be under way.
    """

    present: EngineState


@dataclasses.dataclass(frozen=True, slots=True)
class Outdated:
    """The engine has seen an order of a later holder; nothing took effect.

    :param newest: the largest fencing number it has seen.
    """

    newest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The engine found the order wrong; nothing took effect."""

    status: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The order was sent and its answer is lost; it may take effect yet."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the order was sent.

    :param is_unreachable: whether the engine cannot be reached; otherwise the right
        to send was gone.
    """

    reason: str
    is_unreachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """The answer cannot be read; an order may have taken effect."""

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
    """Bounds on one call, in seconds.

    :param connect_s: until the connection stands.
    :param response_s: from then until the whole answer is read; each wait for bytes
        is bounded by it too, so a call takes at most twice as long.
    """

    connect_s: float = 1.0
    response_s: float = 3.0


class OrderClient:
    """Gives orders to one engine and reads it back.

    :param address: the engine's ``ip:port``.
    :param clock: bounds the reading of an answer.
    """

    def __init__(self, address: str, clock: clocks.Clock, timeouts: OrderTimeouts) -> None:
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._clock = clock
        self._timeouts = timeouts

    def read(self) -> OrderOutcome:
        """Read what is present."""
        return self._call("GET", None, lambda: True)

    def send(
        self, fencing: int, wanted: EngineState, may_send: collections.abc.Callable[[], bool]
    ) -> OrderOutcome:
        """Order the engine to have just what is wanted.

        :param fencing: the number of the lease that gives the right to.
        :param may_send: asked right before the first byte is sent.
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
        connection = urllib3.connection.HTTPConnection(
            self._host, self._port, timeout=self._timeouts.connect_s
        )
        try:
            try:
                connection.connect()
            except (urllib3.exceptions.HTTPError, OSError) as error:
                return NotSent(f"no connection: {error}", True)
            if not may_send():
                return NotSent("the right to send is gone", False)
            return self._exchange(connection, method, body)
        finally:
            connection.close()

    def _exchange(
        self, connection: urllib3.connection.HTTPConnection, method: str, body: bytes | None
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
            raw = self._body(response, deadline)
        except _ANSWER_ERRORS as error:
            return Lost(repr(error))
        if raw is None:
            return Lost("the answer is too long or too slow")
        return _outcome(response.status, raw)

    def _body(self, response: urllib3.HTTPResponse, deadline: float) -> bytes | None:
        parts: list[bytes] = []
        size = 0
        while part := response.read1(_READ_BYTES, decode_content=False):
            parts.append(part)
            size += len(part)
            # An engine that trickles its answer would hold up the orders to all
            # others of the pool.
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
    # A server that failed midway may have taken the order.
    return Lost(f"status {status}: {detail}")
