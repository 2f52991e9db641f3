"""Rendering of refusals as problem details.

References
==========

.. [1] RFC 9457, Problem Details for HTTP APIs.
"""

import dataclasses
import http
import json
import math

from hornbeamglade.core import outcomes

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:hornbeamglade:problem:"


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    :param status: the HTTP status.
    :param headers: name and value pairs.
    :param body: the body's bytes.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def status_line(self) -> str:
        """The status with its reason phrase, in the format of WSGI."""
        try:
            phrase = http.HTTPStatus(self.status).phrase
        except ValueError:
            phrase = "Status"
        return f"{self.status} {phrase}"


def render(refusal: outcomes.Refusal, request_id: str) -> Response:
    """Render a refusal as problem details [1]_.

    :param refusal: the refusal to report to the caller.
    :param request_id: the request's id, for the operator's logs.
    """
    body = {
        "type": TYPE_PREFIX + refusal.code,
        "title": refusal.code.replace("_", " "),
        "status": refusal.http_status,
        "detail": refusal.detail,
        "code": refusal.code,
        "run": refusal.run.value,
        "request_id": request_id,
        "error": error_object(refusal),
    }
    if refusal.attempt_run is not None:
        body["attempt_run"] = refusal.attempt_run.value
    headers = [("Content-Type", CONTENT_TYPE), ("X-Request-Id", request_id)]
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(refusal.retry_after_s)))))
        body["retry_after_s"] = round(refusal.retry_after_s, 3)
    return Response(refusal.http_status, tuple(headers), json.dumps(body).encode())


def render_event(refusal: outcomes.Refusal) -> bytes:
    """Render a refusal as the final event of a stream that has begun."""
    return b"data: " + json.dumps({"error": error_object(refusal)}).encode() + b"\n\n"


def error_object(refusal: outcomes.Refusal) -> dict[str, str]:
    """Return the ``error`` member that common client libraries read."""
    return {
        "code": refusal.code,
        "type": refusal.code,
        "message": refusal.detail,
        "run": refusal.run.value,
    }
