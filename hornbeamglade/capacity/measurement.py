"""All measurement groups in the order in which they run."""

import collections.abc
import types

from hornbeamglade.capacity import (
    measuringclaims,
    measuringconfiguration,
    measuringgrants,
    measuringmembership,
    measuringobservability,
    measuringprocesses,
    measuringrelay,
    measuringrouting,
    measuringstatus,
    measuringteams,
    slopes,
)

_MODULE_BY_GROUP: dict[str, types.ModuleType] = {
    module.GROUP: module
    for module in (
        measuringrouting,
        measuringgrants,
        measuringmembership,
        measuringteams,
        measuringconfiguration,
        measuringclaims,
        measuringobservability,
        measuringstatus,
        measuringprocesses,
        measuringrelay,
    )
}
GROUPS = tuple(_MODULE_BY_GROUP)


def measure(groups: collections.abc.Iterable[str]) -> collections.abc.Iterator[slopes.Slope]:
    """Measure the groups sequentially, so that they do not influence each other."""
    for group in groups:
        yield from _MODULE_BY_GROUP[group].measure()
