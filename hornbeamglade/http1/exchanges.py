"""Requests of callers with their responses."""

import collections.abc
import http

import h11

from hornbeamglade.http1 import callerrequests, fields, responsewriter

RESPONSE_PIECE_BYTES = 65_536
_CLOSE = (b"Connection", b"close")


class Exchange:
    """One request and its response.

    :param writer: writes the response.
    :param request: the request.
    :param state: the state of HTTP for this request.
    """

    def __init__(
        self,
        writer: responsewriter.ResponseWriter,
        request: callerrequests.Request,
        state: h11.Connection,
    ):
        self.request = request
        self.is_answered = False
        self._writer = writer
        self._state = state

    @property
    def peer(self) -> str:
        """The address of the caller."""
        return self._writer.peer

    async def answer(
        self, status: int, answer_fields: fields.Fields = (), body: bytes = b""
    ) -> None:
        """Send a complete response."""
        await self.answer_in_segments(status, answer_fields, (body,))

    async def answer_in_segments(
        self, status: int, answer_fields: fields.Fields, body: tuple[bytes, ...]
    ) -> None:
        """Send a complete response whose body was received in segments."""
        byte_count = sum(map(len, body))
        length = (b"Content-Length", b"%d" % byte_count)
        has_length = fields.value(answer_fields, b"content-length") is not None
        framed = answer_fields if has_length else (*answer_fields, length)
        self.is_answered = True
        data = self._head(status, framed)
        if byte_count <= RESPONSE_PIECE_BYTES:
            data += self._state.send(h11.Data(data=b"".join(body))) if byte_count else b""
            data += self._state.send(h11.EndOfMessage())
            await self._writer.write(data)
            return
        # Written as a whole, a body that is not read would be held twice.
        self._writer.begin_whole(byte_count)
        await self._writer.write(data)
        for segment in body:
            for offset in range(0, len(segment), RESPONSE_PIECE_BYTES):
                piece = segment[offset : offset + RESPONSE_PIECE_BYTES]
                await self._writer.write(self._state.send(h11.Data(data=piece)))
        await self._writer.write(self._state.send(h11.EndOfMessage()))

    async def begin(self, status: int, answer_fields: fields.Fields) -> None:
        """Send the head of a response of unknown length."""
        self.is_answered = True
        await self._writer.write(self._head(status, answer_fields))

    async def send(self, data: bytes) -> None:
        """Send a piece of the body, and wait while the write buffer is full."""
        await self._writer.write(self._state.send(h11.Data(data=data)))

    def set_read_ahead(self, count: collections.abc.Callable[[], int]) -> None:
        """Count what is read ahead of a slow caller as held for its connection.

        :param count: returns the bytes that are held besides those passed to :meth:`send`.
        """
        self._writer.count_read_ahead = count

    async def finish(self) -> None:
        """End the response as complete."""
        await self._writer.write(self._state.send(h11.EndOfMessage()))

    def abort(self) -> None:
        """Close the connection; the caller sees that a response in progress is incomplete."""
        if self._state.their_http_version == b"1.0":
            # Such a response has no chunks, and an orderly close would be its end.
            self._writer.reset()
        else:
            self._writer.abort()

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection may carry another request."""
        return self._state.our_state is h11.DONE and self._state.their_state is h11.DONE

    def _head(self, status: int, answer_fields: fields.Fields) -> bytes:
        if self._writer.announces_close:
            answer_fields = (*answer_fields, _CLOSE)
        return self._state.send(
            h11.Response(status_code=status, headers=list(answer_fields), reason=_reason(status))
        )


def _reason(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return ""
