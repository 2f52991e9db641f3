"""Dependencies shared by all streamed runs of a node."""

import collections.abc
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.grants import asyncgrantacquirer
from hornbeamglade.observability import metrics
from hornbeamglade.origins import streamorigins
from hornbeamglade.quarantine import crashdetector, partquarantine, requestquarantine
from hornbeamglade.routed import (
    drainadmission,
    endinquiry,
    enginecatalog,
    migration,
    ratelimitqueue,
    retrybudget,
    runregistry,
    sending,
    tokentimes,
)
from hornbeamglade.speeds import enginespeeds


@dataclasses.dataclass(frozen=True, slots=True)
class RunDependencies:
    """Dependencies shared by all streamed runs of a node.

    :param sender: sends attempts.
    :param acquirer: acquires grants at engines.
    :param catalog: the known engines.
    :param migration_dependencies: dependencies of migrations.
    :param registry: this node's runs by replica.
    :param budgets: retry budgets by service.
    :param crash_detector: decides which lost runs were ended by a crash.
    :param quarantine: refuses requests that crash their replicas.
    :param prompt_parts: finds parts of prompts that crash their replicas.
    :param record_length: called with the length of each answer: route, team, tokens and
        whether the answer was truncated.
    :param token_times: estimates the time per token.
    :param metrics: the node's metrics.
    :param rate_limit_queue: requests that wait for engines with rate limits.
    :param clock: monotonic time.
    :param speeds: the paces of engines.
    :param learned_length: returns the mean tokens of the answers of a route and team.
    :param origins: the software versions at which streams began.
    :param drain_admission: decides which requests are sent during a planned stop.
    :param ends: decides whether responses without a stated end are complete.
    """

    sender: sending.Sender
    acquirer: asyncgrantacquirer.AsyncGrantAcquirer
    catalog: enginecatalog.EngineCatalog
    migration_dependencies: migration.MigrationDependencies
    registry: runregistry.RunRegistry
    budgets: retrybudget.RetryBudgets
    crash_detector: crashdetector.CrashDetector
    quarantine: requestquarantine.RequestQuarantine
    prompt_parts: partquarantine.PartQuarantine
    record_length: collections.abc.Callable[[str, str, int, bool], None]
    token_times: tokentimes.TokenTimes
    metrics: metrics.NodeMetrics
    rate_limit_queue: ratelimitqueue.RateLimitQueue
    clock: clocks.Clock
    speeds: enginespeeds.EngineSpeeds
    learned_length: collections.abc.Callable[[str, str], float]
    origins: streamorigins.StreamOrigins
    drain_admission: drainadmission.DrainAdmission
    ends: endinquiry.EndInquiry
