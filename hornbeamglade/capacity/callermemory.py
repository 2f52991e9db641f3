"""Section of the capacity page on the memory that callers can make an instance hold."""

import dataclasses

from hornbeamglade.entry import connectionshares, daemon, settings
from hornbeamglade.http1 import buffermemory, listeners, receivebuffer
from hornbeamglade.observability import logs, metricsinstruments
from hornbeamglade.origins import origintable
from hornbeamglade.quarantine import (
    completions,
    crashledger,
    partevidence,
    partquarantine,
    quarantinelist,
)
from hornbeamglade.routed import responseroom

MEMORY_MB = 150
DESCRIPTORS = 4200
MEGABYTE = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """A table of an instance whose keys callers choose.

    :param name: what it holds.
    :param bound: most entries.
    :param yields: what is dropped beyond the bound.
    :param cost: the promise that this weakens, or a dash.
    """

    name: str
    bound: str
    yields: str
    cost: str


TABLES = (
    Table(
        "origins of streams, by the attempt that began them",
        f"{origintable.MAX_ENTRIES:,}",
        "the oldest",
        "a stream whose origin is dropped is refused with `stream_origin_unknown`",
    ),
    Table(
        "requests that were completed, by fingerprint",
        f"{completions.MAX_ENTRIES:,}",
        "the oldest",
        "a request that is dropped may be suspected again after a crash",
    ),
    Table(
        "requests suspected of crashes, by fingerprint",
        f"{crashledger.MAX_SUSPECTS:,}",
        "the oldest",
        "crashes of a request that is dropped are counted anew",
    ),
    Table(
        "quarantined requests, by fingerprint",
        f"{quarantinelist.MAX_ENTRIES:,}",
        "the oldest",
        "a request that is dropped may crash three more replicas",
    ),
    Table(
        "parts of prompts that went well, and those of crashes",
        f"{partquarantine.MAX_SUCCESSES:,}; {partevidence.MAX_CRASHES} crashes",
        "the oldest",
        "a harmless part may be suspected longer",
    ),
    Table(
        "series of a metric, by labels",
        f"{metricsinstruments.MAX_SERIES:,}",
        "new ones are counted together",
        "-",
    ),
    Table(
        "log lines that are not written yet",
        f"{logs.MAX_QUEUED_LINES:,} of at most {logs.MAX_IDENTIFIER} characters a field",
        "new ones, which are counted",
        "-",
    ),
    Table(
        "requests that wait for a grant, a send slot, a trial or the start",
        "the held memory",
        "new ones, refused with 503 as not run",
        "-",
    ),
)


def markdown() -> str:
    """Return the section as Markdown.

    Examples
    ========

    >>> "| held for callers, of responses that arrive, and in tunnels |" in markdown()
    True
    """
    instance_settings = settings.Settings(
        name="instance",
        host="127.0.0.1",
        failure_domain="a",
        region="r",
        listen=settings.Listen(callers="127.0.0.1:1", readiness="127.0.0.1:2"),
        exchange_ports=(3, 4),
        store="127.0.0.1:5",
        budget=settings.Budget(ratio=0.2, slack=1, window_s=10),
        bounds=settings.Bounds(stop_s=8, address_ttl_s=5),
        memory_mb=MEMORY_MB,
    )
    shares = connectionshares.divide(instance_settings, DESCRIPTORS)
    held = int(buffermemory.SHARE * MEMORY_MB * MEGABYTE)
    total = connectionshares.worst_case_bytes(shares, held, daemon.PROGRAM_BYTES)
    each = connectionshares.CONNECTION_BYTES
    parts = (
        ("the program and its tables", daemon.PROGRAM_BYTES),
        ("held for callers, of responses that arrive, and in tunnels", held),
        (f"{shares.accepted:,} connections", shares.accepted * each),
        ("their receive buffers", shares.accepted * listeners.RECEIVE_BUFFER_BYTES),
        ("**all**", total),
    )
    rows = [f"| {name} | {byte_count / MEGABYTE:.1f} |" for name, byte_count in parts]
    tables = [f"| {t.name} | {t.bound} | {t.yields} | {t.cost} |" for t in TABLES]
    return "\n".join(
        (
            "## What callers can make an entry instance hold",
            "",
            f"The worst case of an instance with {MEMORY_MB} MB and {DESCRIPTORS:,} descriptors, "
            "by its defaults:",
            f"{shares.callers} connections of callers, {shares.directory} to the directory, "
            f"{shares.operator} to each of the operators' addresses. A request counts as held "
            f"with its body, its head, {receivebuffer.FIELD_BYTES} bytes a field and "
            f"{receivebuffer.REQUEST_BYTES:,} more. A response counts with what was received of "
            "its body, whether its length is stated or not: beyond "
            f"{responseroom.UNCHECKED_BYTES:,} bytes it waits until half of what may be held is "
            f"free, and is reserved in steps of at most {responseroom.MAX_STEP_BYTES:,} if its "
            "length is not stated. The same holds for what a stream cannot pass on yet. A tunnel "
            "counts with what the other instance has not read.",
            "",
            "| part | MB |",
            "| --- | --- |",
            *rows,
            "",
            "Tables whose keys callers choose:",
            "",
            "| table | bound | what yields | what this costs |",
            "| --- | --- | --- | --- |",
            *tables,
            "",
        )
    )
