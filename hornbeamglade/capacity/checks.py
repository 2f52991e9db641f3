"""Checks of whether the code stays within its bounds at the target size."""

import math

from hornbeamglade.capacity import (
    checksrouting,
    checkvalues,
    duties,
    dutiesshared,
    dutyvalues,
    slopes,
    targetsize,
)
from hornbeamglade.configuration import documentyaml, follower
from hornbeamglade.exchange import configchunks, messages
from hornbeamglade.membership import addresses, dissemination

NODES_PER_TEAM = 3


def all_checks(
    measured: slopes.SlopeSet, size: targetsize.SiteSize
) -> tuple[checkvalues.Check, ...]:
    """Return all checks, those of the budget first."""
    return (
        *_budget_checks(measured, size),
        *_team_checks(measured, size),
        *_configuration_checks(measured, size),
        *checksrouting.routing_checks(measured, size),
    )


def _budget_checks(
    measured: slopes.SlopeSet, size: targetsize.SiteSize
) -> tuple[checkvalues.Check, ...]:
    budget = targetsize.BUDGET
    total = dutyvalues.control_total(duties.all_duties(measured, size))
    return (
        checkvalues.Check(
            "processor for control at a node",
            100 * total.cores,
            100 * budget.cores,
            "% of a core",
            "all",
            "see the duties",
        ),
        checkvalues.Check(
            "memory for control at a node",
            total.memory_bytes / checkvalues.MB,
            budget.memory_bytes / checkvalues.MB,
            "MB",
            "all",
            "the interpreter and the libraries are counted in",
        ),
        checkvalues.Check(
            "bytes for control at a node",
            total.bytes_per_s / checkvalues.KB,
            budget.bytes_per_s / checkvalues.KB,
            "KB/s",
            "all",
            "see the duties",
        ),
        checkvalues.Check(
            "reads of the platform",
            total.reads_per_s,
            budget.store_reads_per_s,
            "/s",
            "configuration/follower.py, node/upkeep.py",
            "head row and instance list of every node",
        ),
        checkvalues.Check(
            "writes of the platform's table",
            total.writes_per_s,
            budget.store_writes_per_s,
            "/s",
            "claims/claimstore.py",
            f"for {dutiesshared.NON_IDEMPOTENT_PER_S:.0f} claims a second, an assumption",
        ),
    )


def _team_checks(
    measured: slopes.SlopeSet, size: targetsize.SiteSize
) -> tuple[checkvalues.Check, ...]:
    placement_pass_s = dutyvalues.placement_pass_s(measured, size)
    shard_memberships = size.teams * addresses.shard_size(
        size.nodes, 1 / size.teams, NODES_PER_TEAM
    )
    heartbeat_round_s = (size.nodes - 1) / dissemination.FANOUT * dissemination.SAMPLED_PERIOD_S
    return (
        checkvalues.Check(
            "the pause of a node's heartbeats while all teams are placed, after each change",
            placement_pass_s,
            dissemination.SAMPLED_PERIOD_S,
            "s of processor",
            "node/applying.py (_place_teams), node/daemon.py (_tick)",
            "heartbeats leave by the thread that places, and so do the settling of schedulers and "
            "reports of progress; answers to other nodes' questions leave by another thread, "
            f"so the node isn't held for dead; {dutyvalues.placement_passes_per_day(size):,.0f} "
            "times a day; place in pieces, and only the teams that are active here",
        ),
        checkvalues.Check(
            "handing over the placed teams, under the lock that each request takes",
            measured.at("teams.handover_us", size.teams) / checkvalues.MS,
            checkvalues.TOKEN_MS,
            "ms",
            "node/applying.py (_place_teams), teams/limits.py",
            "each request that begins or ends in it waits for it",
        ),
        checkvalues.Check(
            "teams of whose shards a node is one, against the teams that its heartbeat tells",
            shard_memberships / size.nodes,
            messages.MAX_DEMANDS,
            "teams",
            "teams/limits.py (heartbeat), exchange/messages.py (MAX_DEMANDS)",
            "the first by name of all teams are told, not those placed or active here; the "
            "shares of all others stay at their floor",
        ),
        checkvalues.Check(
            "seconds until two nodes of a team's shard have heard each other",
            heartbeat_round_s
            if size.nodes > dissemination.FULL_MESH_MAX_NODES
            else dissemination.MESH_PERIOD_S,
            2 * dissemination.SAMPLED_PERIOD_S,
            "s",
            "teams/shares.py over membership/dissemination.py",
            "a share rises only while the whole shard is heard within two heartbeats, so "
            "sampled heartbeats leave it at its floor; shares need messages within the shard",
        ),
    )


def _configuration_checks(
    measured: slopes.SlopeSet, size: targetsize.SiteSize
) -> tuple[checkvalues.Check, ...]:
    yaml_bytes = measured.at("config.yaml_bytes.teams", size.teams)
    yaml_bytes += measured.per("config.yaml_bytes.replicas") * size.replicas
    adoption_s = dutyvalues.adoption_s(measured, size)
    checks_us = measured.at("config.checks_us.teams", size.teams)
    checks_us += measured.at("config.checks_us.replicas", size.replicas)
    document = dutyvalues.document_bytes(measured, size)
    return (
        checkvalues.Check(
            "the document, against what peers pass on in chunks",
            document / checkvalues.KB,
            configchunks.MAX_DOCUMENT_BYTES / checkvalues.KB,
            "KB",
            "exchange/configchunks.py (MAX_CHUNKS)",
            "a node that starts while the store is down can't be given it",
        ),
        checkvalues.Check(
            "seconds in which a peer passes the document on, a tick a chunk when one is lost",
            math.ceil(document / messages.MAX_CHUNK_BYTES)
            * measured.at("config.offer_us", size.teams)
            / 1e6,
            targetsize.BUDGET.change_s,
            "s of processor",
            "node/peering.py (_offer_chunk)",
            "the whole document is cut and hashed for each chunk; keep the cut offers",
        ),
        checkvalues.Check(
            "the base file",
            yaml_bytes / checkvalues.KB,
            documentyaml.LARGEST_FILE_BYTES / checkvalues.KB,
            "KB",
            "configuration/documentyaml.py",
            "one key a team, no comments; operators' real files are larger",
        ),
        checkvalues.Check(
            "a change in force at every node (poll, adoption, placing all teams)",
            follower.POLL_S + adoption_s + dutyvalues.placement_pass_s(measured, size),
            targetsize.BUDGET.change_s,
            "s",
            "configuration/follower.py, node/applying.py (apply)",
            "a revision is published only after its teams are placed, and all nodes place at "
            "once; store answers not counted",
        ),
        checkvalues.Check(
            "the pause of every stream while values are checked",
            checks_us / checkvalues.MS,
            checkvalues.TOKEN_MS,
            "ms",
            "configuration/documentsites.py (pydantic)",
            "the interpreter's lock is held throughout, at all nodes in the same second",
        ),
    )
