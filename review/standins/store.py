"""A small stand-in for the platform's metadata store: rows, transactions and feeds."""

import asyncio
import base64
import json
import time
import urllib.parse

from standins import httpwire

MAX_ROWS = 500
MAX_BYTES = 1_000_000


class Store:
    """The store; it keeps its rows in memory and loses nothing."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.history: list[dict] = []
        self.changed = asyncio.Condition()
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def put(self, table: str, key: str, document: object) -> None:
        """Write one row as the operator or a replica does."""
        await self.put_bytes(table, key, json.dumps(document).encode())

    async def put_bytes(self, table: str, key: str, content: bytes) -> None:
        """Write one row with any content."""
        value = base64.b64encode(content).decode()
        row = {"table": table, "part": "", "key": key, "value": value}
        await self._apply([row], [])

    async def delete(self, table: str, key: str) -> None:
        """Remove one row."""
        await self._apply([], [{"table": table, "key": key}])

    async def _apply(self, writes: list[dict], removals: list[dict]) -> None:
        self.version += 1
        for row in writes:
            name = (row["table"], row.get("part", ""), row["key"])
            self.rows[name] = (row["value"], self.version)
            self.history.append(
                {
                    "table": name[0],
                    "part": name[1],
                    "key": name[2],
                    "value": row["value"],
                    "ver": self.version,
                }
            )
        for row in removals:
            name = (row["table"], row.get("part", ""), row["key"])
            if self.rows.pop(name, None) is not None:
                self.history.append(
                    {
                        "table": name[0],
                        "part": name[1],
                        "key": name[2],
                        "ver": self.version,
                        "deleted": True,
                    }
                )
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await httpwire.read_message(reader)) is not None:
                status, body = await self._answer(message)
                body |= {"now_ms": int(time.monotonic() * 1000)}
                fields = {"Content-Type": "application/json"}
                writer.write(httpwire.response(status, fields, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: httpwire.Message) -> tuple[int, dict]:
        method, target, _ = message.line.split(" ", 2)
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == "/v1/rows-get":
            return 200, self._read(query)
        if path == "/v1/rows-feed":
            return 200, await self._feed(query)
        if path == "/v1/rows-tx" and method == "POST":
            return await self._transact(json.loads(message.body))
        return 404, {}

    def _read(self, query: dict[str, str]) -> dict:
        first, end = query.get("from", ""), query.get("to")
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        found = [
            {"table": table, "part": part, "key": key, "value": value, "ver": version}
            for (table, part, key), (value, version) in sorted(self.rows.items())
            if table == query["table"] and part == query.get("part", "")
            if key >= first and (end is None or key < end)
        ]
        rows, size = [], 0
        for row in found[:limit]:
            size += len(row["value"])
            if size > MAX_BYTES:
                break
            rows.append(row)
        return {"rows": rows, "truncated": len(found) > len(rows), "ver": self.version}

    async def _feed(self, query: dict[str, str]) -> dict:
        after, ends_at = int(query["after_revision"]), time.monotonic()
        ends_at += min(30_000, int(query.get("wait_ms", "0"))) / 1000
        while True:
            rows = [
                each
                for each in self.history
                if each["ver"] > after and each["table"] == query["table"]
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return {"rows": rows, "ver": self.version}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except TimeoutError:
                    continue

    async def _transact(self, body: dict) -> tuple[int, dict]:
        await asyncio.sleep(0.005)
        for each in body["expected"]:
            name = (each["table"], each.get("part", ""), each["key"])
            if self.rows.get(name, ("", 0))[1] != each["ver"]:
                return 412, {"rows": []}
        await self._apply(body["writes"], body["remove"])
        return 200, {"ver": self.version}
