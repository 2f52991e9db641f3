"""What a routed stand-in ran and refused, in memory and in a file."""

import dataclasses
import json
import pathlib
import time

from hornbeamglade.standins import routedrequests


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecord:
    """A request that was run.

    :param request_id: the request's id, as given by the caller.
    :param target: path and query.
    :param team: the team in its header, or an empty text.
    :param names: names of all its headers, in lower case.
    :param body: its body.
    :param at: arrival time, in seconds of the machine's monotonic clock.
    :param replica_id: the server that ran it.
    """

    request_id: str
    target: str
    team: str
    names: tuple[str, ...]
    body: str
    at: float
    replica_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalRecord:
    """A request that was refused as not run.

    :param request_id: the request's id, as given by the caller.
    :param at: time of the response, in seconds of the machine's monotonic clock.
    :param replica_id: the server that refused it.
    :param retry_after: the time that the response asked for, as sent; empty for none.
    :param fell: whether the server crashed instead, as there were too many refusals.
    """

    request_id: str
    at: float
    replica_id: str
    retry_after: str
    fell: bool = False


class RoutedLedger:
    """The requests that a server ran or refused.

    :param replica_id: the server.
    :param path: a file to which each run is appended before it begins, so that the runs of a
        killed server are known; None for none.
    """

    def __init__(self, replica_id: str, path: pathlib.Path | None) -> None:
        self._replica_id = replica_id
        self._path = path
        self.runs: list[RunRecord] = []
        self.refusals: list[RefusalRecord] = []

    def record_run(self, request: routedrequests.Request) -> None:
        """Record a request that is run."""
        record = RunRecord(
            request.request_id,
            request.target,
            request.value_by_name.get("tenant", ""),
            tuple(request.value_by_name),
            request.body.decode("latin-1"),
            time.monotonic(),
            self._replica_id,
        )
        self.runs.append(record)
        self._append(dataclasses.asdict(record))

    def record_refusal(
        self, request: routedrequests.Request, retry_after: str, *, fell: bool = False
    ) -> None:
        """Record a request that is refused as not run.

        :param retry_after: the time that the response asks for; empty for none.
        :param fell: whether the server crashes instead, as there were too many refusals.
        """
        record = RefusalRecord(
            request.request_id, time.monotonic(), self._replica_id, retry_after, fell
        )
        self.refusals.append(record)
        self._append(dataclasses.asdict(record))

    def record_continuation(self, request_id: str) -> None:
        """Record that a run continues here from a copy."""
        self._append_event(request_id, "continued_at", time.monotonic())

    def record_unread(self, request_id: str, until: float) -> None:
        """Record until when an unread run continues; an earlier end is recorded when it comes."""
        self._append_event(request_id, "unread_until", until)

    def _append_event(self, request_id: str, event: str, at: float) -> None:
        self._append({"request_id": request_id, event: at, "replica_id": self._replica_id})

    def _append(self, record: dict[str, object]) -> None:
        if self._path is not None:
            with self._path.open("a", encoding="utf-8") as ledger:
                ledger.write(json.dumps(record) + "\n")
