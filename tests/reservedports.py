"""Ports that no other process is given while a test runs."""

import contextlib
import socket

HOST = "127.0.0.1"


@contextlib.contextmanager
def closed_port():
    """Yield an ``ip:port`` that refuses connections."""
    with socket.socket() as holder:
        holder.bind((HOST, 0))
        yield f"{HOST}:{holder.getsockname()[1]}"


@contextlib.contextmanager
def kept_port(start):
    """Start a server at a port that refuses connections once the server has stopped.

    :param start: called with the ``ip:port``; its server listens there when it returns, with
        ``SO_REUSEADDR``.
    """
    with socket.socket() as holder:
        # Sockets that all have the option share a port until one of them listens.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((HOST, 0))
        server = start(f"{HOST}:{holder.getsockname()[1]}")
        # From now on, no other socket shares it.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        yield server
