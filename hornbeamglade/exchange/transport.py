"""Datagrams between entry nodes over one UDP socket.

Explanation
===========

Loss, duplication and reordering are left to the protocols above. A send that
the machine refuses (no route, full buffer) counts as a lost datagram: nothing
above could do anything else about it.
"""

import abc
import collections.abc
import dataclasses
import socket
import threading

from hornbeamglade.core import codederrors
from hornbeamglade.exchange import codec, messages

_RECEIVE_BYTES = 2048
_POLL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a node receives datagrams.

    :param host: an IPv4 number.
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
        """Read ``ip:port``.

        :raises CodedError: ``exchange_address_invalid`` for anything else.
        """
        host, _, port = text.rpartition(":")
        try:
            socket.inet_aton(host)
            number = int(port)
        except (OSError, ValueError) as error:
            raise codederrors.CodedError("exchange_address_invalid", repr(text)) from error
        if not 0 <= number < 2**16:
            raise codederrors.CodedError("exchange_address_invalid", repr(text))
        return cls(host, number)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A node to send to.

    :param name: the node's name, which the frame is bound to.
    :param endpoint: where it receives.
    """

    name: str
    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """What a transport has carried since its start; bytes of UDP payload."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0
    send_failures: int = 0
    handler_failures: int = 0


class Transport(abc.ABC):
    """Sends one message to one node, with no promise that it arrives."""

    @abc.abstractmethod
    def send(self, peer: Peer, message: messages.Message) -> None:
        """Send ``message``; losses are not reported."""


@dataclasses.dataclass(slots=True)
class TrafficCounters:
    """What a transport of an event loop has carried since its start."""

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
        """Bind the socket; nothing is received before :meth:`start`.

        :param endpoint: where to receive; port 0 takes a free port.
        :param frames: this node's codec.
        :param handler: called on the receiver thread with each message, its
            sender and the endpoint it came from; it must not block.
        :raises OSError: when the endpoint cannot be bound.
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
        """Where this transport receives."""
        host, port = self._socket.getsockname()
        return Endpoint(host, port)

    @property
    def traffic(self) -> Traffic:
        """What was carried so far."""
        return self._traffic

    def start(self) -> None:
        """Begin to receive."""
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
                # An earlier datagram met a closed port; the socket is still good.
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
        # A fault in handling one message must not end the receiver thread, which
        # would show as this node being taken for dead while it serves callers.
        except Exception:
            self._count(handler_failures=1)

    def _count(self, **increments: int) -> None:
        with self._lock:
            current = self._traffic
            self._traffic = dataclasses.replace(
                current,
                **{name: getattr(current, name) + more for name, more in increments.items()},
            )
