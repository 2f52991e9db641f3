"""Measures the cost of the data path at an entry node and at a bare relay."""

import collections.abc
import pathlib
import tempfile

from hornbeamglade.bench import relay
from hornbeamglade.capacity import fits, slopes

GROUP = "relay"
_SHAPE = relay.RelayShape(
    streams=(12, 24, 48, 72), seconds=6.0, engines=2, ways=(relay.BARE, relay.NODE)
)
_MEGABYTE = 1e6
_CARRIER_BY_WAY = {relay.BARE: "bench/barerelay.py", relay.NODE: "node/delivery.py, streams/"}


def measure() -> collections.abc.Iterator[slopes.Slope]:
    """Measure the group; this takes two minutes."""
    with tempfile.TemporaryDirectory() as folder:
        results = relay.run(_SHAPE, pathlib.Path(folder))
    for way, carrier in _CARRIER_BY_WAY.items():
        name = "node" if way == relay.NODE else "bare"
        of_way = [result for result in results if result.way == way]
        yield slopes.Slope(
            f"relay.{name}_cores",
            GROUP,
            f"cores of the {way}",
            "tokens a second",
            carrier,
            tuple(fits.Point(result.tokens_per_s, result.cores) for result in of_way),
        )
        yield slopes.Slope(
            f"relay.{name}_bytes",
            GROUP,
            f"resident bytes of the {way}",
            "streams at once",
            carrier,
            tuple(fits.Point(result.streams, result.resident_mb * _MEGABYTE) for result in of_way),
        )
