"""An entry instance's settings, checked with the offending field."""

import pytest
import yaml

from hornbeamglade.core import codederrors
from hornbeamglade.entry import settings

GOOD = {
    "name": "entry-0",
    "host": "10.0.0.1",
    "failure_domain": "a",
    "region": "r",
    "listen": {"callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "directory": None},
    "exchange_ports": [7200, 7215],
    "seeds": ["10.0.0.2:90"],
    "store": "10.9.0.1:70",
    "budget": {"ratio": 0.2, "slack": 52, "window_s": 10},
    "bounds": {"stop_s": 8, "address_ttl_s": 5},
    "region_by_failure_domain": {"a": "r"},
}


def parse(**changes):
    return settings.parse(yaml.safe_dump(GOOD | changes), "entry.yaml")


def test_settings_are_read():
    told = parse()
    assert (told.listen.callers, told.listen.directory) == ("10.0.0.1:80", None)
    assert (told.exchange_ports, told.budget.slack) == ((7200, 7215), 52)


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"store": "a-host:70"}, "store"),
        ({"exchange_ports": [7200]}, "exchange_ports"),
        ({"exchange_ports": [0, 1]}, "exchange_ports.0"),
        ({"budget": {"ratio": -1, "slack": 1, "window_s": 1}}, "budget.ratio"),
        ({"bounds": {"stop_s": 8}}, "bounds.address_ttl_s"),
        ({"colour": "blue"}, "colour"),
    ],
)
def test_bad_field_is_named(changes, named):
    with pytest.raises(codederrors.CodedError) as raised:
        parse(**changes)
    assert raised.value.code == "settings_invalid"
    assert f"entry.yaml: {named}" in raised.value.detail


def test_what_is_no_yaml_is_refused():
    with pytest.raises(codederrors.CodedError) as raised:
        settings.parse("a: [", "entry.yaml")
    assert raised.value.code == "settings_unreadable"


def test_missing_file_is_named(tmp_path):
    with pytest.raises(codederrors.CodedError) as raised:
        settings.read(str(tmp_path / "none.yaml"))
    assert (raised.value.code, "none.yaml" in raised.value.detail) == ("settings_unreadable", True)
