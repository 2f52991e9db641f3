"""Messages that wait in the socket of an instance."""

import asyncio
import socket

from hornbeamglade.exchange import asyncudp, codec, transport
from tests import eventloop

COUNT = 40


class PlainCodec:
    """Passes each datagram on as the message."""

    def decode(self, frame):
        return codec.Decoded(frame, "peer")


async def test_messages_that_waited_while_an_instance_stood_still_precede_requests():
    """Notices of quarantine and of leaving engines took effect after the first requests."""
    order = []

    class Caller(asyncio.Protocol):
        def data_received(self, data):
            asyncio.get_running_loop().call_soon(order.append, "request")

    loop = asyncio.get_running_loop()
    udp = asyncudp.AsyncUdpTransport(
        PlainCodec(), lambda message, *_: order.append(message), print
    )
    endpoint = await udp.listen(transport.Endpoint("127.0.0.1", 0))
    server = await loop.create_server(Caller, "127.0.0.1", 0)
    with (
        socket.create_connection(server.sockets[0].getsockname()) as kept,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer,
    ):
        await asyncio.sleep(0.05)
        # The loop stands still until both have sent.
        kept.sendall(b"request")
        for number in range(COUNT):
            peer.sendto(b"%d" % number, (endpoint.host, endpoint.port))
        await eventloop.until(lambda: len(order) == COUNT + 1)
    udp.close()
    server.close()
    assert order == [*(b"%d" % number for number in range(COUNT)), "request"]
