"""Exchange between instances about requests that crash replicas, in virtual time."""

import random

import pytest

from hornbeamglade.exchange import framesizes, messages
from hornbeamglade.quarantine import (
    crashledger,
    lostruns,
    quarantinelist,
    quarantinerows,
    requestquarantine,
)
from hornbeamglade.store import contract, memory
from tests.exchange import lossynetwork

REACTION_BOUND_S = 3.0
FATAL = 7
"""The fingerprint of the request that crashes replicas."""

RUN_S = 0.5
"""The time between the sending of a run and the crash that ends it."""

STEP_S = 0.05
HEARTBEAT_PERIOD_S = 0.5
SAMPLED_PEERS = 2
DETECTION_S = 7.0
"""The time after which a partitioned instance counts as dead at a large site."""


class Site:
    """Instances with a lossy network, whose heartbeats carry digests to sampled peers."""

    def __init__(self, nodes, lose=0.03):
        self.rng = random.Random(nodes)
        faults = lossynetwork.Faults(lose, max_delay_s=0.02)
        self.network = lossynetwork.LossyNetwork(self.rng, faults)
        self.names = [f"n{number}" for number in range(nodes)]
        self.dead = set()
        self.partitioned = set()
        self.partitioned_at = 0.0
        self.sent = []
        self.quarantine_by_name = {}
        for name in self.names:
            self.start(name)

    @property
    def clock(self):
        return self.network.clock

    def start(self, name):
        """Start or restart an instance."""
        port = self.network.attach(name, lambda *received: self._receive(name, *received))

        def send(node, message):
            self.sent.append(message)
            port.send(lossynetwork.transport.Peer(node, None), message)

        self.quarantine_by_name[name] = requestquarantine.RequestQuarantine(
            name,
            lambda: self._live(name),
            lambda: self.names,
            send,
            self.clock,
        )

    def partition(self, names):
        self.partitioned, self.partitioned_at = set(names), self.clock.now()

    def connected(self):
        return [name for name in self.names if name not in self.partitioned]

    def _live(self, name):
        is_detected = self.clock.now() - self.partitioned_at > DETECTION_S
        own_side = [
            each for each in self.names if (each in self.partitioned) == (name in self.partitioned)
        ]
        return [
            each for each in (own_side if is_detected else self.names) if each not in self.dead
        ]

    def _receive(self, name, message, origin, _source):
        if name in self.dead or (name in self.partitioned) != (origin.name in self.partitioned):
            return
        quarantine = self.quarantine_by_name[name]
        if isinstance(message, messages.CrashReport):
            quarantine.on_report(origin.name, message)
        elif isinstance(message, messages.QuarantineNotice):
            quarantine.on_notice(message)

    def run(self, seconds):
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.network.deliver()
            for name in self.names:
                if name not in self.dead:
                    self.quarantine_by_name[name].tick()
            if step % round(HEARTBEAT_PERIOD_S / STEP_S) == 0:
                self._exchange_digests()

    def _exchange_digests(self):
        for name in self.names:
            for peer in self.rng.sample(self.names, min(SAMPLED_PEERS, len(self.names))):
                is_separated = (name in self.partitioned) != (peer in self.partitioned)
                if not is_separated and not {name, peer} & self.dead:
                    digest = self.quarantine_by_name[name].digest
                    self.quarantine_by_name[peer].on_digest(name, digest)

    def crash(self, name, replica, lost=(FATAL,)):
        now = self.clock.now()
        runs = [lostruns.LostRun(each, now - RUN_S, now) for each in lost]
        self.quarantine_by_name[name].crashed(replica, runs)

    def crash_in_turn(self, names, lost=(FATAL,)):
        """Let as many replicas crash, one after the other, as a quarantine takes."""
        for number in range(crashledger.CRASH_THRESHOLD):
            self.run(0.3)
            self.crash(names[number], f"e{number}", lost)

    def refusing(self, fingerprint=FATAL):
        return {
            name
            for name in self.names
            if self.quarantine_by_name[name].refusal(fingerprint) is not None
        }


