"""Derives the settings of an instance's components from its settings and configuration."""

import hashlib

from hornbeamglade.admission import margincontrol, promptbacklog, replicaadmission
from hornbeamglade.entry import policysettings, settings
from hornbeamglade.exchange import codec
from hornbeamglade.fairness import queuesettings
from hornbeamglade.grants import schedulerset
from hornbeamglade.http1 import buffermemory
from hornbeamglade.node import digestcache
from hornbeamglade.replicas import slowstart
from hornbeamglade.routed import retrybudget
from hornbeamglade.routes import models
from hornbeamglade.routing import candidates


def routing(instance_settings: settings.Settings) -> candidates.RoutingSettings:
    """Return the settings of engine selection."""
    return candidates.RoutingSettings(
        failure_domain=instance_settings.failure_domain,
        usable_s=digestcache.UNKNOWN_AGE_S,
        expected_answer_tokens=instance_settings.policy.expected_answer_tokens,
        samples=instance_settings.policy.compared_engines,
        prefill_tokens_per_s=promptbacklog.PromptSettings().tokens_per_s,
        placement_s=instance_settings.policy.placement_s,
    )


def retry_budget(instance_settings: settings.Settings) -> retrybudget.BudgetSettings:
    """Return the retry budget."""
    return retrybudget.BudgetSettings(
        instance_settings.budget.ratio,
        instance_settings.budget.slack,
        instance_settings.budget.window_s,
    )


def slow_start_bound(instance_settings: settings.Settings) -> slowstart.Bound:
    """Return the bound on the request rate of a cold replica."""
    return slowstart.Bound(
        instance_settings.slow_start.overage, instance_settings.slow_start.tolerance
    )


def buffer_bound(instance_settings: settings.Settings) -> int | None:
    """Return how many bytes may be held for callers, or None for no bound."""
    if instance_settings.memory_mb is None:
        return None
    return int(instance_settings.memory_mb * 1_000_000 * buffermemory.SHARE)


def scheduler(
    engine: models.EngineTraits,
    policy: policysettings.Policy,
    *,
    service: str = "",
    has_mixed_objectives: bool = False,
) -> schedulerset.SchedulerSpec:
    """Return the settings of an engine's scheduler.

    :param service: the engine's service.
    :param has_mixed_objectives: whether the objectives of its service's routes differ widely.
    """
    return schedulerset.SchedulerSpec(
        memory_tokens=engine.memory_tokens,
        service=service,
        admission=replicaadmission.AdmissionSettings(
            horizons=policy.horizons,
            max_running=engine.slots,
            margin=margincontrol.MarginSettings(
                initial=policy.margin_start, minimum=policy.margin_least
            ),
        ),
        queue=queuesettings.QueueSettings(
            min_retry_s=policy.least_retry_s,
            max_retry_s=policy.most_retry_s,
            has_mixed_objectives=has_mixed_objectives,
        ),
    )


def exchange_keys(store: str) -> codec.KeyRing:
    """Return the keys that sign the messages between instances.

    Explanation
    ===========

    The platform provides no secret, and the ports between instances are reachable only by
    them. The key is derived from the address of the shared store. It only separates
    deployments from one another; it is no protection against an attacker.
    """
    return codec.KeyRing(1, {1: hashlib.blake2b(store.encode(), digest_size=32).digest()})
