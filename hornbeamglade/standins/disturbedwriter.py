"""Writes one response of a stand-in with a disturbance at one of its bytes."""

import asyncio
import collections.abc
import typing

from hornbeamglade.http1 import sockets
from hornbeamglade.standins import disturbances

APART_S = 0.005
"""Time for the bytes before a response that is inserted apart to be read, and for the response."""

SIGNAL_DELAY_S = 0.02
"""Time for what an action starts elsewhere before the rest of the response is sent."""


class DisturbedWriter:
    """Stands for the writer of a connection while one response is written.

    :param writer: the connection's writer.
    :param disturbance: what happens, or None; then the bytes are only recorded.
    :param request_id: the request whose response is written.
    :param pause_s: how long a stalled response stands still, in seconds.
    :param on_reached: called at the disturbed byte of an action that happens elsewhere.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        disturbance: disturbances.Disturbance | None,
        request_id: str,
        pause_s: float = 0.0,
        on_reached: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self._writer = writer
        self._disturbance = disturbance
        self._request_id = request_id
        self._pause_s = pause_s
        self._on_reached = on_reached
        self.sent = bytearray()
        self._held: bytearray | None = None
        self._has_ended = False
        if disturbance is not None and disturbance.at == 0:
            self._act()

    @property
    def transport(self) -> asyncio.WriteTransport:
        """The connection's transport."""
        return self._writer.transport

    def get_extra_info(self, name: str) -> typing.Any:
        """Return information about the connection."""
        return self._writer.get_extra_info(name)

    def write(self, data: bytes) -> None:
        """Write bytes of the response."""
        before = len(self.sent)
        self.sent += data
        disturbance = self._disturbance
        if disturbance is not None and before < disturbance.at <= len(self.sent):
            reached = disturbance.at - before
            self._pass_on(data[:reached])
            self._act()
            data = data[reached:]
        self._pass_on(data)

    async def drain(self) -> None:
        """Wait until the connection takes more bytes."""
        if not self._has_ended:
            await self._writer.drain()

    def close(self) -> None:
        """Close the connection, unless the disturbance has or will."""
        if self._held is None:
            self._writer.close()

    def _pass_on(self, data: bytes) -> None:
        if self._held is not None:
            self._held += data
        elif data and not self._has_ended:
            self._writer.write(data)

    def _act(self) -> None:
        action = self._disturbance.action
        if action in disturbances.INSERTIONS:
            stray = disturbances.stray_bytes(self._disturbance.stray, self._request_id)
            if action is disturbances.Action.INSERT:
                self._pass_on(stray)
                return
            self._held = bytearray()
            loop = asyncio.get_running_loop()
            loop.call_later(APART_S, self._writer.write, stray)
            loop.call_later(2 * APART_S, self._go_on)
        elif action is disturbances.Action.CLOSE:
            self._has_ended = True
            self._writer.close()
        elif action is disturbances.Action.RESET:
            self._has_ended = True
            sockets.reset(self._writer.transport)
        else:
            is_elsewhere = action is not disturbances.Action.STALL
            self._held = bytearray()
            if is_elsewhere:
                self._on_reached()
            delay_s = SIGNAL_DELAY_S if is_elsewhere else self._pause_s
            asyncio.get_running_loop().call_later(delay_s, self._go_on)

    def _go_on(self) -> None:
        held, self._held = self._held, None
        if held:
            self._writer.write(bytes(held))
