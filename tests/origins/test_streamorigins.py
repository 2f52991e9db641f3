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
        self.list_version_by_node = {}
        self.is_store_reached = True
        self.silent = set()
        self.isolated = set()
        self.rows = {}
        self.node_by_name = {}
        self.start_all(domains, is_first_start)
        self.read_rows()

    def start_all(self, domains=3, is_first_start=False):
        for number, name in enumerate(self.names):
            self.start(name, number % domains, is_first_start)

    def start(self, name, domain, is_first_start=False):
        def send(to, message):
            self.sent.append((name, to, message))
            if {name, to} & (self.down | self.silent):
                return
            node = self.node_by_name[to]
            if isinstance(message, messages.OriginQuery):
                node.on_query(name, message)
            elif isinstance(message, messages.VersionStatement):
                node.on_statement(name, message)
            else:
                node.on_records(message)

        node = streamorigins.StreamOrigins(
            name,
            f"d{domain}",
            lambda: [] if name in self.isolated else self.live(),
            lambda: [each.identity.name for each in self.live()],
            send,
            lambda: self.list_version_by_node.get(name, 1),
            is_first_start,
            self.clock,
        )
        node.set_list_reader(self.read_list)
        node.set_store_writer(lambda put: self.rows.update({put.key: put.value}))
        self.node_by_name[name] = node
        return node

    async def read_list(self):
        return self.is_store_reached

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
        return self.found(name, stream)[0]

    def found(self, name, stream=7):
        found = eventloop.run(self.node_by_name[name].find(stream, "llm", KEPT_S))
        return found.version, found.source


def network_listing(*versions, **shape):
    """Return a network whose instances all list these versions."""
    network = Network(**shape)
    network.observe(*versions)
    return network


def begin(network, name="n0", version=V1, stream=7):
    network.node_by_name[name].began(stream, version, "llm", KEPT_S)


def test_nothing_is_sent_while_one_version_is_listed():
    network = network_listing("v1")
    network.sent.clear()
    begin(network)
    network.tick()
    assert network.sent == []
    assert network.find("n5") == V1


def test_every_instance_finds_the_origin_after_the_one_that_served_is_gone():
    """An instance is killed during a release: nobody knows at which version its streams began."""
    network = network_listing("v1", "v2")
    begin(network, version=V2)
    network.tick()
    network.down.add("n0")
    assert [network.find(name) for name in network.names[1:]] == [V2] * 5


@pytest.mark.parametrize("killed", [{"n1", "n2"}, {"n3", "n4"}, {"n1", "n5"}])
def test_origin_outlives_two_keepers_besides_the_instance_that_served(killed):
    network = network_listing("v1", "v2")
    begin(network)
    network.tick()
    network.down |= killed | {"n0"}
    left = next(name for name in network.names if name not in network.down)
    assert network.find(left) == V1


def test_keepers_are_in_other_failure_domains():
    network = network_listing("v1", "v2")
    begin(network)
    network.tick()
    keepers = {
        to for _, to, message in network.sent if isinstance(message, messages.OriginRecords)
    }
    assert len(keepers) == streamorigins.KEEPER_COUNT
    assert "n3" not in keepers


def test_streams_that_began_before_the_second_version_are_sent_when_it_is_listed():
    """A release begins: the streams of one version are unknown at other instances."""
    network = network_listing("v1")
    begin(network)
    network.tick()
    network.observe("v1", "v2")
    network.tick()
    network.down.add("n0")
    assert network.find("n4") == V1


def test_new_keepers_get_the_streams_of_an_instance_whose_keepers_are_gone():
    """Instances are restarted one after the other: in the end no keeper remembers a stream."""
    network = network_listing("v1", "v2")
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
    network = network_listing("v1", "v2")
    network.tick()
    assert network.find("n1", stream=99) is None
    assert network.find("n1", stream=None) is None


def test_instance_whose_list_may_be_old_infers_nothing():
    """A partitioned instance lists one version while another is served elsewhere."""
    network = network_listing("v1")
    network.is_store_reached = False
    network.down |= set(network.names) - {"n1"}
    assert network.find("n1") is None


