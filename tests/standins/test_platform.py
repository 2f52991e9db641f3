"""The stand-in platform and the HTTP store client, tested against each other."""

import pytest
import urllib3

from hornbeamglade.membership import registry
from hornbeamglade.platform import storeclient
from hornbeamglade.standins import platform as standin
from hornbeamglade.store import contract, memory

KEY = "claims/a b/ü%2F?#"


@pytest.fixture
def server():
    running = standin.serve("127.0.0.1:0")
    running.start()
    yield running
    running.stop()


@pytest.fixture
def client(server):
    return storeclient.StoreClient(f"http://{server.address}", timeout_s=5.0)


def put_new(client, key=KEY):
    return client.transact((contract.Condition(key, 0),), (contract.Put(key, "v"),))


def test_rows_are_written_and_read_back(client):
    assert put_new(client) == contract.Committed({KEY: 1})
    row = contract.Row(KEY, "v", 1)
    assert client.read(KEY) == contract.Found(row)
    assert client.scan("claims/", 5) == (row,)
    assert client.read("none") == contract.Missing("none")


def test_changes_are_followed_from_a_snapshot(client):
    put_new(client, "nodes/a")
    start = client.snapshot("nodes")
    assert [row.key for row in start.rows] == ["nodes/a"]
    assert client.changes("nodes", start.version, 0.05) == contract.Changes((), (), start.version)
    put_new(client, "nodes/b")
    client.transact((), (contract.Delete("nodes/a"),))
    changes = client.changes("nodes", start.version, 5.0)
    assert ([row.key for row in changes.written_rows], changes.deleted_keys) == (
        ["nodes/b"],
        ("nodes/a",),
    )


def test_lost_history_is_reported(server, client):
    put_new(client, "nodes/a")
    server.platform.forget_history()
    assert client.changes("nodes", 0, 0.0) == contract.HistoryLost()


def test_scan_reads_beyond_one_page(client):
    for start in range(0, 600, 60):
        puts = tuple(contract.Put(f"many/{start + n:04d}", "v") for n in range(60))
        client.transact((), puts)
    assert len(client.scan("many/")) == 600
    assert len(client.scan("many/", limit=510)) == 510


def test_conflict_names_the_key(client):
    put_new(client)
    assert put_new(client) == contract.Conflict(KEY)


def test_objects_are_written_and_read_back(client):
    assert client.put("o/1", "zażółć") == contract.Committed({})
    assert client.get("o/1") == contract.Found(contract.Row("o/1", "zażółć", 0))
    assert client.get("o/2") == contract.Missing("o/2")


def test_instances_are_set_by_the_standin_call(server, client):
    body = (
        '{"instances":[{"name":"n1","failure_domain":"fd1","address":"127.0.0.1:1",'
        '"exchange":"127.0.0.1:2","leaving":true}]}'
    )
    url = f"http://{server.address}/standin/instances"
    assert urllib3.request("PUT", url, body=body).status == 200
    entry = contract.Instance("n1", "fd1", "127.0.0.1:1", "127.0.0.1:2", True)
    assert registry.Registry(client).list() == (entry,)


def test_faults_are_set_by_the_standin_call(server, client):
    url = f"http://{server.address}/standin/faults"
    assert urllib3.request("PUT", url, body='{"down":true}').status == 200
    assert isinstance(put_new(client), contract.Unavailable)
    assert isinstance(registry.Registry(client).list(), contract.Unavailable)
    assert urllib3.request("PUT", url, body="{}").status == 200
    assert client.read(KEY) == contract.Missing(KEY)


def test_write_with_a_lost_response_is_unknown_and_took_effect(server, client):
    server.platform.set_faults(memory.Faults(lose_answers=True))
    assert isinstance(put_new(client), contract.Unknown)
    assert isinstance(client.put("o", "x"), contract.Unknown)
    server.platform.set_faults(memory.Faults())
    assert client.read(KEY) == contract.Found(contract.Row(KEY, "v", 1))


def test_bad_request_is_refused(server):
    url = f"http://{server.address}/v1/rows-tx"
    assert urllib3.request("POST", url, body='{"writes":[{}]}').status == 400
