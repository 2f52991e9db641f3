"""Measures rollouts in virtual time: ``python -m hornbeamglade.placement.rolloutrun``.

Explanation
===========

A pool changes from one model to another under full load: each open replica has
``STREAMS`` streams, and a closed one finishes those that it has. Stream lengths
are log-normal and truncated. The remainder of a stream at a random time is a
uniform fraction of its length, where the length is drawn with a probability
proportional to itself (length-biased). The placer, its lease and its decisions are
the code that runs in a node; only the engines and the clock are simulated.
"""

import dataclasses
import math
import random

import click

from hornbeamglade import leases
from hornbeamglade.backends import orders
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks
from hornbeamglade.placement import (
    changegate,
    placementsettings,
    placementvalues,
    placer,
    rollout,
    virtualengines,
)
from hornbeamglade.store import memory

STREAMS = 29
MEDIAN_TOKENS = 100.0
SIGMA = 1.5
MAX_TOKENS = 8000.0
TOKEN_S = 0.026
LOAD_S = 40.0
DOMAINS = 3
MAX_RUN_S = 100_000
OLD = orders.EngineState(frozenset({"draft@1"}), role="mixed")
NEW = orders.EngineState(frozenset({"draft@2"}), role="mixed")
NEWER = orders.EngineState(frozenset({"draft@3"}), role="mixed")


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """The results of one rollout.

    :param seconds: until every engine was in the wanted state.
    :param fewest_serving: the minimum of the engines that served at any time, with the
        old or the new model.
    :param replica_seconds: seconds out of service, summed over the replicas.
    :param streams_cut: streams that an order ended.
    :param writes: transactions of the platform's table.
    """

    seconds: float
    fewest_serving: int
    replica_seconds: float
    streams_cut: int
    writes: int


@dataclasses.dataclass(frozen=True, slots=True)
class SecondChange:
    """A second change during the rollout of the first.

    :param at_s: when it is made, in seconds.
    :param waits: whether it waits until the first is finished, or replaces it at once.
    """

    at_s: float
    waits: bool

    def is_due(self, now: float, is_first_done: bool) -> bool:
        """Return whether the second change is to be rolled out now."""
        return now >= self.at_s and (is_first_done or not self.waits)


