"""The choice between own connections and tunnels, with scripted outcomes of tunnels."""

import asyncio
import random
import time

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.http1 import clientpool, clientside
from hornbeamglade.localsite import tcpproxy
from hornbeamglade.replicas import models
from hornbeamglade.tunnels import pathconnector, serverpaths, tunnelclient
from tests import eventloop
from tests.http1 import raw

CLOCK = clocks.SystemClock()
Outcome = messages.TunnelOutcome
TIMEOUT_S = 0.05


class Surroundings(pathconnector.Surroundings):
    """A replica in failure domain ``b``, and instances in given failure domains."""

    def __init__(self, address, domains):
        self._replica = models.Replica("i1", "s", address, "b", 8)
        self._relays = [
            pathconnector.Relay(f"n{number}", domain) for number, domain in enumerate(domains)
        ]

    def replica_at(self, address):
        return self._replica

    def relays(self, replica):
        return iter(self._relays)

    def peer(self, name):
        return transport.Peer(name, transport.Endpoint("127.0.0.1", 1))


class Connector(pathconnector.PathConnector):
    """Tunnels have scripted outcomes by instance; the others succeed."""

    def __init__(self, address, domains, outcome_by_relay):
        super().__init__(
            serverpaths.ServerPaths(CLOCK),
            Surroundings(address, domains),
            "a",
            codec.Codec("n", 1, codec.KeyRing(1, {1: bytes(16)}), CLOCK),
            random.Random(1),
            CLOCK,
        )
        self.asked = []
        self.opened = []
        self._outcome_by_relay = outcome_by_relay

    async def open_tunnel(self, replica, relay):
        self.asked.append(relay.name)
        if relay.name not in self._outcome_by_relay:
            peer = transport.Peer(relay.name, None)
            connection = tunnelclient.TunneledConnection(replica.address, peer, b"", None, CLOCK)
            self.opened.append(connection)
            return connection
        outcome = self._outcome_by_relay[relay.name]
        if outcome == "silent":
            await asyncio.sleep(3600)
        return outcome


async def refusing_address():
    server = raw.ScriptedServer()
    address = await server.start()
    server.stop()
    await asyncio.sleep(0.01)
    return address


def connect(domains, outcome_by_relay, count=1):
    """Open connections to a server that refuses this instance; return the last, the connector."""

    async def main():
        address = await refusing_address()
        connector = Connector(address, domains, outcome_by_relay)
        for _ in range(count):
            connection = await connector.connect(address, clientpool.CONNECT_TIMEOUT_S)
        return connection, connector

    return eventloop.run(main())


def test_refused_connection_is_replaced_by_a_tunnel_at_once():
    connection, connector = connect("bc", {})
    assert isinstance(connection, tunnelclient.TunneledConnection)
    assert (connector.asked, connector.paths.detoured_count) == (["n0"], 1)


@pytest.mark.parametrize("silent", ["silent", None, Outcome.BUSY, Outcome.PARTITIONED])
def test_instances_that_open_no_tunnel_are_passed_over(silent):
    connection, connector = connect("bbc", {"n0": silent, "n1": silent})
    assert connection.via == "n2"
    assert connector.asked[0] in ("n0", "n1")


def test_own_failure_domain_is_asked_last():
    """A partition may affect all instances of a failure domain."""
    _, connector = connect("aaacb", {"n3": None, "n4": None})
    assert connector.asked[:2] == ["n4", "n3"]


def test_instance_that_opened_no_tunnel_is_asked_after_the_others_for_a_while():
    connection, connector = connect("bb", {"n0": None}, count=6)
    assert connection.via == "n1"
    assert connector.asked.count("n0") <= 1


@pytest.mark.parametrize(
    ("outcomes", "is_refused"),
    [
        ((Outcome.REFUSED, Outcome.REFUSED), True),
        ((Outcome.REFUSED,), True),
        ((Outcome.REFUSED, Outcome.PARTITIONED), False),
        ((Outcome.PARTITIONED, Outcome.PARTITIONED), False),
        ((None, None), False),
        ((), True),
    ],
)
def test_refusal_counts_only_if_other_instances_confirm_it(outcomes, is_refused):
    """A partition refuses connections too; its replicas have not crashed."""
    outcome_by_relay = {f"n{number}": each for number, each in enumerate(outcomes)}
    connection, _ = connect("b" * len(outcomes), outcome_by_relay)
    assert isinstance(connection, clientside.ResponseLost)
    assert connection.is_refused is is_refused


def test_replica_that_nobody_reaches_is_asked_for_once_a_second():
    refused = {f"n{number}": Outcome.REFUSED for number in range(4)}
    _, connector = connect("bbbb", refused, count=10)
    assert len(connector.asked) <= pathconnector.MAX_PEERS_ASKED


class HealedConnector(Connector):
    """The replica's partition from all instances ends after the own attempt."""

    def __init__(self, proxy):
        super().__init__(proxy.address, "b", {})
        self._proxy = proxy

    async def open_tunnel(self, replica, relay):
        self._proxy.release()
        return await super().open_tunnel(replica, relay)


@pytest.mark.parametrize("how", [tcpproxy.Partition.HANG, tcpproxy.Partition.REFUSE_NEW])
async def test_replica_that_went_on_between_two_attempts_is_not_partitioned(how):
    """Guards against a path that counts as partitioned after its replica was silent for all."""
    server = raw.ScriptedServer()
    proxy = tcpproxy.TcpProxy(await server.start())
    proxy.partition(how)
    connector = HealedConnector(proxy)
    connection = await connector.connect(proxy.address, clientpool.CONNECT_TIMEOUT_S)
    has_detour = connector.paths.detoured_count
    await asyncio.sleep(clientpool.CONNECT_TIMEOUT_S)
    proxy.close()
    server.stop()
    assert (connection.via, has_detour, connector.paths.detoured_count) == ("n0", 1, 0)


async def test_unused_connections_are_closed():
    server = raw.ScriptedServer()
    address = await server.start()
    connector = Connector(address, "b", {})
    connector.paths.reached_by(address, "n0")
    won = [await connector.connect(address, 0.5) for _ in range(3)]
    await asyncio.sleep(0.05)
    server.stop()
    assert [connection.via for connection in won][:1] == ["n0"]
    assert connector.paths.detoured_count == 0


class SlowConnector(Connector):
    """Its own connections open while the event loop is busy beyond the timeout."""

    async def _connect_directly(self, address):
        await asyncio.sleep(0)
        time.sleep(2 * TIMEOUT_S)
        return clientside.ServerConnection(address, CLOCK)


def test_connection_that_opens_as_its_time_ends_is_used():
    """Guards against a caller that gets no answer since a busy loop sees both at once."""

    async def main():
        connector = SlowConnector("127.0.0.1:1", "b", {"n0": "silent"})
        return await connector.connect("127.0.0.1:1", TIMEOUT_S)

    assert type(eventloop.run(main())) is clientside.ServerConnection
