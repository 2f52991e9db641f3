"""Cost of each duty of a node at a given site size, computed from the measured slopes."""

from hornbeamglade.capacity import dutiesshared, dutyvalues, slopes, targetsize
from hornbeamglade.exchange import messages
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.membership import dissemination
from hornbeamglade.node import daemon, settings

PREFIX_BLOCKS = 8192

REMOTE_SHARE = 1.0
"""Assumed worst-case share of requests whose replica is owned by another node."""


def all_duties(
    measured: slopes.SlopeSet, size: targetsize.SiteSize, threads: int | None = None
) -> tuple[dutyvalues.Duty, ...]:
    """Return the costs of every duty at a site size.

    :param threads: caller threads of a node; by default as in its settings.
    """
    if threads is None:
        threads = settings.NodeSettings.model_fields["threads"].default
    return (
        _hot_path(measured, size, threads),
        _replica_monitoring(measured, size),
        _grants(measured, size),
        _limits(measured, size),
        dutiesshared.leases(measured, size),
        dutiesshared.configuration(measured, size),
        dutiesshared.membership(measured, size),
        dutiesshared.claims(measured, size),
        dutiesshared.idle(measured, size),
    )


def _hot_path(
    measured: slopes.SlopeSet, size: targetsize.SiteSize, threads: int
) -> dutyvalues.Duty:
    requests = size.requests_per_node
    return dutyvalues.Duty(
        "Entry node, hot path",
        f"{size.streams_per_node:.0f} open streams, each with a thread, a request's place "
        "in its team's limit and a grant; nothing is shared per token",
        (
            dutyvalues.Cost(
                "relay of tokens",
                ("relay.node_cores", "relay.node_bytes"),
                cores=measured.at("relay.node_cores", size.tokens_per_node),
                memory_bytes=measured.per("relay.node_bytes") * size.streams_per_node,
                data_path=True,
            ),
            dutyvalues.Cost(
                "choice of a replica, one a request at the least",
                ("routing.choice_us", "grants.states_us"),
                cores=dutyvalues.choice_s(measured, size) * requests,
            ),
            dutyvalues.Cost(
                f"{threads} caller threads, idle",
                ("processes.resident.threads",),
                memory_bytes=measured.per("processes.resident.threads") * threads,
                data_path=True,
            ),
        ),
    )


def _replica_monitoring(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> dutyvalues.Duty:
    owned = size.replicas_per_node
    polls = 1 / daemon.LOAD_S
    owned_us = measured.at("membership.owned_us", size.replicas)
    return dutyvalues.Duty(
        "Watching replicas (load polls by the soft owner)",
        f"{owned:.0f} owned replicas with report and prefix index; digests of the others "
        "as far as heard",
        (
            dutyvalues.Cost(
                "load polls and cache events",
                ("processes.cores.owned", "processes.backend_bytes.owned"),
                cores=measured.per("processes.cores.owned") * owned,
                bytes_per_s=measured.per("processes.backend_bytes.owned") * owned,
                messages_per_s=owned * polls * 2,
            ),
            dutyvalues.Cost(
                "prefix indexes of owned replicas, full",
                ("routing.prefix_bytes",),
                memory_bytes=measured.at("routing.prefix_bytes", PREFIX_BLOCKS) * owned,
            ),
            dutyvalues.Cost(
                "what is known of all replicas",
                ("routing.known_bytes",),
                memory_bytes=measured.at("routing.known_bytes", size.replicas),
            ),
            dutyvalues.Cost(
                "naming the owned replicas at each poll",
                ("membership.owned_us",),
                cores=owned_us * dutyvalues.MICROSECOND * polls,
            ),
        ),
    )


def _grants(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> dutyvalues.Duty:
    requests = size.requests_per_node
    remote = requests * REMOTE_SHARE
    teams = min(size.teams, lengthmodel.LengthSettings().max_teams)
    return dutyvalues.Duty(
        "Grants, local and remote",
        f"the schedulers of owned replicas, {size.streams_per_replica:.0f} grants each; answer "
        f"lengths of up to {teams} teams a service",
        (
            dutyvalues.Cost(
                "decisions at the schedulers",
                ("grants.local_us", "grants.scheduler_bytes"),
                cores=measured.at("grants.local_us", size.streams_per_replica)
                * dutyvalues.MICROSECOND
                * requests,
                memory_bytes=measured.at("grants.scheduler_bytes", size.replicas_per_node),
            ),
            dutyvalues.Cost(
                f"remote grants, {REMOTE_SHARE:.0%} of requests",
                ("grants.remote_us", "grants.remote_messages", "grants.remote_bytes"),
                cores=measured.per("grants.remote_us") * dutyvalues.MICROSECOND * remote,
                messages_per_s=measured.per("grants.remote_messages") * remote,
                bytes_per_s=measured.per("grants.remote_bytes") * remote,
            ),
            dutyvalues.Cost(
                "learned answer lengths",
                ("lengths.team_bytes",),
                memory_bytes=measured.at("lengths.team_bytes", teams),
            ),
        ),
    )


def _limits(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> dutyvalues.Duty:
    ticks = 1 / daemon.TICK_S
    passes_per_day = dutyvalues.placement_passes_per_day(size)
    demand_period_s = messages.DEMANDS_INTERVAL_BEATS * dissemination.SAMPLED_PERIOD_S
    return dutyvalues.Duty(
        "Keeping team limits",
        f"a share of each of {size.teams:,} teams' limits, at every node",
        (
            dutyvalues.Cost(
                f"placing every team, {passes_per_day:,.0f} times a day (each change of the "
                "revision or of a member's state)",
                ("teams.place_us",),
                cores=dutyvalues.placement_pass_s(measured, size)
                * passes_per_day
                / targetsize.DAY_S,
            ),
            dutyvalues.Cost(
                f"looking for such a change, {ticks:.0f} times a second",
                ("teams.unchanged_us",),
                cores=measured.at("teams.unchanged_us", size.nodes)
                * dutyvalues.MICROSECOND
                * ticks,
            ),
            dutyvalues.Cost(
                f"moving and telling the shares of {messages.MAX_DEMANDS} teams",
                ("teams.adjust_us",),
                cores=measured.at("teams.adjust_us", size.teams)
                * dutyvalues.MICROSECOND
                / demand_period_s,
            ),
            dutyvalues.Cost(
                "limits and shares",
                ("teams.limit_bytes",),
                memory_bytes=measured.at("teams.limit_bytes", size.teams),
            ),
        ),
    )
