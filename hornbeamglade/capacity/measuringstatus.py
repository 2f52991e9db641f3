"""Measures the cost of a node's status page."""

import collections.abc
import random

from hornbeamglade.capacity import fits, profiling, samplemesh, slopes
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.node import placing, runtime, statuses
from hornbeamglade.observability import metrics

GROUP = "status"
_NODE_COUNTS = (45, 90, 180, 360)


def measure() -> collections.abc.Iterator[slopes.Slope]:
    """Measure the group."""
    yield slopes.Slope(
        "status.page_us",
        GROUP,
        "processor us to make the status page and its JSON",
        "replicas of the site, five to a node",
        "node/statuses.py, observability/statuspage.py",
        tuple(
            fits.Point(samplemesh.REPLICAS_PER_NODE * size, _page_us(size))
            for size in _NODE_COUNTS
        ),
    )


def _page_us(nodes: int) -> float:
    mesh = samplemesh.Mesh(nodes)
    mesh.receive_from_all()
    mesh.tick_us()
    own_settings = samplemesh.local_settings()
    placer = placing.Placing(
        "holder",
        own_settings.name,
        mesh.platform,
        mesh.clock,
        random.Random(1),
        mesh.peering.heartbeats.owner_candidates,
    )
    status_pages = statuses.Statuses(
        own_settings,
        own_settings.callers,
        samplemesh.INCARNATION,
        _runtime(mesh),
        mesh.config,
        mesh.peering,
        lambda: "ready",
        placer,
    )
    elapsed_us = profiling.cpu_us(lambda: status_pages.page().model_dump_json())
    placer.stop()
    mesh.close()
    return elapsed_us


def _runtime(mesh: samplemesh.Mesh) -> runtime.Runtime:
    """Return a runtime with the parts that the status page reads."""
    return runtime.Runtime(
        clock=mesh.clock,
        views=runtime.Views(mesh.config),
        catalog=mesh.catalog,
        schedulers=mesh.schedulers,
        acquirer=None,
        once=None,
        in_flight=mesh.in_flight,
        budgets=runtime.Budgets(),
        lengths=lengthmodel.LengthModel(),
        metrics=metrics.NodeMetrics(),
        deadlines=None,
        quarantine=None,
        crashes=None,
    )
