"""Entries of the platform's list of servers."""

import json

import pytest

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


def test_entry_becomes_a_replica():
    replica = replicarows.decode(row())
    assert replica == models.Replica("i-1", "llm", "10.1.0.9:8080", "krk-a", 32, False, "v1", 0.5)


@pytest.mark.parametrize("state", ["draining", "leaving", "of_tomorrow"])
def test_only_ready_takes_new_work(state):
    assert replicarows.decode(row(state=state)).is_leaving


def test_bad_entry_names_its_row_and_field():
    with pytest.raises(codederrors.CodedError) as raised:
        replicarows.decode(row(slots=-1))
    assert raised.value.code == replicarows.ENTRY_INVALID
    assert "servers/i-1: slots" in raised.value.detail
