"""The platform's metadata store over HTTP, by urllib3: the one client for it.

Explanation
===========

Connecting, sending and receiving each take at most ``timeout_s``, so a call takes
at most three times as long. It is never repeated here: only the caller knows whether
a write may be sent twice. What an error says of a write's effect:

- no connection could be made, or status 429 or 503: no effect, ``Unavailable``;
- anything else that is not an answer of the protocol (lost connection, timeout, a
  truncated or malformed body, another status): ``Unknown``.

A read has no effect, so every failed one is ``Unavailable``.

Versions leave this module as positions, and come back to it as such. An answer of an era that is
over is taken for none; a condition on a version of such an era is a conflict, and is not sent.
"""

import dataclasses
import http
import socket
import time
import typing
import urllib.parse

import pydantic
import urllib3

from hornbeamglade.platform import storebodies, storeera
from hornbeamglade.store import contract, positions

POOL_SIZE = 32
PAGE_ROWS = 500
"""The most rows that one answer holds."""

_REFUSED = frozenset((http.HTTPStatus.TOO_MANY_REQUESTS, http.HTTPStatus.SERVICE_UNAVAILABLE))
_HISTORY_LOST = http.HTTPStatus.GONE
_CONDITION_FAILED = http.HTTPStatus.PRECONDITION_FAILED
_LAST_CHARACTER = chr(0x10FFFF)


class _DeadlineSocket(socket.socket):
    """A socket whose timeout bounds all receiving since it was set.

    A server that sends one byte before each timeout would hold a caller
    forever, since the usual timeout counts anew for each ``recv``. urllib3 sets
    the timeout once before it reads an answer, so the sum is bounded here.
    """

    _deadline = float("inf")

    def settimeout(self, value: float | None) -> None:
        self._deadline = float("inf") if value is None else time.monotonic() + value
        super().settimeout(value)

    def recv_into(self, *args: typing.Any, **kwargs: typing.Any) -> int:
        remaining_s = self._deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the answer took too long")
        if remaining_s != float("inf"):
            super().settimeout(remaining_s)
        return super().recv_into(*args, **kwargs)


class _Connection(urllib3.connection.HTTPConnection):
    def _new_conn(self) -> socket.socket:
        plain = super()._new_conn()
        timeout_s = plain.gettimeout()
        bounded = _DeadlineSocket(plain.family, plain.type, plain.proto, fileno=plain.detach())
        bounded.settimeout(timeout_s)
        return bounded


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store, and the era that it is of."""

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
        """Read one row at its newest version."""
        name = storebodies.RowName.from_key(key)
        read = self._rows(name.table, name.part, name.key, None, 1)
        if isinstance(read, contract.Unavailable):
            return read
        answer, era = read
        for row in answer.rows:
            if row.full_key() == key:
                return _found(row, era)
        return contract.Missing(key)

    def scan(
        self, prefix: str, limit: int = 1000
    ) -> tuple[contract.Row, ...] | contract.Unavailable:
        """Read rows whose key begins with ``prefix``, in order of key."""
        start = storebodies.RowName.from_key(prefix)
        end = start.key + _LAST_CHARACTER
        found: list[contract.Row] = []
        first = start.key
        while True:
            wanted = min(PAGE_ROWS, limit - len(found))
            read = self._rows(start.table, start.part, first, end, wanted)
            if isinstance(read, contract.Unavailable):
                return read
            answer, era = read
            found += [row.to_row(era) for row in answer.rows]
            if not answer.truncated or not answer.rows or len(found) >= limit:
                return tuple(found)
            first = answer.rows[-1].key + "\0"

    def snapshot(self, table: str) -> contract.Snapshot | contract.Unavailable:
        """Read a table as of one moment."""
        read = self._rows(table, "", "", None, PAGE_ROWS)
        if isinstance(read, contract.Unavailable):
            return read
        answer, era = read
        if answer.truncated:
            return contract.Unavailable(f"table {table} is larger than one answer")
        return _snapshot(answer, era)

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
        answer = self._exchange("GET", target, wait_s=wait_s)
        if not isinstance(answer, _Answer):
            return contract.Unavailable(answer.reason)
        if answer.status == _HISTORY_LOST or answer.era != era:
            return contract.HistoryLost()
        body = _parsed(storebodies.Rows, answer)
        if body is None:
            return contract.Unavailable(f"malformed answer, status {answer.status}")
        return _changes(body, era)

    def transact(
        self,
        conditions: tuple[contract.Condition, ...],
        writes: tuple[contract.Put | contract.Delete, ...],
    ) -> contract.WriteOutcome:
        """Apply all writes if every condition holds, else none."""
        era = self._era.known
        for condition in conditions:
            if condition.version and positions.era(condition.version) != era:
                return contract.Conflict(condition.key)
        body = storebodies.Transaction.from_writes(conditions, writes).model_dump_json()
        answer = self._exchange("POST", "/v1/rows-tx", body.encode())
        if not isinstance(answer, _Answer):
            return answer
        if answer.status == _CONDITION_FAILED:
            return _conflict(conditions, _parsed(storebodies.Conflict, answer, _CONDITION_FAILED))
        if answer.era != era and any(condition.version for condition in conditions):
            return contract.Unknown("the store has come back from an older copy meanwhile")
        committed = _parsed(storebodies.Committed, answer)
        if committed is None:
            return contract.Unknown(f"malformed answer, status {answer.status}")
        put_keys = [write.key for write in writes if isinstance(write, contract.Put)]
        at = positions.position(answer.era, committed.ver)
        return contract.Committed(dict.fromkeys(put_keys, at))

    def get(self, key: str) -> contract.ReadOutcome:
        """Read one object."""
        answer = self._exchange("GET", f"/v1/blob-get/{_quoted(key)}")
        if not isinstance(answer, _Answer):
            return contract.Unavailable(answer.reason)
        if answer.status == http.HTTPStatus.NOT_FOUND:
            return contract.Missing(key)
        if answer.status != http.HTTPStatus.OK:
            return contract.Unavailable(f"status {answer.status}")
        try:
            return contract.Found(contract.Row(key, answer.data.decode(), 0))
        except UnicodeDecodeError:
            return contract.Unavailable("malformed answer, not UTF-8")

    def put(
        self, key: str, value: str
    ) -> contract.Committed | contract.Unavailable | contract.Unknown:
        """Write one object."""
        answer = self._exchange("PUT", f"/v1/blob-put/{_quoted(key)}", value.encode())
        if not isinstance(answer, _Answer):
            return answer
        if answer.status == http.HTTPStatus.INSUFFICIENT_STORAGE:
            return contract.Unavailable("the object store is full")
        if answer.status not in (http.HTTPStatus.OK, http.HTTPStatus.CREATED):
            return contract.Unknown(f"status {answer.status}")
        return contract.Committed({})

    def _rows(
        self, table: str, part: str, first: str, end: str | None, limit: int
    ) -> tuple[storebodies.Rows, int] | contract.Unavailable:
        """Read rows; return them with the era that they are of."""
        query = {"table": table, "part": part, "limit": limit}
        if first:
            query["from"] = first
        if end is not None:
            query["to"] = end
        answer = self._exchange("GET", "/v1/rows-get?" + urllib.parse.urlencode(query))
        if not isinstance(answer, _Answer):
            return contract.Unavailable(answer.reason)
        body = _parsed(storebodies.Rows, answer)
        # An answer crossed on the connection shows as rows of another table.
        if body is None or any(row.table != table for row in body.rows):
            return contract.Unavailable(f"malformed answer, status {answer.status}")
        return body, answer.era

    def _exchange(
        self, method: str, target: str, body: bytes | None = None, wait_s: float = 0.0
    ) -> _Answer | contract.Unavailable | contract.Unknown:
        known_before = self._era.known
        timeout = urllib3.Timeout(connect=self._timeout_s, read=self._timeout_s + wait_s)
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            answer = self._pool.urlopen(
                method, target, body=body, headers=headers, timeout=timeout, redirect=False
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as e:
            return contract.Unavailable(str(e))
        except (urllib3.exceptions.HTTPError, OSError) as e:
            # The request may have arrived: claiming that it took no effect would
            # let a caller repeat a write that stands.
            return contract.Unknown(str(e))
        era = self._era.of_answer(answer.headers.get(storeera.HEADER), known_before)
        if answer.status in _REFUSED:
            return contract.Unavailable(f"status {answer.status}")
        if isinstance(era, storeera.Late):
            return contract.Unknown("an answer of an era that is over")
        return _Answer(answer.status, answer.data, era)


def _quoted(key: str) -> str:
    return urllib.parse.quote(key, safe="")


def _parsed(
    model: type[storebodies.Body],
    answer: _Answer,
    status: int = http.HTTPStatus.OK,
) -> storebodies.Body | None:
    if answer.status != status:
        return None
    try:
        return model.model_validate_json(answer.data)
    except pydantic.ValidationError:
        return None


def _found(body: storebodies.Row, era: int) -> contract.ReadOutcome:
    row = body.to_row(era)
    if row.problem is not None:
        return contract.Unavailable(f"malformed row: {row.problem}")
    return contract.Found(row)


def _snapshot(body: storebodies.Rows, era: int) -> contract.Snapshot:
    rows = tuple(row.to_row(era) for row in body.rows)
    return contract.Snapshot(rows, positions.position(era, body.ver))


def _changes(body: storebodies.Rows, era: int) -> contract.Changes:
    # A row that changed twice is named twice; only its newest state holds.
    newest_by_key = {row.full_key(): row for row in sorted(body.rows, key=lambda row: row.ver)}
    written_rows = tuple(row.to_row(era) for row in newest_by_key.values() if not row.deleted)
    deleted_keys = tuple(key for key, row in newest_by_key.items() if row.deleted)
    newest = max((positions.position(era, row.ver) for row in body.rows), default=0)
    return contract.Changes(written_rows, deleted_keys, positions.position(era, body.ver), newest)


def _conflict(
    conditions: tuple[contract.Condition, ...], body: storebodies.Conflict | None
) -> contract.Conflict | contract.Unknown:
    """Name the first condition that did not hold, from the rows as they are."""
    if body is None:
        return contract.Unknown("malformed answer to a failed condition")
    version_by_key = {row.full_key(): 0 if row.deleted else row.ver for row in body.rows}
    for condition in conditions:
        if version_by_key.get(condition.key, 0) != positions.version(condition.version):
            return contract.Conflict(condition.key)
    return contract.Unknown("a condition failed that seems to hold")
