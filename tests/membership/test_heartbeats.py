import random

import pytest

from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.membership import heartbeats
from hornbeamglade.membership import view as membership_view
from hornbeamglade.store import contract
from tests.exchange import lossynetwork

State = messages.NodeState
DETECTION_BOUND_S = 7.0


class Site:
    """Nodes that exchange heartbeats over a lossy network, in virtual time."""

    def __init__(self, nodes, lose=0.0):
        faults = lossynetwork.Faults(lose, duplication_rate=lose, max_delay_s=0.05)
        self.network = lossynetwork.LossyNetwork(random.Random(nodes), faults)
        self.names = [f"n{number}" for number in range(nodes)]
        self.silent = set()
        self.partitioned = set()
        self.node_by_name = {name: self._make(name) for name in self.names}
        instances = tuple(
            contract.Instance(name, "d", f"{name}:80", "127.0.0.1:1", False) for name in self.names
        )
        for node in self.node_by_name.values():
            node.apply_list(instances)

    def _make(self, name):
        def handle(message, origin, source):
            is_cut_off = (name in self.partitioned) != (origin.name in self.partitioned)
            if name not in self.silent and not is_cut_off:
                self.node_by_name[name].receive(message, origin, source)

        own = membership_view.Identity(name, "d", f"{name}:80", "127.0.0.1:1")
        port = self.network.attach(name, handle)
        rng = random.Random(name)
        clock = self.network.clock
        return heartbeats.Heartbeats(own, 1, port, clock, rng, heartbeats.Digest)

    def run(self, seconds):
        for _ in range(int(seconds / 0.25)):
            self.network.clock.advance(0.25)
            self.network.deliver()
            for name in self.names:
                if name not in self.silent:
                    self.node_by_name[name].tick()

    def state_at(self, observer, name):
        members = self.node_by_name[observer].members()
        return next(each.state for each in members if each.identity.name == name)

    def states_of(self, name):
        return {
            member.state
            for observer in self.names
            if observer != name and observer not in self.silent
            for member in self.node_by_name[observer].members()
            if member.identity.name == name
        }


@pytest.mark.parametrize("nodes", [6, 30])
def test_a_dead_node_becomes_gone_in_all_views(nodes):
    site = Site(nodes, lose=0.01)
    site.run(5)
    site.silent.add("n1")
    site.run(40)
    assert site.states_of("n1") == {State.GONE}


@pytest.mark.parametrize("trial", range(4))
def test_a_dead_node_is_detected_soon_while_a_third_is_partitioned(trial):
    """Guards against callers that get the address of a dead instance for a long time.

    Of 64 nodes, 21 are partitioned at the moment in which another one fails. The 22 state
    changes are spread at once, and those of the partitioned nodes delayed the news of the
    failure by up to 13 s.
    """
    site = Site(64, lose=0.01)
    site.run(10 + trial)
    rng = random.Random(trial)
    site.partitioned = set(rng.sample(site.names, 21))
    connected = [name for name in site.names if name not in site.partitioned]
    dead = rng.choice(connected)
    site.silent.add(dead)
    site.run(DETECTION_BOUND_S)
    assert [
        observer
        for observer in connected
        if observer != dead and site.state_at(observer, dead) is State.LIVE
    ] == []


@pytest.mark.parametrize("nodes", [6, 30])
def test_loss_of_one_datagram_in_fifty_makes_no_node_gone(nodes):
    # Each lost heartbeat or reply may make its sender suspect. A suspicion must end before
    # the node counts as gone, which would take its replicas and callers away.
    site = Site(nodes, lose=0.02)
    for _ in range(30):
        site.run(1)
        assert all(State.GONE not in site.states_of(name) for name in site.names)
    site.network.faults = lossynetwork.Faults()
    site.run(20)
    assert all(site.states_of(name) == {State.LIVE} for name in site.names)


@pytest.mark.parametrize("nodes", [6, 30])
def test_an_announced_stop_reaches_all_nodes_at_once(nodes):
    site = Site(nodes)
    site.run(2)
    site.node_by_name["n1"].leave()
    site.run(0.5)
    assert site.states_of("n1") == {State.LEAVING}


@pytest.mark.parametrize("nodes", [6, 30])
def test_a_stop_whose_announcement_was_lost_is_learned_from_heartbeats(nodes):
    site = Site(nodes)
    site.run(2)
    site.network.faults = lossynetwork.Faults(loss_rate=1.0)
    site.node_by_name["n1"].leave()
    site.network.faults = lossynetwork.Faults()
    site.run(15)
    assert site.states_of("n1") == {State.LEAVING}


def test_a_healed_partition_is_detected():
    site = Site(6)
    site.partitioned = {"n0", "n1", "n2"}
    site.run(30)
    assert State.GONE in site.states_of("n0")
    site.partitioned = set()
    site.run(15)
    assert site.states_of("n0") == {State.LIVE}


def test_a_single_lost_response_makes_no_node_suspect():
    # One grant request was lost. With 30 nodes, peers are sampled, and without a repeated
    # request the suspecting node would depend on a heartbeat of the owner arriving by chance.
    site = Site(30)
    site.run(5)
    site.node_by_name["n2"].record_no_reply("n1")
    for _ in range(20):
        site.run(0.25)
        assert site.states_of("n1") == {State.LIVE}


