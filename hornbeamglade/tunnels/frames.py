"""Framing of a tunnel's bytes from the relaying instance.

Explanation
===========

Each frame is a 4-byte length and the bytes. The first frame is the response to the request for the
tunnel; an empty frame states that the replica closed its connection in order. Without frames, the
end of the relaying process could not be told from the end of a response that has no length.

The bytes to the replica are not framed: closing the connection at any time aborts the request.
"""

import collections.abc

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1_048_576
END = bytes(LENGTH_BYTES)


def pack(data: bytes) -> bytes:
    r"""Return a frame.

    Examples
    ========

    >>> pack(b"abc")
    b'\x00\x00\x00\x03abc'
    """
    return len(data).to_bytes(LENGTH_BYTES) + data


class FrameReader:
    r"""Splits received bytes into frames.

    Examples
    ========

    >>> reader = FrameReader()
    >>> list(reader.feed(pack(b"abc") + b"\x00\x00"))
    [b'abc']
    >>> list(reader.feed(b"\x00\x00"))
    [b'']
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_frame(self) -> bool:
        """Whether bytes of a further frame have been received."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> collections.abc.Iterator[bytes]:
        """Yield the frames that are complete with ``data``.

        :raises ValueError: if a frame is longer than :data:`MAX_FRAME_BYTES`.
        """
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES])
            if length > MAX_FRAME_BYTES:
                raise ValueError("frame too long")
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[LENGTH_BYTES:end])
            del self._buffer[:end]
            yield frame
