"""The requesting side of tunnels."""

import asyncio

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.http1 import clientside
from hornbeamglade.tunnels import frames


class TunneledConnection(clientside.ServerConnection):
    """A connection to a replica that another instance relays; it carries one request.

    :param address: ``ip:port`` of the replica.
    :param peer: the relaying instance.
    :param request: the request for the tunnel, as a frame of the exchange.
    :param frame_codec: decodes the response.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        address: str,
        peer: transport.Peer,
        request: bytes,
        frame_codec: codec.Codec,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(address, clock)
        self.via = peer.name
        self._request_frame = request
        self._codec = frame_codec
        self._frames = frames.FrameReader()
        self.outcome: asyncio.Future[messages.TunnelOutcome | None] = (
            asyncio.get_running_loop().create_future()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request for the tunnel."""
        super().connection_made(transport)
        transport.write(frames.pack(self._request_frame))

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the relaying instance."""
        try:
            for frame in self._frames.feed(data):
                if not self.outcome.done():
                    self.outcome.set_result(self._decode(frame))
                elif frame:
                    super().data_received(frame)
                else:
                    super().eof_received()
        except ValueError:
            self.close()

    def eof_received(self) -> bool:
        """Close; the response counts as reset unless the replica's own end was relayed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection."""
        if not self.outcome.done():
            self.outcome.set_result(None)
        super().connection_lost(exc)

    @property
    def may_be_reused(self) -> bool:
        """Return False, so that the next request tries this instance's own path again."""
        return False

    def _decode(self, frame: bytes) -> messages.TunnelOutcome | None:
        decoded = self._codec.decode(frame)
        if isinstance(decoded, codec.Decoded):
            is_from_peer = decoded.sender.name == self.via
            if is_from_peer and isinstance(decoded.message, messages.TunnelResponse):
                return decoded.message.outcome
        return None


async def open_tunnel(
    address: str,
    replica: int,
    peer: transport.Peer,
    frame_codec: codec.Codec,
    clock: clocks.Clock,
) -> TunneledConnection | messages.TunnelOutcome | None:
    """Open a connection to a replica through another instance.

    To be bounded by a timeout of the caller; cancelling it closes the connection.

    :param address: ``ip:port`` of the replica, as known here.
    :param replica: :func:`messages.key_hash` of its id.
    :returns: the connection, the reason why there is none, or None if the other instance did not
        say one.
    """
    request = frame_codec.encode(peer.name, messages.TunnelRequest(replica))
    loop = asyncio.get_running_loop()
    try:
        _, connection = await loop.create_connection(
            lambda: TunneledConnection(address, peer, request, frame_codec, clock),
            peer.endpoint.host,
            peer.endpoint.port,
        )
    except OSError:
        return None
    outcome = None
    try:
        outcome = await connection.outcome
    finally:
        if outcome is not messages.TunnelOutcome.OPENED:
            connection.close()
    return connection if outcome is messages.TunnelOutcome.OPENED else outcome
