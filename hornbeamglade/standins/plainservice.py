"""A stand-in for a plain service behind the system, for tests and the demo.

Explanation
===========

Requests with any method and path are run and counted by idempotency key and request id;
``GET /standin/ledger`` returns every run, ``PUT /standin/faults`` sets
:class:`PlainFaults`.
"""

import collections
import dataclasses
import threading
import time

import pydantic

from hornbeamglade.standins import httpserver

_RUNS_KEPT = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class PlainSettings:
    """Settings of a stand-in service.

    :param bind: ``ip:port``; port 0 selects a free port.
    :param threads: maximum number of concurrent requests.
    """

    bind: str = "127.0.0.1:0"
    threads: int = 64


class PlainFaults(pydantic.BaseModel):
    """The body of ``PUT /standin/faults``; omitted faults are off.

    :param delay_s: seconds between running a request and the response.
    :param lose_answers: run the request, then close the connection without a response.
    :param refuse: respond 503 with ``X-Not-Run`` without running the request.
    :param wrong_request_id: respond with another request's id.
    :param leaving: report that the service is leaving.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    delay_s: float = pydantic.Field(default=0.0, ge=0)
    lose_answers: bool = False
    refuse: bool = False
    wrong_request_id: bool = False
    leaving: bool = False


def serve(settings: PlainSettings) -> httpserver.Server:
    """Create a server; it accepts requests after its ``start()``."""
    return httpserver.Server(settings.bind, _Service().handle, settings.threads)


def run(settings: PlainSettings) -> None:
    """Serve until SIGTERM."""
    httpserver.run_until_terminated(serve(settings))


class _Service:
    """The HTTP routes and the ledger of the service."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._faults = PlainFaults()
        self._runs: collections.deque[dict[str, object]] = collections.deque(maxlen=_RUNS_KEPT)
        self._count_by_key: collections.Counter[str] = collections.Counter()
        self._count_by_request_id: collections.Counter[str] = collections.Counter()
        self._refused = 0
        self._running = 0
        self._load_sequence = 0
        self._handler_by_route: dict[tuple[str, str], httpserver.Handler] = {
            ("GET", "/health"): lambda _: httpserver.json_response(200, {"ok": True}),
            ("GET", "/load"): self._load,
            ("GET", "/standin/ledger"): self._ledger,
            ("PUT", "/standin/faults"): self._set_faults,
        }

    def handle(self, request: httpserver.Request) -> httpserver.Response | None:
        """Handle one request."""
        handler = self._handler_by_route.get((request.method, request.path), self._call)
        return handler(request)

    def _call(self, request: httpserver.Request) -> httpserver.Response | None:
        faults = self._faults
        request_id = request.headers.get("x-request-id", "")
        echoed = f"crossed-{request_id}" if faults.wrong_request_id else request_id
        if faults.refuse:
            with self._lock:
                self._refused += 1
            headers = (("X-Not-Run", "true"), ("X-Request-Id", echoed))
            return httpserver.json_response(503, {"error": {"code": "refused"}}, headers)
        response = self._count(request, request_id)
        if faults.delay_s:
            time.sleep(faults.delay_s)
        with self._lock:
            self._running -= 1
        if faults.lose_answers:
            return None
        return httpserver.json_response(200, response, (("X-Request-Id", echoed),))

    def _count(self, request: httpserver.Request, request_id: str) -> dict[str, object]:
        key = request.headers.get("idempotency-key")
        with self._lock:
            self._running += 1
            self._count_by_request_id[request_id] += 1
            ran = self._count_by_request_id[request_id]
            if key is not None:
                self._count_by_key[key] += 1
                ran = self._count_by_key[key]
            self._runs.append(
                {
                    "request_id": request_id,
                    "key": key,
                    "method": request.method,
                    "path": request.path,
                    "query": request.query_by_name,
                    "headers": request.headers,
                    "body": request.body.decode(errors="replace"),
                }
            )
        return {"ran": ran, "key": key, "path": request.path, "method": request.method}

    def _load(self, _: httpserver.Request) -> httpserver.Response:
        with self._lock:
            self._load_sequence += 1
            response = {
                "sequence": self._load_sequence,
                "age_s": 0.0,
                "running": self._running,
                "leaving": self._faults.leaving,
            }
        return httpserver.json_response(200, response)

    def _ledger(self, _: httpserver.Request) -> httpserver.Response:
        with self._lock:
            response = {
                "runs": list(self._runs),
                "count_by_key": dict(self._count_by_key),
                "count_by_request_id": dict(self._count_by_request_id),
                "refused": self._refused,
            }
        return httpserver.json_response(200, response)

    def _set_faults(self, request: httpserver.Request) -> httpserver.Response:
        try:
            self._faults = PlainFaults.model_validate_json(request.body)
        except pydantic.ValidationError as error:
            return httpserver.json_response(
                400, {"error": {"code": "faults_invalid", "message": str(error)}}
            )
        return httpserver.json_response(200, self._faults.model_dump())
