"""A caller that records exactly what it received, on one connection."""

import asyncio
import dataclasses
import re
import time

import h11

from hornbeamglade.standins import operatordocuments, routedcaller

READ_BYTES = 65_536
PROMPT = "100,50"
_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """What a caller received in response to one request.

    :param status: the status, or None without a head.
    :param seal: the replica's proof, or an empty text.
    :param body: the body as far as it arrived.
    :param is_whole: whether the response was complete by its framing.
    :param seconds: time from the request to the end of the response.
    """

    status: int | None = None
    seal: str = ""
    body: bytes = b""
    is_whole: bool = False
    seconds: float = 0.0

    @property
    def has_foreign_bytes(self) -> bool:
        """Whether a stream has complete events that are not the stand-in's."""
        rest = _EVENT.sub(b"", self.body)
        return b"\n\n" in rest or b"\r\n\r\n" in rest

    @property
    def events(self) -> tuple[tuple[int, str], ...]:
        """Number and text of each event, in order of arrival."""
        return tuple((int(n), text.decode("latin-1")) for n, text in _EVENT.findall(self.body))


class RecordingCaller:
    """One connection to an instance.

    :param address: the address on which it accepts callers.
    :param key: the caller's API key.
    """

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._key = key
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        route: str,
        request_id: str,
        deadline_s: float,
        resumption: routedcaller.Resumption | None = None,
    ) -> Received:
        """Send a request and read its response, on the connection if it is still open.

        :param deadline_s: the caller's time budget, in seconds.
        :param resumption: the stream that it takes up, or None.
        """
        if self._writer is None or self._reader.at_eof():
            host, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        started_at = time.monotonic()
        state = h11.Connection(h11.CLIENT)
        body = request_id.encode()
        headers = {
            "Host": operatordocuments.HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(int(deadline_s * 1000)),
            "Authorization": f"Bearer {self._key}",
            "Content-Length": str(len(body)),
            "Model": "m",
            "Token-Usage": PROMPT,
        }
        headers |= routedcaller.resumption_fields(resumption)
        request = h11.Request(method="POST", target=f"/{route}/1", headers=list(headers.items()))
        data = state.send(request) + state.send(h11.Data(data=body))
        received = Received()
        try:
            self._writer.write(data + state.send(h11.EndOfMessage()))
            received = await self._read(state)
        except OSError:
            self.close()
        return dataclasses.replace(received, seconds=time.monotonic() - started_at)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None

    async def _read(self, state: h11.Connection) -> Received:
        received, body = Received(), bytearray()
        while True:
            try:
                event = state.next_event()
                if event is h11.NEED_DATA:
                    state.receive_data(await self._reader.read(READ_BYTES))
                    continue
            except (h11.RemoteProtocolError, OSError):
                self.close()
                return dataclasses.replace(received, body=bytes(body))
            if isinstance(event, h11.Response):
                fields = {name.lower(): value for name, value in event.headers}
                seal = fields.get(b"response-seal", b"").decode("latin-1")
                received = Received(event.status_code, seal)
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                if state.their_state is not h11.DONE:
                    self.close()
                return dataclasses.replace(received, body=bytes(body), is_whole=True)
            elif isinstance(event, h11.ConnectionClosed):
                self.close()
                return dataclasses.replace(received, body=bytes(body))