class _Pool:
    """Simulated replicas; open ones are full of streams, closed ones drain."""

    def __init__(self, count: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.engine_by_name = {f"e{n:04}": _engine(n) for n in range(count)}
        self._ends_by_name: dict[str, list[float]] = {}

    def step(self, closed: frozenset[str]) -> int:
        """Advance the clock by a second; return how many replicas served in it."""
        self.clock.advance(1.0)
        now = self.clock.now()
        serving = 0
        for name, engine in self.engine_by_name.items():
            engine.advance(now)
            if name not in closed:
                self._ends_by_name.pop(name, None)
                serving += bool(engine.present.models)
                engine.streams = STREAMS if engine.present.models else 0
                continue
            if name not in self._ends_by_name:
                self._ends_by_name[name] = [
                    now + self._remaining_stream_s() for _ in range(STREAMS)
                ]
            engine.streams = sum(end > now for end in self._ends_by_name[name])
        return serving

    def has(self, state: orders.EngineState) -> bool:
        """Return whether every engine has exactly this state."""
        return all(engine.present == state for engine in self.engine_by_name.values())

    def desired_state(
        self, revision: int, wanted: orders.EngineState
    ) -> placementvalues.DesiredState:
        """Return the pool's desired state in a revision."""
        replica_by_name = {name: engine.replica for name, engine in self.engine_by_name.items()}
        return placementvalues.DesiredState(revision, wanted, replica_by_name)

    def _remaining_stream_s(self) -> float:
        median = MEDIAN_TOKENS * math.exp(SIGMA**2)
        tokens = min(median * math.exp(self._rng.gauss(0, SIGMA)), MAX_TOKENS)
        return tokens * TOKEN_S * self._rng.random()


def _engine(number: int) -> virtualengines.VirtualEngine:
    replica = models.Replica(
        address=f"192.0.2.1:{number + 1}", failure_domain=f"z{number % DOMAINS}"
    )
    return virtualengines.VirtualEngine(replica, OLD, LOAD_S)


def run(
    count: int,
    settings: placementsettings.PlacementSettings,
    seed: int = 1,
    second: SecondChange | None = None,
) -> RunResult:
    """Roll out a new model to a pool of ``count`` replicas.

    :param count: the number of replicas.
    :param settings: of the rollout.
    :param seed: of the stream lengths and the retry jitter.
    :param second: another change during the rollout, or None.

    Examples
    ========

    >>> result = run(3, placementsettings.PlacementSettings())
    >>> result.fewest_serving, result.streams_cut
    (2, 0)
    """
    pool = _Pool(count, seed)
    table = memory.MemoryPlatform(pool.clock)
    node_placer = _make_placer(pool, table, settings, seed)
    fewest = count
    missing_s = 0.0
    final_state = NEW if second is None else NEWER
    while not pool.has(final_state):
        if second is not None and second.is_due(pool.clock.now(), pool.has(NEW)):
            node_placer.set_desired(pool.desired_state(2, NEWER))
        serving = pool.step(node_placer.closed())
        fewest = min(fewest, serving)
        missing_s += count - serving
        node_placer.step()
        if pool.clock.now() > MAX_RUN_S:
            break
    cut = sum(engine.streams_cut for engine in pool.engine_by_name.values())
    return RunResult(pool.clock.now(), fewest, missing_s, cut, table.transaction_count)


def _make_placer(
    pool: _Pool,
    table: memory.MemoryPlatform,
    settings: placementsettings.PlacementSettings,
    seed: int,
) -> placer.Placer:
    placer_settings = placementsettings.PlacerSettings()
    decisions = rollout.Rollout(
        pool.desired_state(1, NEW), settings, placer_settings.flight_s, random.Random(seed), 0.0
    )
    lease = leases.LeaseHolder(
        table, pool.clock, "pool", "n1", placer_settings.term_s, placer_settings.flight_s
    )
    client = virtualengines.VirtualEngineClient(pool.clock, pool.engine_by_name.values())
    return placer.Placer(
        lease, decisions, client, lambda: True, lambda: 1, placer_settings, pool.clock
    )


@click.command()
@click.option("--seeds", default=3, help="Runs of each setting.")
def main(seeds: int) -> None:
    """Print the time to converge for several load rates, for 9 and 600 replicas."""
    print("replicas loads/s at_once seconds fewest floor out_of_service_s cut writes")
    for count in (9, 600):
        for loads_per_s, at_once in ((0.05, 2), (0.2, 4), (0.2, 8), (0.5, 20), (2.0, 80)):
            _print_row(count, loads_per_s, at_once, seeds)
    _print_second_changes(seed=1)


def _print_second_changes(seed: int) -> None:
    print("a second change after 300 s: replicas, waits for the first, seconds")
    load_rate = placementsettings.LoadRateSettings(loads_per_s=0.5, max_loading=20)
    settings = placementsettings.PlacementSettings(load_rate=load_rate)
    for count in (9, 600):
        for waits in (True, False):
            result = run(count, settings, seed, SecondChange(300.0, waits))
            print(count, waits, round(result.seconds), result.fewest_serving, result.streams_cut)


def _print_row(count: int, loads_per_s: float, at_once: int, seeds: int) -> None:
    load_rate = placementsettings.LoadRateSettings(loads_per_s=loads_per_s, max_loading=at_once)
    settings = placementsettings.PlacementSettings(load_rate=load_rate)
    results = [run(count, settings, seed) for seed in range(1, seeds + 1)]
    seconds = [result.seconds for result in results]
    fewest = min(result.fewest_serving for result in results)
    missing = max(result.replica_seconds for result in results) / count
    cut = sum(result.streams_cut for result in results)
    writes = max(result.writes for result in results)
    floor = changegate.floor_count(settings.floor, count)
    print(
        f"{count:8} {loads_per_s:7} {at_once:7} {min(seconds):.0f}-{max(seconds):.0f}"
        f" {fewest} {floor} {missing:.0f} {cut} {writes}"
    )


if __name__ == "__main__":
    main()