def network_in_which_one_stood_still():
    """Return a network in which a stream began at a version that ``n0`` does not list yet."""
    network = network_listing("v1")
    for name in network.names[1:]:
        network.node_by_name[name].observe("llm", ("v1", "v2"))
    begin(network, "n2", version=V2)
    return network


def test_instance_that_stood_still_does_not_take_its_old_list_for_the_origin():
    """A release begins while an instance stands still: it continues streams at the old version."""
    network = network_in_which_one_stood_still()
    assert network.find("n0") == V2


def test_instance_that_stood_still_infers_nothing_if_the_one_that_served_is_gone():
    """A release begins while an instance stands still, and another one is killed with streams."""
    network = network_in_which_one_stood_still()
    network.down.add("n2")
    assert network.find("n0") is None


@pytest.mark.parametrize("reads", [("v1", "v2"), ("v2",)])
def test_list_that_only_a_killed_instance_had_read_is_not_ruled_out_without_the_store(reads):
    """One instance reads of a release, the store fails, and the instance is killed."""
    network = network_listing("v1")
    network.is_store_reached = False
    network.node_by_name["n2"].observe("llm", reads)
    begin(network, "n2", version=V2)
    network.down.add("n2")
    assert [network.find(name) for name in network.names if name != "n2"] == [None] * 5


def test_instance_that_takes_no_other_for_live_tells_all_of_another_version():
    """It stood still, and has not processed the heartbeats that arrived meanwhile."""
    network = network_listing("v1")
    network.is_store_reached = False
    network.isolated.add("n2")
    network.tick()
    network.node_by_name["n2"].observe("llm", ("v1", "v2"))
    begin(network, "n2", version=V2)
    network.down.add("n2")
    assert network.find("n0") is None


def test_others_agree_on_the_only_version_while_the_store_does_not_answer():
    """An instance is killed during an outage of the store: its streams are all refused."""
    network = network_listing("v1")
    begin(network, "n2")
    network.is_store_reached = False
    network.silent = {"n2"}
    assert network.found("n0") == (V1, "agreed")


def test_too_few_answers_agree_on_nothing_while_the_store_does_not_answer():
    network = network_listing("v1")
    network.is_store_reached = False
    network.silent = {"n1", "n2", "n3", "n4"}
    assert network.found("n0") == (None, "peers")


async def test_answers_to_an_earlier_question_count_for_nothing():
    """Answers that waited in the socket while the instance stood still are of before the pause."""
    network = network_listing("v1")
    network.is_store_reached = False
    network.silent = set(network.names) - {"n0"}
    node = network.node_by_name["n0"]
    asked = []

    first = asyncio.ensure_future(node.find(7, "llm", KEPT_S))
    await asyncio.sleep(2 * streamorigins.LOOKUP_BATCH_S)
    asked.extend(
        message.token
        for _, _, message in network.sent
        if isinstance(message, messages.OriginQuery)
    )
    first.cancel()
    await asyncio.sleep(0)
    second = asyncio.ensure_future(node.find(7, "llm", KEPT_S))
    await asyncio.sleep(2 * streamorigins.LOOKUP_BATCH_S)
    for name in network.names[1:]:
        statement = messages.VersionStatement(
            asked[0], messages.key_hash("llm"), V1, list_version=1
        )
        node.on_statement(name, statement)
    assert (await second).version is None
    assert asked


def test_stream_is_not_refused_since_one_answer_was_lost():
    network = network_listing("v1", "v2")
    begin(network, "n2", version=V2)
    node = network.node_by_name["n2"]
    on_query, lost = node.on_query, []

    def lose_first(sender, query):
        if lost:
            on_query(sender, query)
        else:
            lost.append(query)
            on_query(sender, messages.OriginQuery((), query.service, query.window_s, query.token))

    node.on_query = lose_first
    assert network.find("n0") == V2


