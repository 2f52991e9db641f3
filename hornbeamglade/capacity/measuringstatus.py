"""Slope of a node's status page."""

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
    mesh.hear_all()
    mesh.tick_us()
    told = samplemesh.settings_of_first()
    places = placing.Placing(
        "holder",
        told.name,
        mesh.platform,
        mesh.clock,
        random.Random(1),
        mesh.peering.heartbeats.owner_candidates,
    )
    made = statuses.Statuses(
        told,
        told.callers,
        samplemesh.INCARNATION,
        _parts(mesh),
        mesh.config,
        mesh.peering,
        lambda: "ready",
        places,
    )
    took = profiling.cpu_us(lambda: made.page().model_dump_json())
    places.stop()
    mesh.close()
    return took


def _parts(mesh: samplemesh.Mesh) -> runtime.Runtime:
    """Return a node's parts as far as the page reads them."""
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
