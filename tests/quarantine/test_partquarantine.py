"""The search for parts that crash replicas, among simulated instances and a batch of innocents."""

import random

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages
from hornbeamglade.quarantine import lostruns, partquarantine, requestquarantine

TEAM = messages.key_hash("clinic")
COMMON, FATAL = 1, 2
TICK_S = 0.05


class Network:
    """Instances that exchange messages without sockets; some of the messages are lost."""

    def __init__(self, count=6, loss=0.0, seed=1):
        self.clock = clocks.ManualClock(1000.0)
        self.rng = random.Random(seed)
        self.loss = loss
        self.names = [f"n{number}" for number in range(count)]
        self.part_by_name, self.list_by_name = {}, {}
        self.partitioned = set()
        self.sent = 0
        for name in self.names:
            self.start(name)

    def start(self, name):
        def send(to, message):
            self.sent += 1
            is_cut = (name in self.partitioned) != (to in self.partitioned)
            if not is_cut and self.rng.random() >= self.loss:
                self.deliver(name, to, message)

        requests = requestquarantine.RequestQuarantine(
            name, lambda: self.names, lambda: self.names, send, self.clock
        )
        self.list_by_name[name] = requests
        self.part_by_name[name] = partquarantine.PartQuarantine(
            name, lambda: self.names, lambda: self.names, send, requests, self.clock
        )

    def deliver(self, sender, to, message):
        part = self.part_by_name[to]
        if isinstance(message, messages.PartCrashReport):
            part.on_report(message)
        elif isinstance(message, messages.PartInquiry):
            part.on_inquiry(sender, message)
        elif isinstance(message, messages.PartSuccesses):
            part.on_successes(message)
        elif isinstance(message, messages.QuarantineNotice):
            self.list_by_name[to].on_notice(message)

    def advance(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            for name in self.names:
                self.part_by_name[name].tick()
                self.list_by_name[name].tick()

    def crash(self, number, prompts_by_name, seconds=0.3):
        """Let a replica crash with runs of several instances."""
        now = self.clock.now()
        for name, prompts in prompts_by_name.items():
            lost = [
                lostruns.LostRun(index, now - 0.2, now, prompt(*parts))
                for index, parts in enumerate(prompts)
            ]
            self.part_by_name[name].crashed(f"e{number}", lost)
        self.advance(seconds)

    def refusing(self, *parts, team=TEAM):
        refused = lostruns.PromptParts(parts, team)
        return [name for name in self.names if self.list_by_name[name].refusal(0, refused)]


def prompt(*parts, team=TEAM):
    return lostruns.PromptParts(parts, team)


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_all_instances_refuse_after_the_third_crash_though_each_saw_one(loss):
    """Each instance sees one of the crashes, and none of them enough."""
    network = Network(loss=loss)
    for number in range(3):
        network.crash(number, {f"n{number}": [(COMMON, FATAL)]})
    network.advance(2.5)
    assert network.refusing(COMMON, FATAL) == network.names
    assert network.refusing(COMMON, 99) == []


def test_nothing_is_refused_for_being_in_the_batch_of_crashes():
    """Common parts are in each crash: sound requests are refused, and never seen to go well."""
    network = Network()
    rng = random.Random(3)
    rare = [100 + number for number in range(40)]
    for number in range(4):
        innocent = {name: [(COMMON, rng.choice(rare)) for _ in range(3)] for name in network.names}
        innocent["n0"].append((COMMON, FATAL))
        network.crash(number, innocent)
        for part in rng.sample(rare, 10):
            name = rng.choice(network.names)
            network.part_by_name[name].went_well(prompt(COMMON, part))
    assert network.refusing(COMMON, FATAL) == network.names
    assert [part for part in rare if network.refusing(COMMON, part)] == []


def test_run_that_goes_well_anywhere_clears_its_parts_everywhere():
    network = Network()
    for number in range(10):
        network.crash(number, {"n0": [(7,)], "n1": [(8,)]})
        network.part_by_name["n5"].went_well(prompt(7))
    assert network.refusing(8) == network.names
    assert network.refusing(7) == []


def test_crashes_without_a_common_part_refuse_nothing():
    network = Network()
    for number in range(20):
        network.crash(number, {"n0": [(COMMON, 100 + number)]})
        network.part_by_name["n1"].went_well(prompt(COMMON, 500))
    assert network.refusing(COMMON, 100) == []


def test_other_teams_are_refused_once_a_part_crashed_replicas_for_two():
    network = Network()
    for number in range(3):
        network.crash(number, {"n0": [(FATAL,)]})
    assert network.refusing(FATAL, team=99) == []
    now = network.clock.now()
    run = lostruns.LostRun(0, now - 0.2, now, prompt(FATAL, team=99))
    network.part_by_name["n4"].crashed("e9", [run])
    network.advance(1.0)
    assert network.refusing(FATAL, team=98) == network.names


def test_refusal_names_its_time_and_ends_with_it():
    network = Network()
    for number in range(3):
        network.crash(number, {"n0": [(FATAL,)]})
    refusal = network.list_by_name["n3"].refusal(0, prompt(FATAL))
    assert (refusal.code, refusal.http_status) == ("prompt_part_quarantined", 503)
    assert 3500.0 < refusal.retry_after_s <= 3600.0
    assert refusal.is_lasting
    network.clock.advance(3600.0)
    assert network.refusing(FATAL) == []


def test_second_send_waits_while_a_part_is_in_question():
    network = Network()
    assert not network.part_by_name["n3"].is_suspected(prompt(COMMON, FATAL))
    network.crash(0, {"n0": [(COMMON, FATAL)]})
    assert network.part_by_name["n3"].is_suspected(prompt(COMMON, FATAL))
    network.part_by_name["n3"].went_well(prompt(COMMON))
    assert not network.part_by_name["n3"].is_suspected(prompt(COMMON))
    network.advance(partquarantine.WATCH_S)
    assert not network.part_by_name["n3"].is_suspected(prompt(FATAL))


def test_run_without_parts_of_others_is_no_evidence():
    network = Network()
    now = network.clock.now()
    for number in range(5):
        run = lostruns.LostRun(0, now - 0.2, now, None)
        network.part_by_name["n0"].crashed(f"e{number}", [run])
    assert network.sent == 0


@pytest.mark.parametrize("count", [6, 360])
def test_messages_of_a_crash_grow_with_the_instances_only(count):
    network = Network(count=count)
    network.crash(0, {"n0": [(COMMON, FATAL)]}, seconds=10.0)
    retransmissions = 5
    assert network.sent <= requestquarantine.HOME_COUNT * (count + retransmissions)
