"""Model replicas for the cases, by the operators' protocol; all run on the script's event loop."""

import asyncio
import dataclasses
import json
import time

import site2

EVENT_S = 0.04
PROMPT_TOKENS_PER_S = 14_000
TOKENS_PER_EVENT = 4
KV_BYTES = 163_840
LINK_MBPS = 24_000.0
CAPACITY_TOKENS = 34_316
SLOTS = 32
DRAIN_S = 2.0
PADDING_BYTES = 600

SERVICE = {
    "name": "llm",
    "health_path": "/h",
    "max_connections": 302,
    "engine": {
        "slots": SLOTS,
        "kv_capacity_tokens": CAPACITY_TOKENS,
        "kv_bytes": KV_BYTES,
        "link_mbps": LINK_MBPS,
        "moves": True,
        "backups": True,
        "stride": TOKENS_PER_EVENT,
        "handle_s": 10.0,
    },
}


@dataclasses.dataclass
class Run:
    """A run of a request at an engine."""

    request_id: str
    prompt_tokens: int
    events: int
    made: int = 0
    is_stopped: bool = False
    is_alive: bool = True

    @property
    def tokens(self) -> int:
        """Tokens in memory."""
        return self.prompt_tokens + TOKENS_PER_EVENT * self.made


@dataclasses.dataclass
class Request:
    """A request as received."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; return None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ")
    fields = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Request(method, target, fields, body)


def response(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Engine:
    """One model replica."""

    def __init__(self, farm: "Farm", name: str, zone: str, events: int) -> None:
        self.farm = farm
        self.name = name
        self.zone = zone
        self.events = events
        self.address = ""
        self.runs: dict[str, Run] = {}
        self.copies: dict[str, Run] = {}
        self.draining_at: float | None = None
        self.breaks_off_after: int | None = None
        self.strays: dict[tuple[str, int], bytes] = {}
        self.length_first_s: float | None = None
        self.works_until: dict[str, float] = {}
        self.arrivals: list[tuple[str, float]] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        await self.register("ready")

    async def register(self, state: str) -> None:
        """Write the entry."""
        await asyncio.to_thread(
            self.farm.site.write_server,
            self.name,
            "llm",
            self.address,
            zone=self.zone,
            slots=SLOTS,
            state=state,
        )

    async def drain(self, longer_s: float) -> None:
        """Report draining, and exit after the notice and a little longer."""
        await self.register("draining")
        self.draining_at = time.monotonic()
        self.farm.record.line(f"{self.name} draining: confirmed by the store")
        await asyncio.sleep(DRAIN_S + longer_s)
        self.stop()
        await asyncio.to_thread(self.farm.site.write, "servers", self.name, None)
        self.farm.record.line(f"{self.name} has exited")

    def stop(self) -> None:
        """Exit."""
        self._server.close()
        for run in self.runs.values():
            run.is_alive = False
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if request.target == "/v1/report":
            writer.write(response(200, {"Content-Type": "application/json"}, self._report()))
        elif request.target == "/v1/kv-move":
            status, body = await self._move(json.loads(request.body))
            fields = {"Content-Type": "application/json"}
            writer.write(response(status, fields, json.dumps(body).encode()))
        elif request.target.startswith("/v1/kv-handle/"):
            handle = request.target.rpartition("/")[2]
            for engine in self.farm.engines:
                engine.copies.pop(handle, None)
            writer.write(response(200, {}))
        elif request.fields.get("expect-instance") not in (None, self.name):
            fields = {"Attempt-Id": request.fields.get("attempt-id", ""), "Not-Executed": "1"}
            writer.write(response(421, fields))
        else:
            return await self._stream(request, reader, writer)
        return True

    async def _work_on(self, run: Run) -> None:
        """Complete a run whose connection has ended; not every replica drops it."""
        while run.made < run.events and not run.is_stopped:
            await asyncio.sleep(EVENT_S)
            run.made += 1
            self.works_until[run.request_id] = time.monotonic()
        run.is_alive = False
        self.farm.record.line(f"{self.name} ends its work on {run.request_id}")

    def _used_tokens(self) -> int:
        """Return the tokens of all runs, preempted ones included."""
        return sum(run.tokens for run in self.runs.values() if run.is_alive)

    def _is_preempted(self, run: Run) -> bool:
        """Return whether memory has run out and a run is the newest."""
        newest = [each for each in self.runs.values() if each.is_alive][-1]
        return newest is run and self._used_tokens() > CAPACITY_TOKENS

    def _report(self) -> bytes:
        alive = [run for run in self.runs.values() if run.is_alive]
        used = sum(run.tokens for run in (*alive, *self.copies.values()))
        return json.dumps(
            {
                "stage": "mixed",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 0,
                "queued": 0,
                "active": len(alive),
                "kv_used": used,
                "kv_total": CAPACITY_TOKENS,
                "handles": len(self.copies),
                "state": "ready" if self.draining_at is None else "draining",
                "runs": [[run.request_id, run.tokens, run.made, 5] for run in alive],
            }
        ).encode()

    async def _move(self, order: dict) -> tuple[int, dict]:
        """Copy a run's memory: at first all of it, then what is new."""
        run = self.runs.get(order["id"])
        target = self.farm.at(order["to"])
        record = self.farm.record
        where = target.name if target else "-"
        record.line(f"{self.name} kv-move {order['id']} to {where} last={order['last']}")
        if run is None or not run.is_alive:
            return 404, {}
        if target is None:
            return 503, {}
        if order["last"]:
            run.is_stopped = True
        handle = f"h-{run.request_id}"
        earlier = target.copies.get(handle)
        self.farm.on_move(self, target)
        tokens = run.tokens - (earlier.tokens if earlier else 0)
        far = 2 if target.zone != self.zone else 1
        copied = dataclasses.replace(run, is_stopped=False, is_alive=True)
        target.copies.setdefault(handle, copied)
        await asyncio.sleep(far * tokens * KV_BYTES * 8 / (LINK_MBPS * 1e6))
        target.copies[handle] = copied
        record.line(f"{self.name} kv-move {order['id']} is complete, {copied.made} events")
        return 200, {"handle": handle, "created": copied.made}

    async def _stream(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = request.fields["attempt-id"]
        self.arrivals.append((request_id, time.monotonic()))
        source = request.fields.get("kv-from")
        last = request.fields.get("last-event-id", "-")
        self.farm.record.line(
            f"{self.name} gets {request_id}, kv-from {source or '-'}, last-event-id {last}"
        )
        prompt_tokens, max_tokens = map(int, request.fields["token-usage"].split(","))
        if source is not None:
            copy = self.copies.pop(source.rpartition("/")[2], None)
            if copy is None:
                writer.write(response(503, {"Attempt-Id": request_id, "Not-Executed": "1"}))
                return True
            run = copy
        else:
            events = min(self.events, max_tokens // TOKENS_PER_EVENT)
            run = Run(request_id, prompt_tokens, events)
            await asyncio.sleep(prompt_tokens / PROMPT_TOKENS_PER_S)
        sent = int(request.fields.get("last-event-id", "0"))
        run.made = max(run.made, sent)
        self.runs[request_id] = run
        fields = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {request_id}",
            f"Response-Seal: {self.name}.{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "",
            "",
        ]
        writer.write("\r\n".join(fields).encode())
        left = asyncio.ensure_future(reader.read(1))
        try:
            while run.is_alive and not run.is_stopped and not left.done():
                if sent < run.made or run.made < run.events:
                    await asyncio.sleep(EVENT_S)
                    if run.is_stopped or not run.is_alive or left.done():
                        return False
                    if sent == run.made:
                        run.made += 1
                    sent += 1
                    event = f"id: {sent}\ndata: {request_id}/{sent}\n\n".encode()
                    if self._is_preempted(run):
                        self.farm.record.line(
                            f"{self.name} is out of memory: preempts {request_id}"
                        )
                        while not left.done() and self._used_tokens() > CAPACITY_TOKENS:
                            await asyncio.wait((left,), timeout=EVENT_S)
                        if left.done():
                            self.farm.record.line(f"{self.name}: {request_id} is closed")
                            return False
                        await asyncio.sleep(run.tokens / PROMPT_TOKENS_PER_S)
                        self.farm.record.line(f"{self.name} goes on with {request_id}")
                    if sent == self.breaks_off_after:
                        self.breaks_off_after = None
                        self.farm.record.line(f"{self.name} breaks off its answer to {request_id}")
                        writer.write(b"%x\r\n%s" % (len(event), event[:-4]))
                        asyncio.ensure_future(self._work_on(run))
                        run = dataclasses.replace(run)
                        return False
                    if self.length_first_s is not None:
                        event = event[:-2] + b"." * PADDING_BYTES + event[-2:]
                        writer.write(b"%x\r\n" % len(event))
                        await writer.drain()
                        await asyncio.sleep(self.length_first_s)
                        if (request_id, sent) in self.strays:
                            self.farm.record.line(f"{self.name} spoils event {sent}")
                            writer.write(self.strays[request_id, sent])
                            await writer.drain()
                            return False
                        writer.write(event + b"\r\n")
                        await writer.drain()
                        continue
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                    continue
                writer.write(b"0\r\n\r\n")
                self.farm.record.line(f"{self.name} has completed {request_id}")
                run.is_alive = False
                left.cancel()
                await asyncio.wait((left,))
                return True
            return False
        finally:
            left.cancel()
            run.is_alive = False


class Farm:
    """The engines of a case."""

    def __init__(self, site: site2.Site) -> None:
        self.site = site
        self.record = site.record
        self.engines: list[Engine] = []

    async def add(self, name: str, zone: str, events: int) -> Engine:
        """Start an engine."""
        engine = Engine(self, name, zone, events)
        await engine.start()
        self.engines.append(engine)
        return engine

    def at(self, address: str) -> Engine | None:
        """Return the engine at an address."""
        return next((each for each in self.engines if each.address == address), None)

    def engine_of(self, request_id: str) -> Engine | None:
        """Return the first engine that got a request, or None."""
        return next(
            (
                engine
                for engine in self.engines
                if any(each == request_id for each, _ in engine.arrivals)
            ),
            None,
        )

    def on_move(self, source: Engine, target: Engine) -> None:
        """Notice that a copy begins; a case may replace this."""


@dataclasses.dataclass
class Answer:
    """What a consumer got."""

    status: int | None = None
    events: list[int] = dataclasses.field(default_factory=list)
    body: bytes = b""
    is_whole: bool = False


async def draft(
    front: tuple[str, int],
    request_id: str,
    prompt_tokens: int,
    max_tokens: int,
    answer: Answer,
) -> None:
    """Send one request for a stream and read its answer."""
    reader, writer = await asyncio.open_connection(*front)
    lines = [
        "POST /draft/1 HTTP/1.1",
        f"Host: {site2.HOST}",
        f"Attempt-Id: {request_id}",
        "Model: m",
        f"Token-Usage: {prompt_tokens},{max_tokens}",
        f"Prompt-Prefix: 5c1e07a2:79,{request_id}:{prompt_tokens - 79}",
        "Deadline-Ms: 39000",
        f"Authorization: Bearer {site2.KEY}",
        "Content-Length: 4",
        "",
        "text",
    ]
    writer.write("\r\n".join(lines).encode())
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        answer.status = int(head.split(" ")[1])
        if "chunked" not in head.lower():
            return
        while size := int(await reader.readline(), 16):
            chunk = await reader.readexactly(size + 2)
            answer.body += chunk[:-2]
            answer.events += [
                int(line[4:]) for line in chunk.split(b"\n") if line.startswith(b"id: ")
            ]
        answer.is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        writer.close()
