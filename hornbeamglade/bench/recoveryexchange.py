"""Sends one request of the recovery benchmark over a new connection."""

import collections.abc
import socket

from hornbeamglade.bench import loadresponses

CONNECT_TIMEOUT_S = 1.0

_READ_BYTES = 65_536


class NotConnectedError(TimeoutError):
    """The connection was not established in time; nothing was sent."""


def send_request(
    address: str,
    request_bytes: bytes,
    read_timeout_s: float,
    on_event: collections.abc.Callable[[loadresponses.Event], None] = lambda event: None,
) -> loadresponses.ResponseParser:
    """Send one request and read its response until it is complete or the connection closes.

    :param read_timeout_s: seconds without a byte after which reading fails.
    :param on_event: called with each event as it arrives.
    :raises OSError: when the connection fails.
    :raises CodedError: when the received data is not an HTTP response.
    """
    host, _, port = address.rpartition(":")
    try:
        connection = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
    except TimeoutError as error:
        raise NotConnectedError from error
    with connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(read_timeout_s)
        connection.sendall(request_bytes)
        parser = loadresponses.ResponseParser()
        while not parser.complete and (data := connection.recv(_READ_BYTES)):
            for event in parser.feed(data):
                on_event(event)
    return parser


def build_request(
    method: str,
    path: str,
    key: str,
    body: bytes = b"",
    extra_headers: collections.abc.Mapping[str, str] | None = None,
) -> bytes:
    """Return the bytes of one request.

    :param key: API key of the team.
    :param extra_headers: additional headers.
    """
    header_by_name = {
        "Host": "site",
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **(extra_headers or {}),
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in header_by_name.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
