"""Generated sites of any size, for the measurements."""

import dataclasses
import hashlib
import typing

from hornbeamglade.admission import replicaadmission
from hornbeamglade.configuration import documents, documentyaml, following, models
from hornbeamglade.fairness import queuesettings
from hornbeamglade.grants import schedulerset
from hornbeamglade.store import contract

SITE = "sample"
POOLS = 3
FAILURE_DOMAINS = 7
MEMORY_TOKENS = 200_000
NODES_PER_TEAM = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Numbers of teams, replicas and nodes of a generated site."""

    teams: int = 10
    replicas: int = 15
    nodes: int = 6


def base(counts: Counts, address: str | None = None) -> dict[str, typing.Any]:
    """Return the base configuration as plain values.

    :param address: address of all replicas; by default each has its own.
    """
    pools: dict[str, dict[str, typing.Any]] = {f"pool-{n}": {"replicas": {}} for n in range(POOLS)}
    for number in range(counts.replicas):
        pools[f"pool-{number % POOLS}"]["replicas"][replica_name(number)] = {
            "address": address or f"10.1.{number // 250}.{number % 250 + 1}:8000",
            "failure_domain": domain(number // POOLS),
            "memory_tokens": MEMORY_TOKENS,
        }
    return {
        "sites": [SITE],
        "services": {
            f"model-{n}": {"kind": "generation", "model": f"m{n}", "pool": f"pool-{n}"}
            for n in range(POOLS)
        },
        "pools": pools,
        "teams": {
            team_name(number): {
                "key_hashes": [f"sha256:{hashlib.sha256(team_name(number).encode()).hexdigest()}"],
                "weight": float(1 + number % 3),
                "requests_in_flight": 64,
            }
            for number in range(counts.teams)
        },
    }


def document(counts: Counts) -> documents.Document:
    """Return the canonical document of a site."""
    text = documents.canonical({"base": base(counts), "overlays": {SITE: {}}})
    return documents.Document(text, documents.digest(text))


def site(counts: Counts) -> models.SiteConfiguration:
    """Return the effective configuration of a site."""
    return documents.effective(document(counts).text, SITE)


def active_revision(counts: Counts) -> following.ActiveRevision:
    """Return the configuration of a site in the form that nodes hold."""
    site_document = document(counts)
    revision = documents.Revision(1, site_document.digest, "c1", site_document.text)
    return following.ActiveRevision(revision, documents.effective(site_document.text, SITE))


def overlay() -> documentyaml.SourceFile:
    """Return the overlay of the site, which changes nothing."""
    return documentyaml.SourceFile("site.yaml", f"site: {SITE}\n".encode())


def instances(count: int) -> tuple[contract.Instance, ...]:
    """Return the platform's instance list with ``count`` nodes."""
    return tuple(
        contract.Instance(
            node_name(number),
            domain(number),
            f"10.0.{number // 250}.{number % 250 + 1}:8080",
            # Discard port of the loopback interface: messages of the measured node are dropped.
            "127.0.0.1:9",
            leaving=False,
        )
        for number in range(count)
    )


def scheduler_spec() -> schedulerset.SchedulerSpec:
    """Return the specification that all replicas' schedulers share."""
    return schedulerset.SchedulerSpec(
        MEMORY_TOKENS, replicaadmission.AdmissionSettings(), queuesettings.QueueSettings()
    )


def node_name(number: int) -> str:
    """Return the name of a node."""
    return f"entry-{number:04d}"


def replica_name(number: int) -> str:
    """Return the name of a replica."""
    return f"engine-{number:05d}"


def team_name(number: int) -> str:
    """Return the name of a team."""
    return f"team-{number:05d}"


def domain(number: int) -> str:
    """Return the name of a failure domain."""
    return f"domain-{number % FAILURE_DOMAINS}"
