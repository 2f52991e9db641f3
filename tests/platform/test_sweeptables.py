"""Decoding of the bench's table of one day at several sizes."""

import pytest

from hornbeamglade.core import codederrors
from hornbeamglade.platform import sweeptables

TABLE = """\
2 days, 2 at a time
middle / busiest or longest, by own machines
                                                          30             100  power  at 360
entry: processor %                                7.8 / 11.2      6.1 / 11.1  -0.01  11.1
config acked, ms                                 58.0 / 59.0     59.0 / 60.0   0.02  62.3
power: the busiest grows as machines to this power
snapshot b0cef069
"""


def test_table_is_decoded_by_quantity_and_size():
    sweep = sweeptables.decode(TABLE)
    assert sweep.target == 360
    processor, config = sweep.quantities
    assert processor.by_size[100] == sweeptables.Figures(6.1, 11.1)
    assert (config.name, config.power, config.extrapolated) == ("config acked, ms", 0.02, 62.3)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "day  worth\n",
        TABLE.replace("power  at 360", "power"),
        TABLE.replace("7.8 / 11.2", "-"),
        TABLE.replace("58.0 / 59.0", ""),
        TABLE.replace("-0.01", "none"),
    ],
)
def test_malformed_table_is_rejected_with_its_code(text):
    with pytest.raises(codederrors.CodedError) as raised:
        sweeptables.decode(text)
    assert raised.value.code == sweeptables.SWEEP_INVALID
