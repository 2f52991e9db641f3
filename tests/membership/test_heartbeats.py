import random

import pytest

from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.membership import heartbeats
from hornbeamglade.membership import view as membership_view
from hornbeamglade.store import contract
from tests.exchange import lossynetwork

State = messages.NodeState
NAMED_AFTER_DEATH_S = 7.0


class Site:
    """Nodes that run their heartbeats over one lossy network, in virtual time."""

    def __init__(self, nodes, lose=0.0):
        faults = lossynetwork.Faults(lose, double=lose, longest_delay_s=0.05)
        self.network = lossynetwork.LossyNetwork(random.Random(nodes), faults)
        self.names = [f"n{number}" for number in range(nodes)]
        self.silent = set()
        self.cut = set()
        self.node_by_name = {name: self._make(name) for name in self.names}
        instances = tuple(
            contract.Instance(name, "d", f"{name}:80", "127.0.0.1:1", False) for name in self.names
        )
        for node in self.node_by_name.values():
            node.apply_list(instances)

    def _make(self, name):
        def handle(message, origin, source):
            severed = (name in self.cut) != (origin.name in self.cut)
            if name not in self.silent and not severed:
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

    def state_at(self, watcher, name):
        members = self.node_by_name[watcher].members()
        return next(each.state for each in members if each.identity.name == name)

    def states_of(self, name):
        return {
            member.state
            for watcher in self.names
            if watcher != name and watcher not in self.silent
            for member in self.node_by_name[watcher].members()
            if member.identity.name == name
        }


@pytest.mark.parametrize("nodes", [6, 30])
def test_a_dead_node_is_known_to_be_gone_everywhere(nodes):
    site = Site(nodes, lose=0.01)
    site.run(5)
    site.silent.add("n1")
    site.run(40)
    assert site.states_of("n1") == {State.GONE}


@pytest.mark.parametrize("trial", range(4))
def test_a_dead_node_is_not_held_for_live_for_long_while_a_third_is_cut_off(trial):
    """Callers are told the addresses of instances that are held for live.

    Of 64 nodes 21 are cut off in the moment in which another one dies: 22 changes of state
    are told at once, and those of the cut-off ones hid the death for up to 13 s.
    """
    site = Site(64, lose=0.01)
    site.run(10 + trial)
    rng = random.Random(trial)
    site.cut = set(rng.sample(site.names, 21))
    in_touch = [name for name in site.names if name not in site.cut]
    dead = rng.choice(in_touch)
    site.silent.add(dead)
    site.run(NAMED_AFTER_DEATH_S)
    assert [
        watcher
        for watcher in in_touch
        if watcher != dead and site.state_at(watcher, dead) is State.LIVE
    ] == []


@pytest.mark.parametrize("nodes", [6, 30])
def test_a_network_that_loses_one_datagram_in_fifty_makes_no_node_gone(nodes):
    # Each lost heartbeat or answer could make its sender suspect. Suspicions must end
    # before they turn into a death that takes the node's replicas and callers away.
    site = Site(nodes, lose=0.02)
    for _ in range(30):
        site.run(1)
        assert all(State.GONE not in site.states_of(name) for name in site.names)
    site.network.faults = lossynetwork.Faults()
    site.run(20)
    assert all(site.states_of(name) == {State.LIVE} for name in site.names)


@pytest.mark.parametrize("nodes", [6, 30])
def test_a_leaving_node_is_known_everywhere_at_once(nodes):
    site = Site(nodes)
    site.run(2)
    site.node_by_name["n1"].leave()
    site.run(0.5)
    assert site.states_of("n1") == {State.LEAVING}


@pytest.mark.parametrize("nodes", [6, 30])
def test_a_leaving_node_whose_announcement_was_lost_is_known_by_heartbeats(nodes):
    site = Site(nodes)
    site.run(2)
    site.network.faults = lossynetwork.Faults(lose=1.0)
    site.node_by_name["n1"].leave()
    site.network.faults = lossynetwork.Faults()
    site.run(15)
    assert site.states_of("n1") == {State.LEAVING}


def test_a_healed_partition_is_noticed():
    site = Site(6)
    site.cut = {"n0", "n1", "n2"}
    site.run(30)
    assert State.GONE in site.states_of("n0")
    site.cut = set()
    site.run(15)
    assert site.states_of("n0") == {State.LIVE}


def test_a_single_lost_answer_makes_no_node_suspect():
    # One ask for a grant was lost. Of 30 nodes few hear each other by chance, and the
    # accuser would have to wait for the owner's next heartbeat to come its way.
    site = Site(30)
    site.run(5)
    site.node_by_name["n2"].record_no_reply("n1")
    for _ in range(20):
        site.run(0.25)
        assert site.states_of("n1") == {State.LIVE}


