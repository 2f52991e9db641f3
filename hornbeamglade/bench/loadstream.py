"""One stream of a load driver: its socket, the check of its tokens and its timing."""

import json
import socket

from hornbeamglade.bench import loadplan, loadresponses
from hornbeamglade.observability import metricsstream

_READ_BYTES = 65_536


class CallerStream:
    """Sends one request and reads its response.

    :param planned: the request.
    :param now: monotonic time at which it is sent.
    :param due_at: monotonic time at which it should have been sent.
    """

    def __init__(
        self,
        planned: loadplan.PlannedRequest,
        now: float,
        due_at: float,
        stall_threshold_s: float,
    ) -> None:
        self.planned = planned
        self.ending: loadplan.Ending | None = None
        self.last_token_at: float | None = None
        self._sent_at = now
        self._due_at = due_at
        self._attempt = 0
        self._times = metricsstream.StreamTimes(now, stall_threshold_s=stall_threshold_s)
        self._parser = loadresponses.ResponseParser()
        self._outgoing = b""
        self._mark = b""
        self._next_offset = 0
        self._keep_alives = 0
        self._error = b""
        self._code = ""
        self.connection = self._connect()

    def write(self) -> bool:
        """Send the rest of the request; return whether all of it is sent."""
        sent = self.connection.send(self._outgoing)
        self._outgoing = self._outgoing[sent:]
        return not self._outgoing

    def read(self, now: float) -> int:
        """Read what has arrived by ``now``; return the number of tokens in it."""
        data = self.connection.recv(_READ_BYTES)
        if not data:
            self._closed_by_peer()
            return 0
        tokens = 0
        for event in self._parser.feed(data):
            if isinstance(event, loadresponses.Token):
                tokens += 1
                self._check_token(event, now)
            elif event is loadresponses.KEEP_ALIVE:
                self._keep_alives += self._next_offset > 0
            elif event is loadresponses.DONE:
                is_complete = self._next_offset == self.planned.answer_tokens
                self._end(
                    "complete" if is_complete else "violated", "" if is_complete else "short"
                )
            else:
                self._error = event.data
                self._end("failed", "")
        if self.ending is None and self._parser.complete:
            self._closed_by_peer()
        return tokens

    def connection_failed(self, error: Exception) -> bool:
        """Handle a failed connection; return whether another address is tried."""
        self.connection.close()
        answered = self._parser.status is not None
        self._attempt += 1
        if answered or self._attempt >= len(self.planned.addresses):
            self._end("failed", type(error).__name__)
            return False
        self.connection = self._connect()
        return True

    def cut_off(self) -> None:
        """Record that the benchmark ended before the stream."""
        self._end("cut", "")

    def result(self, now: float) -> loadplan.StreamResult:
        """Return the outcome as the caller saw it."""
        self._times.finish(now)
        problem = _problem(self._error or self._parser.body)
        refused_or_failed = self.ending in ("refused", "failed")
        return loadplan.StreamResult(
            number=self.planned.number,
            team=self.planned.team,
            at_s=self.planned.at_s,
            late_s=self._sent_at - self._due_at,
            ending=self.ending or "cut",
            status=self._parser.status,
            code=self._code or (problem.get("code", "") if refused_or_failed else ""),
            run=problem.get("run", "") if refused_or_failed else "",
            tokens=self._next_offset,
            time_to_first_token_s=self._times.time_to_first_token_s,
            stall_s=self._times.stall_s,
            longest_gap_s=self._times.longest_gap_s,
            keep_alives=self._keep_alives,
            duration_s=now - self._sent_at,
        )

    def _check_token(self, token: loadresponses.Token, now: float) -> None:
        if self._next_offset == 0:
            self._mark = token.mark
        if token.offset != self._next_offset or token.mark != self._mark:
            self._end("violated", "order" if token.mark == self._mark else "splice")
        self._next_offset += 1
        self._times.token(now)
        self.last_token_at = now

    def _closed_by_peer(self) -> None:
        status = self._parser.status
        if status is not None and status >= 400:
            self._end("refused", "")
        else:
            self._end("failed", "closed")

    def _end(self, ending: loadplan.Ending, code: str) -> None:
        # The first ending counts: a violation is not overwritten by later events.
        if self.ending is None:
            self.ending = ending
            self._code = code

    def _connect(self) -> socket.socket:
        host, _, port = self.planned.addresses[self._attempt].rpartition(":")
        self._outgoing = _request_bytes(self.planned, f"{host}:{port}")
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.connect_ex((host, int(port)))
        return connection


def _request_bytes(planned: loadplan.PlannedRequest, host: str) -> bytes:
    body = planned.body.encode()
    header_by_name = {
        "Host": host,
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **planned.header_by_name,
    }
    lines = [f"POST {planned.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in header_by_name.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _problem(text: bytes) -> dict[str, str]:
    """Return the error code and run status that an error body contains, if any."""
    try:
        document = json.loads(text)
    except ValueError:
        return {}
    if not isinstance(document, dict):
        return {}
    error_object = document.get("error")
    merged = {**error_object, **document} if isinstance(error_object, dict) else document
    return {name: str(merged[name]) for name in ("code", "run") if name in merged}
