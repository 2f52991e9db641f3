"""Load reports and cache events are validated before they are used."""

import pytest

from hornbeamglade.backends import loadreports
from hornbeamglade.core import clocks
from tests.backends import scripted
from tests.http1 import oddstatuslines


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


REPORT = b'{"sequence":1,"age_s":0,"running":0,"leaving":false}'


@pytest.mark.parametrize("line", oddstatuslines.MALFORMED)
def test_a_report_with_a_malformed_status_line_is_none(line):
    """A server in trouble counted as one that takes new work."""
    with scripted.server(line + b"\r\n\r\n" + REPORT) as address:
        assert reader(address).load().code == "unreachable"


def test_a_report_whose_head_breaks_off_is_none():
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-A: 1\r\n\r\n" % len(REPORT)
    for at in range(len(head)):
        with scripted.server(head[:at]) as address:
            assert reader(address).load().code == "unreachable", at
