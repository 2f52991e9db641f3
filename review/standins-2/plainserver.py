"""A plain server as its own process: answers without a length, which its connection ends.

Arguments: its id, its port, the size of its answers in bytes, and the seconds for each.
"""

import asyncio
import sys

PIECES = 10


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer one request in pieces, and end the connection in order."""
    name, size, seconds = sys.argv[1], int(sys.argv[3]), float(sys.argv[4])
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
        )
        await reader.readexactly(int(fields.get("content-length", "0")))
        request_id = fields.get("attempt-id", "")
        if not request_id:
            writer.write(
                f"HTTP/1.1 200 OK\r\nReplica-Id: {name}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        print(f"runs {request_id}", flush=True)
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n"
            f"Response-Seal: {name}.{request_id}\r\n"
            "Content-Type: text/plain\r\nConnection: close\r\n\r\n".encode()
        )
        for piece in range(PIECES):
            writer.write(f"{piece}".encode() * (size // PIECES))
            await writer.drain()
            await asyncio.sleep(seconds / PIECES)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Serve until killed."""
    server = await asyncio.start_server(serve, "127.0.0.1", int(sys.argv[2]))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
