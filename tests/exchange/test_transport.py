import queue

import pytest

from hornbeamglade.core import clocks, codederrors
from hornbeamglade.exchange import codec, messages, transport

RING = codec.KeyRing(1, {1: b"the site key of this year"})
ANY = transport.Endpoint("127.0.0.1", 0)
TIMEOUT_S = 10


@pytest.fixture
def udp():
    opened = []

    def open_transport(name, handler):
        frames = codec.Codec(name, 1, RING, clocks.SystemClock())
        opened.append(transport.UdpTransport(ANY, frames, handler))
        opened[-1].start()
        return opened[-1]

    yield open_transport
    for one in opened:
        one.stop()


def test_a_message_arrives_with_its_sender_and_is_counted(udp):
    inbox = queue.Queue()
    receiver = udp("b", lambda *received: inbox.put(received))
    sender = udp("a", lambda *received: None)
    sender.send(transport.Peer("b", receiver.endpoint), messages.VersionAnnouncement(7))
    message, origin, source = inbox.get(timeout=TIMEOUT_S)
    assert message == messages.VersionAnnouncement(7)
    assert (origin.name, source) == ("a", sender.endpoint)
    assert receiver.traffic.bytes_in == sender.traffic.bytes_out > 0


def test_an_error_in_the_handler_does_not_end_the_receiver(udp):
    # One message makes the handler fail. If that ended the receiver thread, the node
    # would answer no peer any more and be considered failed while it serves callers.
    inbox = queue.Queue()

    def handle(message, origin, source):
        if message.revision == 1:
            raise KeyError("injected error")
        inbox.put(message)

    receiver = udp("b", handle)
    sender = udp("a", lambda *received: None)
    for revision in (1, 2):
        sender.send(transport.Peer("b", receiver.endpoint), messages.VersionAnnouncement(revision))
    assert inbox.get(timeout=TIMEOUT_S) == messages.VersionAnnouncement(2)
    assert receiver.traffic.handler_failures == 1


def test_a_send_refused_by_the_operating_system_counts_as_lost(udp):
    sender = udp("a", lambda *received: None)
    peer = transport.Peer("b", sender.endpoint)
    sender.stop()
    sender.send(peer, messages.VersionAnnouncement(1))
    assert sender.traffic == transport.Traffic(send_failures=1)


@pytest.mark.parametrize("text", ["", "host:1", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000"])
def test_an_address_other_than_ip_and_port_is_refused(text):
    with pytest.raises(codederrors.CodedError, match="exchange_address_invalid"):
        transport.Endpoint.parse(text)
