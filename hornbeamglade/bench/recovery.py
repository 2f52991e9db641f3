"""Benchmark of fault recovery: seeded trials on a site of separate processes.

Explanation
===========

In each trial, callers send a steady stream of short generations and holds. After a
baseline period a fault is injected at a random moment. The trial ends when the fault is
repaired (if it is temporary), no earlier request hangs any more, and no request was
affected for :data:`RECOVERED_S`. Everything is measured at the callers.
"""

import collections.abc
import contextlib
import dataclasses
import math
import pathlib
import random
import tempfile
import time

from hornbeamglade.bench import (
    recoveryanalysis,
    recoverycallers,
    recoverychecks,
    recoveryfaults,
    recoverytraffic,
)
from hornbeamglade.localsite import localsite, tcpproxy
from hornbeamglade.teams import identity

WARM_UP_S = 1.5
BASELINE_S = 2.0
BASELINE_JITTER_S = 1.0
RECOVERED_S = 6.0
"""Longer than it takes to suspect a dead node, so that the effects of that are observed too."""

RECOVERY_TIMEOUT_S = 40.0
POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryShape:
    """Parameters of the recovery benchmark.

    :param trials: number of trials per fault.
    :param seed: seed of arrivals, victims and fault times.
    :param callers: number of callers, each with its own address list.
    :param tokens: tokens of each generation.
    """

    trials: int = 20
    seed: int = 0
    nodes: int = 3
    engines: int = 3
    callers: int = 12
    tokens: int = 20
    texts_per_s: float = 20.0
    holds_per_s: float = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The trials of one fault.

    :param fault: name of the fault.
    :param hold_s: seconds until it was repaired; 0 if it was not.
    :param usual: latencies of the baseline periods of all trials.
    """

    fault: str
    hold_s: float
    usual: recoveryanalysis.Baseline
    trials: tuple[recoveryanalysis.Trial, ...]

    @property
    def violated(self) -> int:
        """Number of violated guarantees in all trials."""
        return sum(sum(trial.broken.values()) for trial in self.trials)

    @property
    def recovered(self) -> bool:
        """Whether the site recovered in every trial."""
        return all(math.isfinite(trial.recovery_s) for trial in self.trials)


def run(
    shape: RecoveryShape,
    name: str,
    folder: pathlib.Path,
    on_trial_end: collections.abc.Callable[[int], None] = lambda _number: None,
) -> Result:
    """Run all trials of one fault.

    :param name: name of the fault.
    :param folder: directory of settings and logs.
    :param on_trial_end: called with the number of each trial that has ended.
    """
    fault = recoveryfaults.FAULT_BY_NAME[name]
    observations: list[recoveryanalysis.Observation] = []
    with contextlib.ExitStack() as shared_stack:
        site = None
        for number in range(shape.trials):
            with contextlib.ExitStack() as trial_stack:
                if site is None or not fault.reuses_site:
                    site = _Site(
                        shape, fault, folder, shared_stack if fault.reuses_site else trial_stack
                    )
                observations.append(_Trial(shape, fault, site, number, observations).run())
            on_trial_end(number)
    baseline = recoveryanalysis.baseline(observations)
    trials = tuple(recoveryanalysis.analyze_trial(each, baseline) for each in observations)
    return Result(name, fault.hold_s, baseline, trials)


class _Site:
    """A running site with the proxies that the fault needs."""

    def __init__(
        self,
        shape: RecoveryShape,
        fault: recoveryfaults.Fault,
        folder: pathlib.Path,
        stack: contextlib.ExitStack,
    ) -> None:
        plain_shape = localsite.Shape(shape.nodes, shape.engines)
        self.links = tcpproxy.TcpProxies(*fault.links(plain_shape))
        stack.callback(self.links.close)
        # Team limits are raised because requests hang while a node is frozen; a team that
        # reaches its limit for that reason would be refused, which is not measured here.
        team = {
            "key_hashes": [identity.hash_key(localsite.TEAM_KEY)],
            "requests_in_flight": 10_000,
            "tokens_in_flight": 100_000_000,
        }
        site_shape = dataclasses.replace(
            plain_shape, base={"teams": {localsite.TEAM: team}}, route=self.links.route
        )
        site_folder = pathlib.Path(tempfile.mkdtemp(dir=folder))
        self.running = stack.enter_context(localsite.LocalSite(site_shape, site_folder))

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all nodes."""
        return tuple(self.running.address_by_name[name] for name in self.running.node_names)


