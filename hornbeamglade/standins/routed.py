"""A stand-in for a backend server behind routes: a plain service or a model engine.

Explanation
===========

It speaks the platform's protocol towards replicas, its refusals, proofs, reports and
copies included, and does wrong what it is told (:class:`RoutedFaults
<hornbeamglade.standins.routedfaults.RoutedFaults>`, by ``PUT /standin/faults``). What it
ran is in its ledger (``GET /standin/ledger``).

Answers are written as raw bytes: what a well-made server library would not send is what
most of its tests are about.
"""

import asyncio
import dataclasses
import json
import pathlib
import signal
import socket
import struct
import time

import h11

from hornbeamglade.standins import routedfaults, routedruns

READ_BYTES = 65_536
MEMORY_TOKENS = 30_000
PROMPT_TOKENS = 100
COPY_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecord:
    """A request that was run.

    :param request_id: the caller's id of it.
    :param target: path and query.
    :param team: the team that it was said to come from, or an empty text.
    :param names: of all its headers, in lower case.
    :param body: its body.
    :param at: seconds of the machine's steady clock at which it came.
    :param replica_id: where it ran.
    """

    request_id: str
    target: str
    team: str
    names: tuple[str, ...]
    body: str
    at: float
    replica_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Asked:
    method: str
    target: str
    value_by_name: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.value_by_name.get("attempt-id", "")


