"""The WSGI application: routes, bounded bodies, and exactly one answer a request."""

import abc
import collections.abc
import dataclasses
import re
import urllib.parse
import uuid

from hornbeamglade.callers import bodies, generationcalls, problems, server
from hornbeamglade.core import codederrors, outcomes

SERVICES_PREFIX = "/services/"
KEY_VARIABLE = "HTTP_IDEMPOTENCY_KEY"
_GET_ONLY = {
    "/v1/models": "models",
    "/v1/addresses": "addresses",
    "/metrics": "metrics",
    "/healthz": "health",
    "/readyz": "ready",
    "/status": "status",
    "/members": "members",
}
_NOT_PASSED_BACK = frozenset(("x-request-id", "date", "server"))
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(r"[\x21-\x7e]*")
_FIELD_VALUE = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
_GENERATION_PATHS = (generationcalls.CHAT_PATH, generationcalls.COMPLETIONS_PATH)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request as it arrived.

    :param request_id: made by this node; unique.
    :param method: the HTTP method.
    :param path: the path, still percent-encoded.
    :param query: the query string without its question mark.
    :param header_by_name: values by lower-case name.
    :param body: the body's bytes.
    :param link: the caller's connection.
    """

    request_id: str
    method: str
    path: str
    query: str
    header_by_name: collections.abc.Mapping[str, str]
    body: bytes
    link: server.CallerLink


class AnswerStream(abc.ABC):
    """A streaming answer: byte pieces, and a close that is always called."""

    headers: tuple[tuple[str, str], ...]

    @abc.abstractmethod
    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the answer's pieces."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release what the stream holds; called at its end and when the caller leaves."""


Answer = problems.Response | outcomes.Refusal | AnswerStream


class Handlers(abc.ABC):
    """What the application hands checked requests to."""

    @abc.abstractmethod
    def max_body_bytes(self) -> int:
        """Return the largest body that any service takes."""

    @abc.abstractmethod
    def generate(self, request: CallerRequest) -> Answer:
        """Answer a generation request."""

    @abc.abstractmethod
    def plain(self, service: str, path: str, request: CallerRequest) -> Answer:
        """Pass a call to a plain service.

        :param service: the service's name.
        :param path: the rest of the path, beginning with ``/``.
        """

    @abc.abstractmethod
    def page(self, name: str, request: CallerRequest) -> Answer:
        """Answer one of the node's own pages: models, addresses, metrics and so on."""

    @abc.abstractmethod
    def refused(self, refusal: outcomes.Refusal, authorization: str | None) -> None:
        """Count a refusal that is about to be answered.

        :param authorization: the caller's header, which names its team if it has one.
        """

    @abc.abstractmethod
    def failed(self, error: Exception, request_id: str) -> None:
        """Take note of an error that no handler expected."""


class Application:
    """The WSGI callable.

    :param handlers: what answers.
    """

    def __init__(self, handlers: Handlers) -> None:
        self._handlers = handlers

    def __call__(
        self, environ: dict, start_response: collections.abc.Callable
    ) -> collections.abc.Iterable[bytes]:
        """Answer one request, as WSGI asks."""
        request_id = uuid.uuid4().hex
        answer = self._answer(environ, request_id)
        if isinstance(answer, AnswerStream):
            headers = [("X-Request-Id", request_id), *answer.headers]
            start_response("200 OK", headers)
            return _WatchedStream(answer, self._handlers, request_id)
        if isinstance(answer, outcomes.Refusal):
            self._handlers.refused(answer, environ.get("HTTP_AUTHORIZATION"))
            answer = problems.render(answer, request_id)
        headers = [("X-Request-Id", request_id), *_own(answer.headers)]
        if answer.status not in _STATUSES_WITHOUT_BODY:
            headers.append(("Content-Length", str(len(answer.body))))
        start_response(answer.status_line, headers)
        # A body after the answer to HEAD would be read as the connection's next answer.
        return [b"" if environ["REQUEST_METHOD"] == "HEAD" else answer.body]

    def _answer(self, environ: dict, request_id: str) -> Answer:
        try:
            return self._route(environ, request_id)
        except Exception as error:  # noqa: BLE001
            # An unexpected error in one request must not take the connection down
            # unanswered; whether a backend server ran it is not known here.
            self._handlers.failed(error, request_id)
            return _internal_error(error)

    def _route(self, environ: dict, request_id: str) -> Answer:
        link = environ.get(server.LINK_KEY) or server.CallerLink()
        body = bodies.read(environ, link, self._handlers.max_body_bytes())
        if isinstance(body, outcomes.Refusal):
            return _of_attempt(body, environ)
        request = _request(environ, request_id, body, link)
        malformed = _malformed(request)
        if malformed is not None:
            return _of_attempt(malformed, environ)
        if request.path in _GENERATION_PATHS:
            return self._generate(request)
        if request.path in _GET_ONLY:
            return self._page(_GET_ONLY[request.path], request)
        if request.path.startswith(SERVICES_PREFIX):
            service, _, rest = request.path[len(SERVICES_PREFIX) :].partition("/")
            return self._handlers.plain(urllib.parse.unquote(service), f"/{rest}", request)
        return outcomes.Refusal("path_unknown", 404, f"there is nothing at {request.path}")

    def _generate(self, request: CallerRequest) -> Answer:
        if request.method != "POST":
            return _method_refused(request, "POST")
        return self._handlers.generate(request)

    def _page(self, name: str, request: CallerRequest) -> Answer:
        if request.method not in ("GET", "HEAD"):
            return _method_refused(request, "GET")
        return self._handlers.page(name, request)


