"""The client of a store that is restored from an older copy."""

import threading

import pytest

from hornbeamglade.platform import storeclient, storeera
from hornbeamglade.standins import platform as standin
from hornbeamglade.store import contract, positions


@pytest.fixture
def store():
    """Return a stand-in, with one row that is in its backup and one that is not."""
    server = standin.serve("127.0.0.1:0")
    server.start()
    server.client = storeclient.StoreClient(server.address)
    put(server, "t/kept")
    server.copied = server.platform.backup()
    put(server, "t/lost")
    yield server
    server.stop()


def put(server, key):
    return server.client.transact((), (contract.Put(key, "1"),))


def test_positions_after_a_restore_exceed_all_earlier_ones(store):
    before = store.client.snapshot("t")
    store.platform.restore(store.copied)
    after = store.client.snapshot("t")
    assert [row.key for row in after.rows] == ["t/kept"]
    assert after.version > before.version
    assert (positions.era(after.version), positions.version(after.version)) == (1, 1)
    assert store.client.read("t/kept").row.version == positions.position(1, 1)


def test_feed_of_an_earlier_era_has_no_history(store):
    """A reused version would hide changes from followers."""
    before = store.client.snapshot("t")
    store.platform.restore(store.copied)
    for name in ("a", "b", "c"):
        put(store, f"t/{name}")
    assert store.client.changes("t", before.version, 0.0) == contract.HistoryLost()
    at = store.client.snapshot("t").version
    put(store, "t/d")
    assert store.client.changes("t", at, 0.0).written_rows[0].key == "t/d"


def test_long_poll_during_a_restore_has_no_history(store):
    before = store.client.snapshot("t")
    restore = threading.Timer(0.1, store.platform.restore, (store.copied,))
    restore.start()
    assert store.client.changes("t", before.version, 2.0) == contract.HistoryLost()
    restore.join()


def test_condition_on_a_version_of_an_earlier_era_fails(store):
    """A writer may hold a version from before the restore that was reused since."""
    seen = store.client.read("t/lost").row.version
    store.platform.restore(store.copied)
    put(store, "t/lost")
    assert positions.version(store.client.read("t/lost").row.version) == positions.version(seen)
    write = (contract.Put("t/lost", "2"),)
    condition = contract.Condition("t/lost", seen)
    assert store.client.transact((condition,), write) == contract.Conflict("t/lost")
    now = store.client.read("t/lost").row.version
    held = store.client.transact((contract.Condition("t/lost", now),), write)
    assert isinstance(held, contract.Committed)


def test_conditional_write_across_a_restore_is_unknown(store):
    seen = store.client.read("t/kept").row.version
    store.platform.restore(store.copied)
    write = (contract.Put("t/kept", "2"),)
    outcome = store.client.transact((contract.Condition("t/kept", seen),), write)
    assert isinstance(outcome, contract.Unknown)


@pytest.mark.parametrize("header", ["", "-1", "two", "1.5", "99999999", "٣"])
def test_invalid_header_counts_as_the_last_known_era(header):
    known = storeera.StoreEra()
    known.from_response("3", known_at_start=0)
    assert known.from_response(header, known_at_start=3) == 3


def test_invalid_headers_are_logged_once(monkeypatch):
    lines = []
    monkeypatch.setattr(
        storeera.logs,
        "state_changed",
        lambda *change, **_: change[1] != change[2] and lines.append(change),
    )
    known = storeera.StoreEra()
    known.from_response("3", known_at_start=0)
    for _ in range(5):
        known.from_response("two", known_at_start=3)
    known.from_response("3", known_at_start=3)
    assert lines == [
        ("store_era_header", "read", "store_era_invalid"),
        ("store_era_header", "store_era_invalid", "read"),
    ]


def test_store_without_eras_is_accepted():
    known = storeera.StoreEra()
    assert known.from_response(None, known_at_start=0) == 0
    assert known.known == 0