class _Trial:
    """One trial on a running site."""

    def __init__(
        self,
        shape: RecoveryShape,
        fault: recoveryfaults.Fault,
        site: _Site,
        number: int,
        earlier: collections.abc.Sequence[recoveryanalysis.Observation],
    ) -> None:
        self._fault = fault
        self._site = site
        self._earlier = earlier
        self._rng = random.Random(f"{shape.seed}/{fault.name}/{number}")
        self._traffic = recoverytraffic.Traffic(
            [_new_caller(site) for _ in range(shape.callers)],
            f"{fault.name}-{number}",
            shape.tokens,
            shape.texts_per_s,
            shape.holds_per_s,
            random.Random(self._rng.random()),
        )

    def run(self) -> recoveryanalysis.Observation:
        """Run the trial and return what callers observed."""
        ledgers = recoverychecks.Ledgers()
        self._traffic.start()
        try:
            observation = self._observe(ledgers)
        finally:
            self._traffic.stop()
        running = self._site.running
        _read_ledgers(running, ledgers, tuple(running.address_by_name))
        records = self._traffic.records()
        broken = recoverychecks.count_violations(records, ledgers)
        return dataclasses.replace(observation, records=records, broken=broken)

    def _observe(self, ledgers: recoverychecks.Ledgers) -> recoveryanalysis.Observation:
        """Inject the fault and wait until the site has recovered."""
        running, links = self._site.running, self._site.links
        victim = self._fault.choose_victim(running, self._rng)
        baseline_s = BASELINE_S + BASELINE_JITTER_S * self._rng.random()
        time.sleep(WARM_UP_S)
        baseline_from = time.monotonic()
        time.sleep(baseline_s)
        # The ledger of an engine is lost when the engine is killed.
        _read_ledgers(running, ledgers, (victim,))
        fault_at = time.monotonic()
        self._fault.inject(running, links, victim)
        time.sleep(self._fault.hold_s)
        self._fault.repair(running, links, victim)
        observation = recoveryanalysis.Observation(victim, baseline_from, fault_at, (), {}, False)
        return dataclasses.replace(
            observation, has_recovered=self._wait_until_recovered(observation)
        )

    def _wait_until_recovered(self, initial: recoveryanalysis.Observation) -> bool:
        """Wait until no request has been affected for :data:`RECOVERED_S`."""
        fault_at = initial.fault_at
        until = time.monotonic() + RECOVERY_TIMEOUT_S
        waiting_since = time.monotonic()
        while time.monotonic() < until:
            time.sleep(POLL_S)
            partial = dataclasses.replace(
                initial, records=self._traffic.records(), has_recovered=True
            )
            baseline = recoveryanalysis.baseline((*self._earlier, partial))
            trial = recoveryanalysis.analyze_trial(partial, baseline)
            now = time.monotonic()
            oldest_open_at = self._traffic.oldest_open_due_at() or now
            unaffected_since = max(waiting_since, fault_at + trial.recovery_s)
            if now - unaffected_since >= RECOVERED_S and now - oldest_open_at < RECOVERED_S:
                return True
        return False


def _new_caller(site: _Site) -> recoverycallers.Caller:
    address_book = recoverycallers.AddressBook(site.addresses(), localsite.TEAM_KEY)
    return recoverycallers.Caller(address_book, localsite.TEAM_KEY)


def _read_ledgers(
    site: localsite.LocalSite,
    ledgers: recoverychecks.Ledgers,
    names: collections.abc.Iterable[str],
) -> None:
    for name in names:
        if name.startswith("engine-"):
            ledgers.add_engine(site.ledger(name))
        elif name.startswith("counter-"):
            ledgers.add_service(site.ledger(name))