class RoutedStandin:
    """One backend server.

    :param replica_id: its id.
    :param events: events of each stream; 0 makes it a plain service.
    :param gap_s: seconds between events.
    :param ledger_path: a file to which each run is added before it begins, so that what a
        killed server ran is known; None for none.
    :param crash_on: a request whose body holds this text ends the server; empty for none.
    """

    def __init__(
        self,
        replica_id: str,
        events: int = 0,
        gap_s: float = 0.01,
        ledger_path: pathlib.Path | None = None,
        crash_on: str = "",
    ) -> None:
        self.replica_id = replica_id
        self._crash_on = crash_on
        self._ledger_path = ledger_path
        self.faults = routedfaults.RoutedFaults()
        self.ledger: list[RunRecord] = []
        self.is_leaving = False
        self.born = 0
        self.address = ""
        self.run_by_id: dict[str, routedruns.StandinRun] = {}
        self.copy_by_name: dict[str, routedruns.StandinCopy] = {}
        self._sent_to_by_copy: dict[str, str] = {}
        self.connections = 0
        self._events = events
        self._gap_s = gap_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, bind: str = "127.0.0.1:0") -> None:
        """Begin to accept."""
        host, _, port = bind.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"

    async def stop(self) -> None:
        """Close the port and every connection at once, as a crash does."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        rest = b""
        try:
            while True:
                asked, rest = await self._read(reader, rest, writer)
                if asked is None or not await self._answer(asked, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError, h11.RemoteProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, rest: bytes, writer: asyncio.StreamWriter
    ) -> tuple[_Asked | None, bytes]:
        state = h11.Connection(h11.SERVER)
        if rest:
            state.receive_data(rest)
        head: h11.Request | None = None
        body = b""
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(READ_BYTES)
                state.receive_data(data)
                if not data and head is None:
                    return None, b""
            elif isinstance(event, h11.Request):
                head = event
                if self.faults.early:
                    asked = _asked(head, b"")
                    writer.write(_whole(asked, 413, self._proof(asked), b"too long"))
                    await writer.drain()
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return _asked(head, body), state.trailing_data[0]
            else:
                return None, b""

    async def _answer(
        self, asked: _Asked, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        own = await self._own(asked)
        if own is not None:
            status, body = own
            writer.write(_whole(asked, status, {}, json.dumps(body).encode()))
            return True
        if self.faults.early:
            return True
        expected = asked.value_by_name.get("expect-instance")
        if expected not in (None, self.replica_id):
            writer.write(_whole(asked, 421, {"Replica-Id": self.replica_id}, b""))
            return True
        if self.faults.refuse:
            writer.write(_whole(asked, 503, {"Not-Executed": "1"}, b""))
            return True
        if self._events:
            return await self._stream(asked, reader, writer)
        return await self._plain(asked, reader, writer)

    async def _own(self, asked: _Asked) -> tuple[int, object] | None:
        """Answer the calls beside requests; None for a request."""
        path = asked.target.partition("?")[0]
        if path == "/standin/faults":
            self.faults = routedfaults.RoutedFaults.model_validate_json(asked.body)
            return 200, {}
        if path == "/standin/ledger":
            return 200, [dataclasses.asdict(ran) for ran in self.ledger]
        if path == "/standin/leave":
            self.is_leaving = True
            return 200, {}
        if path == "/standin/copies":
            return 200, sorted(self.copy_by_name)
        if path == "/standin/copy":
            return self._take_copy(json.loads(asked.body))
        if path == "/standin/drop":
            self.copy_by_name.pop(json.loads(asked.body)["name"], None)
            return 200, {}
        if path == "/v1/report":
            return 200, self._report()
        if path == "/v1/kv-move":
            return await self._move(json.loads(asked.body))
        if path.startswith("/v1/kv-handle/"):
            return await self._drop_copy(path.rpartition("/")[2])
        return None

    async def _plain(
        self, asked: _Asked, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        faults = self.faults
        self._note(asked)
        if self._is_fatal(asked):
            await self.stop()
            return False
        if faults.hang:
            await reader.read(1)
            return False
        await asyncio.sleep(faults.delay_s)
        status = 500 if faults.fail else 200
        body = f"{self.replica_id}:{asked.request_id}".encode()
        if faults.stray:
            writer.write(_whole(asked, 200, {"Attempt-Id": "another"}, b"not yours"))
        data = _whole(asked, status, self._proof(asked), body, framed=not faults.unframed)
        if faults.torn or faults.reset:
            writer.write(data[:-3])
            await writer.drain()
            if faults.reset:
                _reset(writer)
            return False
        writer.write(data)
        if faults.extra:
            writer.write(_whole(asked, 200, self._proof(asked), b"once more"))
        return not faults.unframed

    async def _stream(
        self, asked: _Asked, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        run = self._begin(asked)
        if run is None:
            writer.write(_whole(asked, 503, {"Not-Executed": "1"}, b""))
            return True
        if self._is_fatal(asked):
            await self.stop()
            return False
        if self.faults.hang:
            await reader.read(1)
            return False
        proof = self._proof(asked) | {"Content-Type": "text/event-stream"}
        writer.write(_head(asked, 200, proof | {"Transfer-Encoding": "chunked"}))
        # A caller that leaves is seen here, and its run ends.
        gone = asyncio.ensure_future(reader.read(1))
        sent = run.made
        try:
            while run.made < run.events and not run.is_stopped and not gone.done():
                await asyncio.sleep(self._gap_s)
                if run.is_stopped or gone.done():
                    break
                run.made += 1
                writer.write(_chunk(routedruns.event(run.request_id, run.made)))
                await writer.drain()
                if run.made - sent == self.faults.die_after_events:
                    writer.write(_chunk(routedruns.event(run.request_id, run.made + 1))[:-9])
                    await writer.drain()
                    return False
            is_whole = run.made >= run.events
            if is_whole:
                writer.write(b"0\r\n\r\n")
            return is_whole and not gone.done()
        finally:
            gone.cancel()
            # A second reader is refused while the first one still waits.
            await asyncio.wait((gone,))
            run.is_alive = False

    def _is_fatal(self, asked: _Asked) -> bool:
        """Tell whether a request crashes the server."""
        text = self.faults.crash_on or self._crash_on
        return bool(text) and text in asked.body.decode("latin-1")

    def _begin(self, asked: _Asked) -> routedruns.StandinRun | None:
        """Begin a run, or go on with one from a copy; None when there is no such copy."""
        run = routedruns.StandinRun(asked.request_id, self._events)
        source = asked.value_by_name.get("kv-from")
        if source is None:
            self._note(asked)
        else:
            copy = self.copy_by_name.pop(source.rpartition("/")[2], None)
            if copy is None or copy.request_id != asked.request_id:
                return None
        run.made = int(asked.value_by_name.get("last-event-id", "0"))
        self.run_by_id[asked.request_id] = run
        return run

    async def _move(self, order: dict) -> tuple[int, object]:
        run = self.run_by_id.get(order["id"])
        if run is None or not run.is_alive:
            return 404, {}
        if order["last"]:
            run.is_stopped = True
        await asyncio.sleep(COPY_S)
        name = f"copy-{run.request_id}"
        body = {"name": name, "id": run.request_id, "made": run.made}
        if not await _tell(order["to"], "/standin/copy", body):
            if order["last"]:
                self.copy_by_name[name] = routedruns.StandinCopy(name, run.request_id, run.made)
                return 503, {"handle": name}
            return 503, {}
        self._sent_to_by_copy[name] = order["to"]
        return 200, {"handle": name, "created": run.made}

    def _take_copy(self, copy: dict) -> tuple[int, object]:
        if self.faults.no_room:
            return 503, {}
        name = copy["name"]
        self.copy_by_name[name] = routedruns.StandinCopy(name, copy["id"], copy["made"])
        return 200, {}

    async def _drop_copy(self, name: str) -> tuple[int, object]:
        """Free a copy here, and where it was sent."""
        self.copy_by_name.pop(name, None)
        sent_to = self._sent_to_by_copy.pop(name, None)
        if sent_to is not None:
            await _tell(sent_to, "/standin/drop", {"name": name})
        return 200, {}

    def _report(self) -> dict[str, object]:
        runs = [
            [run.request_id, PROMPT_TOKENS + run.made, run.made, 5]
            for run in self.run_by_id.values()
            if run.is_alive
        ]
        report = {
            "kv_used": sum(run[1] for run in runs),
            "kv_total": MEMORY_TOKENS,
            "queued": 0,
            "state": "draining" if self.is_leaving else "ready",
            "runs": runs,
        }
        if self.born:
            report["born"] = self.born
        return report | ({"leaves_ms": 1500.0} if self.is_leaving else {})

    def _note(self, asked: _Asked) -> None:
        ran = RunRecord(
            asked.request_id,
            asked.target,
            asked.value_by_name.get("tenant", ""),
            tuple(asked.value_by_name),
            asked.body.decode("latin-1"),
            time.monotonic(),
            self.replica_id,
        )
        self.ledger.append(ran)
        if self._ledger_path is not None:
            with self._ledger_path.open("a", encoding="utf-8") as ledger:
                ledger.write(json.dumps(dataclasses.asdict(ran)) + "\n")

    def _proof(self, asked: _Asked) -> dict[str, str]:
        told = {"Attempt-Id": asked.request_id, "Replica-Load": "1,0,8"}
        if not self.faults.unproved:
            told["Response-Seal"] = f"{self.replica_id}.{asked.request_id}"
        if self.faults.limit:
            told["Server-Limit"] = self.faults.limit
        return told


def _asked(head: h11.Request, body: bytes) -> _Asked:
    values = {name.decode().lower(): value.decode("latin-1") for name, value in head.headers}
    return _Asked(head.method.decode(), head.target.decode(), values, body)


def _head(asked: _Asked, status: int, told: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in told.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _whole(
    asked: _Asked, status: int, told: dict[str, str], body: bytes, *, framed: bool = True
) -> bytes:
    length = {"Content-Length": str(len(body))} if framed else {"Connection": "close"}
    return _head(asked, status, told | length) + body


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _tell(address: str, path: str, body: dict) -> bool:
    """Post to another stand-in; return whether it took it."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    data = json.dumps(body).encode()
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
    writer.write(head.encode() + data)
    line = await reader.readline()
    writer.close()
    return b" 200 " in line


async def _run(standin: RoutedStandin, bind: str) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await standin.start(bind)
    print(standin.address, flush=True)
    await stopping.wait()
    await standin.stop()


def run(
    bind: str,
    replica_id: str,
    events: int,
    gap_s: float,
    born: int = 0,
    ledger_path: pathlib.Path | None = None,
    crash_on: str = "",
) -> None:
    """Serve until SIGTERM or SIGINT.

    :param bind: ``ip:port``; port 0 takes a free one.
    :param replica_id: the server's id.
    :param events: events of each stream; 0 makes it a plain service.
    :param gap_s: seconds between events.
    :param born: Unix milliseconds of its start, or 0 to tell none.
    :param ledger_path: a file that keeps what was run, or None.
    :param crash_on: a request whose body holds this text ends the server; empty for none.
    """
    standin = RoutedStandin(replica_id, events, gap_s, ledger_path, crash_on)
    standin.born = born
    asyncio.run(_run(standin, bind))
