"""Measures the cost of distributing a configuration and of applying it."""

import collections.abc
import json

import pydantic
import yaml

from hornbeamglade.capacity import fits, profiling, samplesite, slopes
from hornbeamglade.configuration import (
    documentdelta,
    documents,
    documentyaml,
    following,
    models,
)
from hornbeamglade.core import clocks
from hornbeamglade.exchange import configchunks
from hornbeamglade.grants import schedulerset
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.node import digestcache, replicacatalog, siteview
from hornbeamglade.teams import limits, shares

GROUP = "configuration"
_TEAM_COUNTS = (250, 500, 1000, 2000)
_REPLICA_COUNTS = (225, 450, 900, 1800)
_CHUNKED_TEAM_COUNTS = (250, 500, 1000, 1500)
_ADAPTER = pydantic.TypeAdapter(models.SiteConfiguration)


def measure() -> collections.abc.Iterator[slopes.Slope]:
    """Measure the group."""
    form = "configuration/documents.py"
    yield from _both("bytes", "bytes of the canonical document", form, _text_bytes)
    yield from _both(
        "adopt_us",
        "processor us to put a change into force: delta, digest, checks, derived views",
        "configuration/documentdelta.py, documentsites.py, node/siteview.py, node/applying.py",
        _adopt_us,
    )
    yield from _both(
        "checks_us",
        "processor us of the checks of the values, which no other thread can interrupt",
        "configuration/documentsites.py (pydantic)",
        _checks_us,
    )
    yield from _both(
        "held_bytes",
        "bytes of the revision in force and what is derived from it",
        "configuration/following.py, node/siteview.py",
        lambda counts: profiling.held_bytes(
            lambda: siteview.derive(samplesite.active_revision(counts))
        ),
    )
    operator = "configuration/documentyaml.py (the operator's command)"
    yield from _both("yaml_bytes", "bytes of the base file", operator, _yaml_bytes)
    yield from _both("load_us", "processor us to check the files", operator, _load_us)
    yield _slope(
        "offer_us",
        "processor us to offer a peer one chunk of the document",
        "teams",
        "node/peering.py (_offer_chunk), exchange/configchunks.py",
        [
            fits.Point(n, _offer_us(samplesite.Counts(teams=n, replicas=15)))
            for n in _CHUNKED_TEAM_COUNTS
        ],
    )


def _both(
    key: str,
    cost: str,
    mechanism: str,
    value: collections.abc.Callable[[samplesite.Counts], float],
) -> collections.abc.Iterator[slopes.Slope]:
    """Measure as a function of teams, then of replicas."""
    few = samplesite.Counts()
    by_teams = [
        fits.Point(n, value(samplesite.Counts(teams=n, replicas=few.replicas)))
        for n in _TEAM_COUNTS
    ]
    yield _slope(f"{key}.teams", cost, "teams", mechanism, by_teams)
    by_replicas = [
        fits.Point(n, value(samplesite.Counts(teams=few.teams, replicas=n)))
        for n in _REPLICA_COUNTS
    ]
    yield _slope(f"{key}.replicas", cost, "replicas", mechanism, by_replicas)


def _slope(key, cost, over, mechanism, points) -> slopes.Slope:
    return slopes.Slope(f"config.{key}", GROUP, cost, over, mechanism, tuple(points))


def _text_bytes(counts: samplesite.Counts) -> float:
    return float(len(samplesite.document(counts).text))


def _changed(text: str) -> str:
    value = json.loads(text)
    value["base"]["teams"][samplesite.team_name(0)]["weight"] = 9.0
    return documents.canonical(value)


def _adopt_us(counts: samplesite.Counts) -> float:
    before = samplesite.document(counts).text
    after = _changed(before)
    delta = documentdelta.make(before, after)
    clock = clocks.ManualClock()
    catalog = replicacatalog.ReplicaCatalog(clock, digestcache.DigestCache(clock))
    schedulers = schedulerset.SchedulerSet(clock, lengthmodel.LengthModel())
    team_limits = limits.TeamLimits(samplesite.node_name(0), shares.ShareSettings())

    def adopt() -> None:
        text = documentdelta.apply(before, delta)
        revision = documents.Revision(2, documents.digest(text), "c2", text)
        revision.verify()
        view = siteview.derive(
            following.ActiveRevision(revision, revision.effective(samplesite.SITE))
        )
        catalog.configure(view.site.pool_by_name)
        schedulers.configure({name: samplesite.scheduler_spec() for name in catalog.known_by_name})
        team_limits.configure(view.team_limits())

    return profiling.cpu_us(adopt)


def _checks_us(counts: samplesite.Counts) -> float:
    value = {key: part for key, part in samplesite.base(counts).items() if key != "sites"}
    value["site"] = samplesite.SITE
    return profiling.cpu_us(lambda: _ADAPTER.validate_python(value))


def _base_file(counts: samplesite.Counts) -> documentyaml.SourceFile:
    dumper = getattr(yaml, "CSafeDumper", yaml.SafeDumper)
    text = yaml.dump(samplesite.base(counts), Dumper=dumper, sort_keys=False)
    return documentyaml.SourceFile("base.yaml", text.encode())


def _yaml_bytes(counts: samplesite.Counts) -> float:
    return float(len(_base_file(counts).content))


def _load_us(counts: samplesite.Counts) -> float:
    base = _base_file(counts)
    return profiling.total_cpu_us(lambda: documents.load(base, [samplesite.overlay()]))


def _offer_us(counts: samplesite.Counts) -> float:
    text = samplesite.document(counts).text
    return profiling.cpu_us(lambda: configchunks.split(1, text.encode())[0])
