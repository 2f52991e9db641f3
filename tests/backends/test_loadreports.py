"""Load reports and cache events are validated before they are used."""

import pytest

from hornbeamglade.backends import loadreports
from hornbeamglade.core import clocks
from tests.backends import scripted


def reader(address):
    return loadreports.ReportReader(address, 10.0, clocks.ManualClock(7.0))


def test_an_engines_load(start_engine):
    backend = start_engine(capacity_tokens=1600)
    backend.faults(leaving=True)
    source = reader(backend.address)
    first, second = source.load(), source.load()
    assert second.sequence > first.sequence
    assert (first.capacity_tokens, first.used_tokens, first.running) == (1600, 0, 0)
    assert (first.leaving, first.models, first.received_at) == (True, ("draft",), 7.0)
    source.close()


def test_a_services_load(plain):
    assert reader(plain.address).load().leaving is False


def test_cache_events(start_engine):
    assert reader(start_engine().address).cache_events(5) == loadreports.CacheEvents((), 5)


@pytest.mark.parametrize(
    ("response", "code"),
    [
        (b"", "unreachable"),
        (b"HTTP/1.1 500 Oops\r\n\r\n", "status"),
        (b"HTTP/1.1 302 F\r\nLocation: /load\r\n\r\n", "status"),
        (b"HTTP/1.1 200 OK\r\n\r\nnone", "malformed"),
        (
            b'HTTP/1.1 200 OK\r\n\r\n{"sequence":-1,"age_s":0,"running":0,"leaving":false}',
            "malformed",
        ),
        (
            b'HTTP/1.1 200 OK\r\n\r\n{"sequence":1,"age_s":Infinity,"running":0,"leaving":false}',
            "malformed",
        ),
        (b"HTTP/1.1 200 OK\r\n\r\n" + b" " * (5 << 20), "too_long"),
    ],
)
def test_an_invalid_report_is_an_outcome_with_a_code(response, code):
    with scripted.server(response) as address:
        assert reader(address).load().code == code
