"""A stand-in for a model engine, for tests and the demo.

Explanation
===========

It implements the protocol of ``docs/PROTOCOLS.md`` and steps the model of
:mod:`hornbeamglade.emulator.enginemodel` in real time. In addition it serves
``GET /standin/ledger`` (every generation that was run) and ``PUT /standin/faults``
(:class:`hornbeamglade.standins.enginesettings.EngineFaults`).

When the peer closes its connection cleanly, the generation is cancelled. After a reset,
or after a fault of this stand-in closed the connection, the stream may be resumed.
"""

import collections.abc
import dataclasses
import errno
import os
import queue
import select
import socket

import pydantic

from hornbeamglade.core import codederrors
from hornbeamglade.standins import enginegenerations, engineresponses, enginesettings, httpserver

EngineSettings = enginesettings.EngineSettings
EngineFaults = enginesettings.EngineFaults

CRASHED = 1
_STREAMS = "/v1/streams/"
_GENERATION_PATHS = frozenset({"/v1/completions", engineresponses.CHAT_PATH})


def serve(settings: EngineSettings) -> httpserver.Server:
    """Create a server; it accepts requests after its ``start()``."""
    generations = enginegenerations.Generations(settings)
    return httpserver.Server(
        settings.bind,
        _Engine(settings, generations).handle,
        settings.threads,
        on_start=generations.start,
        on_stop=generations.stop,
    )


def run(settings: EngineSettings) -> None:
    """Serve until SIGTERM."""
    httpserver.run_until_terminated(serve(settings))


class _Wanted(pydantic.BaseModel):
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""


class _Order(pydantic.BaseModel):
    fencing: int
    wanted: _Wanted


def _error(status: int, code: str, message: str) -> httpserver.Response:
    return httpserver.json_response(status, {"error": {"code": code, "message": message}})


class _Engine:
    """The HTTP routes of the engine."""

    def __init__(
        self, settings: EngineSettings, generations: enginegenerations.Generations
    ) -> None:
        self._settings = settings
        self._generations = generations
        self._present = _Wanted(models=settings.models)
        self._newest_fencing = 0
        self._orders: list[_Order] = []
        self._handler_by_route: dict[tuple[str, str], httpserver.Handler] = {
            ("GET", "/health"): lambda _: httpserver.json_response(200, {"ok": True}),
            ("GET", "/load"): self._load,
            ("GET", "/cache-events"): self._cache_events,
            ("GET", "/orders"): lambda _: self._orders_response(),
            ("POST", "/orders"): self._order,
            ("GET", "/standin/ledger"): self._ledger,
            ("PUT", "/standin/faults"): self._set_faults,
        }

    def handle(self, request: httpserver.Request) -> httpserver.Response | None:
        """Handle one request."""
        if request.method == "POST" and request.path in _GENERATION_PATHS:
            return self._echo_id(request, self._generate(request))
        if request.path.startswith(_STREAMS):
            response = self._stream(request, request.path.removeprefix(_STREAMS))
            return self._echo_id(request, response)
        handler = self._handler_by_route.get((request.method, request.path))
        if handler is None:
            return _error(404, "not_found", f"there is no {request.method} {request.path}")
        return handler(request)

    def _generate(self, request: httpserver.Request) -> httpserver.Response:
        faults = self._generations.faults
        if faults.refuse:
            self._generations.refused += 1
            response = {"error": {"code": "engine_refuses", "message": "not run"}}
            return httpserver.json_response(503, response, (("X-Not-Run", "true"),))
        if self._settings.crash_on and self._settings.crash_on.encode() in request.body:
            os._exit(CRASHED)
        request_id = request.headers.get("x-request-id", "")
        try:
            generation = engineresponses.parse(request.path, request.body, self._settings.seed)
            if generation.model not in (*self._present.models, *self._present.adapters):
                return _error(404, "model_not_found", f"{generation.model} isn't loaded")
            mark = engineresponses.marker(request_id, generation.prompt, self._settings.seed)
            key = request.headers.get("idempotency-key")
            run = enginegenerations.Run(request_id, key, request.path, generation, mark)
            self._generations.submit(run, int(request.headers.get("x-priority", "0")))
        except codederrors.CodedError as error:
            return _error(400, error.code, error.detail)
        return self._stream_answer(request, run, 0)

    def _echo_id(
        self, request: httpserver.Request, response: httpserver.Response
    ) -> httpserver.Response:
        request_id = request.headers.get("x-request-id", "")
        crossed = self._generations.faults.wrong_request_id
        echoed = f"crossed-{request_id}" if crossed else request_id
        return dataclasses.replace(response, headers=(*response.headers, ("X-Request-Id", echoed)))

    def _stream(self, request: httpserver.Request, request_id: str) -> httpserver.Response:
        if request.method == "DELETE":
            cancelled = self._generations.cancel(request_id)
            return httpserver.json_response(200 if cancelled else 404, {"cancelled": cancelled})
        run = self._generations.find(request_id)
        if run is None or not self._settings.resume:
            return _error(404, "stream_gone", f"there is no stream {request_id}")
        last_offset = int(request.headers.get("last-event-id", "-1"))
        return self._stream_answer(request, run, last_offset + 1)

    def _stream_answer(
        self, request: httpserver.Request, run: enginegenerations.Run, first_offset: int
    ) -> httpserver.Response:
        body = _events(
            self._generations, run, first_offset, request.connection, self._settings.keep_alive_s
        )
        headers = (("Cache-Control", "no-store"),)
        return httpserver.Response(200, body, headers, "text/event-stream")

    def _load(self, request: httpserver.Request) -> httpserver.Response | None:
        faults = self._generations.faults
        if faults.mute_load:
            return None
        sample, age_s = self._generations.lagging_load()
        load = sample.load
        response = {
            "sequence": sample.sequence,
            "age_s": age_s,
            "capacity_tokens": load.capacity_tokens,
            "used_tokens": load.used_tokens,
            "running": load.running,
            "waiting": load.waiting,
            "preemptions": load.preemptions,
            "leaving": faults.leaving,
            "models": self._present.models,
        }
        return httpserver.json_response(200, response)

    def _cache_events(self, request: httpserver.Request) -> httpserver.Response:
        after = int(request.query_by_name.get("after", "0"))
        events = self._generations.cache_events(after)
        response = {
            "events": [{"sequence": e.sequence, "kind": e.kind, "block": e.block} for e in events],
            "next": events[-1].sequence if events else after,
        }
        return httpserver.json_response(200, response)

    def _order(self, request: httpserver.Request) -> httpserver.Response:
        try:
            order = _Order.model_validate_json(request.body)
        except pydantic.ValidationError as error:
            return _error(400, "order_invalid", str(error))
        if self._settings.checks_fencing and order.fencing < self._newest_fencing:
            return httpserver.json_response(409, {"newest": self._newest_fencing})
        self._newest_fencing = max(self._newest_fencing, order.fencing)
        self._present = order.wanted
        self._orders.append(order)
        return self._orders_response()

    def _orders_response(self) -> httpserver.Response:
        return httpserver.json_response(200, {"present": self._present.model_dump()})

    def _set_faults(self, request: httpserver.Request) -> httpserver.Response:
        try:
            faults = EngineFaults.model_validate_json(request.body)
        except pydantic.ValidationError as error:
            return _error(400, "faults_invalid", str(error))
        self._generations.set_faults(faults)
        return httpserver.json_response(200, faults.model_dump())

    def _ledger(self, request: httpserver.Request) -> httpserver.Response:
        runs = [
            {
                "request_id": entry.request_id,
                "idempotency_key": entry.idempotency_key,
                "path": entry.path,
                "mark": entry.mark,
                "tokens": entry.produced,
                "answer_tokens": entry.generation.answer_tokens,
                "state": entry.state.value,
            }
            for entry in self._generations.ledger()
        ]
        response = {
            "runs": runs,
            "refused": self._generations.refused,
            "orders": [order.model_dump() for order in self._orders],
        }
        return httpserver.json_response(200, response)


