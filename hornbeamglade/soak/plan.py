"""The plan of a seed: its faults, their times and durations."""

import collections.abc
import dataclasses
import random
import signal

from hornbeamglade.localsite import routedsite, tcpproxy
from hornbeamglade.soak import callerfaults, enginefaults, faults, soaksite
from hornbeamglade.standins import crowds, disturbances, endlessresponses, routedfaults

FAULT_FREE_S = 1.0
"""Time without faults at the start."""

MEAN_INTERVAL_S = 0.7
"""Mean time between the starts of two faults: as most faults last 0.3 to 3 seconds, several
overlap."""

MAX_DURATION_S = 3.0
MAX_IMPAIRED_INSTANCES = 1
"""Maximum number of instances, of three, that have a fault at once, such as a kill, a stop or a
pause: some have to be left to serve callers. A full outage is a kind of fault of its own."""

INSTANCES = tuple(f"entry-{number}" for number in range(3))
ENGINES = tuple(f"engine-{number}" for number in range(3))
SERVICES = tuple(f"service-{number}" for number in range(2))
ALL_SERVICES = "services"
ALL_ENGINES = "engines"
ALL_INSTANCES = "instances"
EXTRA_CALLERS = "callers"
VERSIONS = ("v1", "v1.1", "v1.10")
STATUSES_AFTER_RUN = (408, 429, 503)
MAX_BROKEN_AT = 260
"""More than the head of a response: some break off within their first events."""

LINKS = ("store", *ENGINES, *SERVICES)
INVALID_ENTRIES = (
    "",
    "[]",
    "{",
    '{"service":"llm","address":"127.0.0.1:9","slots":"4"}',
    "\x00\x1f",
)
SERVER_FAULTS = (
    "refuse",
    "fail",
    "unproved",
    "stray",
    "extra",
    "unframed",
    "torn",
    "reset",
    "hang",
)

