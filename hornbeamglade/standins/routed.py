"""A stand-in for a backend server of routed requests: a plain service or a model engine.

Explanation
===========

It implements the platform's protocol for replicas, including refusals, proofs, reports and
KV cache copies, and injects the faults that ``PUT /standin/faults`` sets
(:class:`RoutedFaults <hornbeamglade.standins.routedfaults.RoutedFaults>`). The requests that
it ran are in its ledger (``GET /standin/ledger``).

Responses are written as raw bytes, because most tests need responses that a correct server
library would not send.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import json
import pathlib
import signal
import socket
import time

import h11

from hornbeamglade.http1 import sockets
from hornbeamglade.standins import (
    disturbances,
    disturbedwriter,
    endlessresponses,
    routedcopies,
    routedfaults,
    routedledger,
    routedmachine,
    routedrequests,
    routedruns,
)

READ_BYTES = 65_536
PIECES = 8
MEMORY_TOKENS = 30_000
PROMPT_TOKENS = 100
NOTICE_S = 1.5
FINISH_POLL_S = 0.02
HEALTH_PATH = "/h"


WriterWrapper = collections.abc.Callable[
    [routedrequests.Request, asyncio.StreamWriter], asyncio.StreamWriter
]


class RoutedStandin:
    """One backend server.

    :param replica_id: its id.
    :param events: events of each stream; 0 makes it a plain service.
    :param gap_s: seconds between events.
    :param ledger_path: a file to which each run is appended before it begins, so that the
        runs of a killed server are known; None for none.
    :param crash_on: a request whose body contains this text ends the server; empty for none.
    :param traits: its speed, its machine and its memory.
    :param version: its software version, which its events contain; empty for none.
    :param wrap_writer: returns the writer for the response to a request, or None.
    :param event_bytes: least size of an event.
    """

    def __init__(
        self,
        replica_id: str,
        events: int = 0,
        gap_s: float = 0.01,
        ledger_path: pathlib.Path | None = None,
        crash_on: str = "",
        traits: routedmachine.RoutedTraits | None = None,
        version: str = "",
        wrap_writer: WriterWrapper | None = None,
        event_bytes: int = 0,
    ) -> None:
        self.version = version
        self.wrap_writer = wrap_writer
        self.event_bytes = event_bytes
        self.replica_id = replica_id
        self.machine = routedmachine.RoutedMachine(traits or routedmachine.RoutedTraits())
        self._slots = asyncio.Semaphore(self.machine.traits.slots)
        self.cut_off = 0
        self.crashes = 0
        self._crash_on = crash_on
        self._ledger = routedledger.RoutedLedger(replica_id, ledger_path)
        self.turned_away_at: list[float] = []
        self.falls = 0
        self._running = 0
        self._left_at: float | None = None
        self.born = 0
        self.address = ""
        self.run_by_id: dict[str, routedruns.StandinRun] = {}
        self.copies = routedcopies.RoutedCopies(self.machine, self.run_by_id)
        self.connections = 0
        self._events = events
        self._gap_s = gap_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._refusal_by_writer: dict[asyncio.StreamWriter, bytes] = {}
        self._arrivals_by_id: collections.Counter[str] = collections.Counter()
        self._unread_runs: set[asyncio.Task[None]] = set()

    @property
    def ledger(self) -> list[routedledger.RunRecord]:
        """The requests that it ran."""
        return self._ledger.runs

    @property
    def refusals(self) -> list[routedledger.RefusalRecord]:
        """The requests that it refused as not run."""
        return self._ledger.refusals

    @property
    def copy_by_name(self) -> dict[str, routedruns.StandinCopy]:
        """The copies of KV caches that it stores."""
        return self.copies.by_name

    @property
    def faults(self) -> routedfaults.RoutedFaults:
        """Its current faults."""
        return self.machine.faults

    @faults.setter
    def faults(self, faults: routedfaults.RoutedFaults) -> None:
        self.machine.faults = faults

    @property
    def is_leaving(self) -> bool:
        """Whether it announces its stop, :data:`NOTICE_S` ahead."""
        return self._left_at is not None

    @is_leaving.setter
    def is_leaving(self, is_leaving: bool) -> None:
        self._left_at = time.monotonic() if is_leaving else None

    @property
    def held_tokens(self) -> int:
        """Tokens of all runs that it holds."""
        runs = self.run_by_id.values()
        return sum(run.prompt_tokens + run.made for run in runs if run.is_alive)

    async def start(self, bind: str = "127.0.0.1:0") -> None:
        """Start to accept connections."""
        host, _, port = bind.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"

    @property
    def running_count(self) -> int:
        """The number of requests that it runs."""
        return self._running

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def finish(self) -> None:
        """Close the port and complete the requests that it runs, as a stop in order does."""
        self._server.close()
        while self._running:
            await asyncio.sleep(FINISH_POLL_S)

    def end_runs(self) -> None:
        """Close the port and end all streams in order, as the end of a notice does."""
        self._server.close()
        for run in self.run_by_id.values():
            run.is_stopped = True

    async def stop(self) -> None:
        """Close the port and every connection at once, as a crash does."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        for task in tuple(self._unread_runs):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        if self.machine.unread_s is not None:
            connection = writer.get_extra_info("socket")
            buffer_bytes = routedmachine.SEND_BUFFER_BYTES
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        buffered = repeated = b""
        is_first = True
        try:
            while True:
                request, buffered = await self._read(reader, buffered, writer)
                if request is None:
                    break
                request = dataclasses.replace(request, is_first=is_first)
                is_first = False
                writer.write(repeated)
                wrapped = self._wrapped(request, writer)
                is_open = await self._respond(request, reader, wrapped)
                repeated = self._refusal_by_writer.pop(wrapped, b"")
                if not is_open:
                    break
                if self.faults.late_refusal_s is not None and request.request_id:
                    refusal = routedrequests.response(request, 503, {"Not-Executed": "1"}, b"")
                    loop = asyncio.get_running_loop()
                    loop.call_later(self.faults.late_refusal_s, writer.write, refusal)
        except (ConnectionError, asyncio.CancelledError, h11.RemoteProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _wrapped(
        self, request: routedrequests.Request, writer: asyncio.StreamWriter
    ) -> asyncio.StreamWriter:
        """Return the writer for the response to a request."""
        if self.wrap_writer is not None:
            return self.wrap_writer(request, writer)
        faults = self.faults
        if faults.broken_at is None or not request.request_id:
            return writer
        action = disturbances.Action.CLOSE
        stray = None
        if faults.followed_by:
            action, stray = disturbances.Action.INSERT, disturbances.Stray(faults.followed_by)
        disturbance = disturbances.Disturbance(action, faults.broken_at, stray)
        return disturbedwriter.DisturbedWriter(writer, disturbance, request.request_id)

    async def _read(
        self, reader: asyncio.StreamReader, buffered: bytes, writer: asyncio.StreamWriter
    ) -> tuple[routedrequests.Request | None, bytes]:
        state = h11.Connection(h11.SERVER)
        if buffered:
            state.receive_data(buffered)
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
                    request = routedrequests.parse_request(head, b"")
                    writer.write(
                        routedrequests.response(
                            request, 413, self._proof_headers(request), b"too long"
                        )
                    )
                    await writer.drain()
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return routedrequests.parse_request(head, body), state.trailing_data[0]
            else:
                return None, b""

    async def _respond(
        self,
        request: routedrequests.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond to one request; return whether the connection stays open."""
        control_response = await self._control_call(request)
        if control_response is not None:
            status, body = control_response
            headers = self._state_headers()
            writer.write(
                routedrequests.response(request, status, headers, json.dumps(body).encode())
            )
            return True
        if self.faults.early:
            return True
        if self._is_misdirected(request):
            headers = {"Replica-Id": self.replica_id} | self._id_headers(request)
            self._refuse(request, 421, headers | self._state_headers(), writer)
            return True
        if self.faults.refuse or self.faults.retry_after:
            self._refuse(request, 503, self._refusal_headers(request), writer)
            self._ledger.record_refusal(request, self.faults.retry_after)
            return True
        if self.faults.room is not None and self._running >= self.faults.room:
            return self._turn_away(request, writer)
        self._running += 1
        try:
            if self._events:
                return await self._stream(request, reader, writer)
            return await self._plain(request, reader, writer)
        finally:
            self._running -= 1

    def _turn_away(self, request: routedrequests.Request, writer: asyncio.StreamWriter) -> bool:
        """Refuse a request for want of room, and crash if there were too many in a second."""
        now = time.monotonic()
        self.turned_away_at = [at for at in self.turned_away_at if now - at < 1.0] + [now]
        if self.faults.brittle and len(self.turned_away_at) > float(self.faults.brittle):
            self.falls += 1
            self.turned_away_at = []
            self._ledger.record_refusal(request, self.faults.retry_after, fell=True)
            for each in tuple(self._writers):
                sockets.reset(each.transport)
            return False
        self._ledger.record_refusal(request, self.faults.retry_after)
        self._refuse(request, 503, self._refusal_headers(request), writer)
        return True

    def _is_misdirected(self, request: routedrequests.Request) -> bool:
        if self.faults.misdirected:
            if request.is_continuation:
                return False
            self._arrivals_by_id[request.request_id] += 1
            return self._arrivals_by_id[request.request_id] <= self.faults.misdirected
        return request.value_by_name.get("expect-instance") not in (None, self.replica_id)

    def _refuse(
        self,
        request: routedrequests.Request,
        status: int,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        refusal = routedrequests.response(request, status, headers, b"")
        writer.write(refusal)
        if self.faults.repeats_refusals:
            self._refusal_by_writer[writer] = refusal

    async def _control_call(self, request: routedrequests.Request) -> tuple[int, object] | None:
        """Respond to control calls of the stand-in; return None for a caller's request."""
        path = request.target.partition("?")[0]
        if path == HEALTH_PATH:
            return 200, {}
        if path == "/standin/faults":
            self.faults = routedfaults.RoutedFaults.model_validate_json(request.body)
            return 200, {}
        if path == "/standin/ledger":
            return 200, [dataclasses.asdict(record) for record in self.ledger]
        if path == "/standin/leave":
            self.is_leaving = True
            return 200, {}
        if path == "/standin/copies":
            return 200, sorted(self.copy_by_name)
        if path == "/standin/copy":
            return self.copies.take(json.loads(request.body))
        if path == "/standin/drop":
            self.copy_by_name.pop(json.loads(request.body)["name"], None)
            return 200, {}
        if path == "/v1/report":
            return 200, self._report()
        if path == routedrequests.COPY_PATH:
            return await self.copies.move(json.loads(request.body), self._gap_s)
        if path.startswith("/v1/kv-handle/"):
            return await self.copies.drop(path.rpartition("/")[2])
        return None

    async def _plain(
        self,
        request: routedrequests.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        faults = self.faults
        self._ledger.record_run(request)
        if self._is_fatal(request):
            await self.stop()
            return False
        if faults.hang:
            await reader.read(1)
            return False
        if faults.endless:
            proof = self._proof_headers(request)
            await endlessresponses.send(writer, faults.endless, fields=proof)
            return False
        await asyncio.sleep(faults.delay_s)
        if self.machine.traits.plain_s:
            async with self._slots:
                factor = self.machine.factor(time.monotonic())
                await asyncio.sleep(self.machine.traits.plain_s * factor)
        status = faults.status or (500 if faults.fail else 200)
        body = f"{self.replica_id}:{request.request_id}".encode()
        body = body.rjust(faults.response_bytes, b".")
        if faults.stray:
            writer.write(
                routedrequests.response(request, 200, {"Attempt-Id": "another"}, b"not yours")
            )
        data = routedrequests.response(
            request, status, self._proof_headers(request), body, framed=not faults.unframed
        )
        if faults.torn or faults.reset:
            writer.write(data[:-3])
            await writer.drain()
            if faults.reset:
                sockets.reset(writer.transport)
            return False
        await self._write_in_pieces(writer, data)
        if not await self._drain(writer):
            return False
        if faults.extra:
            writer.write(
                routedrequests.response(request, 200, self._proof_headers(request), b"once more")
            )
        return not faults.unframed

    async def _write_in_pieces(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        piece_bytes = max(1, len(data) // PIECES) if self.faults.pieces_s else len(data)
        for offset in range(0, len(data), piece_bytes):
            writer.write(data[offset : offset + piece_bytes])
            await asyncio.sleep(self.faults.pieces_s / PIECES)

    async def _stream(
        self,
        request: routedrequests.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        run = self._begin(request)
        if run is None:
            self._refuse(request, 503, self._refusal_headers(request), writer)
            return True
        if self._is_fatal(request):
            await self.stop()
            return False
        if await self._crashed_from_memory():
            return False
        if self.faults.status:
            run.is_alive = False
            body = f"{self.replica_id}:{request.request_id}".encode()
            proof = self._proof_headers(request)
            writer.write(routedrequests.response(request, self.faults.status, proof, body))
            return True
        if self.faults.hang:
            await reader.read(1)
            return False
        if self.faults.endless:
            run.is_alive = False
            proof = self._proof_headers(request)
            await endlessresponses.send(writer, self.faults.endless, fields=proof)
            return False
        await asyncio.sleep(self.faults.delay_s)
        proof = self._proof_headers(request) | {"Content-Type": "text/event-stream"}
        is_framed = not self.faults.unframed
        framing = {"Transfer-Encoding": "chunked"} if is_framed else {"Connection": "close"}
        encode = routedrequests.chunk if is_framed else bytes
        writer.write(routedrequests.response_head(request, 200, proof | framing))
        if self.faults.crash_on_part in request.shared_parts:
            writer.write(encode(run.event(run.made + 1)))
            await self.stop()
            return False
        # Detects a caller that closes its connection, which ends its run.
        caller_left = asyncio.ensure_future(reader.read(1))
        sent = run.made
        try:
            while run.made < run.events and not run.is_stopped and not caller_left.done():
                await asyncio.sleep(self._gap_s * self.machine.factor(time.monotonic()))
                if run.made == self.faults.preempted_after_events:
                    await asyncio.wait((caller_left,), timeout=self.faults.preempted_s)
                if run.is_stopped or caller_left.done():
                    break
                run.made += 1
                writer.write(encode(run.event(run.made)))
                if not await self._drain(writer) or await self._crashed_from_memory():
                    return False
                if run.made - sent == self.faults.reset_after_events:
                    sockets.reset(writer.transport)
                    return False
                if run.made - sent == self.faults.die_after_events:
                    writer.write(encode(run.event(run.made + 1))[:-9])
                    await writer.drain()
                    return False
            is_whole = run.made >= run.events
            if is_whole and is_framed:
                writer.write(b"0\r\n\r\n")
            return is_whole and is_framed and not caller_left.done()
        finally:
            caller_left.cancel()
            # A stream reader allows only one pending read at a time.
            await asyncio.wait((caller_left,))
            if self.faults.keeps_runs and not run.is_stopped and run.made < run.events:
                task = asyncio.ensure_future(self._run_unread(run))
                self._unread_runs.add(task)
                task.add_done_callback(self._unread_runs.discard)
            else:
                run.is_alive = False

    async def _run_unread(self, run: routedruns.StandinRun) -> None:
        """Continue a run whose connection is lost."""
        self._ledger.record_unread(
            run.request_id, time.monotonic() + (run.events - run.made) * self._gap_s
        )
        while run.made < run.events and not run.is_stopped:
            await asyncio.sleep(self._gap_s)
            run.made += 1
        run.is_alive = False
        self._ledger.record_unread(run.request_id, time.monotonic())

    async def _drain(self, writer: asyncio.StreamWriter) -> bool:
        """Wait until a response was sent; cut it off if nothing of it is read for too long."""
        unread_s = self.machine.unread_s
        if unread_s is None:
            await writer.drain()
            return True
        transport = writer.transport
        transport.set_write_buffer_limits(high=0)
        draining = asyncio.ensure_future(writer.drain())
        unsent = transport.get_write_buffer_size()
        while not draining.done():
            await asyncio.wait((draining,), timeout=unread_s)
            left, unsent = unsent, transport.get_write_buffer_size()
            if not draining.done() and unsent >= left:
                draining.cancel()
                self.cut_off += 1
                sockets.reset(transport)
                return False
        await draining
        return True

    async def _crashed_from_memory(self) -> bool:
        """Crash if the runs that the engine holds exceed its memory; return whether it did."""
        bound = self.machine.memory_tokens
        if bound is None or self.held_tokens <= bound:
            return False
        self.crashes += 1
        await self.stop()
        return True

    def _is_fatal(self, request: routedrequests.Request) -> bool:
        """Return whether a request crashes the server."""
        text = self.faults.crash_on or self._crash_on
        return bool(text) and text in request.body.decode("latin-1")

    def _begin(self, request: routedrequests.Request) -> routedruns.StandinRun | None:
        """Begin a run or continue one from a copy; None when there is no such copy."""
        usage = request.value_by_name.get("token-usage", str(PROMPT_TOKENS))
        prompt_tokens = int(usage.partition(",")[0])
        run = routedruns.StandinRun(
            request.request_id,
            self._events,
            prompt_tokens,
            version=self.version,
            event_bytes=self.event_bytes,
        )
        source = request.value_by_name.get("kv-from")
        if source is None:
            self._ledger.record_run(request)
        else:
            copy = self.copy_by_name.pop(source.rpartition("/")[2], None)
            if copy is None or copy.request_id != request.request_id:
                return None
            self._ledger.record_continuation(request.request_id)
        run.made = int(request.value_by_name.get("last-event-id", "0"))
        self.run_by_id[request.request_id] = run
        return run

    def _report(self) -> dict[str, object]:
        runs = [
            [run.request_id, run.prompt_tokens + run.made, run.made, 5]
            for run in self.run_by_id.values()
            if run.is_alive
        ]
        report = {
            "kv_used": sum(run[1] for run in runs),
            "kv_total": self.machine.memory_tokens or MEMORY_TOKENS,
            "queued": 0,
            "state": "draining" if self.is_leaving else "ready",
            "runs": runs,
        }
        if self.born:
            report["born"] = self.born
        if self._left_at is not None:
            left_s = NOTICE_S - (time.monotonic() - self._left_at)
            report["leaves_ms"] = max(0.0, left_s) * 1000.0
        return report

    def _proof_headers(self, request: routedrequests.Request) -> dict[str, str]:
        headers = {"Attempt-Id": request.request_id, "Replica-Load": self._load_figures()}
        headers |= self._state_headers()
        if not self.faults.unproved:
            headers["Response-Seal"] = f"{self.replica_id}.{request.request_id}"
        if self.faults.limit:
            headers["Server-Limit"] = self.faults.limit
        return headers

    def _id_headers(self, request: routedrequests.Request) -> dict[str, str]:
        return {} if self.faults.unnamed else {"Attempt-Id": request.request_id}

    def _refusal_headers(self, request: routedrequests.Request) -> dict[str, str]:
        headers = {"Not-Executed": "1"} | self._id_headers(request) | self._state_headers()
        if self.faults.retry_after:
            headers["Retry-After"] = self.faults.retry_after
        return headers

    def _state_headers(self) -> dict[str, str]:
        """Return the headers that are part of every response."""
        headers = {"Server-Leaving": "1"} if self.is_leaving else {}
        if self.machine.traits.shares_machine or self.faults.slowdown:
            headers["Replica-Load"] = self._load_figures()
        return headers | ({"Server-Brittle": self.faults.brittle} if self.faults.brittle else {})

    def _load_figures(self) -> str:
        return self.machine.load_figures(self._running, time.monotonic())


async def _run(standin: RoutedStandin, bind: str) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await standin.start(bind)
    print(standin.address, flush=True)
    await stopping.wait()
    if standin.faults.ends_runs:
        standin.end_runs()
    if standin.faults.stops_in_order or standin.faults.ends_runs:
        await standin.finish()
    await standin.stop()


def run(
    bind: str,
    replica_id: str,
    events: int,
    gap_s: float,
    born: int = 0,
    ledger_path: pathlib.Path | None = None,
    crash_on: str = "",
    traits: routedmachine.RoutedTraits | None = None,
    version: str = "",
) -> None:
    """Serve until SIGTERM or SIGINT.

    :param bind: ``ip:port``; port 0 selects a free port.
    :param replica_id: the server's id.
    :param events: events of each stream; 0 makes it a plain service.
    :param gap_s: seconds between events.
    :param born: its start time in Unix milliseconds, or 0 to report none.
    :param ledger_path: a file that records the runs, or None.
    :param crash_on: a request whose body contains this text ends the server; empty for none.
    :param traits: its speed, its machine and its memory.
    :param version: its software version, which its events contain; empty for none.
    """
    standin = RoutedStandin(replica_id, events, gap_s, ledger_path, crash_on, traits, version)
    standin.born = born
    asyncio.run(_run(standin, bind))
