"""The relaying side of tunnels.

Explanation
===========

The relaying instance opens a connection of its own to the requested replica and copies bytes in
both directions. It makes no decision about the request: the requesting instance has checked the
caller, chosen the replica, and counts the request against all limits and budgets. A tunnel is
never relayed by a third instance, so there are no loops.

Alternatives considered: *forwarding callers' requests to another instance, which handles them as
its own* (the retry budget, the limits of replicas and of teams, the grants of engines and the
memory of what may have run would be kept by an instance that the caller did not connect to; both
would have to agree on which of them may state that a request did not run); *naming only instances
that reach the replicas in address lookups* (callers keep addresses for several seconds, and all
requests that arrive in this time would fail). Neither costs anything while no partition exists,
and a tunnel costs one listening socket.
"""

import asyncio
import collections.abc

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.http1 import buffermemory, sockets
from hornbeamglade.observability import logs
from hornbeamglade.tunnels import frames, serverpaths

MAX_TUNNELS = 128
CONNECT_TIMEOUT_S = 0.25
"""Less than the requesting instance waits, so that it learns the outcome."""

REQUEST_TIMEOUT_S = 1.0

PIECE_BYTES = 32_768
"""Most bytes that are received from a replica at once, which a tunnel may hold beside a full
write buffer."""

Resolver = collections.abc.Callable[[int], str | None]


