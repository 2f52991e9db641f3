"""Callers of the recovery benchmark, which use listed addresses and record latencies."""

import collections.abc
import dataclasses
import enum
import json
import threading
import time

from hornbeamglade.bench import loadresponses, recoveryexchange
from hornbeamglade.core import codederrors

ADDRESSES_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 25.0
"""Longer than any fault lasts, so that a late response counts as slow and not as lost."""

_REFUSED_FROM = 400


class Ending(enum.Enum):
    """How a caller's request ended."""

    WHOLE = "whole"
    REFUSED = "refused"
    CUT = "cut"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One planned request.

    :param name: unique in the benchmark; the ``Idempotency-Key`` of a hold.
    :param tokens: length of the response; 0 for a hold.
    :param due_at: monotonic seconds at which it is sent.
    """

    name: str
    tokens: int
    due_at: float

    @property
    def is_hold(self) -> bool:
        """Whether it may run at most once."""
        return not self.tokens


@dataclasses.dataclass(slots=True)
class Record:
    """Outcome of one request at its caller, with times in monotonic seconds.

    :param first_at: when the first token or the response of a hold arrived.
    :param gap_s: the longest time between two tokens.
    :param gap_at: when that gap ended.
    :param request_id: id that the answering node gave the request.
    :param mark: mark of the generation, as contained in the tokens.
    :param run: whether the request ran according to a refusal, over all attempts with the
        key of a hold.
    :param attempt_run: whether the refused attempt itself ran; the same without a key.
    :param attempts: number of addresses that were tried.
    :param violated: kind of error in the tokens; empty without one.
    """

    call: Call
    ending: Ending = Ending.UNKNOWN
    ended_at: float = 0.0
    code: str = ""
    run: str = ""
    attempt_run: str = ""
    first_at: float | None = None
    gap_s: float = 0.0
    gap_at: float = 0.0
    request_id: str = ""
    mark: str = ""
    tokens: int = 0
    attempts: int = 0
    violated: str = ""

    @property
    def first_s(self) -> float:
        """Seconds from the planned time until the first token."""
        return (self.first_at or self.ended_at) - self.call.due_at


class AddressBook:
    """The addresses that one caller uses, in order of preference.

    Explanation
    ===========

    The order is the one that the site listed. An address that failed moves to the end until
    the next refresh. The initial addresses are a last resort.

    :param initial: the addresses the caller starts with.
    :param key: API key of the team.
    """

    def __init__(self, initial: collections.abc.Sequence[str], key: str) -> None:
        self._initial = tuple(initial)
        self._listed = self._initial
        self._key = key
        self._lock = threading.Lock()

    def order(self) -> tuple[str, ...]:
        """Return the addresses in the order in which to try them."""
        with self._lock:
            return tuple(dict.fromkeys(self._listed + self._initial))

    def mark_failed(self, address: str) -> None:
        """Move an address to the end after a connection failed or was lost."""
        with self._lock:
            rest = tuple(each for each in self._listed if each != address)
            self._listed = (*rest, address) if address in self._listed else rest

    def refresh(self) -> float:
        """Fetch the address list; return the seconds for which it is valid."""
        request_bytes = recoveryexchange.build_request("GET", "/v1/addresses", self._key)
        for address in self.order():
            try:
                parser = recoveryexchange.send_request(address, request_bytes, ADDRESSES_TIMEOUT_S)
            except (OSError, ValueError, codederrors.CodedError):
                self.mark_failed(address)
                continue
            if parser.status == 200 and parser.complete:
                document = json.loads(parser.body)
                with self._lock:
                    self._listed = tuple(document["addresses"])
                return float(document["ttl_s"])
        return ADDRESSES_TIMEOUT_S


class Caller:
    """Sends requests and records how they ended; safe to use from several threads.

    :param address_book: the addresses to use.
    :param key: API key of the team.
    """

    def __init__(self, address_book: AddressBook, key: str) -> None:
        self.address_book = address_book
        self._key = key

    def send(self, call: Call) -> Record:
        """Send a request, and retry at the next address when a connection fails.

        A generation is not retried after its first token. A hold is retried with the same
        idempotency key, so it runs at most once.
        """
        record = Record(call)
        request_bytes = (
            _hold_request(call, self._key)
            if call.is_hold
            else _generation_request(call, self._key)
        )
        for address in self.address_book.order():
            record.attempts += 1
            if self._attempt(address, request_bytes, record):
                break
            self.address_book.mark_failed(address)
        record.ended_at = time.monotonic()
        return record

    def _attempt(self, address: str, request_bytes: bytes, record: Record) -> bool:
        """Try one address; return whether the request has ended."""
        recorder = _ResponseRecorder(record)
        try:
            return recorder.conclude(
                recoveryexchange.send_request(
                    address, request_bytes, READ_TIMEOUT_S, recorder.record_event
                )
            )
        except TimeoutError as error:
            record.code = type(error).__name__
            return not isinstance(error, recoveryexchange.NotConnectedError)
        # A truncated response may not parse as HTTP or JSON; that is a lost connection.
        except (OSError, ValueError, codederrors.CodedError) as error:
            record.code = type(error).__name__
            record.ending = Ending.CUT if record.tokens else Ending.UNKNOWN
            return record.tokens > 0


class _ResponseRecorder:
    """Records the events of one response."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._last_at = 0.0
        self._is_done = False
        self._error = b""

    def record_event(self, event: loadresponses.Event) -> None:
        if isinstance(event, loadresponses.Token):
            self._record_token(event)
        elif isinstance(event, loadresponses.Done):
            self._is_done = True
        elif isinstance(event, loadresponses.StreamError):
            self._error = event.data

    def conclude(self, parser: loadresponses.ResponseParser) -> bool:
        """Record how the response ended; return False if the connection closed without one."""
        record = self._record
        if parser.status is None or (record.call.is_hold and not parser.complete):
            record.code = "closed"
            return False
        record.request_id = parser.header_by_name.get("x-request-id", "")
        if parser.status >= _REFUSED_FROM or self._error:
            self._record_refusal(self._error or parser.body)
        elif record.call.is_hold:
            record.first_at = time.monotonic()
            record.ending = Ending.WHOLE
        elif self._is_done:
            record.ending = Ending.WHOLE
            if record.tokens != record.call.tokens:
                record.violated = record.violated or "lost"
        else:
            record.ending = Ending.CUT
            record.code = "closed"
        return True

    def _record_token(self, token: loadresponses.Token) -> None:
        record = self._record
        now = time.monotonic()
        mark = token.mark.decode()
        if record.tokens == 0:
            record.first_at = now
            record.mark = mark
        elif now - self._last_at > record.gap_s:
            record.gap_s = now - self._last_at
            record.gap_at = now
        if mark != record.mark:
            record.violated = "spliced"
        elif token.offset != record.tokens:
            record.violated = "doubled" if token.offset < record.tokens else "lost"
        record.tokens += 1
        self._last_at = now

    def _record_refusal(self, problem: bytes) -> None:
        record = self._record
        document = json.loads(problem)
        document = document.get("error", {}) | document
        record.code = str(document.get("code", ""))
        record.run = str(document.get("run", ""))
        record.attempt_run = str(document.get("attempt_run", record.run))
        if record.tokens or record.run == "ran":
            record.ending = Ending.CUT
        elif record.attempt_run == "not_run":
            record.ending = Ending.REFUSED


def _generation_request(call: Call, key: str) -> bytes:
    body = {
        "model": "draft",
        "messages": [{"role": "user", "content": f"letter {call.name}"}],
        "x_answer_tokens": call.tokens,
        "stream": True,
    }
    return recoveryexchange.build_request(
        "POST", "/v1/chat/completions", key, json.dumps(body).encode()
    )


def _hold_request(call: Call, key: str) -> bytes:
    headers = {"Idempotency-Key": call.name}
    return recoveryexchange.build_request("POST", "/services/holds/units", key, b"{}", headers)
