"""A caller's raw connection, and handlers whose behaviour the path selects."""

import json
import socket
import threading
import time

from hornbeamglade.callers import application, problems
from hornbeamglade.core import outcomes

MAX_BODY_BYTES = 2000
TIMEOUT_S = 10.0


def wait_for(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        time.sleep(0.005)


class Stream(application.AnswerStream):
    headers = (("Content-Type", "text/event-stream"),)

    def __init__(self, kind):
        self.kind = kind
        self.close_count = 0
        self.pieces = self.relay()

    def relay(self):
        if self.kind == "raise_first":
            raise RuntimeError("before the first piece")
        if self.kind == "empty":
            return
        yield b"data: one\n\n"
        if self.kind == "raise":
            raise RuntimeError("in the middle")
        while self.kind in ("endless", "recorded") and not self.close_count:
            time.sleep(0.005)
            yield b": keep-alive\n\n"
        yield b"data: [DONE]\n\n"

    def __iter__(self):
        return self.pieces

    def close(self):
        self.close_count += 1
        self.rest = tuple(self.pieces)
        if self.kind == "raise_close":
            raise RuntimeError("while closing")


class Handlers(application.Handlers):
    def __init__(self):
        self.streams = []
        self.requests = []
        self.errors = []
        self.refusals = []
        self.disconnected_requests = []
        self.entered = threading.Event()

    def max_body_bytes(self):
        return MAX_BODY_BYTES

    def generate(self, request):
        self.streams.append(Stream(request.body.decode()))
        return self.streams[-1]

    def plain(self, service, path, request):
        self.requests.append(request)
        if service == "raise":
            raise RuntimeError("no handler expected this")
        if service == "wait":
            self.entered.set()
            wait_for(request.link.is_gone)
            self.disconnected_requests.append(request.request_id)
        return problems.Response(200, (("Content-Type", "text/plain"),), request.body)

    def page(self, name, request):
        return problems.Response(200, (), name.encode())

    def refused(self, refusal, authorization):
        self.refusals.append(refusal)

    def failed(self, error, request_id):
        self.errors.append(error)


class Caller:
    """One connection; responses are read by their framing, so that a stray byte is detected."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), TIMEOUT_S)
        self.reader = self.socket.makefile("rb")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        self.reader.close()
        self.socket.close()

    def send(self, data):
        self.socket.sendall(data)

    def send_request(self, method, path, body=b"", headers=b""):
        self.send(request(method, path, body, headers))
        return self.answer(method)

    def answer(self, method="GET"):
        """Return status, headers and body of the next response; None at the end."""
        line = self.reader.readline()
        if not line:
            return None
        assert line.startswith(b"HTTP/1.1 "), line
        header_by_name = {}
        while (field := self.reader.readline()) != b"\r\n":
            name, _, value = field.partition(b":")
            header_by_name[name.strip().lower().decode()] = value.strip().decode()
        return int(line.split()[1]), header_by_name, self._body(method, header_by_name)

    def _body(self, method, header_by_name):
        if method == "HEAD":
            return b""
        if header_by_name.get("transfer-encoding") != "chunked":
            return self.reader.read(int(header_by_name.get("content-length", 0)))
        body = b""
        while size := int(self.reader.readline() or b"0", 16):
            body += self.reader.read(size)
            assert self.reader.read(2) == b"\r\n"
        self.reader.readline()
        return body


def request(method, path, body=b"", headers=b""):
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\n".encode() + headers
    if b"Transfer-Encoding" not in headers and b"Content-Length" not in headers:
        head += b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body


def run_status(answer):
    return outcomes.RunStatus(json.loads(answer[2])["run"])
