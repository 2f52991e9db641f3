"""Raw connections, to send and receive bytes that a library would hide."""

import asyncio
import gc
import weakref

import h11

_open_writers = weakref.WeakSet()


def close_all():
    """Close the connections that a test has left open; to be called on its event loop."""
    for writer in tuple(_open_writers):
        writer.close()
    _open_writers.clear()


def uncollected_errors(run, kind=h11.RemoteProtocolError):
    """Return the errors of a kind that remain after ``run`` without garbage collection."""
    gc.collect()
    gc.disable()
    try:
        run()
        # Some weak references do not allow isinstance.
        return [repr(each) for each in gc.get_objects() if issubclass(type(each), kind)]
    finally:
        gc.enable()


class RawClient:
    """One connection to a server."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address):
        host, _, port = address.rpartition(":")
        client = cls(*await asyncio.open_connection(host, int(port)))
        _open_writers.add(client.writer)
        return client

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def head(self):
        """Return the status of a response, and its fields by lower-case name."""
        data = await self.reader.readuntil(b"\r\n\r\n")
        lines = data.decode("latin-1").split("\r\n")
        fields = [line.partition(": ") for line in lines[1:]]
        value_by_name = {name.lower(): value for name, _, value in fields}
        return int(lines[0].split(" ")[1]), value_by_name

    async def answer(self):
        """Return the status, fields and body of a response."""
        status, value_by_name = await self.head()
        if "transfer-encoding" in value_by_name:
            return status, value_by_name, await self._chunks()
        length = int(value_by_name.get("content-length", 0))
        return status, value_by_name, await self.reader.readexactly(length)

    async def _chunks(self):
        body = b""
        while True:
            size = int(await self.reader.readline(), 16)
            body += (await self.reader.readexactly(size + 2))[:-2]
            if not size:
                return body

    async def is_closed(self):
        try:
            return await self.reader.read(1) == b""
        except ConnectionError:
            return True

    def close(self):
        self.writer.close()


class ScriptedServer:
    """Answers each request with the next entry of a script, in bytes.

    A callable entry is called with the connection instead. If ``reads_bodies`` is
    false, each request is answered after its head was read.
    """

    def __init__(self, *script, reads_bodies=True):
        self._script = list(script)
        self._reads_bodies = reads_bodies
        self.requests = []
        self.connections = 0
        self.closed = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while self._script:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                body = await reader.readexactly(length if self._reads_bodies else 0)
                self.requests.append(head + body)
                step = self._script.pop(0)
                if callable(step):
                    await step(reader, writer)
                    return
                writer.write(step)
                await writer.drain()
            await reader.read(1)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.close()
