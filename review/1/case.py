"""A planned stop while a stream that was taken during the stop still waits for an engine."""

import asyncio
import os
import pathlib
import signal
import sys
import time

from standins import engine, httpwire, installation

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8.0
BOUNDS = {
    "grace_s": GRACE_S,
    "ttl_max_s": 5,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 52,
    "budget_window_s": 10,
}
MEMORY_TOKENS = 34_316
SLOTS = 32
ENGINES = 2
DRAFTS = 16
DRAFT_TOKENS = (3000, 2204)
TAG_TOKENS = (5000, 44)
# Consumers keep an answer of the directory for 2 s, some of them three times as long.
SENT_AFTER_STOP_S = (4.2, 4.6, 5.0, 5.4, 5.8)

ROUTES = [
    {
        "name": "thread-draft",
        "prefix": "/draft/",
        "route_kind": "streaming",
        "timeout_ms": 39_000,
        "goal_ms": 1800,
        "priority": 1,
        "service": "glade-llm",
        "max_attempts": 1,
        "sticky": True,
        "resumable": False,
        "gap_goal_ms": 180,
    },
    {
        "name": "mail-tag",
        "prefix": "/tag/",
        "route_kind": "streaming",
        "timeout_ms": 6000,
        "goal_ms": 1500,
        "priority": 0,
        "service": "glade-llm",
        "max_attempts": 2,
        "sticky": True,
        "resumable": True,
        "gap_goal_ms": 180,
    },
]


class Consumer:
    """Sends requests and records how each ended."""

    def __init__(self, record: installation.Record) -> None:
        self._record = record
        self.outcome_by_request: dict[str, str] = {}

    async def send(
        self, address: tuple[str, int], path: str, name: str, tokens: tuple[int, int], ms: int
    ) -> None:
        """Send one request on a new connection and read its answer to the end."""
        fields = {
            "Host": installation.HOST,
            "Attempt-Id": name,
            "Model": "m",
            "Token-Usage": f"{tokens[0]},{tokens[1]}",
            "Prompt-Prefix": f"5c1e07a2:79,{abs(hash(name)):x}:{tokens[0] - 79}",
            "Deadline-Ms": str(ms),
            "Authorization": f"Bearer {installation.KEY}",
        }
        started_at = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError as error:
            self._end(name, "not connected", started_at, error=type(error).__name__)
            return
        writer.write(httpwire.request("POST", f"{path}{name}", fields, b"x" * 1000))
        await writer.drain()
        self._record("request_sent", request=name, to=address[0])
        try:
            outcome = await asyncio.wait_for(self._read(reader), ms / 1000)
        except TimeoutError:
            outcome = "time budget over"
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            outcome = f"cut in the answer ({type(error).__name__})"
        self._end(name, outcome, started_at)
        writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> str:
        head = await httpwire.read_head(reader)
        if head is None:
            return "closed with no answer"
        status = head.line.split(" ")[1]
        if status != "200":
            retry = head.fields.get("retry-after")
            return f"answered {status}, Retry-After {retry}"
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            await reader.readexactly(size + 2)
            if not size:
                return "answered 200, complete"

    def _end(self, name: str, outcome: str, started_at: float, **more: object) -> None:
        self.outcome_by_request[name] = outcome
        seconds = round(time.monotonic() - started_at, 3)
        self._record("outcome", request=name, seconds=seconds, how=f"'{outcome}'", **more)


async def main() -> int:
    """Run the case; return 1 if a request was taken and its connection ended unanswered."""
    folder = pathlib.Path(__file__).resolve().parent
    site = installation.Installation(folder, BOUNDS, count=3)
    record = site.record
    replicas = [
        (engine.Replica(f"i-{number}", record, MEMORY_TOKENS, SLOTS), "glade-llm", "a")
        for number in range(ENGINES)
    ]
    manifest = installation.manifest(
        ROUTES, [installation.engine_service("glade-llm", MEMORY_TOKENS, SLOTS)]
    )
    consumer = Consumer(record)
    tasks = []
    try:
        await site.start(manifest, replicas)
        await asyncio.sleep(3.0)
        stopped = site.instances[0]
        for number in range(DRAFTS):
            address = site.instances[number % 3].callers
            name = f"draft-{number}"
            sending = consumer.send(address, "/draft/", name, DRAFT_TOKENS, 39_000)
            tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(0.15)
        await asyncio.sleep(0.5)
        stopped_at = time.monotonic()
        ending = None
        if HAS_TROUBLE:
            stopped.send(signal.SIGTERM)
            ending = asyncio.create_task(stopped.ended())
        tags = []
        for number, after_s in enumerate(SENT_AFTER_STOP_S):
            await asyncio.sleep(max(0.0, stopped_at + after_s - time.monotonic()))
            name = f"tag-{number}"
            sending = consumer.send(stopped.callers, "/tag/", name, TAG_TOKENS, 6000)
            tags.append(asyncio.create_task(sending))
        await asyncio.wait(tags)
        if ending is not None:
            await asyncio.wait((ending,), timeout=GRACE_S)
        names = [f"tag-{number}" for number in range(len(SENT_AFTER_STOP_S))]
        outcomes = [consumer.outcome_by_request[name] for name in names]
        lost = sum(each.startswith(("closed", "cut")) for each in outcomes)
        record("result", lost=lost, of=len(outcomes))
        return 1 if lost else 0
    finally:
        for task in tasks:
            task.cancel()
        await site.end()


sys.exit(asyncio.run(main()))
