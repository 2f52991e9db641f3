"""A stand-in for the operator's platform: ``MemoryPlatform`` over HTTP.

Explanation
===========

It implements the protocol of the platform's metadata store. For tests and the demo it also
has ``PUT /standin/instances`` and ``PUT /standin/faults``, which work even while the platform
is set to be down. A write with the fault ``lose_answers`` takes effect, then the connection
is closed without a response.
"""

import collections.abc
import dataclasses
import http
import itertools
import signal
import threading
import urllib.parse

import cheroot.server
import pydantic

from hornbeamglade.core import clocks
from hornbeamglade.membership import registry
from hornbeamglade.platform import storebodies
from hornbeamglade.store import contract, memory, positions

THREADS = 32
MAX_IDLE_CONNECTIONS = 1000
MAX_ROWS = 500
MAX_BYTES = 1_000_000
"""Most bytes of values, as they are encoded, in one response to a read."""

STOP_TIMEOUT_S = 1.0
STOP_POLL_S = 0.05


class InstanceBody(pydantic.BaseModel):
    """One node of the instance list."""

    name: str
    failure_domain: str
    address: str
    exchange: str
    leaving: bool


class InstancesBody(pydantic.BaseModel):
    """The nodes that replace the current instance list."""

    instances: list[InstanceBody]


