"""Datagram transport between entry nodes over one UDP socket.

Explanation
===========

Loss, duplication and reordering are handled by the protocols above. A send that
the operating system refuses (no route, full buffer) counts as a lost datagram, since the
protocols above could handle it in no other way.
"""

import abc
import collections.abc
import dataclasses
import ipaddress
import re
import socket
import threading

from hornbeamglade.core import codederrors
from hornbeamglade.exchange import codec, messages

_ADDRESS = re.compile(r"([0-9.]+):([0-9]{1,5})", re.ASCII)
_RECEIVE_BYTES = 2048
_POLL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """The address at which a node receives datagrams.

    :param host: an IPv4 address.
    :param port: a UDP port.

    Examples
    ========

    >>> Endpoint.parse("127.0.0.1:7000")
    Endpoint(host='127.0.0.1', port=7000)
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Endpoint":
        """Parse ``ip:port``.

        :raises CodedError: ``exchange_address_invalid`` for anything else.
        """
        # A host in any other form would be resolved as a name by each send.
        match = _ADDRESS.fullmatch(text)
        if match is None or int(match[2]) >= 2**16:
            raise codederrors.CodedError("exchange_address_invalid", f"{text!r:.80}")
        try:
            host = ipaddress.IPv4Address(match[1])
        except ValueError as error:
            raise codederrors.CodedError("exchange_address_invalid", f"{text!r:.80}") from error
        return cls(str(host), int(match[2]))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A node to send to.

    :param name: the node's name, to which the frame is bound.
    :param endpoint: its endpoint.
    """

    name: str
    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Traffic of a transport since its start, in messages and bytes of UDP payload."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0
    send_failures: int = 0
    handler_failures: int = 0


class Transport(abc.ABC):
    """Sends a message to a node, without guaranteed delivery."""

    @abc.abstractmethod
    def send(self, peer: Peer, message: messages.Message) -> None:
        """Send ``message``; losses are not reported."""


@dataclasses.dataclass(slots=True)
class TrafficCounters:
    """Traffic counters of an event loop's transport since its start."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0
    send_failures: int = 0


FailureHandler = collections.abc.Callable[[Exception, str], None]
MessageHandler = collections.abc.Callable[[messages.Message, codec.Sender, Endpoint], None]


class UdpTransport(Transport):
    """One UDP socket and the thread that receives from it."""

    def __init__(self, endpoint: Endpoint, frames: codec.Codec, handler: MessageHandler) -> None:
        """Bind the socket; receiving begins with :meth:`start`.

        :param endpoint: the endpoint to bind; port 0 selects a free port.
        :param frames: this node's codec.
        :param handler: called on the receiver thread with each message, its
            sender and the endpoint it came from; it must not block.
        :raises OSError: if the endpoint cannot be bound.
        """
        self._codec = frames
        self._handler = handler
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((endpoint.host, endpoint.port))
        self._socket.settimeout(_POLL_S)
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._traffic = Traffic()
        self._thread = threading.Thread(
            target=self._receive_until_stopped, name="exchange-receiver", daemon=True
        )

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint at which this transport receives."""
        host, port = self._socket.getsockname()
        return Endpoint(host, port)

    @property
    def traffic(self) -> Traffic:
        """The traffic so far."""
        return self._traffic

    def start(self) -> None:
        """Start the receiver thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop receiving and close the socket."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        self._socket.close()

    def send(self, peer: Peer, message: messages.Message) -> None:
        """Send ``message`` to ``peer``."""
        frame = self._codec.encode(peer.name, message)
        try:
            self._socket.sendto(frame, (peer.endpoint.host, peer.endpoint.port))
        except OSError:
            self._count(send_failures=1)
            return
        self._count(bytes_out=len(frame), messages_out=1)

    def _receive_until_stopped(self) -> None:
        while not self._stopping.is_set():
            try:
                frame, source = self._socket.recvfrom(_RECEIVE_BYTES)
            except TimeoutError:
                continue
            except OSError:
                # An earlier datagram was sent to a closed port; the socket remains usable.
                self._stopping.wait(0.01)
                continue
            self._receive(frame, Endpoint(*source))

    def _receive(self, frame: bytes, source: Endpoint) -> None:
        self._count(bytes_in=len(frame), messages_in=1)
        outcome = self._codec.decode(frame)
        if isinstance(outcome, codec.Dropped):
            superseded_by = outcome.superseded_by
            if superseded_by is not None:
                self.send(
                    Peer(superseded_by.name, source),
                    messages.SupersededIncarnation(superseded_by.incarnation),
                )
            return
        try:
            self._handler(outcome.message, outcome.sender, source)
        except codederrors.InvariantError:
            raise
        # An error in handling one message must not end the receiver thread: peers
        # would consider this node failed while it still serves callers.
        except Exception:
            self._count(handler_failures=1)

    def _count(self, **increments: int) -> None:
        with self._lock:
            current = self._traffic
            self._traffic = dataclasses.replace(
                current,
                **{name: getattr(current, name) + more for name, more in increments.items()},
            )
