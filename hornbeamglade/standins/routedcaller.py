"""A stand-in for a caller behind routes, on connections that it keeps open.

Explanation
===========

It sends the platform's headers, reads plain answers and event streams, and tells what it
saw as it is: whether an answer came to its proper end, which events came, what a refusal
promised. It asks a directory where to connect and keeps using a connection until the other
side is gone, as callers do that hold an old answer.
"""

import dataclasses
import json
import re
import time
import typing

import urllib3

from hornbeamglade.standins import operatordocuments

RESERVED = frozenset(("authorization", "hold", "pin-ms", "kv-backup"))
"""Fields in lower case that a caller's request never brings to a replica."""

READY_PATH = "/v1/readyz"
CONNECT_S = 2.0
READ_S = 25.0
DEADLINE_MS = 20_000
PROMPT_TOKENS = 100
MAX_TOKENS = 400

_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResult:
    """What a caller saw of one request.

    :param request_id: its id.
    :param route: the route's name.
    :param key: the caller's key.
    :param address: the instance that it was sent to.
    :param sent_at: seconds of the machine's steady clock.
    :param ended_at: the same.
    :param status: the answer's status, or None when none came.
    :param is_whole: whether the answer came to its proper end.
    :param is_sealed: whether it bore a replica's proof.
    :param body: a plain answer's body.
    :param events: number and text of each event, in the order in which they came.
    :param retry_after_s: what a refusal said, or None.
    :param error: what ended a request without an answer, or an empty text.
    """

    request_id: str
    route: str
    key: str
    address: str
    sent_at: float
    ended_at: float
    status: int | None = None
    is_whole: bool = False
    is_sealed: bool = False
    body: bytes = b""
    events: tuple[tuple[int, str], ...] = ()
    retry_after_s: float | None = None
    error: str = ""

    @property
    def is_stream(self) -> bool:
        """Whether its route streams."""
        return operatordocuments.SETTINGS_BY_ROUTE[self.route].kind == "streaming"


class RoutedCaller:
    """One caller; to be used from one thread.

    :param keep: whether connections are kept for further requests.
    """

    def __init__(self, *, keep: bool = True) -> None:
        timeout = urllib3.Timeout(connect=CONNECT_S, read=READ_S)
        self._keep = keep
        self._http = urllib3.PoolManager(retries=False, timeout=timeout, maxsize=1)

    def addresses(self, directory: str, failure_domain: str) -> tuple[str, ...]:
        """Return where an instance says to connect; empty when it says nothing."""
        query = {"name": operatordocuments.HOST, "region": "r", "zone": failure_domain}
        url = f"http://{directory}/v1/resolve"
        try:
            answer = self._http.request("GET", url, fields=query)
            return tuple(answer.json()["addresses"]) if answer.status == 200 else ()
        except (urllib3.exceptions.HTTPError, OSError, ValueError, KeyError):
            return ()

    def send(
        self, address: str, route: str, request_id: str, key: str, body: bytes | None = None
    ) -> CallerResult:
        """Send one request and read what comes of it.

        :param body: by default its id.
        """
        sent_at = time.monotonic()
        result = CallerResult(request_id, route, key, address, sent_at, sent_at)
        try:
            answer = self._http.request(
                "POST",
                f"http://{address}/{route}/1?q=2",
                body=request_id.encode() if body is None else body,
                headers=self._headers(request_id, route, key),
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _ended(result, error=type(error).__name__)
        return self._read(result, answer)

    def _read(self, result: CallerResult, answer: urllib3.BaseHTTPResponse) -> CallerResult:
        body = b""
        error = ""
        try:
            for piece in answer.stream(decode_content=False):
                body += piece
        except (urllib3.exceptions.HTTPError, OSError) as raised:
            error = type(raised).__name__
        answer.release_conn() if not error else answer.close()
        events = tuple((int(n), text.decode()) for n, text in _EVENT.findall(body))
        return _ended(
            result,
            status=answer.status,
            is_whole=not error,
            is_sealed="Response-Seal" in answer.headers,
            body=b"" if events else body,
            events=events,
            retry_after_s=_seconds(answer.headers.get("Retry-After")),
            error=error,
        )

    def _headers(self, request_id: str, route: str, key: str) -> dict[str, str]:
        headers = {
            "Host": operatordocuments.HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {key}",
        }
        if not self._keep:
            headers["Connection"] = "close"
        if operatordocuments.SETTINGS_BY_ROUTE[route].kind == "streaming":
            headers |= {"Model": "m", "Token-Usage": f"{PROMPT_TOKENS},{MAX_TOKENS}"}
        return headers


def _ended(result: CallerResult, **changes: typing.Any) -> CallerResult:
    return dataclasses.replace(result, ended_at=time.monotonic(), **changes)


def _seconds(told: str | None) -> float | None:
    try:
        return None if told is None else float(told)
    except ValueError:
        return None


def refusal_code(result: CallerResult) -> str:
    """Return the code of an instance's own refusal, or an empty text."""
    try:
        return str(json.loads(result.body)["code"])
    except (ValueError, KeyError, TypeError):
        return ""