def test_a_false_suspicion_is_refuted_in_a_cluster_with_sampled_peers():
    # A link between two nodes stalls for a few seconds, and the suspicion of one spreads to
    # all nodes. The refutation of the other must end it in all views.
    site = Site(30)
    site.run(5)
    suspicion = messages.MembershipUpdate(messages.key_hash("n1"), 1, 0, State.SUSPECT)
    beat = messages.Heartbeat(State.LIVE, 6, 1, "d", "", "127.0.0.1:1", updates=(suspicion,))
    origin = codec.Sender("n4", 1)
    for name in site.names[5:25]:
        site.node_by_name[name].receive(beat, origin, transport.Endpoint("127.0.0.1", 1))
    site.run(0.25)
    assert State.SUSPECT in site.states_of("n1")
    site.run(20)
    assert site.states_of("n1") == {State.LIVE}


def test_a_node_without_a_valid_address_does_not_stop_the_round():
    site = Site(2)
    unreachable = contract.Instance("odd", "d", "", "no address", False)
    reachable = contract.Instance("n1", "d", "", "127.0.0.1:1", False)
    site.node_by_name["n0"].apply_list((unreachable, reachable))
    site.run(2)
    assert site.states_of("n0") == {State.LIVE}
    assert site.node_by_name["n0"].peer("odd") is None


def test_only_a_heartbeat_newer_than_all_before_counts_as_new():
    # Two heartbeats arrive in reverse order, and one arrives twice. If their content were
    # used, an old share would be restored, or a share counted as announced twice, and the
    # team would exceed its limit.
    site = Site(2)
    origin, source = codec.Sender("n1", 5), transport.Endpoint("127.0.0.1", 1)

    def receive(beat, sender=origin):
        heartbeat = messages.Heartbeat(State.LIVE, beat, 1, "d", "", "127.0.0.1:1")
        return site.node_by_name["n0"].receive(heartbeat, sender, source)

    assert [receive(beat) for beat in (3, 2, 3, 4)] == [True, False, False, True]
    assert receive(1, codec.Sender("n1", 6))
    assert not receive(9, origin)


def test_demands_are_computed_once_for_each_announcement():
    # A share that is adjusted more often than it is announced may be larger than the other
    # nodes assume.
    site, sent, computed = Site(2), [], []
    own = membership_view.Identity("n2", "d", "", "127.0.0.1:1")
    demand = messages.TeamDemand(1, 5000, 6000)

    def demands():
        computed.append(demand)
        return (demand,) * (messages.MAX_DEMANDS + 1)

    class RecordingTransport(transport.Transport):
        def send(self, peer, message):
            sent.append(message)

    clock = site.network.clock
    node = heartbeats.Heartbeats(
        own, 1, RecordingTransport(), clock, random.Random(1), heartbeats.Digest, demands
    )
    node.apply_list((contract.Instance("n1", "d", "", "127.0.0.1:1", False),))
    for _ in range(32):
        clock.advance(0.25)
        node.tick()
    announcing = [each for each in sent if each.demands]
    assert len(computed) == len(announcing) == len(sent) // messages.DEMANDS_INTERVAL_BEATS
    assert {len(each.demands) for each in announcing} == {messages.MAX_DEMANDS}
    assert {each.beat % messages.DEMANDS_INTERVAL_BEATS for each in announcing} == {0}


def test_a_heartbeat_without_identity_keeps_the_known_one_and_adds_no_node():
    # Most heartbeats omit the sender's identity. If the empty fields were used, callers and
    # grant requests would be sent to an empty address.
    site = Site(2)
    compact = messages.Heartbeat(State.LIVE, 7, 1, "", "", "")
    source = transport.Endpoint("127.0.0.1", 1)
    node = site.node_by_name["n0"]
    assert not node.receive(compact, codec.Sender("unknown", 1), source)
    assert node.peer("unknown") is None
    assert node.receive(compact, codec.Sender("n1", 1), source)
    site.run(0.25)
    (known,) = [each.identity for each in node.members() if each.identity.name == "n1"]
    assert (known.address, known.exchange) == ("n1:80", "127.0.0.1:1")


def test_every_fourth_beat_to_a_responding_peer_contains_the_identity():
    # Otherwise a node that is not listed yet would stay unknown to the recipients.
    sent = []

    class RecordingTransport(transport.Transport):
        def send(self, peer, message):
            sent.append(message)

    site = Site(1)
    own = membership_view.Identity("n2", "d", "n2:80", "127.0.0.1:1")
    clock = site.network.clock
    node = heartbeats.Heartbeats(
        own, 1, RecordingTransport(), clock, random.Random(1), heartbeats.Digest
    )
    for beat in range(1, 33):
        clock.advance(0.25)
        peer = messages.Heartbeat(State.LIVE, beat, 1, "d", "n1:80", "127.0.0.1:1")
        node.receive(peer, codec.Sender("n1", 1), transport.Endpoint("127.0.0.1", 1))
        node.tick()
    with_identity = [each.beat for each in sent if each.exchange == own.exchange]
    assert with_identity == [1, 5, 9, 13]
    assert len(sent) == 16
    node.receive(
        messages.Heartbeat(State.LIVE, 40, 1, "d", "", "127.0.0.1:1", wants_answer=True),
        codec.Sender("n1", 1),
        transport.Endpoint("127.0.0.1", 1),
    )
    assert sent[-1].exchange == own.exchange


def test_owners_of_one_service_hear_of_each_other_each_quarter_of_a_second():
    # With sampled heartbeats alone, owners pass on figures of each other that are seconds old.
    site = Site(40)
    site.run(5)
    owners = site.names[:4]
    for name in owners:
        site.node_by_name[name].set_co_owners(set(owners) - {name})
    received = []
    for name in owners:
        node = site.node_by_name[name]
        deliver = node.receive

        def receive(message, origin, source, name=name, deliver=deliver):
            is_new = deliver(message, origin, source)
            received.append((name, origin.name, is_new))
            return is_new

        node.receive = receive
    site.run(2.0)
    for name in owners:
        for other in set(owners) - {name}:
            assert received.count((name, other, True)) >= 7
