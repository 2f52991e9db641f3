"""Runs one seed of a soak test, from the start of its processes to the verdict."""

import collections
import dataclasses
import pathlib
import threading
import time

from hornbeamglade.core import codederrors
from hornbeamglade.observability import logs
from hornbeamglade.soak import callerpool, checks, plan, soaksite

CALLER_TIMEOUT_S = 25.0
"""Callers wait for a response no longer than this; the instances' own timeouts are shorter."""

RECOVERY_TIMEOUT_S = 30.0
"""Timeout of the wait for all instances to serve again; it only ends an endless wait."""

POLL_S = 0.2


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The result of one seed.

    :param seed: the seed.
    :param faults: the injected faults, in order.
    :param requests: number of requests that callers sent.
    :param count_by_status: number of responses by status; 0 for no response.
    :param violations: violated guarantees.
    """

    seed: int
    faults: tuple[str, ...]
    requests: int
    count_by_status: dict[int, int]
    violations: tuple[checks.Violation, ...]


def run(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    kinds: tuple[plan.FaultFactory, ...] = plan.ALL_KINDS,
    instances: int = 3,
) -> Verdict:
    """Run one seed.

    :param seconds: the period in which faults start.
    :param kinds: the kinds of faults that are drawn.
    :param instances: number of entry instances.
    :param folder: directory for the processes' files, for analysis of failures.
    """
    soak_site = soaksite.SoakSite(seed, folder, instances)
    try:
        with soak_site.site:
            soak_site.site.configure(soak_site.keys_by_team)
            soak_site.site.start_instances()
            return _run_plan(soak_site, plan.make(seed, seconds, kinds))
    finally:
        soak_site.links.close()


def _run_plan(soak_site: soaksite.SoakSite, planned: tuple[plan.Planned, ...]) -> Verdict:
    callers = callerpool.CallerPool(soak_site)
    callers.start()
    began_at = time.monotonic()
    tasks = [
        threading.Thread(target=_inject, args=(soak_site, each, began_at), daemon=True)
        for each in planned
    ]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()
    found = list(_not_recovered(soak_site))
    if not callers.stop(CALLER_TIMEOUT_S):
        found.append(checks.Violation("every_request_ends", "", "a caller still waits"))
    found += _crashed_instances(soak_site)
    found += _oversized_instances(soak_site)
    results = (*callers.results(), *soak_site.extra_results)
    found += checks.violations(
        checks.Evidence(
            results,
            soak_site.site.ledger(),
            soak_site.site.refusals(),
            soak_site.history(),
            soak_site.revoked_at_by_key,
            soak_site.issued_at_by_key,
            tuple(soak_site.evacuated),
            tuple(soak_site.limited),
            {soak_site.site.callers_address(name): name for name in soak_site.site.instance_names},
            soak_site.site.shape.events,
            soak_site.site.continuations(),
        )
    )
    count_by_status = collections.Counter(each.status or 0 for each in results)
    fault_names = tuple(
        f"{each.at_s:g} {each.fault.name} {each.fault.component}" for each in planned
    )
    return Verdict(soak_site.seed, fault_names, len(results), dict(count_by_status), tuple(found))


def _inject(soak_site: soaksite.SoakSite, planned: plan.Planned, began_at: float) -> None:
    """Start one fault at its planned time, and end it."""
    fault = planned.fault
    time.sleep(max(0.0, began_at + planned.at_s - time.monotonic()))
    soak_site.begin(fault.name, fault.component)
    try:
        fault.begin(soak_site)
        time.sleep(planned.for_s)
        fault.end(soak_site)
    except (codederrors.CodedError, OSError) as error:
        # A stand-in with another active fault may be unable to receive commands.
        logs.log_internal_error(f"soak:{fault.name}", error)
    finally:
        soak_site.end(fault.name, fault.component)


def _not_recovered(soak_site: soaksite.SoakSite):
    """Yield the instances that do not accept callers again after the last fault."""
    until = time.monotonic() + RECOVERY_TIMEOUT_S
    waiting = set(soak_site.site.instance_names)
    while waiting and time.monotonic() < until:
        waiting = {name for name in waiting if not soak_site.site.is_ready(name)}
        time.sleep(POLL_S)
    for name in sorted(waiting):
        yield checks.Violation("serves_again", "", name)


def _crashed_instances(soak_site: soaksite.SoakSite):
    """Yield the instances whose process ended though it was not stopped."""
    for name in soak_site.site.instance_names:
        child = soak_site.site.child_by_name[name]
        if child.ended():
            yield checks.Violation("stays_up", "", f"{name}: exit code {child.exit_code}")


def _oversized_instances(soak_site: soaksite.SoakSite):
    """Yield the instances whose process took more memory than its machine has."""
    for name in soak_site.site.instance_names:
        child = soak_site.site.child_by_name[name]
        peak_mb = 0.0 if child.ended() else child.peak_resident_bytes() / 1_000_000
        if peak_mb > soaksite.MEMORY_MB:
            yield checks.Violation("stays_within_memory", "", f"{name}: {peak_mb:.0f} MB")
