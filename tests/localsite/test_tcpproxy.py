"""The port of a proxy during a partition."""

import socket

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
