"""A client of a local site: sends requests and keeps the responses."""

import collections.abc
import dataclasses
import json
import typing

import urllib3

READ_TIMEOUT_S = 60.0
EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE = b"[DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The response to one request.

    :param status: the HTTP status; 0 when the connection was lost.
    :param headers: header values by lower-case name.
    :param body: the response body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    @property
    def code(self) -> str | None:
        """The code of a refusal, or None for any other response."""
        return self.json().get("code") if self._is_problem() else None

    @property
    def run(self) -> str | None:
        """Whether the request ran according to the refusal, or None for any other response."""
        return self.json().get("run") if self._is_problem() else None

    @property
    def text(self) -> str:
        """The generated text of a complete response."""
        choice = self.json()["choices"][0]
        return choice["message"]["content"] if "message" in choice else choice["text"]

    def _is_problem(self) -> bool:
        return self.headers.get("content-type") == "application/problem+json"


class StreamReply:
    """A streamed response, read event by event.

    :param response: the open response.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self.status = response.status
        self.texts: list[str] = []
        self.error: dict[str, str] | None = None
        self.is_done = False
        self._response = response
        self._buffer = b""

    def read_tokens(self, count: int) -> None:
        """Read until ``count`` tokens have arrived or the stream has ended."""
        for _ in self._events():
            if len(self.texts) >= count:
                return

    def read_all(self) -> None:
        """Read to the end of the stream or of the connection."""
        for _ in self._events():
            pass

    def close(self) -> None:
        """Close the connection in the middle of the response, as a caller that leaves does."""
        self._response.close()

    def _events(self) -> collections.abc.Iterator[None]:
        while True:
            while EVENT_END in self._buffer:
                event, _, self._buffer = self._buffer.partition(EVENT_END)
                self._parse_event(event)
                yield
            try:
                data = self._response.read1(65_536)
            except (urllib3.exceptions.HTTPError, OSError):
                return
            if not data:
                return
            self._buffer += data

    def _parse_event(self, event: bytes) -> None:
        if not event.startswith(DATA_PREFIX):
            return
        data = event[len(DATA_PREFIX) :]
        if data == DONE:
            self.is_done = True
            return
        chunk = json.loads(data)
        if "error" in chunk:
            self.error = chunk["error"]
            return
        choice = chunk["choices"][0]
        text = choice["delta"].get("content", "") if "delta" in choice else choice["text"]
        if text:
            self.texts.append(text)


class Caller:
    """A client of one team, connected to one node.

    :param address: the node's ``ip:port``.
    :param key: the team's API key.
    """

    def __init__(self, address: str, key: str) -> None:
        self._base = f"http://{address}"
        self._headers = {"Authorization": f"Bearer {key}"}
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(connect=5.0, read=READ_TIMEOUT_S)
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: collections.abc.Mapping[str, str] | None = None,
    ) -> Reply:
        """Send one request and read the complete response."""
        try:
            response = self._http.request(
                method, self._base + path, body=body, headers=self._headers | dict(headers or {})
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Reply(0, {}, str(error).encode())
        headers_by_name = {name.lower(): value for name, value in response.headers.items()}
        return Reply(response.status, headers_by_name, response.data)

    def generate(
        self, prompt: str, tokens: int, key: str | None = None, **members: typing.Any
    ) -> Reply:
        """Request a chat completion of ``tokens`` tokens without streaming.

        :param key: the ``Idempotency-Key``, if any.
        """
        headers = {"Idempotency-Key": key} if key else None
        body = _chat_body(prompt, tokens, members)
        return self.call("POST", "/v1/chat/completions", body, headers)

    def stream(
        self, prompt: str, tokens: int, key: str | None = None, **members: typing.Any
    ) -> StreamReply:
        """Request a streamed chat completion of ``tokens`` tokens."""
        headers = self._headers | ({"Idempotency-Key": key} if key else {})
        response = self._http.request(
            "POST",
            self._base + "/v1/chat/completions",
            body=_chat_body(prompt, tokens, {"stream": True} | members),
            headers=headers,
            preload_content=False,
        )
        return StreamReply(response)


def _chat_body(prompt: str, tokens: int, members: dict[str, typing.Any]) -> bytes:
    body = {
        "model": "draft",
        "messages": [{"role": "user", "content": prompt}],
        "x_answer_tokens": tokens,
    }
    return json.dumps(body | members).encode()
