"""Requests as a routed stand-in receives them, and the bytes of its responses."""

import dataclasses
import json

import h11

COPY_PATH = "/v1/kv-move"


@dataclasses.dataclass(frozen=True, slots=True)
class CopyOrder:
    """An order to copy a run to another engine.

    :param request_id: the request that the run serves.
    :param is_last: whether the run is stopped before the copy.
    """

    request_id: str
    is_last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as received.

    :param method: the method.
    :param target: path and query.
    :param value_by_name: its headers, by names in lower case.
    :param body: its body.
    :param is_first: whether it is the first one on its connection.
    """

    method: str
    target: str
    value_by_name: dict[str, str]
    body: bytes
    is_first: bool = True

    @property
    def request_id(self) -> str:
        """The id that its caller gave it."""
        return self.value_by_name.get("attempt-id", "")

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The ids of the parts of its prompt, without the last one."""
        listed = self.value_by_name.get("prompt-prefix", "").split(",")
        return tuple(each.strip().partition(":")[0] for each in listed[:-1])

    @property
    def is_continuation(self) -> bool:
        """Whether it continues a run from a copy."""
        return "kv-from" in self.value_by_name

    @property
    def copy_order(self) -> CopyOrder | None:
        """The order to copy a run that it is, or None."""
        if self.target != COPY_PATH:
            return None
        order = json.loads(self.body)
        return CopyOrder(order["id"], order["last"])


def parse_request(head: h11.Request, body: bytes) -> Request:
    """Return a request as received."""
    values = {name.decode().lower(): value.decode("latin-1") for name, value in head.headers}
    return Request(head.method.decode(), head.target.decode(), values, body)


def response_head(request: Request, status: int, headers: dict[str, str]) -> bytes:
    """Return the head of a response, with its empty line."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response(
    request: Request, status: int, headers: dict[str, str], body: bytes, *, framed: bool = True
) -> bytes:
    """Return a whole response, with a length or ended by its connection."""
    length = {"Content-Length": str(len(body))} if framed else {"Connection": "close"}
    return response_head(request, status, headers | length) + body


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