class TunnelServer:
    """Relays connections of other instances to replicas.

    :param frame_codec: authenticates and decodes requests.
    :param resolve: returns the address of a replica by the hash of its id, or None if it is not
        listed.
    :param paths: this instance's own paths to replicas.
    :param max_tunnels: most tunnels at once.
    :param memory: counts what the requesting instances have not read yet, or None.
    """

    def __init__(
        self,
        frame_codec: codec.Codec,
        resolve: Resolver,
        paths: serverpaths.ServerPaths,
        max_tunnels: int = MAX_TUNNELS,
        memory: buffermemory.BufferMemory | None = None,
    ) -> None:
        self.memory = memory or buffermemory.BufferMemory(clocks.SystemClock())
        # One for all: what is received is copied from it at once.
        self.read_buffer = memoryview(bytearray(PIECE_BYTES))
        self._max_tunnels = max_tunnels
        self._codec = frame_codec
        self._resolve = resolve
        self._paths = paths
        self._server: asyncio.Server | None = None
        self._is_leaving = False
        self._tunnels: set[_Tunnel] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def active_count(self) -> int:
        """The number of tunnels that carry a request."""
        return len(self._tunnels)

    async def listen(self, endpoint: transport.Endpoint) -> None:
        """Accept requests at a TCP port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Tunnel(self), endpoint.host, endpoint.port
        )

    def leave(self) -> None:
        """Accept no further tunnels; those that are open continue."""
        self._is_leaving = True

    def close(self) -> None:
        """Stop listening and abort all tunnels."""
        if self._server is not None:
            self._server.close()
        for tunnel in tuple(self._tunnels):
            tunnel.abort()

    def request_received(self, tunnel: "_Tunnel", frame: bytes) -> None:
        """Handle the request for a tunnel."""
        decoded = self._codec.decode(frame)
        if isinstance(decoded, codec.Dropped) or not isinstance(
            decoded.message, messages.TunnelRequest
        ):
            logs.decided("-", "tunnel", "rejected", reason=getattr(decoded, "reason", "malformed"))
            tunnel.abort()
            return
        task = asyncio.ensure_future(self._open(tunnel, decoded.sender.name, decoded.message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def forget(self, tunnel: "_Tunnel") -> None:
        """Forget a tunnel that has ended."""
        self._tunnels.discard(tunnel)

    async def _open(self, tunnel: "_Tunnel", node: str, request: messages.TunnelRequest) -> None:
        address = self._resolve(request.replica)
        outcome = await self._connect(tunnel, address)
        logs.decided(
            "-",
            "tunnel",
            outcome.name.lower(),
            node=node,
            address=address or "-",
            count=len(self._tunnels),
        )
        tunnel.respond(self._codec.encode(node, messages.TunnelResponse(outcome)))
        if outcome is not messages.TunnelOutcome.OPENED:
            tunnel.finish()
        if tunnel.is_closing:
            self.forget(tunnel)

    async def _connect(self, tunnel: "_Tunnel", address: str | None) -> messages.TunnelOutcome:
        if self._is_leaving:
            return messages.TunnelOutcome.LEAVING
        if address is None:
            return messages.TunnelOutcome.UNKNOWN_REPLICA
        if len(self._tunnels) >= self._max_tunnels:
            return messages.TunnelOutcome.BUSY
        if not self._paths.is_trial_due(address):
            return messages.TunnelOutcome.PARTITIONED
        self._tunnels.add(tunnel)
        self._paths.trial_started(address)
        try:
            await sockets.open_connection(
                lambda: _ReplicaSide(tunnel, self.read_buffer), address, CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError) as error:
            if self._paths.detoured_count:
                return messages.TunnelOutcome.PARTITIONED
            if isinstance(error, ConnectionRefusedError):
                return messages.TunnelOutcome.REFUSED
            return messages.TunnelOutcome.NO_RESPONSE
        self._paths.connected(address)
        return messages.TunnelOutcome.OPENED


class _Tunnel(asyncio.Protocol):
    """The connection of the requesting instance."""

    def __init__(self, server: TunnelServer) -> None:
        self._server = server
        self._frames = frames.FrameReader()
        self._transport: asyncio.Transport | None = None
        self._timeout: asyncio.TimerHandle | None = None
        self._has_request = False
        self._holding = server.memory.open()
        self.replica: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the request."""
        self._transport = transport
        sockets.set_user_timeout(transport)
        self._timeout = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self.abort)

    def data_received(self, data: bytes) -> None:
        """Handle the request for the tunnel, and then bytes for the replica."""
        if self.replica is not None:
            self.replica.write(data)
            return
        if self._has_request:
            self.abort()
            return
        try:
            request = next(self._frames.feed(data), None)
        except ValueError:
            self.abort()
            return
        if request is None:
            return
        if self._frames.has_partial_frame:
            self.abort()
            return
        self._has_request = True
        self._timeout.cancel()
        self._server.request_received(self, request)

    def eof_received(self) -> bool:
        """Abort the request: its caller has left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection to the replica, which cancels the request there."""
        self._timeout.cancel()
        self._server.forget(self)
        self._holding.close()
        if self.replica is not None:
            self.replica.abort()

    def pause_writing(self) -> None:
        """Stop reading from the replica while the requesting instance reads too slowly."""
        if self.replica is not None:
            self.replica.pause_reading()

    def resume_writing(self) -> None:
        """Continue to read from the replica."""
        self._count_unsent()
        if self.replica is not None:
            self.replica.resume_reading()

    def respond(self, response: bytes) -> None:
        """Send the response to the request for the tunnel."""
        self._transport.write(frames.pack(response))

    def relay(self, data: bytes) -> None:
        """Send bytes of the replica."""
        self._transport.write(frames.pack(data))
        self._count_unsent()

    def _count_unsent(self) -> None:
        self._holding.hold(self._transport.get_write_buffer_size())

    def relay_end(self) -> None:
        """State that the replica closed its connection in order."""
        self._transport.write(frames.END)
        self.finish()

    def finish(self) -> None:
        """Close once everything is sent."""
        self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            sockets.reset(self._transport)

    def pause_reading(self) -> None:
        """Stop reading while the replica reads too slowly."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue to read."""
        self._transport.resume_reading()

    @property
    def is_closing(self) -> bool:
        """Whether the requesting instance has left."""
        return self._transport.is_closing()


class _ReplicaSide(asyncio.BufferedProtocol):
    """The connection to the replica."""

    def __init__(self, tunnel: _Tunnel, read_buffer: memoryview) -> None:
        self._tunnel = tunnel
        self._read_buffer = read_buffer
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the two connections."""
        sockets.set_user_timeout(transport)
        if self._tunnel.is_closing:
            transport.abort()
            return
        self._tunnel.replica = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to put what is received."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Relay bytes of the replica."""
        self._tunnel.relay(bytes(self._read_buffer[:nbytes]))

    def eof_received(self) -> bool:
        """Relay the end of the response."""
        self._has_ended = True
        self._tunnel.relay_end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Reset the tunnel unless the replica closed its connection in order."""
        if not self._has_ended:
            self._tunnel.abort()

    def pause_writing(self) -> None:
        """Stop reading from the requesting instance while the replica reads too slowly."""
        self._tunnel.pause_reading()

    def resume_writing(self) -> None:
        """Continue to read from the requesting instance."""
        self._tunnel.resume_reading()
