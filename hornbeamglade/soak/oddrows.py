"""Odd rows that another program leaves in the tables that instances read."""

import json

_TEXT = "x" * 40_000
_DEEP = 10_000
_ENTRY = {
    "service": "llm",
    "address": "127.0.0.1:9",
    "zone": "d0",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
}
_MEMBER = {"failure_domain": "d0", "address": "127.0.0.1:9", "exchange": "127.0.0.1:9"}
_DOCUMENTS = (
    "",
    "[]",
    "[" * _DEEP,
    "[" * _DEEP + "]" * _DEEP,
    "\x00",
    json.dumps(_TEXT),
)


def _with(good: dict[str, object], *changes: tuple[str, object]) -> tuple[str, ...]:
    return tuple(json.dumps(good | {name: value}) for name, value in changes)


_ENTRIES = _with(
    _ENTRY,
    ("version", _TEXT),
    ("zone", _TEXT),
    ("service", _TEXT),
    ("sequence", 10**4200),
    ("sequence", True),
    ("cold_remaining_ms", float("inf")),
    ("cold_remaining_ms", float("nan")),
    ("slots", 10**300),
    ("address", "127.0.0.1:0"),
    ("address", "127.0.0.1:65536"),
    ("address", "127.0.0.1:" + "9" * 5000),
    ("address", "127.0.0.1:\uff18\uff10"),
)
_MEMBERS = _with(
    _MEMBER,
    ("exchange", "127.0.0.1 " + "\u00e9" * 100 + ":80"),
    ("exchange", "127.0.0.1:65536"),
    ("address", "a-host:80"),
    ("failure_domain", _TEXT),
)
_QUARANTINED = json.dumps({"until": 4_000_000_000.0, "part": True})
_VERSIONS = json.dumps({"service": "llm", "version": "f" * 40, "since": 0.0})

ROWS: tuple[tuple[str, str], ...] = (
    *((f"servers/odd-{n}", value) for n, value in enumerate(_DOCUMENTS + _ENTRIES)),
    ("servers/", _DOCUMENTS[0]),
    ("servers/odd@123", json.dumps(_ENTRY)),
    ("servers/odd\r\nX-Odd: 1", json.dumps(_ENTRY)),
    *((f"instances/odd-{n}", value) for n, value in enumerate(_DOCUMENTS + _MEMBERS)),
    *((f"instances/quarantine:{name}", _QUARANTINED) for name in ("", "-1", "f" * 17, "0x_1f")),
    ("instances/versions:odd", _VERSIONS),
    ("op/evacuate/" + "x" * 100, ""),
)
"""Keys and values; none names a replica to use, an instance or a quarantined request."""
