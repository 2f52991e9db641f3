"""The exchange of stream origins between simulated instances."""

import asyncio
import types

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages
from hornbeamglade.membership import rendezvous
from hornbeamglade.origins import origintable, streamorigins, versions
from hornbeamglade.store import contract
from tests import eventloop

V1, V2 = versions.version_key("v1"), versions.version_key("v2")
KEPT_S = 90.0


class Network:
    """Instances that exchange messages at once, without sockets."""

    def __init__(self, count=6, domains=3, is_first_start=True):
        self.clock = clocks.ManualClock(1000.0)
        self.names = [f"n{number}" for number in range(count)]
        self.down = set()
        self.sent = []
        self.is_current = True
        self.rows = {}
        self.node_by_name = {}
        for number, name in enumerate(self.names):
            self.start(name, number % domains, is_first_start)
        self.read_rows()

    def start(self, name, domain, is_first_start=False):
        def send(to, message):
            self.sent.append((name, to, message))
            if name in self.down or to in self.down:
                return
            node = self.node_by_name[to]
            if isinstance(message, messages.OriginQuery):
                node.on_query(name, message)
            else:
                node.on_records(message)

        node = streamorigins.StreamOrigins(
            name,
            f"d{domain}",
            self.live,
            lambda: [each.identity.name for each in self.live()],
            send,
            lambda: self.is_current,
            is_first_start,
            self.clock,
        )
        node.set_store_writer(lambda put: self.rows.update({put.key: put.value}))
        self.node_by_name[name] = node
        return node

    def live(self):
        return [
            types.SimpleNamespace(
                identity=types.SimpleNamespace(name=name, failure_domain=f"d{number % 3}")
            )
            for number, name in enumerate(self.names)
            if name not in self.down
        ]

    def observe(self, *listed):
        for node in self.node_by_name.values():
            node.observe("llm", listed)

    def tick(self, seconds=1.0):
        self.clock.advance(seconds)
        for name, node in self.node_by_name.items():
            if name not in self.down:
                node.tick()
                node.expire()

    def read_rows(self):
        rows = tuple(contract.Row(key, value, 1) for key, value in self.rows.items())
        for node in self.node_by_name.values():
            node.on_rows(rows)

    def find(self, name, stream=7):
        return eventloop.run(self.node_by_name[name].find(stream, "llm", KEPT_S)).version


def begin(network, name="n0", version=V1, stream=7):
    network.node_by_name[name].began(stream, version, "llm", KEPT_S)


def test_nothing_is_sent_while_one_version_is_listed():
    network = Network()
    network.observe("v1")
    begin(network)
    network.tick()
    assert (network.find("n5"), network.sent) == (V1, [])


def test_every_instance_finds_the_origin_after_the_one_that_served_is_gone():
    """An instance is killed during a release: nobody knows at which version its streams began."""
    network = Network()
    network.observe("v1", "v2")
    begin(network, version=V2)
    network.tick()
    network.down.add("n0")
    assert {name: network.find(name) for name in network.names[1:]} == dict.fromkeys(
        network.names[1:], V2
    )


@pytest.mark.parametrize("killed", [{"n1", "n2"}, {"n3", "n4"}, {"n1", "n5"}])
def test_origin_outlives_two_keepers_besides_the_instance_that_served(killed):
    network = Network()
    network.observe("v1", "v2")
    begin(network)
    network.tick()
    network.down |= killed | {"n0"}
    left = next(name for name in network.names if name not in network.down)
    assert network.find(left) == V1


def test_keepers_are_in_other_failure_domains():
    network = Network()
    network.observe("v1", "v2")
    begin(network)
    network.tick()
    keepers = {to for _, to, message in network.sent}
    assert len(keepers) == streamorigins.KEEPER_COUNT
    assert "n3" not in keepers


def test_streams_that_began_before_the_second_version_are_sent_when_it_is_listed():
    """A release begins: the streams of one version are unknown at other instances."""
    network = Network()
    network.observe("v1")
    begin(network)
    network.tick()
    network.observe("v1", "v2")
    network.tick()
    network.down.add("n0")
    assert network.find("n4") == V1


def test_new_keepers_get_the_streams_of_an_instance_whose_keepers_are_gone():
    """Instances are restarted one after the other: in the end no keeper remembers a stream."""
    network = Network()
    network.observe("v1", "v2")
    begin(network)
    network.tick()
    for name in network.names[1:]:
        network.down.add(name)
        network.tick()
        network.down.discard(name)
        node = network.start(name, network.names.index(name) % 3)
        node.observe("llm", ("v1", "v2"))
        network.tick()
    network.down.add("n0")
    assert network.find("n1") == V1


