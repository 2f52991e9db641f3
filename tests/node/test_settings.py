import pytest
import yaml

from hornbeamglade.core import codederrors
from hornbeamglade.node import settings

VALID = {
    "name": "entry-1",
    "site": "krakow",
    "failure_domain": "d1",
    "callers": "127.0.0.1:0",
    "exchange": "[::1]:7000",
    "platform": "http://127.0.0.1:9",
    "exchange_keys": [{"id": 1, "secret": "a secret of the site"}],
}


def load(tmp_path, text):
    path = tmp_path / "node.yaml"
    path.write_bytes(text)
    return settings.load(str(path))


def test_valid_settings_are_read(tmp_path):
    assert load(tmp_path, yaml.safe_dump(VALID).encode()).threads == 448


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("name", "Entry 1"),
        ("callers", "localhost:80"),
        ("callers", "127.0.0.1:70000"),
        ("callers", 5),
        ("exchange", "127.0.0.1:x"),
        ("platform", "ftp://x"),
        ("exchange_keys", []),
        ("exchange_keys", [{"id": 1, "secret": "short"}]),
        ("threads", 0),
        ("hard_stop_s", -1),
        ("unknown_setting", 1),
    ],
)
def test_the_error_for_an_invalid_setting_names_file_and_key(tmp_path, key, value):
    with pytest.raises(codederrors.CodedError) as raised:
        load(tmp_path, yaml.safe_dump(VALID | {key: value}).encode())
    assert raised.value.code == "settings_invalid"
    assert f"node.yaml: {key}" in raised.value.detail


@pytest.mark.parametrize("text", [b"a: [", b"\xff\xfe", b"\x00", b""])
def test_the_error_for_an_unreadable_file_names_the_file(tmp_path, text):
    with pytest.raises(codederrors.CodedError, match=r"settings_.*node\.yaml"):
        load(tmp_path, text)


def test_the_error_for_a_missing_file_names_the_file(tmp_path):
    with pytest.raises(codederrors.CodedError, match="settings_unreadable.*absent"):
        settings.load(str(tmp_path / "absent"))
