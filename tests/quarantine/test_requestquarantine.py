"""What instances tell each other of requests that crash replicas, in virtual time."""

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

CONTACT_S = 3.0
GUILTY = 7
RUN_S = 0.5
"""From a run's sending to the crash that ends it."""

STEP_S = 0.05
HEARTBEATS_S = 0.5
SAMPLED = 2
NOTICED_S = 7.0
"""An instance that is cut off is held for dead after so long at a large site."""


class Site:
    """Instances whose datagrams may be lost; heartbeats carry digests to sampled peers."""

    def __init__(self, nodes, lose=0.03):
        self.rng = random.Random(nodes)
        faults = lossynetwork.Faults(lose, longest_delay_s=0.02)
        self.network = lossynetwork.LossyNetwork(self.rng, faults)
        self.names = [f"n{number}" for number in range(nodes)]
        self.dead = set()
        self.cut = set()
        self.cut_at = 0.0
        self.sent = []
        self.quarantine_by_name = {}
        for name in self.names:
            self.start(name)

    @property
    def clock(self):
        return self.network.clock

    def start(self, name):
        """Start an instance, or start it anew."""
        port = self.network.attach(name, lambda *told: self._take(name, *told))

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

    def cut_off(self, names):
        self.cut, self.cut_at = set(names), self.clock.now()

    def _live(self, name):
        is_noticed = self.clock.now() - self.cut_at > NOTICED_S
        own_side = [each for each in self.names if (each in self.cut) == (name in self.cut)]
        return [each for each in (own_side if is_noticed else self.names) if each not in self.dead]

    def _take(self, name, message, origin, _source):
        if name in self.dead or (name in self.cut) != (origin.name in self.cut):
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
            if step % round(HEARTBEATS_S / STEP_S) == 0:
                self._tell_digests()

    def _tell_digests(self):
        for name in self.names:
            for peer in self.rng.sample(self.names, min(SAMPLED, len(self.names))):
                is_severed = (name in self.cut) != (peer in self.cut)
                if not is_severed and not {name, peer} & self.dead:
                    digest = self.quarantine_by_name[name].digest
                    self.quarantine_by_name[peer].on_digest(name, digest)

    def crash(self, name, replica, lost=(GUILTY,)):
        now = self.clock.now()
        runs = [lostruns.LostRun(each, now - RUN_S, now) for each in lost]
        self.quarantine_by_name[name].crashed(replica, runs)

    def refusing(self, fingerprint=GUILTY):
        return {
            name
            for name in self.names
            if self.quarantine_by_name[name].refusal(fingerprint) is not None
        }