async def test_stream_goes_on_only_after_a_list_that_others_have_was_read():
    """An instance that stood still takes a stream up by its old list of replicas."""
    network = network_listing("v1", "v2")
    begin(network, "n2", version=V2)
    network.list_version_by_node = dict.fromkeys(network.names[1:], 2)
    network.is_store_reached = False
    node = network.node_by_name["n0"]

    found = asyncio.ensure_future(node.find(7, "llm", KEPT_S))
    await asyncio.sleep(4 * streamorigins.LOOKUP_BATCH_S)
    was_early = found.done()
    network.list_version_by_node["n0"] = 2
    assert (was_early, (await found).version) == (False, V2)


def test_origin_that_was_taken_back_is_not_known():
    network = network_listing("v1", "v2")
    begin(network)
    network.tick()
    begin(network, version=origintable.UNCERTAIN)
    network.tick()
    assert [network.find(name) for name in ("n0", "n1", "n5")] == [None] * 3


def test_origin_is_kept_as_long_as_its_stream_may_be_taken_up():
    network = network_listing("v1", "v2")
    begin(network)
    network.tick()
    network.tick(KEPT_S - 3.0)
    assert network.find("n4") == V1
    network.tick(3.0)
    assert network.find("n4") is None


async def test_look_ups_at_the_same_time_share_their_messages():
    network = network_listing("v1", "v2")
    for stream in range(20):
        begin(network, stream=stream)
    network.tick()
    network.sent.clear()
    node = network.start("n4", 1)
    node.observe("llm", ("v1", "v2"))

    found = await asyncio.gather(*(node.find(each, "llm", KEPT_S) for each in range(20)))
    assert [each.version for each in found] == [V1] * 20
    queries = [
        message for _, _, message in network.sent if isinstance(message, messages.OriginQuery)
    ]
    assert len(queries) == len(network.names) - 1


def test_all_instances_are_lost_while_two_versions_are_listed():
    """All instances restart after a release: the streams of before go on at a guessed version."""
    network = network_listing("v1")
    network.read_rows()
    network.observe("v1", "v2")
    network.read_rows()
    network.clock.advance(5.0)
    network.start_all()
    network.observe("v2")
    network.read_rows()
    assert network.find("n1") is None
    network.clock.advance(KEPT_S)
    assert network.find("n1") == V2


def test_all_instances_are_lost_while_one_version_is_listed():
    network = network_listing("v1")
    network.read_rows()
    assert len(network.rows) == 1
    network.clock.advance(5.0)
    network.start_all()
    network.observe("v1")
    network.read_rows()
    assert network.find("n1") == V1


def test_settings_of_the_first_start_do_not_hide_what_instances_have_stored():
    """All instances restart during a release with unchanged settings: old streams were joined."""
    network = network_listing("v1")
    network.read_rows()
    network.clock.advance(5.0)
    network.start_all(is_first_start=True)
    network.observe("v2")
    assert network.find("n1") is None
    network.read_rows()
    assert network.find("n1") is None


def test_second_version_is_stored_though_the_first_instance_to_write_is_lost():
    """A release begins, all are lost with the only write of it, and its servers are gone."""
    network = network_listing("v1")
    network.read_rows()
    first = rendezvous.best("llm", set(network.names), 1)[0]
    network.node_by_name[first].set_store_writer(lambda _put: None)
    network.observe("v1", "v2")
    begin(network, version=V2)
    network.start_all()
    network.observe("v1")
    network.read_rows()
    assert network.find("n1") is None


@pytest.mark.parametrize("nodes", [30, 360])
def test_bytes_of_origins_an_instance_do_not_grow_with_the_instances(nodes):
    """19.4 streams a second at an instance, as at 7,000 a second at 360."""
    network = network_listing("v1", "v2", count=nodes)
    node = network.node_by_name["n0"]
    for step in range(200):
        if step % 2:
            begin(network, stream=1000 + step)
        network.clock.advance(0.05)
        node.tick()
    sent = [message for name, _, message in network.sent if name == "n0"]
    assert len(sent) <= streamorigins.KEEPER_COUNT * (10.0 / streamorigins.FLUSH_INTERVAL_S + 1)
