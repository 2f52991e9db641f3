"""One seed of a soak, from the start of its processes to the verdict."""

import collections
import dataclasses
import pathlib
import threading
import time

from hornbeamglade.core import codederrors
from hornbeamglade.observability import logs
from hornbeamglade.soak import callerpool, checks, plan, soaksite

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
    violations: tuple[checks.Violation, ...]


def run(seed: int, seconds: float, folder: pathlib.Path) -> Verdict:
    """Play one seed.

    :param seconds: how long faults begin.
    :param folder: for the processes' files; what failed is looked into there.
    """
    soak_site = soaksite.SoakSite(seed, folder)
    try:
        with soak_site.site:
            soak_site.site.configure(soak_site.keys_by_team)
            soak_site.site.start_instances()
            return _play(soak_site, plan.make(seed, seconds))
    finally:
        soak_site.links.close()


def _play(soak_site: soaksite.SoakSite, planned: tuple[plan.Planned, ...]) -> Verdict:
    callers = callerpool.CallerPool(soak_site)
    callers.start()
    began_at = time.monotonic()
    tasks = [
        threading.Thread(target=_inflict, args=(soak_site, each, began_at), daemon=True)
        for each in planned
    ]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()
    found = list(_not_back(soak_site))
    if not callers.stop(SETTLE_S):
        found.append(checks.Violation("every_request_ends", "", "a caller still waits"))
    found += _ended_by_themselves(soak_site)
    seen = callers.seen()
    found += checks.violations(
        checks.Evidence(
            seen,
            soak_site.site.ledger(),
            soak_site.history(),
            soak_site.revoked_at_by_key,
            soak_site.issued_at_by_key,
            tuple(soak_site.evacuated),
            tuple(soak_site.limited),
            soak_site.site.shape.events,
        )
    )
    count_by_status = collections.Counter(each.status or 0 for each in seen)
    told = tuple(f"{each.at_s:g} {each.fault.what} {each.fault.where}" for each in planned)
    return Verdict(soak_site.seed, told, len(seen), dict(count_by_status), tuple(found))


def _inflict(soak_site: soaksite.SoakSite, planned: plan.Planned, began_at: float) -> None:
    """Let one fault happen at its time, and end."""
    fault = planned.fault
    time.sleep(max(0.0, began_at + planned.at_s - time.monotonic()))
    soak_site.begin(fault.what, fault.where)
    try:
        fault.begin(soak_site)
        time.sleep(planned.for_s)
        fault.end(soak_site)
    except (codederrors.CodedError, OSError) as error:
        # A stand-in that another fault has hit cannot be told anything now.
        logs.log_internal_error(f"soak:{fault.what}", error)
    finally:
        soak_site.end(fault.what, fault.where)


def _not_back(soak_site: soaksite.SoakSite):
    """Return the instances that do not take callers again after the last fault."""
    until = time.monotonic() + BACK_S
    waiting = set(soak_site.site.instance_names)
    while waiting and time.monotonic() < until:
        waiting = {name for name in waiting if not soak_site.site.is_ready(name)}
        time.sleep(POLL_S)
    for name in sorted(waiting):
        yield checks.Violation("serves_again", "", name)


def _ended_by_themselves(soak_site: soaksite.SoakSite):
    """Return the instances whose process is gone though nobody ended it."""
    for name in soak_site.site.instance_names:
        child = soak_site.site.child_by_name[name]
        if child.ended():
            yield checks.Violation("stays_up", "", f"{name}: exit code {child.exit_code}")