def test_unknown_stream_has_no_origin_while_versions_differ():
    network = Network()
    network.observe("v1", "v2")
    network.tick()
    assert network.find("n1", stream=99) is None
    assert network.find("n1", stream=None) is None


def test_instance_whose_list_may_be_old_infers_nothing():
    """A partitioned instance lists one version while another is served elsewhere."""
    network = Network()
    network.observe("v1")
    network.is_current = False
    assert network.find("n1") is None


def test_origin_that_was_taken_back_is_not_known():
    network = Network()
    network.observe("v1", "v2")
    begin(network)
    network.tick()
    begin(network, version=origintable.UNCERTAIN)
    network.tick()
    assert [network.find(name) for name in ("n0", "n1", "n5")] == [None] * 3


def test_origin_is_kept_as_long_as_its_stream_may_be_taken_up():
    network = Network()
    network.observe("v1", "v2")
    begin(network)
    network.tick()
    network.tick(KEPT_S - 3.0)
    assert network.find("n4") == V1
    network.tick(3.0)
    assert network.find("n4") is None


def test_look_ups_at_the_same_time_share_their_messages():
    network = Network()
    network.observe("v1", "v2")
    for stream in range(20):
        begin(network, stream=stream)
    network.tick()
    network.sent.clear()
    node = network.start("n4", 1)
    node.observe("llm", ("v1", "v2"))

    async def find_all():
        found = await asyncio.gather(*(node.find(each, "llm", KEPT_S) for each in range(20)))
        return [each.version for each in found]

    assert eventloop.run(find_all()) == [V1] * 20
    queries = [
        message for _, _, message in network.sent if isinstance(message, messages.OriginQuery)
    ]
    assert len(queries) == len(network.names) - 1


def test_all_instances_are_lost_while_two_versions_are_listed():
    """All instances restart after a release: the streams of before go on at a guessed version."""
    network = Network()
    network.observe("v1")
    network.read_rows()
    network.observe("v1", "v2")
    network.read_rows()
    network.clock.advance(5.0)
    for number, name in enumerate(network.names):
        network.start(name, number % 3)
    network.observe("v2")
    network.read_rows()
    assert network.find("n1") is None
    network.clock.advance(KEPT_S)
    assert network.find("n1") == V2


def test_all_instances_are_lost_while_one_version_is_listed():
    network = Network()
    network.observe("v1")
    network.read_rows()
    assert len(network.rows) == 1
    network.clock.advance(5.0)
    for number, name in enumerate(network.names):
        network.start(name, number % 3)
    network.observe("v1")
    network.read_rows()
    assert network.find("n1") == V1


def test_settings_of_the_first_start_do_not_hide_what_instances_have_stored():
    """All instances restart during a release with unchanged settings: old streams were joined."""
    network = Network()
    network.observe("v1")
    network.read_rows()
    network.clock.advance(5.0)
    for number, name in enumerate(network.names):
        network.start(name, number % 3, is_first_start=True)
    network.observe("v2")
    assert network.find("n1") is None
    network.read_rows()
    assert network.find("n1") is None


def test_second_version_is_stored_though_the_first_instance_to_write_is_lost():
    """A release begins, all are lost with the only write of it, and its servers are gone."""
    network = Network()
    network.observe("v1")
    network.read_rows()
    first = rendezvous.best("llm", set(network.names), 1)[0]
    network.node_by_name[first].set_store_writer(lambda _put: None)
    network.observe("v1", "v2")
    begin(network, version=V2)
    for number, name in enumerate(network.names):
        network.start(name, number % 3)
    network.observe("v1")
    network.read_rows()
    assert network.find("n1") is None


@pytest.mark.parametrize("nodes", [30, 360])
def test_bytes_of_origins_an_instance_do_not_grow_with_the_instances(nodes):
    """19.4 streams a second at an instance, as at 7,000 a second at 360."""
    network = Network(count=nodes)
    network.observe("v1", "v2")
    node = network.node_by_name["n0"]
    for step in range(200):
        if step % 2:
            begin(network, stream=1000 + step)
        network.clock.advance(0.05)
        node.tick()
    sent = [message for name, _, message in network.sent if name == "n0"]
    assert len(sent) <= streamorigins.KEEPER_COUNT * (10.0 / streamorigins.FLUSH_INTERVAL_S + 1)
