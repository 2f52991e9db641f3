"""A small stand-in for a model replica or a plain replica of the platform.

A model replica reads prompts in chunks and makes a token for each running request in each step.
It starts a request only while the memory has room for its prompt and its whole answer, so it
never preempts one; the others wait, the most urgent first.
"""

import asyncio
import json
import secrets
import time
import typing

from standins import httpwire

STEP_S = 0.010
PREFILL_TOKENS_PER_STEP = 140
STRIDE = 4


class Run:
    """One request at a model replica."""

    def __init__(self, request: httpwire.Message, priority: int) -> None:
        self.request_id = request.fields["attempt-id"]
        prompt, most = request.fields["token-usage"].split(",")
        self.prompt, self.most = int(prompt), int(most)
        self.priority = priority
        self.unread = self.prompt
        self.made = 0
        self.is_running = False
        self.events: asyncio.Queue[int | None] = asyncio.Queue()

    @property
    def size(self) -> int:
        """Memory that it takes at its end."""
        return self.prompt + self.most


class Replica:
    """A replica; ``record`` is called with what it ran and what it answered.

    :param name: its id.
    :param record: called with an event's name and its fields.
    :param memory: tokens that a model replica holds; 0 for a plain replica.
    :param event_bytes: bytes of each event of a stream.
    """

    def __init__(
        self,
        name: str,
        record: typing.Callable[..., None],
        memory: int = 0,
        slots: int = 32,
        event_bytes: int = 300,
        work_s: float = 0.09,
    ) -> None:
        self.name = name
        self.memory = memory
        self.slots = slots
        self.event_bytes = event_bytes
        self.work_s = work_s
        self.address = ""
        self._record = record
        self._active = 0
        self.runs: list[Run] = []
        self._tasks: list[asyncio.Task] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        if self.memory:
            self._tasks.append(asyncio.create_task(self._work()))

    def crash(self) -> None:
        """Close the port and reset all connections, as a process that ends at once."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def arrived(self, request: httpwire.Message) -> None:
        """Do what a case wants at the arrival of a request."""

    async def began(self, request: httpwire.Message, writer: asyncio.StreamWriter) -> None:
        """Do what a case wants after the first event of an answer."""

    def entry(self, service: str, zone: str) -> dict[str, object]:
        """Return its entry in the list of replicas."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }

    @property
    def used(self) -> int:
        """Memory that cannot yield."""
        return sum(run.prompt - run.unread + run.made for run in self.runs if run.is_running)

    async def _work(self) -> None:
        due = time.monotonic()
        while True:
            due += STEP_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._admit()
            budget = PREFILL_TOKENS_PER_STEP
            for run in self.runs:
                if not run.is_running:
                    continue
                if run.unread:
                    part = min(budget, run.unread)
                    budget -= part
                    run.unread -= part
                    continue
                run.made += 1
                if run.made % STRIDE == 0 or run.made >= run.most:
                    run.events.put_nowait(-(-run.made // STRIDE))
                if run.made >= run.most:
                    run.events.put_nowait(None)
            self.runs = [run for run in self.runs if run.made < run.most]

    def _admit(self) -> None:
        held = sum(run.size for run in self.runs if run.is_running)
        count = sum(run.is_running for run in self.runs)
        waiting = [run for run in self.runs if not run.is_running]
        for run in sorted(waiting, key=lambda each: each.priority):
            if count >= self.slots or held + run.size > self.memory:
                return
            run.is_running = True
            held, count = held + run.size, count + 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await httpwire.read_message(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        request: httpwire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        path = request.line.split(" ")[1].partition("?")[0]
        if path == "/v1/report":
            body = json.dumps(self._report()).encode()
            writer.write(httpwire.response(200, {"Content-Type": "application/json"}, body))
            return True
        if path == "/healthz":
            writer.write(httpwire.response(200, {"Replica-Id": self.name}))
            return True
        if path.startswith("/v1/kv-"):
            writer.write(httpwire.response(404, {}))
            return True
        if request.fields.get("expect-instance", self.name) != self.name:
            writer.write(httpwire.response(421, {"Replica-Id": self.name}))
            return True
        self._active += 1
        self.arrived(request)
        try:
            if self.memory:
                return await self._stream(request, reader, writer)
            return await self._plain(request, writer)
        finally:
            self._active -= 1

    def _report(self) -> dict[str, object]:
        waiting = [run for run in self.runs if not run.is_running]
        return {
            "stage": "mixed",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "queued": len(waiting),
            "active": len(self.runs) - len(waiting),
            "kv_used": self.used,
            "kv_total": self.memory,
            "handles": 0,
            "state": "ready",
            "runs": [
                [run.request_id, run.prompt + run.made, run.made // STRIDE, run.priority]
                for run in self.runs
                if run.is_running
            ],
        }

    def _proof(self, request: httpwire.Message) -> dict[str, str]:
        return {
            "Attempt-Id": request.fields["attempt-id"],
            "Response-Seal": f"{self.name}.{secrets.token_hex(4)}",
            "Replica-Load": f"{self._active},0,{self.slots}",
        }

    async def _plain(self, request: httpwire.Message, writer: asyncio.StreamWriter) -> bool:
        self._record("run", request=request.fields["attempt-id"], replica=self.name)
        await asyncio.sleep(self.work_s)
        writer.write(httpwire.response(200, self._proof(request), b"x" * 800))
        await writer.drain()
        return True

    async def _stream(
        self,
        request: httpwire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        run = Run(request, int(request.fields.get("request-priority", "5")))
        self.runs.append(run)
        left = asyncio.ensure_future(reader.read(1))
        try:
            has_begun = False
            count = 0
            while True:
                event = asyncio.ensure_future(run.events.get())
                await asyncio.wait((event, left), return_when=asyncio.FIRST_COMPLETED)
                if left.done():
                    event.cancel()
                    self._record("replica_dropped", request=run.request_id, made=run.made)
                    return False
                if not has_begun:
                    has_begun = True
                    self._record("run", request=run.request_id, replica=self.name)
                    head = self._proof(request) | {
                        "Content-Type": "text/event-stream",
                        "Transfer-Encoding": "chunked",
                    }
                    lines = ["HTTP/1.1 200 -", *(f"{key}: {each}" for key, each in head.items())]
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                number = event.result()
                if number is None:
                    writer.write(b"0\r\n\r\n")
                    await writer.drain()
                    self._record("replica_finished", request=run.request_id, made=run.made)
                    return True
                data = f"id: {number}\ndata: ".encode().ljust(self.event_bytes - 2, b".") + b"\n\n"
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                count += 1
                if count == 1:
                    await self.began(request, writer)
        finally:
            if run in self.runs:
                self.runs.remove(run)
            left.cancel()
            await asyncio.gather(left, return_exceptions=True)
