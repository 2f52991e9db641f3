"""Choice of replicas of plain services."""

import heapq
import random
import statistics

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.replicas import models, sharedmachines
from hornbeamglade.routed import calls, replicaload


def replicas(count):
    return [models.Replica(f"i{n}", "s", f"10.0.0.{n}:80", "a", 6) for n in range(count)]


def loads(clock=None, seed=1):
    return replicaload.ReplicaLoads(clock or clocks.ManualClock(), random.Random(seed))


def test_least_busy_replica_is_chosen():
    replica_loads = loads()
    replica_loads.started("i0")
    replica_loads.started("i1")
    assert replica_loads.choose(replicas(3)).id == "i2"
    assert replica_loads.choose([]) is None


def test_reported_load_of_other_nodes_counts_while_it_is_fresh():
    clock = clocks.ManualClock()
    replica_loads = loads(clock)
    replica_loads.started("i0")
    replica_loads.ended("i0", False, calls.Load(5, 2, 6))
    assert replica_loads.choose(replicas(2)).id == "i1"
    clock.advance(2.0)
    replica_loads.started("i1")
    assert replica_loads.choose(replicas(2)).id == "i0"


def test_own_request_is_not_counted_twice():
    replica_loads = loads()
    replica_loads.started("i0")
    replica_loads.ended("i0", False, calls.Load(1, 0, 6))
    replica_loads.started("i1")
    assert replica_loads.choose(replicas(2)).id == "i0"


def test_failing_replica_is_avoided_and_probed_later():
    """A replica fails half of its requests while its health check succeeds.

    Least outstanding requests alone would prefer it, as failures are quick.
    """
    clock = clocks.ManualClock()
    replica_loads = loads(clock)
    for _ in range(5):
        replica_loads.started("i0")
        replica_loads.ended("i0", True, None)
    replica_loads.started("i1")
    replica_loads.started("i1")
    assert replica_loads.choose(replicas(2)).id == "i1"
    clock.advance(30.0)
    assert replica_loads.choose(replicas(2)).id == "i0"


def test_absent_replica_is_forgotten_once_no_request_is_outstanding():
    replica_loads = loads()
    replica_loads.started("i0")
    replica_loads.forget_absent({})
    replica_loads.ended("i0", False, None)
    replica_loads.forget_absent({})
    assert replica_loads.choose(replicas(1)).id == "i0"


def shared_loads(clock, seed=1):
    """Return the loads of an instance whose service ``s`` shares its machines."""
    shared = sharedmachines.SharedMachines(clock)
    shared.observe("s", calls.Load(0, 0, 6, 1.0))
    return replicaload.ReplicaLoads(clock, random.Random(seed), shared)


def report(replica_loads, replica_id, slowdown, service_s=0.03, running=1):
    replica_loads.started(replica_id)
    load = calls.Load(running, 0, 6, slowdown)
    replica_loads.ended(replica_id, False, load, service_s)


def chosen(replica_loads, candidates, times=200):
    return {replica_loads.choose(candidates).id for _ in range(times)}


def test_replica_on_a_busy_machine_is_avoided_while_its_report_is_fresh():
    """Guards against a slowdown that counts longer than its machine's state lasts."""
    clock = clocks.ManualClock()
    replica_loads = shared_loads(clock)
    report(replica_loads, "i0", 2.5)
    assert chosen(replica_loads, replicas(3)) == {"i1", "i2"}
    clock.advance(replicaload.SLOWDOWN_TTL_S)
    report(replica_loads, "i1", 1.0)
    assert chosen(replica_loads, replicas(3)) == {"i0", "i1", "i2"}


def test_slowdown_has_no_effect_on_services_with_machines_of_their_own():
    replica_loads = loads()
    report(replica_loads, "i0", 2.5)
    assert chosen(replica_loads, replicas(3)) == {"i0", "i1", "i2"}


def test_lastingly_slow_replica_gets_less_and_a_wrong_figure_does_not_starve_one():
    """A replica on an old machine takes three times as long, and one reports 10,000 percent."""
    clock = clocks.ManualClock()
    replica_loads = shared_loads(clock)
    for _ in range(replicaload.MIN_SERVICE_TIMES):
        for number, seconds in enumerate((0.03, 0.03, 0.09)):
            report(replica_loads, f"i{number}", 1.0, seconds)
    assert chosen(replica_loads, replicas(3)) == {"i0", "i1"}
    report(replica_loads, "i0", 100.0, 3.0)
    clock.advance(replicaload.SLOWDOWN_TTL_S)
    assert "i0" in chosen(replica_loads, replicas(3))


