"""Sockets of connections on an event loop: their options, and opening one in bounded time."""

import asyncio
import collections.abc
import contextlib
import errno
import os
import socket
import struct
import typing

USER_TIMEOUT_MS = 3_000
"""A connection ends if sent bytes stay unacknowledged for this long. Without this limit, a
write to a machine that lost power fails only after many minutes."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
Protocol = typing.TypeVar("Protocol", bound=asyncio.BaseProtocol)


async def open_connection(
    make_protocol: collections.abc.Callable[[], Protocol], address: str, timeout_s: float
) -> Protocol:
    """Open a connection; return its protocol.

    Explanation
    ===========

    A busy event loop may learn only after the timeout that the connection was opened or refused
    in time. So the kernel is asked then: to take the server for silent would blame it for a delay
    of this process.

    :param make_protocol: called once the connection is open.
    :param address: ``ip:port``, IPv4.
    :param timeout_s: bounds the time until the connection is open.
    :raises TimeoutError: if it is not open by then.
    :raises OSError: if it cannot be opened.
    """
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    try:
        await _connect(connection, host, int(port), timeout_s)
    except BaseException:
        connection.close()
        raise
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_connection(make_protocol, sock=connection)
    return protocol


async def _connect(connection: socket.socket, host: str, port: int, timeout_s: float) -> None:
    connection.setblocking(False)
    error = connection.connect_ex((host, port))
    if error == errno.EINPROGRESS:
        loop = asyncio.get_running_loop()
        has_ended = asyncio.Event()
        loop.add_writer(connection, has_ended.set)
        try:
            async with asyncio.timeout(timeout_s):
                await has_ended.wait()
        except TimeoutError:
            pass
        finally:
            loop.remove_writer(connection)
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))
    if not _has_peer(connection):
        raise TimeoutError


def _has_peer(connection: socket.socket) -> bool:
    try:
        connection.getpeername()
    except OSError:
        return False
    return True


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Bound how long sent bytes may stay unacknowledged.

    No keep-alive probes are used beside it: the limit would also apply to them, and a server that
    is silent for some seconds would lose its connections.
    """
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def set_receive_buffer(transport: asyncio.BaseTransport, byte_count: int) -> None:
    """Set the size of the receive buffer."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, byte_count)


def reset(transport: asyncio.Transport) -> None:
    """Close a connection so that the other side does not take it for an orderly end."""
    connection = transport.get_extra_info("socket")
    if connection is not None and not transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


def reset_socket(connection: socket.socket) -> None:
    """Close a socket that no transport has, so that the other side sees no orderly end."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    connection.close()