class FaultsBody(pydantic.BaseModel):
    """The body of ``PUT /standin/faults``; omitted faults are off."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    down: bool = False
    store_down: bool = False
    delay_s: float = pydantic.Field(default=0.0, ge=0)
    lose_answers: bool = False
    lag_s: float = pydantic.Field(default=0.0, ge=0)


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    status: http.HTTPStatus
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class _NoResponse:
    """The connection is closed without a response."""


_Reply = _Response | _NoResponse
_Call = collections.abc.Callable[[str, dict[str, str], bytes], _Reply]


def _json(body: pydantic.BaseModel, status: http.HTTPStatus = http.HTTPStatus.OK) -> _Response:
    return _Response(status, body.model_dump_json().encode())


_UNAVAILABLE = _Response(http.HTTPStatus.SERVICE_UNAVAILABLE)
_NOT_FOUND = _Response(http.HTTPStatus.NOT_FOUND)
_BAD_REQUEST = _Response(http.HTTPStatus.BAD_REQUEST)
_GONE = _Response(http.HTTPStatus.GONE)
_OK = _Response(http.HTTPStatus.OK)


class _Calls:
    """The protocol's calls, executed on one ``MemoryPlatform``."""

    def __init__(self, platform: memory.MemoryPlatform, page_rows: int) -> None:
        self._platform = platform
        self._page_rows = page_rows
        self._backup = platform.backup()
        self._call_by_route: dict[tuple[str, str], _Call] = {
            ("GET", "/v1/rows-get"): self._rows,
            ("GET", "/v1/rows-feed"): self._feed,
            ("POST", "/v1/rows-tx"): self._transact,
            ("GET", "/v1/blob-get"): self._get_object,
            ("PUT", "/v1/blob-put"): self._put_object,
            ("PUT", "/standin/instances"): self._set_instances,
            ("PUT", "/standin/faults"): self._set_faults,
            ("PUT", "/standin/copy"): self._copy,
            ("PUT", "/standin/restore"): self._restore,
        }

    @property
    def era(self) -> int:
        """How often the platform was restored from an older copy."""
        return self._platform.era

    def handle(self, method: str, target: str, body: bytes) -> _Reply:
        """Return the response to one request."""
        path, _, query = target.partition("?")
        pieces = path.split("/", 3)
        call = self._call_by_route.get((method, "/".join(pieces[:3])))
        if call is None:
            return _NOT_FOUND
        value_by_name = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        try:
            return call(pieces[3] if len(pieces) > 3 else "", value_by_name, body)
        except (ValueError, KeyError):  # includes validation and Unicode errors
            return _BAD_REQUEST

    def _rows(self, _rest: str, parameters: dict[str, str], _body: bytes) -> _Reply:
        table = self._platform.snapshot(parameters["table"])
        if isinstance(table, contract.Unavailable):
            return _UNAVAILABLE
        limit = min(int(parameters.get("limit", MAX_ROWS)), self._page_rows)
        first, end = parameters.get("from", ""), parameters.get("to")
        rows = [
            row
            for row in map(storebodies.Row.from_row, table.rows)
            if row.part == parameters["part"]
            and row.key >= first
            and (end is None or row.key < end)
        ]
        sizes = itertools.accumulate(len(row.value) for row in rows[:limit])
        page = tuple(row for row, size in zip(rows, sizes, strict=False) if size <= MAX_BYTES)
        version = positions.version(table.version)
        return _json(storebodies.Rows(rows=page, ver=version, truncated=len(rows) > len(page)))

    def _feed(self, _rest: str, parameters: dict[str, str], _body: bytes) -> _Reply:
        after, wait_s = int(parameters["after_revision"]), int(parameters["wait_ms"]) / 1000
        at = positions.position(self._platform.era, after)
        changes = self._platform.changes(parameters["table"], at, wait_s)
        if isinstance(changes, contract.Unavailable):
            return _UNAVAILABLE
        if isinstance(changes, contract.HistoryLost):
            return _GONE
        gone = tuple(
            storebodies.Row(
                **dict(storebodies.RowName.from_key(key)),
                ver=positions.version(changes.newest),
                deleted=True,
            )
            for key in changes.deleted_keys
        )
        present = tuple(map(storebodies.Row.from_row, changes.written_rows))
        version = positions.version(changes.version)
        return _json(storebodies.Rows(rows=present + gone, ver=version))

    def _transact(self, _rest: str, _parameters: dict[str, str], body: bytes) -> _Reply:
        transaction = storebodies.Transaction.model_validate_json(body)
        conditions = tuple(
            contract.Condition(
                each.full_key(),
                positions.position(self._platform.era, each.ver) if each.ver else 0,
            )
            for each in transaction.expected
        )
        puts = tuple(
            contract.Put(write.full_key(), storebodies.decode_value(write.value))
            for write in transaction.writes
        )
        deletes = tuple(contract.Delete(name.full_key()) for name in transaction.remove)
        match self._platform.transact(conditions, puts + deletes):
            case contract.Committed():
                return _json(storebodies.Committed(ver=self._platform.revision))
            case contract.Conflict():
                return self._conflict(conditions)
            case contract.Unavailable():
                return _UNAVAILABLE
            case contract.Unknown():
                return _NoResponse()

    def _conflict(self, conditions: tuple[contract.Condition, ...]) -> _Reply:
        found = [self._platform.read(condition.key) for condition in conditions]
        rows = tuple(
            storebodies.Row.from_row(each.row)
            for each in found
            if isinstance(each, contract.Found)
        )
        return _json(storebodies.Conflict(rows=rows), http.HTTPStatus.PRECONDITION_FAILED)

    def _get_object(self, name: str, _parameters: dict[str, str], _body: bytes) -> _Reply:
        match self._platform.get(urllib.parse.unquote(name)):
            case contract.Found(row):
                return _Response(http.HTTPStatus.OK, row.value.encode())
            case contract.Missing():
                return _NOT_FOUND
            case contract.Unavailable():
                return _UNAVAILABLE

    def _put_object(self, name: str, _parameters: dict[str, str], body: bytes) -> _Reply:
        match self._platform.put(urllib.parse.unquote(name), body.decode()):
            case contract.Committed():
                return _OK
            case contract.Unavailable():
                return _UNAVAILABLE
            case contract.Unknown():
                return _NoResponse()

    def _set_instances(self, _rest: str, _parameters: dict[str, str], body: bytes) -> _Reply:
        new_instances = InstancesBody.model_validate_json(body).instances
        set_instances(
            self._platform, [contract.Instance(**each.model_dump()) for each in new_instances]
        )
        return _OK

    def _copy(self, _rest: str, _parameters: dict[str, str], _body: bytes) -> _Reply:
        self._backup = self._platform.backup()
        return _OK

    def _restore(self, _rest: str, _parameters: dict[str, str], _body: bytes) -> _Reply:
        self._platform.restore(self._backup)
        return _OK

    def _set_faults(self, _rest: str, _parameters: dict[str, str], body: bytes) -> _Reply:
        faults = FaultsBody.model_validate_json(body)
        self._platform.set_faults(memory.Faults(**faults.model_dump()))
        return _OK


