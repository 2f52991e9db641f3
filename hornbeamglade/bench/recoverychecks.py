"""Compares what callers were told with what the backend servers ran."""

import collections
import collections.abc
import dataclasses
import typing

from hornbeamglade.bench import recoverycallers

VIOLATIONS = ("spliced", "doubled", "lost", "crossed", "falsely_refused")


@dataclasses.dataclass(slots=True)
class Ledgers:
    """Runs of the stand-in servers, including those of a server read before it is killed.

    :param run_ids_by_mark: request ids by the mark of their tokens.
    :param request_ids: ids of all generations that ran.
    :param count_by_key: number of runs of each hold.
    """

    run_ids_by_mark: dict[str, set[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    request_ids: set[str] = dataclasses.field(default_factory=set)
    count_by_key: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def add_engine(self, ledger: collections.abc.Mapping[str, typing.Any]) -> None:
        """Add the runs of an engine; the attempt number is removed from their ids."""
        for run in ledger.get("runs", ()):
            request_id = run["request_id"].rpartition(".")[0]
            self.request_ids.add(request_id)
            self.run_ids_by_mark[run["mark"]].add(request_id)

    def add_service(self, ledger: collections.abc.Mapping[str, typing.Any]) -> None:
        """Add the runs of a plain service."""
        self.count_by_key.update(ledger.get("count_by_key", {}))


def count_violations(
    records: collections.abc.Iterable[recoverycallers.Record], ledgers: Ledgers
) -> dict[str, int]:
    """Count the requests whose delivery guarantees were violated, by kind of violation.

    Explanation
    ===========

    The ledger of a killed engine lacks its last runs. For these, a splice or a repetition is
    still visible in the tokens, but a false "not run" is not.
    """
    count_by_kind = dict.fromkeys(VIOLATIONS, 0)
    for record in records:
        kind = (
            _hold_violation(record, ledgers)
            if record.call.is_hold
            else _generation_violation(record, ledgers)
        )
        if kind:
            count_by_kind[kind] += 1
    return count_by_kind


def _generation_violation(record: recoverycallers.Record, ledgers: Ledgers) -> str:
    if record.violated:
        return record.violated
    run_request_ids = ledgers.run_ids_by_mark.get(record.mark, set())
    if record.request_id and run_request_ids and record.request_id not in run_request_ids:
        return "crossed"
    is_refused = record.ending is recoverycallers.Ending.REFUSED
    return "falsely_refused" if is_refused and record.request_id in ledgers.request_ids else ""


def _hold_violation(record: recoverycallers.Record, ledgers: Ledgers) -> str:
    ran = ledgers.count_by_key[record.call.name]
    if ran > 1:
        return "doubled"
    if record.ending is recoverycallers.Ending.WHOLE and not ran:
        return "lost"
    # A statement about the last attempt alone does not cover earlier attempts.
    says_not_run = record.run == "not_run" or record.attempts == 1
    is_refused = record.ending is recoverycallers.Ending.REFUSED and says_not_run
    return "falsely_refused" if is_refused and ran else ""
