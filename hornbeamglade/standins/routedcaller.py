"""A stand-in for a caller of routed requests, with persistent connections.

Explanation
===========

It sends the platform's headers, reads plain responses and event streams, and records exactly
what it received: whether a response was complete, which events it had, what a refusal
promised. It asks a directory where to connect and keeps using a connection until the peer
closes it, like callers with an outdated directory response.
"""

import dataclasses
import json
import re
import socket
import time
import typing

import urllib3
import urllib3.connection

from hornbeamglade.standins import operatordocuments

RESERVED = frozenset(("authorization", "hold", "pin-ms", "kv-backup"))
"""Header fields, in lower case, that must never pass from a caller to a replica."""

READY_PATH = "/v1/readyz"
CONNECT_S = 2.0
READ_S = 25.0
DEADLINE_MS = 20_000
PROMPT_TOKENS = 100
MAX_TOKENS = 400
SOUND_PART = "sound"
FAST_READ_BYTES = 65_536
SLOW_READ_BYTES = 8_192

_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Resumption:
    """What a caller names when it takes a stream up.

    :param first_id: id of the attempt that brought the first event.
    :param last_event: number of the last event that it has.
    """

    first_id: str
    last_event: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResult:
    """The result of one request as the caller received it.

    :param request_id: its id.
    :param route: the route's name.
    :param key: the caller's API key.
    :param address: the instance that it was sent to.
    :param sent_at: send time, in seconds of the machine's monotonic clock.
    :param ended_at: end time, by the same clock.
    :param status: the status of the response, or None without a response.
    :param is_whole: whether the response was complete.
    :param is_sealed: whether it had a replica's proof.
    :param body: the body of a plain response.
    :param events: number and text of each event, in order of arrival.
    :param leaving_replica: the replica that stated in the response that it is leaving, or an
        empty text.
    :param retry_after_s: the delay that a refusal asked for, or None.
    :param error: the error that ended the request, or an empty text.
    :param resumption: the stream that it takes up, or None.
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
    leaving_replica: str = ""
    retry_after_s: float | None = None
    error: str = ""
    resumption: Resumption | None = None

    @property
    def is_resumable(self) -> bool:
        """Whether its caller may take its stream up."""
        return operatordocuments.SETTINGS_BY_ROUTE[self.route].is_resumable

    @property
    def next_resumption(self) -> Resumption | None:
        """What to name to take its stream up, or None if the caller has no event of it."""
        if not self.events:
            return self.resumption
        first_id = self.request_id if self.resumption is None else self.resumption.first_id
        return Resumption(first_id, self.events[-1][0])

    @property
    def is_stream(self) -> bool:
        """Whether its route streams."""
        return operatordocuments.SETTINGS_BY_ROUTE[self.route].kind == "streaming"


class RoutedCaller:
    """One caller; use it from one thread only.

    :param keep: whether connections are kept for further requests.
    :param unread_s: seconds in which it reads nothing of a response's body.
    :param pause_s: seconds between two reads of some kilobytes afterwards.
    """

    def __init__(self, *, keep: bool = True, unread_s: float = 0.0, pause_s: float = 0.0) -> None:
        timeout = urllib3.Timeout(connect=CONNECT_S, read=READ_S)
        self._keep_alive = keep
        self._unread_s = unread_s
        self._pause_s = pause_s
        is_slow = bool(unread_s or pause_s)
        self._read_bytes = SLOW_READ_BYTES if is_slow else FAST_READ_BYTES
        options = [*urllib3.connection.HTTPConnection.default_socket_options]
        if is_slow:
            options.append((socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES))
        self._http = urllib3.PoolManager(
            retries=False, timeout=timeout, maxsize=1, socket_options=options
        )

    def addresses(self, directory: str, failure_domain: str) -> tuple[str, ...]:
        """Return the addresses that an instance's directory gives; empty on failure."""
        query = {"name": operatordocuments.HOST, "region": "r", "zone": failure_domain}
        url = f"http://{directory}/v1/resolve"
        try:
            response = self._http.request("GET", url, fields=query)
            return tuple(response.json()["addresses"]) if response.status == 200 else ()
        except (urllib3.exceptions.HTTPError, OSError, ValueError, KeyError):
            return ()

    def send(
        self,
        address: str,
        route: str,
        request_id: str,
        key: str,
        body: bytes | None = None,
        resumption: Resumption | None = None,
        part: str = SOUND_PART,
    ) -> CallerResult:
        """Send one request and read its response.

        :param body: the request's id by default.
        :param resumption: the stream that it takes up, or None.
        :param part: the second part of its prompt, if it has one.
        """
        sent_at = time.monotonic()
        result = CallerResult(
            request_id, route, key, address, sent_at, sent_at, resumption=resumption
        )
        headers = self._headers(request_id, route, key, part)
        headers |= resumption_fields(resumption)
        try:
            response = self._http.request(
                "POST",
                f"http://{address}/{route}/1?q=2",
                body=request_id.encode() if body is None else body,
                headers=headers,
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _finished(result, error=type(error).__name__)
        return self._read(result, response)

    def _read(self, result: CallerResult, response: urllib3.BaseHTTPResponse) -> CallerResult:
        body = b""
        error = ""
        try:
            time.sleep(self._unread_s)
            for data in response.stream(self._read_bytes, decode_content=False):
                body += data
                time.sleep(self._pause_s)
        except (urllib3.exceptions.HTTPError, OSError) as exception:
            error = type(exception).__name__
        response.release_conn() if not error else response.close()
        events = tuple((int(n), text.decode()) for n, text in _EVENT.findall(body))
        return _finished(
            result,
            status=response.status,
            is_whole=not error,
            is_sealed="Response-Seal" in response.headers,
            body=b"" if events else body,
            events=events,
            leaving_replica=_leaving_replica(response),
            retry_after_s=_seconds(response.headers.get("Retry-After")),
            error=error,
        )

    def _headers(self, request_id: str, route: str, key: str, part: str) -> dict[str, str]:
        headers = {
            "Host": operatordocuments.HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {key}",
        }
        if not self._keep_alive:
            headers["Connection"] = "close"
        if operatordocuments.SETTINGS_BY_ROUTE[route].kind == "streaming":
            headers |= {"Model": "m", "Token-Usage": f"{PROMPT_TOKENS},{MAX_TOKENS}"}
            headers["Prompt-Prefix"] = f"{route}:40,{part}:30,{request_id}:30"
        return headers


def resumption_fields(resumption: Resumption | None) -> dict[str, str]:
    """Return the header fields that name the stream that a request takes up, if any."""
    if resumption is None:
        return {}
    return {"Resumes": resumption.first_id, "Last-Event-Id": str(resumption.last_event)}


def _finished(result: CallerResult, **changes: typing.Any) -> CallerResult:
    return dataclasses.replace(result, ended_at=time.monotonic(), **changes)


def _leaving_replica(response: urllib3.BaseHTTPResponse) -> str:
    """Return the replica named in the seal of a response that states leaving."""
    seal = response.headers.get("Response-Seal", "")
    return seal.rpartition(".")[0] if "Server-Leaving" in response.headers else ""


def _seconds(value: str | None) -> float | None:
    try:
        return None if value is None else float(value)
    except ValueError:
        return None


def refusal_code(result: CallerResult) -> str:
    """Return the code of a refusal by an instance, or an empty text."""
    try:
        return str(json.loads(result.body)["code"])
    except (ValueError, KeyError, TypeError):
        return ""