def set_instances(
    platform: memory.MemoryPlatform, instances: collections.abc.Iterable[contract.Instance]
) -> None:
    """Replace the instance list of a platform."""
    nodes = registry.Registry(platform)
    new_instances = tuple(instances)
    listed = nodes.list()
    previous = listed if not isinstance(listed, contract.Unavailable) else ()
    for name in {each.name for each in previous} - {each.name for each in new_instances}:
        nodes.deregister(name)
    for each in new_instances:
        nodes.register(each)


class _Gateway(cheroot.server.Gateway):
    def respond(self) -> None:
        request = self.req
        body = request.rfile.read()
        # Use the raw target: keys contain quoted slashes, which cheroot's path decodes.
        target = request.uri.decode("ascii")
        reply = self.req.server.calls.handle(request.method.decode(), target, body)
        if isinstance(reply, _NoResponse):
            request.sent_headers = True  # keeps cheroot from sending its own response head
            request.close_connection = True
            return
        request.status = f"{reply.status.value} {reply.status.phrase}".encode()
        era = str(self.req.server.calls.era).encode()
        length = str(len(reply.body)).encode()
        request.outheaders = [(b"Content-Length", length), (b"Store-Era", era)]
        request.ensure_headers_sent()
        request.write(reply.body)


class Server:
    """A stand-in platform on one address.

    :param bind: ``ip:port``; port 0 selects a free port.
    :param platform: the platform to serve; a new one by default.
    :param page_rows: most rows in one response to a read.
    """

    def __init__(
        self,
        bind: str,
        platform: memory.MemoryPlatform | None = None,
        page_rows: int = MAX_ROWS,
    ) -> None:
        self.platform = platform or memory.MemoryPlatform(
            clocks.SystemClock(), shared_version_counter=True
        )
        host, _, port = bind.rpartition(":")
        self._http = cheroot.server.HTTPServer((host, int(port)), _Gateway, minthreads=THREADS)
        self._http.calls = _Calls(self.platform, page_rows)
        self._http.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._http.shutdown_timeout = STOP_TIMEOUT_S
        self._http.expiration_interval = STOP_POLL_S
        self._http.prepare()
        self._thread = threading.Thread(target=self._http.serve, name="standin-platform")

    @property
    def address(self) -> str:
        """The ``ip:port`` that it listens on."""
        host, port = self._http.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Start to serve in a background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving and free the port."""
        self._http.stop()
        if self._thread.is_alive():
            self._thread.join()


def serve(
    bind: str, platform: memory.MemoryPlatform | None = None, page_rows: int = MAX_ROWS
) -> Server:
    """Return a bound server that is not yet started.

    :param bind: ``ip:port``; port 0 selects a free port.
    :param platform: the platform to serve; a new one by default.
    :param page_rows: most rows in one response to a read.
    """
    return Server(bind, platform, page_rows)


def run(bind: str, page_rows: int = MAX_ROWS) -> None:
    """Serve until SIGTERM or SIGINT; call it from the main thread only.

    :param bind: ``ip:port``.
    :param page_rows: most rows in one response to a read.
    """
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    server = serve(bind, page_rows=page_rows)
    server.start()
    print(server.address, flush=True)
    stopping.wait()
    server.stop()
