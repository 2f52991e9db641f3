"""What streamed answers work with."""

import collections.abc
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.grants import asyncgrantacquirer
from hornbeamglade.observability import metrics
from hornbeamglade.quarantine import crashdetector, requestquarantine
from hornbeamglade.routed import (
    enginecatalog,
    migration,
    ratelimitqueue,
    retrybudget,
    runregistry,
    sending,
    tokentimes,
)


@dataclasses.dataclass(frozen=True, slots=True)
class RunDependencies:
    """What streamed answers work with.

    :param sender: sends attempts.
    :param acquirer: asks for room at engines.
    :param catalog: the engines that there are.
    :param moves: what moves work with.
    :param registry: which run is where.
    :param budgets: bounds what is sent again.
    :param crashes: finds out which lost runs were ended by a crash.
    :param quarantine: refuses requests that crash their replicas.
    :param learn: told the length of each answer: route, team, tokens, whether it was cut.
    :param pace: learns how long a token takes.
    :param metrics: the node's instruments.
    :param turns: requests that wait for a turn at engines with limits.
    :param clock: monotonic time.
    """

    sender: sending.Sender
    acquirer: asyncgrantacquirer.AsyncGrantAcquirer
    catalog: enginecatalog.EngineCatalog
    migration_dependencies: migration.MigrationDependencies
    registry: runregistry.RunRegistry
    budgets: retrybudget.RetryBudgets
    crash_detector: crashdetector.CrashDetector
    quarantine: requestquarantine.RequestQuarantine
    record_length: collections.abc.Callable[[str, str, int, bool], None]
    token_times: tokentimes.TokenTimes
    metrics: metrics.NodeMetrics
    rate_limit_queue: ratelimitqueue.RateLimitQueue
    clock: clocks.Clock
