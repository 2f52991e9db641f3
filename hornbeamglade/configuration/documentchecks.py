"""Checks of an effective configuration that involve several fields."""

import collections.abc
import dataclasses

from hornbeamglade.configuration import documentyaml, models


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One error in a configuration, with the path of the invalid value.

    :param code: a stable identifier.
    :param path: keys as in the YAML files.
    :param detail: one sentence for a person.
    """

    code: str
    path: documentyaml.Path
    detail: str


def findings(site: models.SiteConfiguration) -> tuple[Finding, ...]:
    """Return every error, grouped by check.

    Examples
    ========

    >>> service = models.Service(kind="plain", pool="absent")
    >>> site = models.SiteConfiguration(
    ...     site="krakow", service_by_name={"web": service}, pool_by_name={}, team_by_name={}
    ... )
    >>> [finding.code for finding in findings(site)]
    ['config_unknown_pool']
    """
    return (
        *_service_findings(site),
        *_model_findings(site),
        *_address_findings(site),
        *_replica_findings(site),
        *_team_findings(site),
        *_key_hash_findings(site),
    )


def _service_findings(site: models.SiteConfiguration) -> collections.abc.Iterator[Finding]:
    for name, service in site.service_by_name.items():
        path = ("services", name)
        if service.pool not in site.pool_by_name:
            detail = f"there is no pool {service.pool!r}"
            yield Finding("config_unknown_pool", (*path, "pool"), detail)
        if service.kind == "generation" and service.model is None:
            yield Finding("config_missing_key", (*path, "model"), "a generation needs a model")
        if service.kind == "plain" and service.model is not None:
            yield Finding("config_plain_model", (*path, "model"), "a plain service has no model")
        if service.kind == "generation" and service.pool in site.pool_by_name:
            yield from _memory_findings(service.pool, site.pool_by_name[service.pool])


def _memory_findings(name: str, pool: models.Pool) -> collections.abc.Iterator[Finding]:
    for replica_name, replica in pool.replica_by_name.items():
        if replica.memory_tokens is None:
            path = ("pools", name, "replicas", replica_name, "memory_tokens")
            detail = "a replica that serves generations must state its memory_tokens"
            yield Finding("config_missing_key", path, detail)


def _model_findings(site: models.SiteConfiguration) -> collections.abc.Iterator[Finding]:
    """Yield models of more than one service: a request names only the model."""
    service_by_model: dict[str, str] = {}
    for name, service in site.service_by_name.items():
        if service.model is None:
            continue
        first = service_by_model.setdefault(service.model, name)
        if first != name:
            detail = f"service {first!r} has the same model"
            yield Finding("config_duplicate_model", ("services", name, "model"), detail)


def _address_findings(site: models.SiteConfiguration) -> collections.abc.Iterator[Finding]:
    first_by_address: dict[str, str] = {}
    for pool_name, pool in site.pool_by_name.items():
        for name, replica in pool.replica_by_name.items():
            path = ("pools", pool_name, "replicas", name, "address")
            replica_key = documentyaml.dotted_key(path[:-1])
            first = first_by_address.setdefault(replica.address, replica_key)
            if first != replica_key:
                detail = f"{first} has the same address {replica.address}"
                yield Finding("config_duplicate_address", path, detail)


def _replica_findings(site: models.SiteConfiguration) -> collections.abc.Iterator[Finding]:
    """Yield replica names used in two pools: nodes identify a replica by its name alone."""
    pool_by_replica: dict[str, str] = {}
    for pool_name, pool in site.pool_by_name.items():
        for name in pool.replica_by_name:
            other = pool_by_replica.setdefault(name, pool_name)
            if other != pool_name:
                detail = f"pool {other} has a replica {name} too"
                path = ("pools", pool_name, "replicas", name)
                yield Finding("config_duplicate_replica", path, detail)


def _team_findings(site: models.SiteConfiguration) -> collections.abc.Iterator[Finding]:
    for name, team in site.team_by_name.items():
        if team.services == "all":
            continue
        for position, service in enumerate(team.services):
            if service not in site.service_by_name:
                path = ("teams", name, "services", position)
                yield Finding("config_unknown_service", path, f"there is no service {service!r}")


def _key_hash_findings(site: models.SiteConfiguration) -> collections.abc.Iterator[Finding]:
    """Yield keys listed twice: a request's key would not identify one team."""
    first_by_key_hash: dict[str, str] = {}
    for name, team in site.team_by_name.items():
        for position, key_hash in enumerate(team.key_hashes):
            path = ("teams", name, "key_hashes", position)
            if key_hash in first_by_key_hash:
                detail = f"{first_by_key_hash[key_hash]} has the same key"
                yield Finding("config_duplicate_key_hash", path, detail)
            first_by_key_hash.setdefault(key_hash, documentyaml.dotted_key(path))