class _WatchedStream:
    """A stream whose unexpected error is noted and ends it with one error event.

    Without it the caller would see a connection that breaks off without a word, and
    the node would not hear of an invariant that broke.
    """

    def __init__(self, stream: AnswerStream, handlers: Handlers, request_id: str) -> None:
        self._stream = stream
        self._handlers = handlers
        self._request_id = request_id

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        try:
            # Not ``yield from``: it would end the stream's iterator when the caller
            # leaves, and a stream may go on reading it in ``close`` to record an answer.
            for piece in self._stream:  # noqa: UP028
                yield piece
        except Exception as error:  # noqa: BLE001
            self._handlers.failed(error, self._request_id)
            yield problems.render_event(_internal_error(error))

    def close(self) -> None:
        try:
            self._stream.close()
        except Exception as error:  # noqa: BLE001
            self._handlers.failed(error, self._request_id)


def _own(headers: tuple[tuple[str, str], ...]) -> list[tuple[str, str]]:
    """Leave out what this node says itself instead of a backend server."""
    return [(name, value) for name, value in headers if name.lower() not in _NOT_PASSED_BACK]


def _request(
    environ: dict, request_id: str, body: bytes, link: server.CallerLink
) -> CallerRequest:
    header_by_name = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        header_by_name["content-type"] = environ["CONTENT_TYPE"]
    return CallerRequest(
        request_id=request_id,
        method=environ["REQUEST_METHOD"],
        path=environ.get("REQUEST_URI", environ.get("PATH_INFO", "/")).partition("?")[0],
        query=environ.get("QUERY_STRING", ""),
        header_by_name=header_by_name,
        body=body,
        link=link,
    )


def _malformed(request: CallerRequest) -> outcomes.Refusal | None:
    """Refuse what could not be passed on to any backend server.

    The client library refuses such a request at each replica it is tried on, which
    would count as so many replicas that cannot be reached.
    """
    names = (request.method, *request.header_by_name)
    if not all(_TOKEN.fullmatch(name) for name in names):
        return outcomes.Refusal("request_malformed", 400, "a method or header name is malformed")
    if not _TARGET.fullmatch(request.path + request.query):
        return outcomes.Refusal("request_malformed", 400, "the path or query is not quoted")
    if not all(_FIELD_VALUE.fullmatch(value) for value in request.header_by_name.values()):
        return outcomes.Refusal("request_malformed", 400, "a header holds a control character")
    return None


def _of_attempt(refusal: outcomes.Refusal, environ: dict) -> outcomes.Refusal:
    """Say "not run" of this attempt alone when the request carries a key.

    An earlier request with the same key may have run, and its claim was not read.
    """
    if KEY_VARIABLE not in environ:
        return refusal
    unknown = outcomes.RunStatus.UNKNOWN
    return dataclasses.replace(refusal, run=unknown, attempt_run=refusal.run)


def _internal_error(error: Exception) -> outcomes.Refusal:
    code = error.code if isinstance(error, codederrors.CodedError) else "internal_error"
    detail = "the node failed while it handled the request"
    return outcomes.Refusal(code, 500, detail, outcomes.RunStatus.UNKNOWN)


def _method_refused(request: CallerRequest, allowed: str) -> outcomes.Refusal:
    detail = f"{request.path} takes {allowed}, not {request.method}"
    return outcomes.Refusal("method_not_allowed", 405, detail)