@pytest.mark.parametrize("nodes", [6, 64, 195])
def test_all_connected_instances_refuse_within_the_time_bound(nodes):
    """Guards replicas against instances that observed no crash, while a third is partitioned."""
    site = Site(nodes)
    site.partition(site.names[: nodes // 3])
    site.run(2 * DETECTION_S)
    site.crash_in_turn(site.connected())
    site.run(REACTION_BOUND_S)
    assert site.refusing() >= set(site.connected())


@pytest.mark.parametrize("trial", range(10))
def test_evidence_reaches_others_when_its_home_instances_were_just_partitioned(trial):
    """Guards against reports that are sent only to instances not yet known to be unreachable."""
    site = Site(64)
    site.partition(site.rng.sample(site.names, 21))
    site.crash_in_turn(site.connected(), lost=(trial,))
    site.run(DETECTION_S + REACTION_BOUND_S)
    assert site.refusing(trial) >= set(site.connected())


@pytest.mark.parametrize("nodes", [6, 64])
def test_an_instance_refuses_soon_after_a_partition_or_restart(nodes):
    site = Site(nodes)
    site.partition({"n5"})
    site.crash_in_turn(["n1"] * crashledger.CRASH_THRESHOLD)
    site.run(10.0)
    assert "n5" not in site.refusing()
    site.partition(())
    site.start("n4")
    site.run(REACTION_BOUND_S)
    assert site.refusing() == set(site.names)


def test_nearly_simultaneous_crashes_at_different_instances_add_up():
    site = Site(6)
    site.crash("n0", "e0")
    site.run(0.1)
    site.crash("n1", "e1")
    site.clock.advance(1.1 * crashledger.CORRELATION_WINDOW_S)
    site.crash("n2", "e2")
    site.run(1.0)
    assert site.refusing() == set(site.names)


@pytest.mark.parametrize("home", [0, 1])
def test_evidence_outlives_one_of_its_home_instances(home):
    """Guards against the loss of a count with the only instance that stores it."""
    site = Site(6, lose=0.0)
    homes = requestquarantine.rendezvous.best(
        requestquarantine.fingerprints.to_hex(FATAL), site.names, requestquarantine.HOME_COUNT
    )
    others = [name for name in site.names if name not in homes]
    for number in range(crashledger.CRASH_THRESHOLD - 1):
        site.crash(others[number], f"e{number}")
        site.run(0.5)
    site.dead = {homes[home]}
    site.crash(others[2], "e9")
    site.run(1.0)
    assert site.refusing() >= set(site.names) - site.dead


def test_replicas_that_fail_together_count_as_one_crash():
    """Guards a request that was running at every replica of a domain that lost power."""
    site = Site(6)
    for number in range(5):
        site.crash(site.names[number], f"e{number}")
    site.run(3.0)
    assert site.refusing() == set()


def test_crashes_of_successive_runs_count_however_soon_they_follow():
    """Guards replicas against a request that crashes each one at once and is then retried."""
    site = Site(6)
    now = site.clock.now()
    for number in range(crashledger.CRASH_THRESHOLD):
        run = lostruns.LostRun(FATAL, now + number * 0.01, now + number * 0.01 + 0.009)
        site.quarantine_by_name["n0"].crashed(f"e{number}", (run,))
    site.run(1.0)
    assert site.refusing() == set(site.names)


def test_one_crash_observed_by_many_instances_counts_once():
    site = Site(6)
    for name in site.names:
        site.run(0.2)
        site.crash(name, "e1")
    site.run(3.0)
    assert site.refusing() == set()


def test_a_frequent_request_is_not_refused_because_of_unrelated_crashes():
    """Guards a request that runs all the time against evidence from crashes of other causes."""
    site = Site(6)
    for number in range(40):
        for name in site.names:
            site.quarantine_by_name[name].completed(FATAL)
        site.run(0.5)
        site.crash(site.rng.choice(site.names), f"e{number}")
    assert site.refusing() == set()


def test_few_requests_are_refused_when_runs_end_by_unrelated_crashes():
    """Guards callers while there are many crashes: four runs per request, one in ten lost."""
    site = Site(6)
    refused = 0
    for fingerprint in range(1, 3000):
        site.clock.advance(0.1)
        for run in range(4):
            name = site.rng.choice(site.names)
            if site.quarantine_by_name[name].refusal(fingerprint) is not None:
                refused += 1
                break
            if site.rng.random() > 0.1:
                site.quarantine_by_name[name].completed(fingerprint)
                break
            site.crash(name, f"e{fingerprint}-{run}", (fingerprint,))
            site.run(STEP_S)
            site.run(STEP_S)
    # One request in a thousand has three crashes in a row.
    assert refused <= 9


def test_a_refusal_ends_after_its_duration():
    site = Site(1)
    for number in range(crashledger.CRASH_THRESHOLD):
        site.run(0.1)
        site.crash("n0", f"e{number}")
    refusal = site.quarantine_by_name["n0"].refusal(FATAL)
    assert (refusal.http_status, refusal.code) == (503, requestquarantine.QUARANTINED)
    assert refusal.retry_after_s == pytest.approx(quarantinelist.DURATION_S)
    site.clock.advance(quarantinelist.DURATION_S)
    site.quarantine_by_name["n0"].expire()
    assert site.refusing() == set()
    assert site.quarantine_by_name["n0"].quarantined_count == 0


def test_memory_and_message_sizes_are_bounded_with_many_fatal_requests():
    site = Site(2, lose=0.0)
    quarantine = site.quarantine_by_name["n0"]
    for fingerprint in range(1, 4301):
        for number in range(crashledger.CRASH_THRESHOLD):
            site.clock.advance(0.06)
            site.crash("n0", f"e{fingerprint}-{number}", (fingerprint,))
        if fingerprint % 500 == 0:
            site.network.deliver()
    assert quarantine.quarantined_count == quarantinelist.MAX_ENTRIES
    for message in site.sent[-1000:]:
        assert framesizes.packet_bytes(message) < 1400


def test_full_messages_fit_a_datagram():
    largest = 2**64 - 1
    crash = messages.ReportedCrash(largest, largest, 2**32 - 1, 2**32 - 1)
    request = messages.QuarantinedRequest(largest, 2**32 - 1)
    report = messages.CrashReport((crash,) * messages.MAX_REPORTED_CRASHES)
    notice = messages.QuarantineNotice((request,) * messages.MAX_QUARANTINED)
    assert framesizes.packet_bytes(report) < 1400
    assert framesizes.packet_bytes(notice) < 1400


class StoredSite(Site):
    """A site whose instances write the requests that they refuse to a store."""

    def __init__(self, nodes):
        self.store = memory.MemoryPlatform()
        super().__init__(nodes, lose=0.0)

    def start(self, name):
        super().start(name)
        write = self.write
        self.quarantine_by_name[name].set_store_writer(lambda each: write((each,)))

    def write(self, writes):
        self.store.transact((), writes)

    def read(self, *names):
        for name in names or self.names:
            self.quarantine_by_name[name].on_rows(self.store.scan("instances/"))

    def rows(self):
        return quarantinerows.decode(self.store.scan("instances/"))

    def crash_until_refused(self, *names):
        for number in range(crashledger.CRASH_THRESHOLD):
            self.run(0.3)
            self.crash(names[number % len(names)], f"e{number}")
        self.run(0.3)


def test_refused_requests_outlive_a_full_outage():
    """Guards replicas against a request that is retried after all instances lost power."""
    site = StoredSite(6)
    site.crash_until_refused("n0", "n1", "n2")
    assert [each.fingerprint for each in site.rows()] == [FATAL]
    for name in site.names:
        site.start(name)
    assert site.refusing() == set()
    site.read("n3")
    assert site.refusing() == {"n3"}


def test_an_instance_partitioned_only_from_the_others_learns_from_the_store():
    site = StoredSite(6)
    site.partition({"n5"})
    site.crash_until_refused("n0", "n1", "n2")
    site.read("n5")
    assert "n5" in site.refusing()


def test_a_row_lost_by_the_store_is_restored_and_an_expired_one_is_deleted():
    """Guards the refused requests against a store that is restored from an older backup."""
    site = StoredSite(6)
    site.crash_until_refused("n0", "n1", "n2")
    site.write((contract.Delete(quarantinerows.key(FATAL)),))
    site.read()
    assert [each.fingerprint for each in site.rows()] == [FATAL]
    site.clock.advance(quarantinelist.DURATION_S + 1.0)
    for quarantine in site.quarantine_by_name.values():
        quarantine.expire()
    site.read()
    assert site.rows() == ()
    assert site.refusing() == set()


def test_a_malformed_row_is_ignored():
    site = StoredSite(1)
    for value in ("", "{}", '{"until": "never"}', '{"until": 1e400}'):
        site.write((contract.Put(quarantinerows.key(FATAL), value),))
        site.read()
    site.write((contract.Put("instances/quarantine:none", '{"until": 9e9}'),))
    site.read()
    assert site.quarantine_by_name["n0"].quarantined_count == 0