def _events(
    generations: enginegenerations.Generations,
    run: enginegenerations.Run,
    first_offset: int,
    connection: socket.socket,
    keep_alive_s: float,
) -> collections.abc.Iterator[bytes]:
    """Yield a generation's events for one connection until either of them ends."""
    wake = generations.attach(run)
    encoder = engineresponses.EventEncoder(run.generation, run.request_id, run.mark)
    watcher = select.poll()
    watcher.register(connection, select.POLLRDHUP)
    sent = first_offset
    is_resumable = True
    try:
        if not generations.faults.stall:
            yield engineresponses.KEEP_ALIVE
        while True:
            woken = _wait(wake, keep_alive_s)
            if run.wake is not wake or generations.stopping:
                break
            if watcher.poll(0):
                is_resumable = _was_reset(connection)
                break
            if generations.faults.stall:
                continue
            if not woken:
                yield engineresponses.KEEP_ALIVE
            die_after = generations.faults.die_after_tokens
            while sent < run.produced and sent != die_after and not watcher.poll(0):
                yield encoder.token(sent)
                sent += 1
            if sent == die_after:
                break
            if run.state is enginegenerations.RunState.CANCELLED:
                yield engineresponses.error_event("cancelled", "the stream was cancelled")
                break
            if run.state is enginegenerations.RunState.FINISHED and sent >= run.produced:
                reason = "length" if run.truncated else run.generation.finish_reason
                yield encoder.final(reason, run.produced)
                return
        httpserver.close_connection(connection)
    finally:
        generations.detach(run, wake, is_resumable)


def _wait(wake: queue.SimpleQueue[None], timeout_s: float) -> bool:
    try:
        wake.get(timeout=timeout_s)
    except queue.Empty:
        return False
    return True


def _was_reset(connection: socket.socket) -> bool:
    """Return whether a connection was reset rather than closed cleanly.

    A peer that closes while a token is in flight replies to the token with a reset.
    Linux distinguishes the two cases: a reset after a clean close is EPIPE.
    """
    return connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNRESET
