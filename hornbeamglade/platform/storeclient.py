"""The only client of the platform's metadata store: HTTP calls with urllib3.

Explanation
===========

Connecting, sending and receiving each take at most ``timeout_s``, so a call takes at most three
times as long. Calls are never retried here, because only the caller knows whether a write may
be sent twice. What an error says about the effect of a write:

- no connection could be made, or status 429 or 503: no effect, ``Unavailable``;
- anything else that is not a response of the protocol (lost connection, timeout, a
  truncated or malformed body, another status): ``Unknown``.

A read has no effect, so every failed one is ``Unavailable``.

This module returns versions as positions, and takes them as such. A response of an earlier era
is discarded. A condition on a version of an earlier era is a conflict, and is not sent.
"""

import dataclasses
import http
import socket
import time
import traceback
import typing
import urllib.parse

import pydantic
import urllib3

from hornbeamglade.http1 import wholeheads
from hornbeamglade.platform import storebodies, storeera
from hornbeamglade.store import contract, positions

POOL_SIZE = 32
PAGE_ROWS = 500
"""Maximum number of rows in one response."""

MAX_RESPONSE_BYTES = 33_554_432
"""Several times the largest object or page of rows."""

_REFUSED = frozenset((http.HTTPStatus.TOO_MANY_REQUESTS, http.HTTPStatus.SERVICE_UNAVAILABLE))
_HISTORY_LOST = http.HTTPStatus.GONE
_CONDITION_FAILED = http.HTTPStatus.PRECONDITION_FAILED
_LAST_CHARACTER = chr(0x10FFFF)


class _BoundedSocket(socket.socket):
    """A socket whose timeout limits the total time and bytes of receiving since it was set.

    The usual timeout restarts with each ``recv``, so a server that sends one byte before each
    timeout could block a caller forever, and one that sends without end would fill the memory.
    urllib3 sets the timeout once before it reads a response, so the totals are limited here.
    """

    _deadline = float("inf")
    _received_bytes = 0

    def settimeout(self, value: float | None) -> None:
        self._deadline = float("inf") if value is None else time.monotonic() + value
        self._received_bytes = 0
        super().settimeout(value)

    def recv_into(self, *args: typing.Any, **kwargs: typing.Any) -> int:
        remaining_s = self._deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("response not received in time")
        if remaining_s != float("inf"):
            super().settimeout(remaining_s)
        received_bytes = super().recv_into(*args, **kwargs)
        self._received_bytes += received_bytes
        if self._received_bytes > MAX_RESPONSE_BYTES:
            raise ConnectionError("response too long")
        return received_bytes


class _Connection(wholeheads.WholeHeadConnection):
    def _new_conn(self) -> socket.socket:
        plain = super()._new_conn()
        timeout_s = plain.gettimeout()
        bounded = _BoundedSocket(plain.family, plain.type, plain.proto, fileno=plain.detach())
        bounded.settimeout(timeout_s)
        return bounded


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    """A response of the store, and its era."""

    status: int
    data: bytes
    era: int


