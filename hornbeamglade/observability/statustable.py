"""Status pages as human-readable tables and as JSON for scripts."""

import collections
import collections.abc
import json

from hornbeamglade.observability import statuspage, statusreading

_NODE_HEADS = (
    *("NODE", "DOMAIN", "STATE", "REVISION", "STREAMS"),
    *("QUEUE", "REFUSALS", "PLATFORM", "ADDRESS"),
)
_REPLICA_HEADS = (
    *("REPLICA", "POOL", "DOMAIN", "OWNER", "ROOM"),
    *("RUNNING", "WAITING", "STATE", "SEEN BY"),
)
_ENGINE_HEADS = ("ENGINE", "SLOW", "SEEN BY")
_WAITING_HEADS = ("SERVICE", "CLASS", "WAITING", "SEEN BY")
_NONE = "-"
_GAP = "  "

Readings = collections.abc.Sequence[statusreading.NodeReading]


def as_text(readings: Readings) -> str:
    """Return a table of nodes, a table of replicas, and remarks.

    Engines of another speed than their service's median and waiting requests are shown in
    further tables, if there are any.

    A node whose page could not be read has a row too: without it, a site with a
    dead node would look healthy.
    """
    parts = [_table(_NODE_HEADS, [_node_row(reading) for reading in readings])]
    replica_rows = [_replica_row(node, replica) for node, replica in best_views(readings).values()]
    if replica_rows:
        parts.append(_table(_REPLICA_HEADS, replica_rows))
    engine_rows = _engine_rows(readings)
    if engine_rows:
        parts.append(_table(_ENGINE_HEADS, engine_rows))
    waiting_rows = _waiting_rows(readings)
    if waiting_rows:
        parts.append(_table(_WAITING_HEADS, waiting_rows))
    parts.extend(_remarks(readings))
    return "\n\n".join(parts)


def as_json(readings: Readings) -> str:
    """Return every page in full, with the node's address and the error, if any."""
    nodes = [
        {
            "address": reading.address,
            "problem": reading.problem or None,
            "status": reading.status and reading.status.model_dump(mode="json"),
        }
        for reading in readings
    ]
    return json.dumps({"nodes": nodes}, indent=2)


def best_views(
    readings: Readings,
) -> dict[str, tuple[statuspage.NodeStatus, statuspage.ReplicaStatus]]:
    """Return, by replica name, the view to show and the node that it comes from.

    The owner admits requests to the replica and knows them exactly, so its view is
    preferred; without it, the view with the newest load report is shown.
    """
    view_by_replica: dict[str, tuple[statuspage.NodeStatus, statuspage.ReplicaStatus]] = {}
    for reading in readings:
        if reading.status is None:
            continue
        for replica in reading.status.replicas:
            view = (reading.status, replica)
            known = view_by_replica.get(replica.name)
            if known is None or _view_rank(view) < _view_rank(known):
                view_by_replica[replica.name] = view
    return dict(sorted(view_by_replica.items(), key=lambda item: (item[1][1].pool, item[0])))


def _view_rank(
    view: tuple[statuspage.NodeStatus, statuspage.ReplicaStatus],
) -> tuple[bool, float]:
    node, replica = view
    age_s = float("inf") if replica.load_age_s is None else replica.load_age_s
    return (replica.owner != node.name, age_s)


def _node_row(reading: statusreading.NodeReading) -> tuple[str, ...]:
    node = reading.status
    if node is None:
        blanks = (_NONE,) * (len(_NODE_HEADS) - 4)
        return (_NONE, _NONE, f"no answer: {reading.problem}", *blanks, reading.address)
    revision = f"{node.config_revision}{' (provisional)' if node.config_provisional else ''}"
    return (
        node.name,
        node.failure_domain,
        node.state,
        revision,
        str(node.streams),
        str(node.waiting),
        str(node.refusals),
        "ok" if node.platform_ok else "failing",
        reading.address,
    )


def _replica_row(
    node: statuspage.NodeStatus, replica: statuspage.ReplicaStatus
) -> tuple[str, ...]:
    return (
        replica.name,
        replica.pool,
        replica.failure_domain or _NONE,
        replica.owner or _NONE,
        _NONE if replica.room_tokens is None else str(replica.room_tokens),
        str(replica.running),
        str(replica.waiting),
        replica.state,
        node.name,
    )


def _engine_rows(readings: Readings) -> list[tuple[str, ...]]:
    """Return the engines whose time per token is not the median, the slowest first."""
    found = [
        (factor, engine, reading.status.name)
        for reading in readings
        if reading.status is not None
        for engine, factor in reading.status.slow_factors.items()
        if factor != 1.0
    ]
    found.sort(key=lambda each: (-each[0], each[1:]))
    return [(engine, f"{factor:.2f}", node) for factor, engine, node in found]


def _waiting_rows(readings: Readings) -> list[tuple[str, ...]]:
    """Return the requests that wait at the site, by service and class.

    Each node's page shows the whole site; the node that knows of most waiting requests of a
    service misses fewest of the owners.
    """
    best: dict[str, tuple[int, str, dict[int, int]]] = {}
    for reading in readings:
        if reading.status is None:
            continue
        for service, by_class in reading.status.waiting_by_class.items():
            total = sum(by_class.values())
            if service not in best or total > best[service][0]:
                best[service] = (total, reading.status.name, by_class)
    return [
        (service, str(urgency), str(count), node)
        for service, (_, node, by_class) in sorted(best.items())
        for urgency, count in sorted(by_class.items())
        if count
    ]


def _remarks(readings: Readings) -> list[str]:
    unreachable = sum(reading.status is None for reading in readings)
    names_by_revision = collections.defaultdict(list)
    for reading in readings:
        if reading.status is not None:
            names_by_revision[reading.status.config_revision].append(reading.status.name)
    remarks = []
    if unreachable:
        remarks.append(f"{unreachable} of {len(readings)} nodes gave no status.")
    for reading in readings:
        if reading.status is not None and reading.status.config_problem is not None:
            remarks.append(f"{reading.status.name}: {reading.status.config_problem}.")
    if len(names_by_revision) > 1:
        newest = max(names_by_revision)
        behind = sorted(
            name
            for revision, names in names_by_revision.items()
            if revision < newest
            for name in names
        )
        remarks.append(f"Behind revision {newest}: {', '.join(behind)}.")
    return remarks


def _table(heads: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    widths = [max(map(len, column)) for column in zip(heads, *rows, strict=True)]
    lines = []
    for row in (heads, *rows):
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append(_GAP.join(cells).rstrip())
    return "\n".join(lines)
