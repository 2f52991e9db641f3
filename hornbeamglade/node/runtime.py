"""The components of one node that its request handlers share."""

import dataclasses
import threading

from hornbeamglade.configuration import follower
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.grants import grantacquirer, schedulerset
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.node import (
    crashchecks,
    deadlines,
    inflight,
    onceonly,
    replicacatalog,
    siteview,
)
from hornbeamglade.observability import metrics
from hornbeamglade.quarantine import requestquarantine
from hornbeamglade.retries import budget


class Views:
    """The site view that requests are checked against, derived once per revision.

    Explanation
    ===========

    A revision is published only after limits, schedulers and replicas were configured for
    it. Guards requests that arrive in between: their team would be known to the view but
    unknown to the limits, and the caller would get an internal error.

    :param source: the configuration's follower.
    """

    def __init__(self, source: follower.Follower) -> None:
        self._source = source
        self._view: siteview.SiteView | None = None

    def current(self) -> siteview.SiteView | outcomes.Refusal:
        """Return the published view, or the refusal of a node without one."""
        view = self._view
        return siteview.not_ready(self._source.readiness.value) if view is None else view

    def unpublished(self) -> siteview.SiteView | None:
        """Derive the view of a revision that is newer than the published one, if any."""
        in_force = self._source.active()
        if in_force is None:
            return None
        if self._view is not None and self._view.revision >= in_force.revision.number:
            return None
        return siteview.derive(in_force)

    def publish(self, view: siteview.SiteView) -> None:
        """Use ``view`` for requests from now on."""
        self._view = view


class Budgets:
    """Retry budgets by service."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._budget_by_service: dict[str, budget.RetryBudget] = {}

    def requested(self, service: str) -> None:
        """Record a request's first attempt."""
        with self._lock:
            self._budget(service).record_request()

    def spend(self, service: str, *, repeatable: bool) -> bool:
        """Take one retry from the budget, if permitted."""
        with self._lock:
            return self._budget(service).spend(repeatable=repeatable)

    def _budget(self, service: str) -> budget.RetryBudget:
        default = budget.RetryBudget(budget.RetrySettings())
        return self._budget_by_service.setdefault(service, default)


@dataclasses.dataclass(frozen=True, slots=True)
class Runtime:
    """The components that handlers need, created by the daemon.

    :param clock: the node's clock.
    :param views: the active configuration.
    :param catalog: the state of the known replicas.
    :param schedulers: this node's schedulers.
    :param acquirer: acquires grants.
    :param once: claims requests that are not repeatable.
    :param in_flight: limits on requests in flight.
    :param budgets: retry budgets.
    :param lengths: the learned distributions of response lengths.
    :param metrics: the node's metrics.
    :param deadlines: ends requests whose deadline has passed.
    :param quarantine: refuses requests that crash their replicas.
    :param crashes: checks which lost runs were ended by a crash.
    """

    clock: clocks.Clock
    views: Views
    catalog: replicacatalog.ReplicaCatalog
    schedulers: schedulerset.SchedulerSet
    acquirer: grantacquirer.GrantAcquirer
    once: onceonly.OnceOnly
    in_flight: inflight.InFlight
    budgets: Budgets
    lengths: lengthmodel.LengthModel
    metrics: metrics.NodeMetrics
    deadlines: deadlines.Deadlines
    quarantine: requestquarantine.RequestQuarantine
    crashes: crashchecks.CrashChecks
