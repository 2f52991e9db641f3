"""Callers' address lookups and readiness checks."""

import json

from hornbeamglade.platform import directorycalls


def test_lookup_states_where_the_caller_is():
    target = b"/v1/resolve?name=a.example&region=krk&zone=krk-a"
    assert directorycalls.parse_query(target) == directorycalls.AddressQuery("krk-a", "krk")
    assert directorycalls.parse_query(b"/v1/resolve") == directorycalls.AddressQuery("", "")
    assert directorycalls.parse_query(b"/v1/readyz") is None


def test_readiness_check_is_recognized_by_its_path():
    assert directorycalls.is_readiness_check(b"/v1/readyz")
    assert not directorycalls.is_readiness_check(b"/v1/resolve")


def test_response_contains_addresses_and_their_ttl():
    body = json.loads(directorycalls.encode_response(("10.0.0.1:80",), 2.0))
    assert body == {"addresses": ["10.0.0.1:80"], "ttl_s": 2.0}
