"""Which faults a seed brings, when, and for how long."""

import collections.abc
import dataclasses
import random

from hornbeamglade.localsite import routedsite
from hornbeamglade.soak import faults, soaksite

CALM_S = 1.0
"""Callers go on so long before the first fault."""

MEAN_PAUSE_S = 0.7
"""Between two beginnings: with faults of a second or three, several overlap."""

LONGEST_S = 3.0
MOST_STOPPED = 1
"""Instances that are killed, stopped or halted at once, of three: some have to be there for
callers to learn anything. All at once is a kind of its own."""

INSTANCES = tuple(f"entry-{number}" for number in range(3))
ENGINES = tuple(f"engine-{number}" for number in range(3))
SERVICES = tuple(f"service-{number}" for number in range(2))
ALL_SERVICES = "services"
LINKS = ("store", *ENGINES, *SERVICES)
FOREIGN = ("", "[]", "{", '{"service":"llm","address":"127.0.0.1:9","slots":"4"}', "\x00\x1f")
WRONGS = ("refuse", "fail", "unproved", "stray", "extra", "unframed", "torn", "reset", "hang")

Make = collections.abc.Callable[[random.Random], faults.Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """A fault of the plan.

    :param at_s: seconds after the start at which it begins.
    :param for_s: how long it lasts.
    :param fault: what happens.
    """

    at_s: float
    for_s: float
    fault: faults.Fault


def _one(kind: type[faults.Fault], parts: collections.abc.Sequence[str]) -> Make:
    return lambda rng: kind(rng.choice(parts))


KINDS: tuple[Make, ...] = (
    _one(faults.InstanceKilled, INSTANCES),
    _one(faults.InstanceStopped, INSTANCES),
    _one(faults.InstancePaused, INSTANCES),
    _one(faults.InstanceReloaded, INSTANCES),
    lambda rng: faults.ClockMoved(rng.choice(INSTANCES), rng.choice((-45.0, -2.0, 2.0, 45.0))),
    _one(faults.ServerKilled, ENGINES),
    _one(faults.ServerLeaves, ENGINES),
    _one(faults.ServerPaused, ENGINES),
    _one(faults.ServerStartsAgain, ENGINES),
    _one(faults.ServerStartsAgain, SERVICES),
    lambda rng: faults.EntryOverwritten(rng.choice(ENGINES + SERVICES), rng.choice(FOREIGN)),
    _one(faults.ServerKilled, SERVICES),
    _one(faults.ServerLeaves, SERVICES),
    lambda rng: faults.ServerMisbehaves(rng.choice(SERVICES), rng.choice(WRONGS)),
    lambda rng: faults.StoreFails("store", "down", True),
    lambda rng: faults.StoreFails("store", "delay_s", 0.4),
    lambda rng: faults.StoreFails("store", "lose_answers", True),
    lambda rng: faults.StoreComesBack("store"),
    _one(faults.ServerLimited, SERVICES),
    lambda rng: faults.RequestCrashesServers(ALL_SERVICES),
    _one(faults.DomainEvacuated, routedsite.DOMAINS),
    _one(faults.LinkReset, LINKS),
    _one(faults.LinkDelayed, LINKS),
    _one(faults.AnswersHeld, LINKS),
    _one(faults.RequestsHeld, LINKS),
    _one(faults.LinkSilent, LINKS),
)


def make(seed: int, seconds: float) -> tuple[Planned, ...]:
    """Return the plan of a seed; the same for each run of it.

    Explanation
    ===========

    No part is hit twice at once, and one instance of the three is always left alone. Keys
    are taken and given in between, each once.

    Examples
    ========

    >>> [each.at_s for each in make(3, 5.0)]
    [1.69, 1.7]
    """
    rng = random.Random(seed)
    keys = _key_changes(rng)
    planned: list[Planned] = []
    at_s = CALM_S
    while True:
        at_s += rng.expovariate(1 / MEAN_PAUSE_S)
        if at_s >= seconds:
            return tuple(planned)
        if rng.random() < 0.15 and keys:
            planned.append(Planned(round(at_s, 2), 0.0, keys.pop()))
            continue
        for_s = rng.uniform(0.3, LONGEST_S)
        fault = rng.choice(KINDS)(rng)
        each = Planned(round(at_s, 2), round(for_s + fault.lasts_more_s, 2), fault)
        if _may_begin(each, planned):
            planned.append(each)


def _key_changes(rng: random.Random) -> list[faults.Fault]:
    """Return the changes of keys: the last one of each team is taken, and another given."""
    changes: list[faults.Fault] = []
    for team in soaksite.TEAMS:
        changes.append(faults.KeyTaken(f"{team}-{soaksite.KEYS_A_TEAM - 1}"))
        changes.append(faults.KeyGiven(f"{team}-{soaksite.KEYS_A_TEAM}"))
    rng.shuffle(changes)
    return changes


def _may_begin(one: Planned, planned: collections.abc.Iterable[Planned]) -> bool:
    lasting = [each for each in planned if each.at_s + each.for_s + 0.5 > one.at_s]
    if any(each.fault.where == one.fault.where for each in lasting):
        return False
    if _hits_all_services(one) and any(map(_hits_services, lasting)):
        return False
    if _hits_services(one) and any(map(_hits_all_services, lasting)):
        return False
    if one.fault.where in routedsite.DOMAINS:
        # Two of them hold all plain services.
        return all(each.fault.where not in routedsite.DOMAINS for each in lasting)
    hit_instances = {each.fault.where for each in lasting} & set(INSTANCES)
    return one.fault.where not in INSTANCES or len(hit_instances) < MOST_STOPPED


def _hits_services(planned: Planned) -> bool:
    where = planned.fault.where
    return where in SERVICES or where in routedsite.DOMAINS or where == ALL_SERVICES


def _hits_all_services(planned: Planned) -> bool:
    return planned.fault.where == ALL_SERVICES
