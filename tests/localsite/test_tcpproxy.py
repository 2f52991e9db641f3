"""The port and the connections of a proxy during a partition."""

import socket
import threading

import pytest

from hornbeamglade.localsite import tcpproxy


@pytest.mark.parametrize("how", [tcpproxy.Partition.RESET, tcpproxy.Partition.REFUSE_NEW])
def test_port_is_kept_while_connections_are_refused(how):
    """Another process took the port during a partition, and the proxy could not listen again."""
    server = socket.create_server(("127.0.0.1", 0))
    proxy = tcpproxy.TcpProxy(f"127.0.0.1:{server.getsockname()[1]}")
    host, _, port = proxy.address.rpartition(":")
    try:
        proxy.partition(how)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((host, int(port)))
        with pytest.raises(OSError, match="in use"), socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((host, int(port)))
        proxy.release()
        with socket.create_connection((host, int(port))) as client:
            client.sendall(b"x")
            accepted, _ = server.accept()
            while (received := accepted.recv(1)) != b"x":
                # The proxy's own checks connect as well, and close without sending.
                assert received == b""
                accepted, _ = server.accept()
    finally:
        proxy.close()
        server.close()


def test_connections_that_wait_to_be_accepted_stall_and_are_not_reset(monkeypatch):
    """A busy proxy reset a new connection as its server fell silent, and a request was lost."""
    connect = socket.create_connection
    is_released = threading.Event()

    def slow_connect(*args):
        is_released.wait()
        return connect(*args)

    monkeypatch.setattr(tcpproxy.socket, "create_connection", slow_connect)
    server = socket.create_server(("127.0.0.1", 0))
    proxy = tcpproxy.TcpProxy(f"127.0.0.1:{server.getsockname()[1]}")
    host, _, port = proxy.address.rpartition(":")
    clients = []
    try:
        for _ in range(3):
            clients.append(connect((host, int(port))))
            clients[-1].sendall(b"x")
        proxy.partition(tcpproxy.Partition.HANG)
        is_released.set()
        server.settimeout(0.3)
        accepted = []
        with pytest.raises(TimeoutError):
            while True:
                accepted.append(server.accept()[0])
                accepted[-1].settimeout(0.1)
                with pytest.raises(TimeoutError):
                    accepted[-1].recv(1)
        for client in clients:
            client.settimeout(0.1)
            with pytest.raises(TimeoutError):
                client.recv(1)
        with pytest.raises(TimeoutError):
            connect((host, int(port)), 0.3)
        proxy.release()
        server.settimeout(5)
        accepted += [server.accept()[0] for _ in range(len(clients) - len(accepted))]
        for each in accepted:
            each.settimeout(5)
            assert each.recv(1) == b"x"
            each.sendall(b"y")
        for client in clients:
            client.settimeout(5)
            assert client.recv(1) == b"y"
    finally:
        is_released.set()
        for client in clients:
            client.close()
        proxy.close()
        server.close()
