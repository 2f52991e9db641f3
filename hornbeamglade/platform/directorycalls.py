"""Callers' address lookups and the platform's readiness checks."""

import dataclasses
import json
import urllib.parse

READY_PATH = "/v1/readyz"
RESOLVE_PATH = "/v1/resolve"


@dataclasses.dataclass(frozen=True, slots=True)
class AddressQuery:
    """An address lookup of a caller.

    :param failure_domain: the caller's failure domain, or an empty string.
    :param region: the caller's region, or an empty string.
    """

    failure_domain: str
    region: str


def parse_query(target: bytes) -> AddressQuery | None:
    """Parse an address lookup; return None if the target is something else."""
    path, _, query = target.decode("latin-1").partition("?")
    if path != RESOLVE_PATH:
        return None
    value_by_name = dict(urllib.parse.parse_qsl(query))
    return AddressQuery(value_by_name.get("zone", ""), value_by_name.get("region", ""))


def is_readiness_check(target: bytes) -> bool:
    """Return whether a target is the readiness check."""
    return target.decode("latin-1").partition("?")[0] == READY_PATH


def encode_response(addresses: tuple[str, ...], ttl_s: float) -> bytes:
    """Encode the response to an address lookup."""
    return json.dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()