def test_a_wrong_suspicion_is_refuted_at_a_size_where_few_hear_each_other():
    # A link stalls for a few seconds between two nodes; the one's suspicion reaches
    # everyone. The other's refutation must end it everywhere.
    site = Site(30)
    site.run(5)
    told = messages.MembershipUpdate(messages.key_hash("n1"), 1, 0, State.SUSPECT)
    beat = messages.Heartbeat(State.LIVE, 6, 1, "d", "", "127.0.0.1:1", updates=(told,))
    origin = codec.Sender("n4", 1)
    for name in site.names[5:25]:
        site.node_by_name[name].receive(beat, origin, transport.Endpoint("127.0.0.1", 1))
    site.run(0.25)
    assert State.SUSPECT in site.states_of("n1")
    site.run(20)
    assert site.states_of("n1") == {State.LIVE}


def test_a_node_with_no_usable_address_does_not_stop_the_round():
    site = Site(2)
    odd = contract.Instance("odd", "d", "", "no address", False)
    good = contract.Instance("n1", "d", "", "127.0.0.1:1", False)
    site.node_by_name["n0"].apply_list((odd, good))
    site.run(2)
    assert site.states_of("n0") == {State.LIVE}
    assert site.node_by_name["n0"].peer("odd") is None


def test_only_a_heartbeat_newer_than_all_before_is_to_be_taken_over():
    # Two heartbeats overtake each other, and one comes twice. A share told in the older
    # one would be put back, or counted as told once more, and the team exceed its limit.
    site = Site(2)
    origin, source = codec.Sender("n1", 5), transport.Endpoint("127.0.0.1", 1)

    def hear(beat, sender=origin):
        told = messages.Heartbeat(State.LIVE, beat, 1, "d", "", "127.0.0.1:1")
        return site.node_by_name["n0"].receive(told, sender, source)

    assert [hear(beat) for beat in (3, 2, 3, 4)] == [True, False, False, True]
    assert hear(1, codec.Sender("n1", 6))
    assert not hear(9, origin)


def test_demands_are_asked_for_once_each_time_they_are_told():
    # A share moved more often than it is told is one that the others count too low.
    site, told, asked = Site(2), [], []
    own = membership_view.Identity("n2", "d", "", "127.0.0.1:1")
    demand = messages.TeamDemand(1, 5000, 6000)

    def demands():
        asked.append(demand)
        return (demand,) * (messages.MAX_DEMANDS + 1)

    class Wire(transport.Transport):
        def send(self, peer, message):
            told.append(message)

    clock = site.network.clock
    node = heartbeats.Heartbeats(
        own, 1, Wire(), clock, random.Random(1), heartbeats.Digest, demands
    )
    node.apply_list((contract.Instance("n1", "d", "", "127.0.0.1:1", False),))
    for _ in range(32):
        clock.advance(0.25)
        node.tick()
    telling = [beat for beat in told if beat.demands]
    assert len(asked) == len(telling) == len(told) // messages.DEMANDS_EVERY
    assert {len(beat.demands) for beat in telling} == {messages.MAX_DEMANDS}
    assert {beat.beat % messages.DEMANDS_EVERY for beat in telling} == {0}


def test_a_heartbeat_without_identity_keeps_what_was_told_and_makes_no_node():
    # Most heartbeats leave out who the sender is. Taken literally, they would send
    # callers and asks to no address.
    site = Site(2)
    bare = messages.Heartbeat(State.LIVE, 7, 1, "", "", "")
    source = transport.Endpoint("127.0.0.1", 1)
    node = site.node_by_name["n0"]
    assert not node.receive(bare, codec.Sender("unknown", 1), source)
    assert node.peer("unknown") is None
    assert node.receive(bare, codec.Sender("n1", 1), source)
    site.run(0.25)
    (known,) = [one.identity for one in node.members() if one.identity.name == "n1"]
    assert (known.address, known.exchange) == ("n1:80", "127.0.0.1:1")


def test_a_peer_that_is_heard_is_told_the_identity_in_every_fourth_beat():
    # Told in none, a node that is on no list yet would stay unknown to those that hear it.
    told = []

    class Wire(transport.Transport):
        def send(self, peer, message):
            told.append(message)

    site = Site(1)
    own = membership_view.Identity("n2", "d", "n2:80", "127.0.0.1:1")
    clock = site.network.clock
    node = heartbeats.Heartbeats(own, 1, Wire(), clock, random.Random(1), heartbeats.Digest)
    for beat in range(1, 33):
        clock.advance(0.25)
        peer = messages.Heartbeat(State.LIVE, beat, 1, "d", "n1:80", "127.0.0.1:1")
        node.receive(peer, codec.Sender("n1", 1), transport.Endpoint("127.0.0.1", 1))
        node.tick()
    whole = [beat.beat for beat in told if beat.exchange == own.exchange]
    assert whole == [1, 5, 9, 13]
    assert len(told) == 16
    node.receive(
        messages.Heartbeat(State.LIVE, 40, 1, "d", "", "127.0.0.1:1", wants_answer=True),
        codec.Sender("n1", 1),
        transport.Endpoint("127.0.0.1", 1),
    )
    assert told[-1].exchange == own.exchange
