"""Complete requests of callers, and the limits within which they are read."""

import dataclasses

from hornbeamglade.http1 import fields


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on the size and the duration of a caller's request.

    :param head_bytes: maximum size of a request head.
    :param body_bytes: maximum size of a request body.
    :param head_s: maximum seconds from the first byte of a head to its last.
    :param idle_s: maximum seconds without a byte, between requests and within a body.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One complete request.

    :param method: as sent.
    :param target: path and query, as sent.
    :param fields: as sent, including those that concern only the connection.
    :param body: without its framing.
    :param arrived_at: monotonic seconds at which its first byte was read.
    """

    method: bytes
    target: bytes
    fields: fields.Fields
    body: bytes
    arrived_at: float
