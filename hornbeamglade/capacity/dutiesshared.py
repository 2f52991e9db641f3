"""The duties of a node for the whole site, independent of the requests it serves."""

from hornbeamglade.capacity import dutyvalues, slopes, targetsize
from hornbeamglade.claims import claimsweep, groupcommit
from hornbeamglade.configuration import follower
from hornbeamglade.membership import dissemination
from hornbeamglade.node import daemon, upkeep
from hornbeamglade.placement import placementsettings

NON_IDEMPOTENT_PER_S = 100.0
"""Assumed rate of non-idempotent requests, as the requirements give no figure."""

METRICS_SCRAPES_PER_S = 1 / 15


def leases(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> dutyvalues.Duty:
    """Return the cost of leases."""
    placer = placementsettings.PlacerSettings()
    return dutyvalues.Duty(
        "Holding leases (orders to engines)",
        f"one row a pool, {size.pools} in all, each held by one node while its engines are "
        "being changed",
        (
            dutyvalues.Cost(
                f"renewals each {placer.renew_s:.0f} s, all pools being changed (none at rest)",
                ("leases.writes",),
                writes_per_s=measured.per("leases.writes") * size.pools / placer.renew_s,
            ),
            dutyvalues.Cost(
                "seeking each pool's candidate, once a second",
                ("membership.candidate_us",),
                cores=measured.at("membership.candidate_us", size.nodes)
                * dutyvalues.MICROSECOND
                * size.pools
                / daemon.PLACEMENT_S,
            ),
        ),
    )


def configuration(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> dutyvalues.Duty:
    """Return the cost of distributing configuration."""
    polls = 1 / follower.POLL_S
    changes = size.changes_per_s
    held = measured.at("config.held_bytes.teams", size.teams)
    held += measured.per("config.held_bytes.replicas") * size.replicas
    document = dutyvalues.document_bytes(measured, size)
    return dutyvalues.Duty(
        "Spreading configuration",
        f"the document of {document / 1e6:.2f} MB at every node, and the values that it gives",
        (
            dutyvalues.Cost(
                "polls of the head row",
                ("processes.platform_bytes.nodes",),
                messages_per_s=polls,
                bytes_per_s=measured.base("processes.platform_bytes.nodes"),
                reads_per_s=size.nodes * polls,
            ),
            dutyvalues.Cost(
                "putting changes into force",
                ("config.adopt_us.teams", "config.adopt_us.replicas"),
                cores=dutyvalues.adoption_s(measured, size) * changes,
                reads_per_s=size.nodes * changes,
            ),
            dutyvalues.Cost(
                "the revision in force",
                ("config.held_bytes.teams", "config.held_bytes.replicas"),
                memory_bytes=held + document,
            ),
            dutyvalues.Cost(
                "whole documents for nodes that start",
                ("config.bytes.teams", "config.bytes.replicas"),
                reads_per_s=size.replacements_per_day / targetsize.DAY_S,
            ),
        ),
    )


def membership(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> dutyvalues.Duty:
    """Return the cost of membership."""
    frames = dissemination.heartbeats_per_second(size.nodes)
    owned = size.replicas_per_node
    list_s = dutyvalues.list_period_s(size)
    lists = 1 / list_s
    return dutyvalues.Duty(
        "Membership",
        f"a view of {size.nodes} nodes and the owners of {size.replicas:,} replicas",
        (
            dutyvalues.Cost(
                "ticks: view, owners, peers' revisions",
                ("membership.tick_us", "membership.view_bytes"),
                cores=measured.at("membership.tick_us", size.nodes)
                * dutyvalues.MICROSECOND
                / daemon.TICK_S,
                memory_bytes=measured.at("membership.view_bytes", size.nodes),
            ),
            dutyvalues.Cost(
                "heartbeats",
                ("membership.heartbeat_us", "membership.heartbeat_bytes"),
                cores=measured.at("membership.heartbeat_us", owned)
                * dutyvalues.MICROSECOND
                * frames,
                messages_per_s=frames,
                bytes_per_s=measured.at("membership.heartbeat_bytes", owned) * frames,
            ),
            dutyvalues.Cost(
                f"the platform's instance list, whole, each {list_s:.0f} s",
                ("membership.list_us", "processes.platform_bytes.nodes"),
                cores=measured.at("membership.list_us", size.nodes)
                * dutyvalues.MICROSECOND
                * lists,
                messages_per_s=lists,
                bytes_per_s=measured.per("processes.platform_bytes.nodes")
                * upkeep.LIST_INTERVAL_S
                * size.nodes
                * lists,
                reads_per_s=size.nodes * lists,
            ),
        ),
    )


def claims(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> dutyvalues.Duty:
    """Return the cost of claims and of the audit trail."""
    claims = NON_IDEMPOTENT_PER_S * size.requests_per_s / targetsize.TARGET.requests_per_s
    sweep_s = dutyvalues.sweep_period_s(size)
    parts = len(claimsweep.HEX_DIGITS) ** claimsweep.PART_DIGITS
    # Each sweep chooses a part at random, so on average a claim outlives its retention by as
    # many sweeps of the site as there are parts.
    overdue_s = parts * sweep_s / size.nodes
    kept = claims * (upkeep.CLAIM_SETTINGS.retention_s + overdue_s)
    in_part = kept / parts
    # A part with more rows than the limit of one scan is read again as sixteen smaller parts.
    is_split = in_part >= claimsweep.SCAN_LIMIT
    scans = 1 + len(claimsweep.HEX_DIGITS) * is_split
    rows_read = in_part + claimsweep.SCAN_LIMIT * is_split
    return dutyvalues.Duty(
        "Claims and audit",
        "one row for each request that may not be repeated, kept for its retention and until "
        f"a sweep meets it ({overdue_s / 3600:.1f} h later on average); one "
        "audit row for each change",
        (
            dutyvalues.Cost(
                f"claims, {claims:.1f} requests a second at all nodes",
                ("claims.writes", "claims.us"),
                cores=measured.per("claims.us") * dutyvalues.MICROSECOND * claims / size.nodes,
                writes_per_s=measured.per("claims.writes") * claims,
            ),
            dutyvalues.Cost(
                f"sweeps of {kept:,.0f} claims, a part of {in_part:,.0f} each",
                ("claims.row_bytes",),
                messages_per_s=scans / sweep_s,
                bytes_per_s=measured.per("claims.row_bytes") * rows_read / sweep_s,
                reads_per_s=scans * size.nodes / sweep_s,
                writes_per_s=claims / groupcommit.DEFAULT_MAX_UNITS,
            ),
            dutyvalues.Cost(
                "changes of configuration with their audit rows",
                ("audit.writes",),
                writes_per_s=measured.per("audit.writes") * size.changes_per_s,
            ),
        ),
    )


def idle(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> dutyvalues.Duty:
    """Return the cost of an idle node."""
    page_us = measured.at("metrics.page_us", size.teams)
    return dutyvalues.Duty(
        "Being there",
        "the interpreter, the libraries and the counters",
        (
            dutyvalues.Cost(
                "a node with nothing to do",
                ("processes.cores.nodes", "processes.resident.nodes"),
                cores=measured.base("processes.cores.nodes"),
                memory_bytes=measured.base("processes.resident.nodes"),
            ),
            dutyvalues.Cost(
                "metrics, read every 15 s, each team refused once",
                ("metrics.page_us", "metrics.team_bytes", "metrics.service_bytes"),
                cores=page_us * dutyvalues.MICROSECOND * METRICS_SCRAPES_PER_S,
                memory_bytes=measured.at("metrics.team_bytes", size.teams)
                + measured.at("metrics.service_bytes", size.pools),
            ),
        ),
    )
