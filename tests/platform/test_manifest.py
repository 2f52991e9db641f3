"""Decoding of the operator's manifest, or its rejection with the offending field."""

import json

import pytest

from hornbeamglade.core import codederrors
from hornbeamglade.platform import manifest
from hornbeamglade.routes import models


def document(**changes):
    base = {
        "version": 7,
        "routes": [
            {
                "name": "drafts",
                "host": "Mail.Example",
                "prefix": "/drafts/",
                "route_kind": "streaming",
                "timeout_ms": 39000,
                "goal_ms": 1800,
                "priority": 1,
                "service": "llm",
                "max_attempts": 2,
                "resumable": True,
                "gap_goal_ms": 180,
                "a_field_of_tomorrow": {},
            }
        ],
        "services": [
            {
                "name": "llm",
                "health_path": "/healthz",
                "max_connections": 302,
                "engine": {
                    "slots": 32,
                    "kv_capacity_tokens": 34316,
                    "kv_bytes": 163840,
                    "link_mbps": 24000.0,
                    "moves": True,
                    "stride": 4,
                    "handle_s": 5.0,
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "clinic", "api_keys": ["k1"], "priority": 0}],
    }
    return base | changes


def decode(**changes):
    return manifest.decode(json.dumps(document(**changes)).encode())


def route(**changes):
    return [document()["routes"][0] | changes]


def test_manifest_is_decoded():
    configuration = decode()
    engine = models.EngineTraits(32, 34316, 163840, 3e9, True, False, 4, 5.0)
    assert configuration == models.Configuration(
        revision=7,
        routes=(
            models.Route(
                "drafts",
                "mail.example",
                "/drafts/",
                models.RouteKind.STREAM,
                (models.Split("llm", 1),),
                39.0,
                1.8,
                1,
                2,
                0.18,
                False,
                True,
            ),
        ),
        service_by_name={"llm": models.Service("llm", "/healthz", 302, engine)},
        limits=models.CallerLimits(16384, 4194304, 3.0, 15.0),
        teams=(models.Team("clinic", frozenset(("k1",)), 0),),
    )


def test_split_route_keeps_its_weights():
    backends = [{"service": "llm", "weight": 90}, {"service": "llm", "weight": 10}]
    configuration = decode(routes=route(service=None, backends=backends))
    assert [split.weight for split in configuration.routes[0].splits] == [90, 10]


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"version": "new"}, "version"),
        ({"routes": route(timeout_ms=0)}, "routes.0.timeout_ms"),
        ({"routes": route(route_kind="magic")}, "routes.0.route_kind"),
        ({"routes": route(prefix="drafts")}, "routes.0.prefix"),
        ({"routes": route(service="lost")}, "'lost'"),
        ({"routes": route(service=None)}, "no service takes its requests"),
        ({"routes": route(max_attempts=0)}, "routes.0.max_attempts"),
        ({"services": [{"name": "llm"}]}, "services.0.health_path"),
        ({"limits": {}}, "limits.max_header_bytes"),
    ],
)
def test_invalid_manifest_is_rejected_with_its_field(changes, named):
    with pytest.raises(codederrors.CodedError) as raised:
        decode(**changes)
    assert raised.value.code == manifest.CONFIG_INVALID
    assert named in raised.value.detail


@pytest.mark.parametrize("raw", [b"", b"{", b"[]", b"\xff", b"null"])
def test_malformed_manifest_is_rejected(raw):
    with pytest.raises(codederrors.CodedError):
        manifest.decode(raw)