FaultFactory = collections.abc.Callable[[random.Random], faults.Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """A planned fault.

    :param at_s: its start, in seconds after the start of the run.
    :param for_s: its duration in seconds.
    :param fault: the fault.
    """

    at_s: float
    for_s: float
    fault: faults.Fault

    @property
    def ends_at_s(self) -> float:
        """Its end, in seconds after the start of the run."""
        return self.at_s + self.fault.begin_duration_s + self.for_s


def _choose(kind: type[faults.Fault], parts: collections.abc.Sequence[str]) -> FaultFactory:
    return lambda rng: kind(rng.choice(parts))


def _partition(rng: random.Random) -> faults.Fault:
    component = faults.LINKS_OF + rng.choice(INSTANCES)
    return faults.InstancePartitioned(component, rng.choice(tuple(tcpproxy.Partition)))


def _status_after_run(rng: random.Random) -> faults.Fault:
    status = rng.choice(STATUSES_AFTER_RUN)
    return faults.StatusAfterRun(rng.choice(ENGINES + SERVICES), status)


KINDS: tuple[FaultFactory, ...] = (
    _choose(faults.InstanceKilled, INSTANCES),
    _choose(faults.InstanceStopped, INSTANCES),
    _choose(faults.InstancePaused, INSTANCES),
    _choose(faults.InstanceReloaded, INSTANCES),
    lambda rng: faults.ClockMoved(rng.choice(INSTANCES), rng.choice((-45.0, -2.0, 2.0, 45.0))),
    _choose(faults.ServerKilled, ENGINES),
    _choose(faults.ServerLeaves, ENGINES),
    _choose(faults.ServerPaused, ENGINES),
    _choose(faults.ServerStartsAgain, ENGINES),
    _choose(faults.ServerStartsAgain, SERVICES),
    lambda rng: faults.EntryOverwritten(
        rng.choice(ENGINES + SERVICES), rng.choice(INVALID_ENTRIES)
    ),
    _choose(faults.ServerKilled, SERVICES),
    _choose(faults.ServerLeaves, SERVICES),
    lambda rng: faults.ServerMisbehaves(rng.choice(SERVICES), rng.choice(SERVER_FAULTS)),
    lambda rng: faults.StoreFails("store", "down", True),
    lambda rng: faults.StoreFails("store", "delay_s", 0.4),
    lambda rng: faults.StoreFails("store", "lose_answers", True),
    lambda rng: faults.StoreComesBack("store"),
    _choose(faults.ServerLimited, SERVICES),
    _choose(faults.ServerStatesLeaving, ENGINES + SERVICES),
    _choose(faults.ServerRefuses, ENGINES + SERVICES),
    lambda rng: faults.RequestCrashesServers(ALL_SERVICES),
    _choose(faults.DomainEvacuated, routedsite.DOMAINS),
    _choose(faults.LinkReset, LINKS),
    _choose(faults.LinkDelayed, LINKS),
    _choose(faults.AnswersHeld, LINKS),
    _choose(faults.RequestsHeld, LINKS),
    _choose(faults.LinkSilent, LINKS),
)


def _replacement(rng: random.Random) -> faults.Fault:
    return faults.ServerReplaced(rng.choice(ENGINES), rng.choice(VERSIONS))


LOAD_KINDS: tuple[FaultFactory, ...] = (
    _choose(faults.MachineBusy, ENGINES + SERVICES),
    _choose(enginefaults.MemoryShrinks, ENGINES),
    lambda rng: callerfaults.CallersSurge(EXTRA_CALLERS),
    lambda rng: callerfaults.CallersReadSlowly(ALL_SERVICES),
    _choose(faults.ServerLeaves, ENGINES),
)
"""Slow machines, scarce memory, surges, slow readers and departing engines."""

REFUSAL_KINDS: tuple[FaultFactory, ...] = (
    *3 * (_status_after_run,),
    _choose(faults.ServerRefuses, ENGINES + SERVICES),
    _choose(faults.ServerLeaves, ENGINES),
    _choose(faults.InstanceStopped, INSTANCES),
    lambda rng: faults.ServerMisbehaves(rng.choice(SERVICES), "hang"),
    lambda rng: faults.RequestCrashesServers(ALL_SERVICES),
    lambda rng: callerfaults.CallersSurge(EXTRA_CALLERS),
    _partition,
)
"""Kinds that lead to refusals on all paths: responses, streams, tunnels, migrations, deadlines,
stopping instances and quarantine."""


def _without_end(rng: random.Random) -> faults.Fault:
    component = rng.choice(ENGINES + SERVICES)
    return faults.ServerSendsWithoutEnd(component, rng.choice(tuple(endlessresponses.PARTS)))


STRAY_KINDS: tuple[FaultFactory, ...] = (
    *3 * (_choose(faults.ServerRefusesLate, ENGINES + SERVICES),),
    *2 * (_without_end,),
    *3 * (_choose(enginefaults.EngineIgnoresStops, ENGINES),),
    _choose(faults.ServerRefuses, ENGINES + SERVICES),
    _choose(faults.InstancePaused, INSTANCES),
    _choose(faults.InstanceStopped, INSTANCES),
    _choose(faults.LinkReset, ENGINES),
    _partition,
)
"""Bytes that belong to no request, and what else could make a request run a second time."""


def _broken_off(rng: random.Random) -> faults.Fault:
    followed_by = rng.choice(("", *(each.value for each in disturbances.Stray)))
    broken_at = rng.randrange(1, MAX_BROKEN_AT)
    return faults.ResponsesBreakOff(rng.choice(ENGINES + SERVICES), broken_at, followed_by)


BROKEN_KINDS: tuple[FaultFactory, ...] = (*5 * (_broken_off,), *STRAY_KINDS)
"""Responses that break off, and may run into another one on the same connection."""


def _taken_over(rng: random.Random) -> faults.Fault:
    ended_by = rng.choice((signal.SIGKILL, signal.SIGTERM))
    return faults.AddressTakenOver(rng.choice(ENGINES + SERVICES), ended_by)


TAKEOVER_KINDS: tuple[FaultFactory, ...] = (
    *8 * (_taken_over,),
    *2 * (_choose(faults.InstancePaused, INSTANCES),),
    _choose(faults.InstanceStopped, INSTANCES),
    lambda rng: faults.ServerMisbehaves(rng.choice(SERVICES), rng.choice(("reset", "hang"))),
    _choose(faults.AnswersHeld, ENGINES + SERVICES),
)
"""Servers that take over an address, beside instances that stand still and answers that are
lost."""

CROWD_FACTORIES: tuple[collections.abc.Callable[[], crowds.Crowd], ...] = (
    lambda: crowds.RequestsAhead(target="/none/1"),
    lambda: crowds.RequestsAheadRead(target="/none/1"),
    crowds.IdleConnections,
    crowds.EmptyLines,
    crowds.EndlessHeads,
    crowds.PartialBodies,
)
"""Crowds of which no request reaches a server."""

LISTENERS = ("callers", "readiness", "directory", "control")


def _crowd(rng: random.Random) -> faults.Fault:
    component = callerfaults.CROWD_AT + rng.choice(INSTANCES)
    return callerfaults.CrowdPresses(
        component, rng.choice(LISTENERS), rng.choice(CROWD_FACTORIES)()
    )


CROWD_KINDS: tuple[FaultFactory, ...] = (
    *4 * (_crowd,),
    _choose(faults.InstanceStopped, INSTANCES),
    _choose(faults.InstancePaused, INSTANCES),
    _choose(faults.ServerLeaves, ENGINES),
    _partition,
    lambda rng: faults.StoreFails("store", "down", True),
    lambda rng: callerfaults.CallersReadSlowly(ALL_SERVICES),
)
"""Crowds of misbehaving callers, beside stops, pauses, relayed requests and outages of the
store."""


def _closed_streams(rng: random.Random) -> faults.Fault:
    stop_reply = rng.choice((None, *routedfaults.StopReply))
    return enginefaults.EngineClosesStreams(rng.choice(ENGINES), stop_reply)


ENDS_KINDS: tuple[FaultFactory, ...] = (
    *6 * (_closed_streams,),
    _choose(faults.ServerLeaves, SERVICES),
    lambda rng: faults.ServerMisbehaves(rng.choice(SERVICES), "unframed"),
    _choose(faults.InstancePaused, INSTANCES),
    _choose(faults.InstanceStopped, INSTANCES),
    _partition,
)
"""Streams that only the ends of connections end, of engines that leave."""


def _leave_in_turn(rng: random.Random) -> faults.Fault:
    return enginefaults.EnginesLeaveInTurn(ALL_ENGINES, *rng.sample(ENGINES, 2))


CROSSING_KINDS: tuple[FaultFactory, ...] = (
    *2 * (_choose(enginefaults.EnginePreempts, ENGINES),),
    *2 * (_choose(enginefaults.EngineWorksOn, ENGINES),),
    _leave_in_turn,
    *2 * (_choose(enginefaults.ServerKilledWithinResponse, SERVICES),),
    _choose(enginefaults.EngineIgnoresStops, ENGINES),
    _closed_streams,
    _broken_off,
    *3 * (_choose(faults.InstanceStopped, INSTANCES),),
    _choose(faults.AllInstancesStopped, (ALL_INSTANCES,)),
    _choose(faults.InstancePaused, INSTANCES),
    _partition,
    *2 * (lambda rng: faults.StoreFails("store", "down", True),),
)
"""What servers do in the moments that have cost most: a planned stop of one or all instances, a
move of the run, an instance out of step, and an outage of the store."""

ALL_KINDS: tuple[FaultFactory, ...] = (
    *KINDS,
    *2 * (_partition,),
    lambda rng: faults.ServersTolerateFew(ALL_SERVICES),
    *LOAD_KINDS,
    _status_after_run,
    *2 * (_replacement,),
    _choose(enginefaults.PartCrashesEngines, (ALL_ENGINES,)),
    _choose(faults.ServerRefusesLate, ENGINES + SERVICES),
    _without_end,
    _choose(enginefaults.EngineIgnoresStops, ENGINES),
    _broken_off,
    _choose(faults.AllInstancesKilled, (ALL_INSTANCES,)),
    _choose(faults.ServerStopsInOrder, ENGINES + SERVICES),
    _taken_over,
    _crowd,
    _closed_streams,
    _choose(enginefaults.EnginePreempts, ENGINES),
    _choose(enginefaults.EngineWorksOn, ENGINES),
    _leave_in_turn,
    _choose(enginefaults.ServerKilledWithinResponse, SERVICES),
    _choose(faults.AllInstancesStopped, (ALL_INSTANCES,)),
)
"""The kinds that are drawn by default. :data:`KINDS` keeps the plans of former seeds."""

VERSION_KINDS: tuple[FaultFactory, ...] = (
    *4 * (_replacement,),
    *2 * (_choose(faults.ServerKilled, ENGINES),),
    _choose(faults.ServerStartsAgain, ENGINES),
    _choose(faults.ServerLeaves, ENGINES),
    *2 * (_choose(faults.InstanceKilled, INSTANCES),),
    _choose(faults.InstanceStopped, INSTANCES),
    _choose(faults.InstancePaused, INSTANCES),
    _choose(faults.LinkReset, ENGINES),
    lambda rng: faults.StoreFails("store", "down", True),
)
"""Releases with crashes, and callers that take streams up at other instances."""

OUTAGE_KINDS: tuple[FaultFactory, ...] = (
    *3 * (_choose(faults.AllInstancesKilled, (ALL_INSTANCES,)),),
    *VERSION_KINDS,
)
"""The same, with the loss of all instances at once."""

PART_KINDS: tuple[FaultFactory, ...] = (
    *4 * (_choose(enginefaults.PartCrashesEngines, (ALL_ENGINES,)),),
    _choose(faults.InstanceKilled, INSTANCES),
    *2 * (_choose(faults.ServerLeaves, SERVICES),),
    *2 * (lambda rng: callerfaults.CallersSurge(EXTRA_CALLERS),),
    _choose(faults.LinkReset, SERVICES),
)
"""Requests that crash engines by a part of their prompts, with sound ones in the batches; few
faults excuse an instance."""

REACHABILITY_KINDS: tuple[FaultFactory, ...] = (
    *2 * (_partition,),
    lambda rng: faults.ServersTolerateFew(ALL_SERVICES),
    _choose(faults.ServerPaused, ENGINES),
    _choose(faults.ServerKilled, ENGINES),
    _choose(faults.ServerLeaves, ENGINES),
    _choose(faults.LinkSilent, (*ENGINES, *SERVICES)),
)
"""Kinds of which none excuses an instance that does not serve."""


def make(
    seed: int, seconds: float, kinds: tuple[FaultFactory, ...] = ALL_KINDS
) -> tuple[Planned, ...]:
    """Return the plan of a seed; it is always the same for one seed.

    Explanation
    ===========

    No component has two faults at once, and at least two of the three instances have none, or all
    of them are lost together.
    Keys are revoked and issued in between, each once.

    Examples
    ========

    >>> [each.at_s for each in make(3, 5.0, KINDS)]
    [1.69, 1.7]
    """
    rng = random.Random(seed)
    keys = _key_changes(rng)
    planned: list[Planned] = []
    at_s = FAULT_FREE_S
    while True:
        at_s += rng.expovariate(1 / MEAN_INTERVAL_S)
        if at_s >= seconds:
            return tuple(planned)
        if rng.random() < 0.15 and keys:
            planned.append(Planned(round(at_s, 2), 0.0, keys.pop()))
            continue
        for_s = rng.uniform(0.3, MAX_DURATION_S)
        fault = rng.choice(kinds)(rng)
        each = Planned(round(at_s, 2), round(for_s + fault.extra_duration_s, 2), fault)
        if _is_allowed(each, planned):
            planned.append(each)


def _key_changes(rng: random.Random) -> list[faults.Fault]:
    """Return the key changes: the last key of each team is revoked and a new one issued."""
    changes: list[faults.Fault] = []
    for team in soaksite.TEAMS:
        changes.append(faults.KeyTaken(f"{team}-{soaksite.KEYS_PER_TEAM - 1}"))
        changes.append(faults.KeyGiven(f"{team}-{soaksite.KEYS_PER_TEAM}"))
    rng.shuffle(changes)
    return changes


def _is_allowed(candidate: Planned, planned: collections.abc.Iterable[Planned]) -> bool:
    overlapping = [each for each in planned if each.ends_at_s + 0.5 > candidate.at_s]
    if any(each.fault.component == candidate.fault.component for each in overlapping):
        return False
    if _affects_all_engines(candidate) and any(map(_affects_engines, overlapping)):
        return False
    if _affects_engines(candidate) and any(map(_affects_all_engines, overlapping)):
        return False
    if _affects_all_services(candidate) and any(map(_affects_services, overlapping)):
        return False
    if _affects_services(candidate) and any(map(_affects_all_services, overlapping)):
        return False
    if candidate.fault.component in routedsite.DOMAINS:
        # The two failure domains together contain all plain services.
        return all(each.fault.component not in routedsite.DOMAINS for each in overlapping)
    impaired = {each.fault.component for each in overlapping} & {*INSTANCES, ALL_INSTANCES}
    if candidate.fault.component == ALL_INSTANCES or ALL_INSTANCES in impaired:
        return candidate.fault.component not in (*INSTANCES, ALL_INSTANCES) or not impaired
    return candidate.fault.component not in INSTANCES or len(impaired) < MAX_IMPAIRED_INSTANCES


def _affects_services(planned: Planned) -> bool:
    component = planned.fault.component
    return component in SERVICES or component in routedsite.DOMAINS or component == ALL_SERVICES


def _affects_engines(planned: Planned) -> bool:
    return planned.fault.component in (*ENGINES, ALL_ENGINES)


def _affects_all_engines(planned: Planned) -> bool:
    return planned.fault.component == ALL_ENGINES


def _affects_all_services(planned: Planned) -> bool:
    return planned.fault.component == ALL_SERVICES
