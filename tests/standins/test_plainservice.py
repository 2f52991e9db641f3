"""The stand-in service counts its runs and injects the faults that are set."""

import pytest
import urllib3

from hornbeamglade.standins import plainservice


@pytest.fixture
def pool():
    server = plainservice.serve(plainservice.PlainSettings(threads=4))
    server.start()
    yield urllib3.HTTPConnectionPool(server.address, retries=False, timeout=10.0)
    server.stop()


def call(pool, request_id="r1", **headers):
    return pool.request(
        "POST", "/holds/7?a=b", body=b"x", headers={"X-Request-Id": request_id, **headers}
    )


def faults(pool, **faults):
    assert pool.request("PUT", "/standin/faults", json=faults).status == 200


def ledger(pool):
    return pool.request("GET", "/standin/ledger").json()


def test_each_run_of_a_key_is_counted(pool):
    answers = [call(pool, f"r{n}", **{"Idempotency-Key": "k"}).json() for n in range(2)]
    assert answers == [
        {"ran": n, "key": "k", "path": "/holds/7", "method": "POST"} for n in (1, 2)
    ]
    found = ledger(pool)
    assert found["count_by_key"] == {"k": 2}
    assert found["count_by_request_id"] == {"r0": 1, "r1": 1}
    assert (found["runs"][0]["body"], found["runs"][0]["query"]) == ("x", {"a": "b"})


def test_a_request_whose_response_is_lost_was_run(pool):
    faults(pool, lose_answers=True, delay_s=0.01)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        call(pool)
    assert ledger(pool)["count_by_request_id"] == {"r1": 1}


def test_a_refused_call_was_not_run(pool):
    faults(pool, refuse=True)
    response = call(pool)
    assert (response.status, response.headers["X-Not-Run"]) == (503, "true")
    assert (ledger(pool)["runs"], ledger(pool)["refused"]) == ([], 1)


def test_request_ids_are_echoed_unless_crossed(pool):
    assert call(pool).headers["X-Request-Id"] == "r1"
    faults(pool, wrong_request_id=True, leaving=True)
    assert call(pool).headers["X-Request-Id"] != "r1"
    assert pool.request("GET", "/load").json()["leaving"] is True
