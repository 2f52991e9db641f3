"""UDP transport between nodes on an event loop."""

import asyncio
import socket

from hornbeamglade.core import codederrors
from hornbeamglade.exchange import codec, messages, transport

MAX_WAITING = 256
"""Datagrams that are handled at a time before the event loop turns to other work."""

_RECEIVE_BYTES = 65_536


class AsyncUdpTransport(transport.Transport, asyncio.DatagramProtocol):
    """One UDP socket of an event loop; to be used only on the thread of the loop.

    Explanation
    ===========

    All datagrams that wait are handled at once. An event loop by itself takes one datagram in
    each of its iterations, so an instance that has stood still would handle requests before most
    of the messages that arrived before them, such as that a replica leaves.

    :param frames: this node's codec.
    :param handler: called with each message, its sender and the endpoint it came from;
        it must not block.
    :param failed: called with each error that the handler raised.
    """

    def __init__(
        self,
        frames: codec.Codec,
        handler: transport.MessageHandler,
        failed: transport.FailureHandler,
    ) -> None:
        self._codec = frames
        self._handler = handler
        self._failed = failed
        self._socket: asyncio.DatagramTransport | None = None
        self._waiting: socket.socket | None = None
        self.traffic = transport.TrafficCounters()

    async def listen(self, endpoint: transport.Endpoint) -> transport.Endpoint:
        """Bind the socket; return the endpoint at which it receives."""
        loop = asyncio.get_running_loop()
        address = (endpoint.host, endpoint.port)
        self._socket, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._waiting = self._socket.get_extra_info("socket").dup()
        host, port = self._socket.get_extra_info("sockname")[:2]
        return transport.Endpoint(host, port)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._waiting.close()

    def send(self, peer: transport.Peer, message: messages.Message) -> None:
        """Send ``message`` to ``peer``; dropped before :meth:`listen`."""
        if self._socket is None or self._socket.is_closing():
            return
        frame = self._codec.encode(peer.name, message)
        self._socket.sendto(frame, (peer.endpoint.host, peer.endpoint.port))
        self.traffic.bytes_out += len(frame)
        self.traffic.messages_out += 1

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle one datagram, and the others that wait."""
        self._receive(data, addr)
        for _ in range(MAX_WAITING):
            try:
                waiting, source = self._waiting.recvfrom(_RECEIVE_BYTES)
            except OSError:
                return
            self._receive(waiting, source)

    def _receive(self, data: bytes, addr: tuple[str, int]) -> None:
        self.traffic.bytes_in += len(data)
        self.traffic.messages_in += 1
        outcome = self._codec.decode(data)
        if isinstance(outcome, codec.Dropped):
            superseded_by = outcome.superseded_by
            if superseded_by is not None:
                self.send(
                    transport.Peer(superseded_by.name, transport.Endpoint(*addr)),
                    messages.SupersededIncarnation(superseded_by.incarnation),
                )
            return
        try:
            self._handler(outcome.message, outcome.sender, transport.Endpoint(*addr))
        except codederrors.InvariantError:
            raise
        except Exception as error:  # noqa: BLE001
            # The socket keeps receiving: a node that handles no messages would appear
            # failed to all peers.
            self._failed(error, type(outcome.message).__name__)

    def error_received(self, exc: Exception) -> None:
        """Count an earlier datagram sent to a closed port; the socket remains usable."""
        self.traffic.send_failures += 1