def test_second_attempt_prefers_another_failure_domain():
    """A whole failure domain may be what failed the first attempt."""
    replica_loads = shared_loads(clocks.ManualClock())
    near = replicas(3)
    far = models.Replica("far", "s", "10.0.0.9:80", "b", 6)
    assert {replica_loads.choose([*near, far], {"a"}).id for _ in range(50)} == {"far"}
    assert replica_loads.choose(near, {"a"}) in near


class SharedSite:
    """A simulation of instances whose plain replicas are slowed down now and then.

    :param by_time: whether the instances know that the replicas share their machines.
    """

    INSTANCES, REPLICAS, SLOTS, WORK_S, SECONDS = 60, 3, 6, 0.03, 20.0
    SLOWDOWN, WINDOW_S, BUSY_SHARE = 2.5, 0.6, 0.15

    def __init__(self, seed, by_time):
        self.rng = random.Random(seed)
        self.clock = clocks.ManualClock()
        make = shared_loads if by_time else loads
        self.loads = [make(self.clock, number) for number in range(self.INSTANCES)]
        self.busy_from = [list(self._windows()) for _ in range(self.REPLICAS)]
        self.running = [0] * self.REPLICAS
        self.waiting = [[] for _ in range(self.REPLICAS)]
        self.events = []
        self.times_s = []

    def _windows(self):
        at, pause_s = 0.0, self.WINDOW_S * (1 / self.BUSY_SHARE - 1)
        while at < self.SECONDS:
            at += self.rng.expovariate(1 / pause_s) + self.WINDOW_S
            yield at - self.WINDOW_S

    def _slowdown(self, number):
        past = (self.clock.now() - begin for begin in self.busy_from[number])
        return self.SLOWDOWN if any(0 <= each < self.WINDOW_S for each in past) else 1.0

    def run(self, per_s):
        """Return the mean time of the requests and their 99th percentile."""
        at = 0.0
        while (at := at + self.rng.expovariate(per_s)) < self.SECONDS:
            instance = self.rng.randrange(self.INSTANCES)
            heapq.heappush(self.events, (at, self.rng.random(), self._arrive, at, instance, 0))
        while self.events:
            now, _, step, *arguments = heapq.heappop(self.events)
            self.clock.advance(now - self.clock.now())
            step(*arguments)
        self.times_s.sort()
        return statistics.mean(self.times_s), self.times_s[len(self.times_s) * 99 // 100]

    def _arrive(self, at, instance, _number):
        number = int(self.loads[instance].choose(replicas(self.REPLICAS)).id[1:])
        self.loads[instance].started(f"i{number}")
        self.waiting[number].append((at, instance))
        self._start(number)

    def _start(self, number):
        if self.waiting[number] and self.running[number] < self.SLOTS:
            self.running[number] += 1
            ends_at = self.clock.now() + self.WORK_S * self._slowdown(number)
            step = (self._end, *self.waiting[number].pop(0), number)
            heapq.heappush(self.events, (ends_at, self.rng.random(), *step))

    def _end(self, at, instance, number):
        counts = self.running[number], len(self.waiting[number]), self.SLOTS
        load = calls.Load(*counts, self._slowdown(number))
        self.running[number] -= 1
        self.times_s.append(self.clock.now() - at)
        self.loads[instance].ended(f"i{number}", False, load, self.times_s[-1])
        self._start(number)


@pytest.mark.parametrize(("per_s", "seeds"), [(67.0, range(20)), (260.0, range(5))])
def test_choice_by_time_is_not_worse_where_machines_are_shared(per_s, seeds):
    """Guards against instances that all act on the same stale figure.

    At 67 requests/s an instance sends a replica one request in 2.7 s, so most of its figures are
    old; at 260 requests/s a busy replica has no free slot.
    """
    before = [SharedSite(seed, False).run(per_s) for seed in seeds]
    after = [SharedSite(seed, True).run(per_s) for seed in seeds]
    for earlier, later in zip(zip(*before, strict=True), zip(*after, strict=True), strict=True):
        assert statistics.mean(later) <= statistics.mean(earlier)
