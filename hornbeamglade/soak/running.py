"""One seed of a soak, from the start of its processes to the verdict."""

import collections
import dataclasses
import pathlib
import threading
import time

from hornbeamglade.core import codederrors
from hornbeamglade.observability import logs
from hornbeamglade.soak import checks, crew, plan, stage

SETTLE_S = 25.0
"""Callers wait for an answer no longer than this, and the instances' own bounds are
shorter."""

BACK_S = 30.0
"""The bound on the wait for all to serve again; it only ends a wait in vain."""

POLL_S = 0.2


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What came of one seed.

    :param seed: the seed.
    :param faults: what was done, in order.
    :param requests: how many requests callers sent.
    :param count_by_status: answers by status; 0 for none.
    :param broken: promises that were not kept.
    """

    seed: int
    faults: tuple[str, ...]
    requests: int
    count_by_status: dict[int, int]
    broken: tuple[checks.Broken, ...]


def run(seed: int, seconds: float, folder: pathlib.Path) -> Verdict:
    """Play one seed.

    :param seconds: how long faults begin.
    :param folder: for the processes' files; what failed is looked into there.
    """
    hit = stage.Stage(seed, folder)
    try:
        with hit.site:
            hit.site.configure(hit.keys_by_team)
            hit.site.start_instances()
            return _play(hit, plan.make(seed, seconds))
    finally:
        hit.links.close()


def _play(hit: stage.Stage, planned: tuple[plan.Planned, ...]) -> Verdict:
    callers = crew.Crew(hit)
    callers.start()
    began_at = time.monotonic()
    tasks = [
        threading.Thread(target=_inflict, args=(hit, each, began_at), daemon=True)
        for each in planned
    ]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()
    found = list(_not_back(hit))
    if not callers.stop(SETTLE_S):
        found.append(checks.Broken("every_request_ends", "", "a caller still waits"))
    found += _ended_by_themselves(hit)
    seen = callers.seen()
    found += checks.broken(
        checks.Evidence(
            seen,
            hit.site.ledger(),
            hit.history(),
            hit.taken_at_by_key,
            hit.given_at_by_key,
            tuple(hit.evacuated),
            tuple(hit.limited),
            hit.site.shape.events,
        )
    )
    count_by_status = collections.Counter(each.status or 0 for each in seen)
    told = tuple(f"{each.at_s:g} {each.fault.what} {each.fault.where}" for each in planned)
    return Verdict(hit.seed, told, len(seen), dict(count_by_status), tuple(found))


def _inflict(hit: stage.Stage, planned: plan.Planned, began_at: float) -> None:
    """Let one fault happen at its time, and end."""
    fault = planned.fault
    time.sleep(max(0.0, began_at + planned.at_s - time.monotonic()))
    hit.begin(fault.what, fault.where)
    try:
        fault.begin(hit)
        time.sleep(planned.for_s)
        fault.end(hit)
    except (codederrors.CodedError, OSError) as error:
        # A stand-in that another fault has hit cannot be told anything now.
        logs.failed(f"soak:{fault.what}", error)
    finally:
        hit.end(fault.what, fault.where)


def _not_back(hit: stage.Stage):
    """Return the instances that do not take callers again after the last fault."""
    until = time.monotonic() + BACK_S
    waiting = set(hit.site.instance_names)
    while waiting and time.monotonic() < until:
        waiting = {name for name in waiting if not hit.site.is_ready(name)}
        time.sleep(POLL_S)
    for name in sorted(waiting):
        yield checks.Broken("serves_again", "", name)


def _ended_by_themselves(hit: stage.Stage):
    """Return the instances whose process is gone though nobody ended it."""
    for name in hit.site.instance_names:
        child = hit.site.child_by_name[name]
        if child.ended():
            yield checks.Broken("stays_up", "", f"{name}: exit code {child.exit_code}")
