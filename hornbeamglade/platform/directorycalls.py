"""Questions of callers who ask where to connect, and the platform's check of readiness."""

import dataclasses
import json
import urllib.parse

READY_PATH = "/v1/readyz"
RESOLVE_PATH = "/v1/resolve"


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A caller's question.

    :param failure_domain: where the caller is, or an empty text.
    :param region: its region, or an empty text.
    """

    failure_domain: str
    region: str


def question(target: bytes) -> Question | None:
    """Read a question; None when the target is not one."""
    path, _, query = target.decode("latin-1").partition("?")
    if path != RESOLVE_PATH:
        return None
    value_by_name = dict(urllib.parse.parse_qsl(query))
    return Question(value_by_name.get("zone", ""), value_by_name.get("region", ""))


def is_readiness(target: bytes) -> bool:
    """Tell whether a target is the check of readiness."""
    return target.decode("latin-1").partition("?")[0] == READY_PATH


def answer(addresses: tuple[str, ...], ttl_s: float) -> bytes:
    """Write the answer to a question."""
    return json.dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()