class StoreClient(contract.Table, contract.ObjectStore, contract.Feed):
    """The store's tables, feeds and objects; thread-safe.

    :param address: ``ip:port`` of the store, or its base URL.
    :param timeout_s: seconds that connecting, sending and receiving may take, each.
    """

    def __init__(self, address: str, timeout_s: float = 2.0) -> None:
        url = urllib3.util.parse_url(address if "//" in address else f"http://{address}")
        self._timeout_s = timeout_s
        self._pool = _Pool(url.host, url.port, maxsize=POOL_SIZE, block=False, retries=False)
        self._era = storeera.StoreEra()

    def read(self, key: str) -> contract.ReadOutcome:
        """Read the newest version of one row."""
        name = storebodies.RowName.from_key(key)
        read = self._rows(name.table, name.part, name.key, None, 1)
        if isinstance(read, contract.Unavailable):
            return read
        response, era = read
        for row in response.rows:
            if row.full_key() == key:
                return _found(row, era)
        return contract.Missing(key)

    def scan(
        self, prefix: str, limit: int | None = None
    ) -> tuple[contract.Row, ...] | contract.Unavailable:
        """Read rows whose key begins with ``prefix``, sorted by key."""
        start = storebodies.RowName.from_key(prefix)
        end = start.key + _LAST_CHARACTER
        found: list[contract.Row] = []
        first = start.key
        while True:
            wanted = PAGE_ROWS if limit is None else min(PAGE_ROWS, limit - len(found))
            read = self._rows(start.table, start.part, first, end, wanted)
            if isinstance(read, contract.Unavailable):
                return read
            response, era = read
            found += [row.to_row(era) for row in response.rows]
            if not response.truncated or (limit is not None and len(found) >= limit):
                return tuple(found)
            next_first = _after_last(response)
            if next_first is None or next_first <= first:
                return contract.Unavailable(f"a page of {prefix} has no further rows")
            first = next_first

    def snapshot(self, table: str) -> contract.Snapshot | contract.Unavailable:
        """Read the content of a table at one moment.

        Explanation
        ===========

        A large table takes several responses, each with the rows of its own moment. Reading
        again until all are of the same moment would not end while the table keeps changing.
        Instead, the changes since the first response are applied to the rows of all, which
        brings each row to the moment of the last change: a row that did not change since the
        first response is the same in each later one.
        """
        pages = self._pages(table)
        if isinstance(pages, contract.Unavailable):
            return pages
        responses, era = pages
        rows = (row.to_row(era) for response in responses for row in response.rows)
        row_by_key = {row.key: row for row in rows}
        version = positions.position(era, responses[0].ver)
        newest = positions.position(era, max(response.ver for response in responses))
        while version < newest:
            changes = self.changes(table, version, 0.0)
            if isinstance(changes, contract.Unavailable):
                return changes
            if isinstance(changes, contract.HistoryLost) or changes.version <= version:
                return contract.Unavailable(f"the changes of table {table} were not kept")
            row_by_key.update((row.key, row) for row in changes.written_rows)
            for key in changes.deleted_keys:
                row_by_key.pop(key, None)
            version = changes.version
        return contract.Snapshot(tuple(row_by_key[key] for key in sorted(row_by_key)), version)

    def _pages(self, table: str) -> tuple[list[storebodies.Rows], int] | contract.Unavailable:
        """Read all rows of a table; return the responses with their era."""
        responses: list[storebodies.Rows] = []
        era: int | None = None
        first = ""
        while True:
            read = self._rows(table, "", first, None, PAGE_ROWS)
            if isinstance(read, contract.Unavailable):
                return read
            response, response_era = read
            if era is not None and response_era != era:
                return contract.Unavailable(f"table {table} was restored while it was read")
            era = response_era
            responses.append(response)
            if not response.truncated:
                return responses, era
            next_first = _after_last(response)
            if next_first is None or next_first <= first:
                return contract.Unavailable(f"a page of table {table} has no further rows")
            first = next_first

    def changes(
        self, table: str, after: int, wait_s: float
    ) -> contract.Changes | contract.HistoryLost | contract.Unavailable:
        """Wait for changes of a table after a version."""
        era = positions.era(after)
        if era != self._era.known:
            return contract.HistoryLost()
        version, wait_ms = positions.version(after), int(wait_s * 1000)
        query = {"table": table, "after_revision": version, "wait_ms": wait_ms}
        target = "/v1/rows-feed?" + urllib.parse.urlencode(query)
        response = self._exchange("GET", target, wait_s=wait_s)
        if not isinstance(response, _Response):
            return contract.Unavailable(response.reason)
        if response.status == _HISTORY_LOST or response.era != era:
            return contract.HistoryLost()
        body = _parsed(storebodies.Rows, response)
        if body is None or any(row.table != table for row in body.rows):
            return contract.Unavailable(f"malformed response, status {response.status}")
        return _changes(body, era)

    def transact(
        self,
        conditions: tuple[contract.Condition, ...],
        writes: tuple[contract.Put | contract.Delete, ...],
    ) -> contract.WriteOutcome:
        """Apply all writes if every condition holds, otherwise none."""
        era = self._era.known
        for condition in conditions:
            if condition.version and positions.era(condition.version) != era:
                return contract.Conflict(condition.key)
        body = storebodies.Transaction.from_writes(conditions, writes).model_dump_json()
        response = self._exchange("POST", "/v1/rows-tx", body.encode())
        if not isinstance(response, _Response):
            return response
        if response.status == _CONDITION_FAILED:
            return _conflict(
                conditions, _parsed(storebodies.Conflict, response, _CONDITION_FAILED)
            )
        if response.era != era and any(condition.version for condition in conditions):
            return contract.Unknown("the store was restored from an older copy meanwhile")
        committed = _parsed(storebodies.Committed, response)
        if committed is None:
            return contract.Unknown(f"malformed response, status {response.status}")
        put_keys = [write.key for write in writes if isinstance(write, contract.Put)]
        at = positions.position(response.era, committed.ver)
        return contract.Committed(dict.fromkeys(put_keys, at))

    def get(self, key: str) -> contract.ReadOutcome:
        """Read one object."""
        response = self._exchange("GET", f"/v1/blob-get/{_quoted(key)}")
        if not isinstance(response, _Response):
            return contract.Unavailable(response.reason)
        if response.status == http.HTTPStatus.NOT_FOUND:
            return contract.Missing(key)
        if response.status != http.HTTPStatus.OK:
            return contract.Unavailable(f"status {response.status}")
        try:
            return contract.Found(contract.Row(key, response.data.decode(), 0))
        except UnicodeDecodeError:
            return contract.Unavailable("malformed response, not UTF-8")

    def put(
        self, key: str, value: str
    ) -> contract.Committed | contract.Unavailable | contract.Unknown:
        """Write one object."""
        response = self._exchange("PUT", f"/v1/blob-put/{_quoted(key)}", value.encode())
        if not isinstance(response, _Response):
            return response
        if response.status == http.HTTPStatus.INSUFFICIENT_STORAGE:
            return contract.Unavailable("the object store is full")
        if response.status not in (http.HTTPStatus.OK, http.HTTPStatus.CREATED):
            return contract.Unknown(f"status {response.status}")
        return contract.Committed({})

    def _rows(
        self, table: str, part: str, first: str, end: str | None, limit: int
    ) -> tuple[storebodies.Rows, int] | contract.Unavailable:
        """Read rows; return them with the era of the response."""
        query = {"table": table, "part": part, "limit": limit}
        if first:
            query["from"] = first
        if end is not None:
            query["to"] = end
        response = self._exchange("GET", "/v1/rows-get?" + urllib.parse.urlencode(query))
        if not isinstance(response, _Response):
            return contract.Unavailable(response.reason)
        body = _parsed(storebodies.Rows, response)
        # If responses are mixed up on the connection, rows of another table appear.
        if body is None or any(row.table != table for row in body.rows):
            return contract.Unavailable(f"malformed response, status {response.status}")
        return body, response.era

    def _exchange(
        self, method: str, target: str, body: bytes | None = None, wait_s: float = 0.0
    ) -> _Response | contract.Unavailable | contract.Unknown:
        known_at_start = self._era.known
        timeout = urllib3.Timeout(connect=self._timeout_s, read=self._timeout_s + wait_s)
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            response = self._pool.urlopen(
                method, target, body=body, headers=headers, timeout=timeout, redirect=False
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as e:
            return contract.Unavailable(_reason(e))
        except (urllib3.exceptions.HTTPError, OSError) as e:
            # The request may have arrived. Claiming that it had no effect would let a caller
            # repeat a write that succeeded.
            return contract.Unknown(_reason(e))
        era = self._era.from_response(response.headers.get(storeera.HEADER), known_at_start)
        if response.status in _REFUSED:
            return contract.Unavailable(f"status {response.status}")
        if isinstance(era, storeera.StaleResponse):
            return contract.Unknown("response of an earlier era of the store")
        return _Response(response.status, response.data, era)


def _reason(error: Exception) -> str:
    # The frames of urllib3 refer to the error: a reference cycle, with request and response.
    traceback.clear_frames(error.__traceback__)
    return str(error)


def _quoted(key: str) -> str:
    return urllib.parse.quote(key, safe="")


def _parsed(
    model: type[storebodies.Body],
    response: _Response,
    status: int = http.HTTPStatus.OK,
) -> storebodies.Body | None:
    if response.status != status:
        return None
    try:
        return model.model_validate_json(response.data)
    except pydantic.ValidationError:
        return None


def _found(body: storebodies.Row, era: int) -> contract.ReadOutcome:
    row = body.to_row(era)
    if row.problem is not None:
        return contract.Unavailable(f"malformed row: {row.problem}")
    return contract.Found(row)


def _after_last(body: storebodies.Rows) -> str | None:
    """Return the first key that can follow a page, or None for a page without rows."""
    return body.rows[-1].key + "\0" if body.rows else None


def _changes(body: storebodies.Rows, era: int) -> contract.Changes:
    # A feed has the rows of all parts. A key of another part names another row.
    rows = [row for row in body.rows if not row.part]
    # A row that changed twice appears twice, and only its newest state counts.
    newest_by_key = {row.full_key(): row for row in sorted(rows, key=lambda row: row.ver)}
    written_rows = tuple(row.to_row(era) for row in newest_by_key.values() if not row.deleted)
    deleted_keys = tuple(key for key, row in newest_by_key.items() if row.deleted)
    newest = max((positions.position(era, row.ver) for row in rows), default=0)
    return contract.Changes(written_rows, deleted_keys, positions.position(era, body.ver), newest)


def _conflict(
    conditions: tuple[contract.Condition, ...], body: storebodies.Conflict | None
) -> contract.Conflict | contract.Unknown:
    """Return the first condition that did not hold, given the current rows."""
    if body is None:
        return contract.Unknown("malformed response to a failed condition")
    version_by_key = {row.full_key(): 0 if row.deleted else row.ver for row in body.rows}
    for condition in conditions:
        if version_by_key.get(condition.key, 0) != positions.version(condition.version):
            return contract.Conflict(condition.key)
    return contract.Unknown("a condition failed although all conditions seem to hold")
