"""Decoding of the platform's server list."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.core import codederrors
from hornbeamglade.platform import replicarows
from hornbeamglade.replicas import models
from hornbeamglade.store import contract

ENTRY = {
    "service": "llm",
    "address": "10.1.0.9:8080",
    "zone": "krk-a",
    "version": "v1",
    "slots": 32,
    "state": "ready",
    "cold_remaining_ms": 500,
    "sequence": 4,
}


def row(**changes):
    return contract.Row("servers/i-1", json.dumps(ENTRY | changes), 9)


def test_entry_is_decoded():
    replica = replicarows.decode(row())
    assert replica == models.Replica("i-1", "llm", "10.1.0.9:8080", "krk-a", 32, False, "v1", 0.5)
    assert replica.name == "i-1"


def test_draining_server_is_leaving():
    assert replicarows.decode(row(state="draining")).is_leaving


def test_start_time_is_part_of_the_id():
    replica = replicarows.decode(row(born=1769769571006))
    assert (replica.id, replica.name) == ("i-1@1769769571006", "i-1")
    assert replica.started_ms == 1769769571006


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *(("state", each) for each in ("leaving", "of_tomorrow", "", 1, None)),
        *(("slots", each) for each in ("4", 4.0, True, 0, -1, None, 10**9, 10**300)),
        *(("address", each) for each in ("", "10.1.0.9", "h:80", "10.1.0.9:0", "10.1.0.9:+8")),
        *(("cold_remaining_ms", each) for each in (-1, "5", None, True)),
        *(("born", each) for each in ("1769769571006", 1.5, True, None, 0, -4, 1769769571006.0)),
        *(("born", each) for each in (False, [], {}, 10**20, 10**400)),
        *(("zone", each) for each in ("", 7)),
        ("service", ""),
        ("version", 3),
        ("sequence", "4"),
    ],
)
def test_entry_with_an_invalid_field_is_rejected(field, value):
    """Another program writes to the list, with its own meaning of a field.

    If such an entry were accepted, requests would go to invalid addresses, or to servers that
    never registered.
    """
    with pytest.raises(codederrors.CodedError) as raised:
        replicarows.decode(row(**{field: value}))
    assert f"servers/i-1: {field}" in raised.value.detail


@pytest.mark.parametrize("field", ENTRY)
def test_entry_without_a_field_is_rejected(field):
    fields = {name: value for name, value in ENTRY.items() if name != field}
    with pytest.raises(codederrors.CodedError):
        replicarows.decode(contract.Row("servers/i-1", json.dumps(fields), 9))


@pytest.mark.parametrize("written", ["17e11", "1769769571006.0", "1" * 5000])
def test_start_time_must_be_written_as_a_whole_number(written):
    """Two writers of one start time must not yield two incarnations of a server."""
    entry = f'{json.dumps(ENTRY)[:-1]}, "born": {written}}}'
    with pytest.raises(codederrors.CodedError):
        replicarows.decode(contract.Row("servers/i-1", entry, 9))


def test_start_time_is_read_at_the_top_level_only():
    assert replicarows.decode(row(meta={"born": 1769769571006})).id == "i-1"


def test_row_that_is_not_text_is_rejected():
    with pytest.raises(codederrors.CodedError, match="not UTF-8"):
        replicarows.decode(contract.Row("servers/i-1", "", 9, "not UTF-8"))


def test_endless_cold_time_is_bounded():
    """A wrong time of another writer would keep a replica from most requests for good."""
    assert replicarows.decode(row(cold_remaining_ms=1e300)).warm_in_s == 3600.0


@pytest.mark.parametrize(
    "name", ["", "a/b", "a b", "a\r\nHost: x", "\u00e9", "a" * 201, "i-1@1769769571006"]
)
def test_key_that_is_not_a_server_name_is_rejected(name):
    with pytest.raises(codederrors.CodedError):
        replicarows.decode(contract.Row(f"servers/{name}", json.dumps(ENTRY), 9))


@hypothesis.given(strategies.text())
def test_any_text_is_decoded_or_rejected_with_its_code(text):
    try:
        replicarows.decode(contract.Row("servers/i-1", text, 9))
    except codederrors.CodedError as error:
        assert error.code == replicarows.ENTRY_INVALID


def test_error_names_the_row_and_field():
    with pytest.raises(codederrors.CodedError) as raised:
        replicarows.decode(row(slots=-1))
    assert raised.value.code == replicarows.ENTRY_INVALID
    assert "servers/i-1: slots" in raised.value.detail