@pytest.mark.parametrize("nodes", [6, 64, 195])
def test_all_in_touch_refuse_within_the_bound_on_contact(nodes):
    """Guards replicas against instances that saw no crash, while a third is cut off."""
    site = Site(nodes)
    site.cut_off(site.names[: nodes // 3])
    site.run(2 * NOTICED_S)
    in_touch = [name for name in site.names if name not in site.cut]
    for number in range(crashledger.CRASHES):
        site.run(0.3)
        site.crash(in_touch[number], f"e{number}")
    site.run(CONTACT_S)
    assert site.refusing() >= set(in_touch)


@pytest.mark.parametrize("trial", range(10))
def test_evidence_reaches_others_when_its_homes_are_just_cut_off(trial):
    """Guards against reports that go only to instances which nobody knows to be cut off."""
    site = Site(64)
    site.cut_off(site.rng.sample(site.names, 21))
    in_touch = [name for name in site.names if name not in site.cut]
    for number in range(crashledger.CRASHES):
        site.run(0.3)
        site.crash(in_touch[number], f"e{number}", (trial,))
    site.run(NOTICED_S + CONTACT_S)
    assert site.refusing(trial) >= set(in_touch)


@pytest.mark.parametrize("nodes", [6, 64])
def test_an_instance_that_was_cut_off_or_started_anew_refuses_soon(nodes):
    site = Site(nodes)
    site.cut_off({"n5"})
    for number in range(crashledger.CRASHES):
        site.run(0.3)
        site.crash("n1", f"e{number}")
    site.run(10.0)
    assert "n5" not in site.refusing()
    site.cut_off(())
    site.start("n4")
    site.run(CONTACT_S)
    assert site.refusing() == set(site.names)


def test_crashes_seen_by_different_instances_at_nearly_one_time_add_up():
    site = Site(6)
    site.crash("n0", "e0")
    site.run(0.1)
    site.crash("n1", "e1")
    site.clock.advance(1.1 * crashledger.TOGETHER_S)
    site.crash("n2", "e2")
    site.run(1.0)
    assert site.refusing() == set(site.names)


@pytest.mark.parametrize("home", [0, 1])
def test_evidence_outlives_one_of_its_homes(home):
    """Guards against a count that is lost with the instance that kept it."""
    site = Site(6, lose=0.0)
    homes = requestquarantine.rendezvous.best(
        requestquarantine.fingerprints.to_hex(GUILTY), site.names, requestquarantine.HOMES
    )
    others = [name for name in site.names if name not in homes]
    for number in range(crashledger.CRASHES - 1):
        site.crash(others[number], f"e{number}")
        site.run(0.5)
    site.dead = {homes[home]}
    site.crash(others[2], "e9")
    site.run(1.0)
    assert site.refusing() >= set(site.names) - site.dead


def test_replicas_that_fail_together_are_one_crash():
    """Guards requests that ran everywhere when a failure domain lost power."""
    site = Site(6)
    for number in range(5):
        site.crash(site.names[number], f"e{number}")
    site.run(3.0)
    assert site.refusing() == set()


def test_runs_that_follow_one_another_count_however_soon():
    """Guards replicas that a request crashes at once, sent on to the next each time."""
    site = Site(6)
    now = site.clock.now()
    for number in range(crashledger.CRASHES):
        run = lostruns.LostRun(GUILTY, now + number * 0.01, now + number * 0.01 + 0.009)
        site.quarantine_by_name["n0"].crashed(f"e{number}", (run,))
    site.run(1.0)
    assert site.refusing() == set(site.names)


def test_one_crash_seen_by_many_counts_once():
    site = Site(6)
    for name in site.names:
        site.run(0.2)
        site.crash(name, "e1")
    site.run(3.0)
    assert site.refusing() == set()


def test_a_popular_request_is_not_refused_on_a_day_with_many_crashes():
    """Guards a request that is asked for all the time against crashes that others cause."""
    site = Site(6)
    for number in range(40):
        for name in site.names:
            site.quarantine_by_name[name].completed(GUILTY)
        site.run(0.5)
        site.crash(site.rng.choice(site.names), f"e{number}")
    assert site.refusing() == set()


def test_innocent_requests_are_not_refused_when_each_run_may_meet_a_crash():
    """Guards callers on a day with crashes: four runs a request, one in ten ended by a crash."""
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
    # A request meets three crashes one after the other in one case of a thousand.
    assert refused <= 9


def test_a_refusal_lasts_and_ends():
    site = Site(1)
    for number in range(crashledger.CRASHES):
        site.run(0.1)
        site.crash("n0", f"e{number}")
    refusal = site.quarantine_by_name["n0"].refusal(GUILTY)
    assert (refusal.http_status, refusal.code) == (503, requestquarantine.QUARANTINED)
    assert refusal.retry_after_s == pytest.approx(quarantinelist.LASTS_S)
    site.clock.advance(quarantinelist.LASTS_S)
    site.quarantine_by_name["n0"].expire()
    assert site.refusing() == set()
    assert site.quarantine_by_name["n0"].quarantined_count == 0


def test_memory_and_messages_stay_bounded_against_a_million_guilty_requests():
    site = Site(2, lose=0.0)
    quarantine = site.quarantine_by_name["n0"]
    for fingerprint in range(1, 4301):
        for number in range(crashledger.CRASHES):
            site.clock.advance(0.06)
            site.crash("n0", f"e{fingerprint}-{number}", (fingerprint,))
        if fingerprint % 500 == 0:
            site.network.deliver()
    assert quarantine.quarantined_count == quarantinelist.MOST
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


class Stored(Site):
    """A site whose instances keep what they refuse in a store."""

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

    def find_out(self, *names):
        for number in range(crashledger.CRASHES):
            self.run(0.3)
            self.crash(names[number % len(names)], f"e{number}")
        self.run(0.3)


def test_what_is_refused_outlives_a_loss_of_all_instances():
    """Guards replicas against a request that comes back after all instances lost power."""
    site = Stored(6)
    site.find_out("n0", "n1", "n2")
    assert [each.fingerprint for each in site.rows()] == [GUILTY]
    for name in site.names:
        site.start(name)
    assert site.refusing() == set()
    site.read("n3")
    assert site.refusing() == {"n3"}


def test_an_instance_that_is_cut_off_from_the_others_only_learns_from_the_store():
    site = Stored(6)
    site.cut_off({"n5"})
    site.find_out("n0", "n1", "n2")
    site.read("n5")
    assert "n5" in site.refusing()


def test_a_row_that_the_store_has_lost_is_written_again_and_one_that_is_over_removed():
    """Guards what is refused against a store that comes back from an older copy."""
    site = Stored(6)
    site.find_out("n0", "n1", "n2")
    site.write((contract.Delete(quarantinerows.key(GUILTY)),))
    site.read()
    assert [each.fingerprint for each in site.rows()] == [GUILTY]
    site.clock.advance(quarantinelist.LASTS_S + 1.0)
    for quarantine in site.quarantine_by_name.values():
        quarantine.expire()
    site.read()
    assert site.rows() == ()
    assert site.refusing() == set()


def test_a_row_that_cannot_be_read_changes_nothing():
    site = Stored(1)
    for value in ("", "{}", '{"until": "never"}', '{"until": 1e400}'):
        site.write((contract.Put(quarantinerows.key(GUILTY), value),))
        site.read()
    site.write((contract.Put("instances/quarantine:none", '{"until": 9e9}'),))
    site.read()
    assert site.quarantine_by_name["n0"].quarantined_count == 0
