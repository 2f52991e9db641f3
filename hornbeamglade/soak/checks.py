"""The promises, held against what callers saw and what backend servers ran."""

import collections
import collections.abc
import dataclasses
import typing

from hornbeamglade.localsite import routedsite
from hornbeamglade.soak import soaksite
from hornbeamglade.standins import operatordocuments, routedcaller

NOT_RUN = frozenset((408, 421, 429, 503))
"""Statuses that promise that the request has not run and never will."""

CLIENT_ERRORS = frozenset((400, 401, 403, 404, 413, 431))

LEAST_SERVED = 0.2
"""Share of requests that are served in a run of many faults; below it the run shows little,
and something keeps the instances from serving."""

KEY_BOUND_S = 5.0
"""A key that was taken away is refused by then, where the store could be reached."""

EVACUATED_BOUND_S = 5.0
"""Nothing new runs in an evacuated failure domain after this, where the store and instances
were well."""

PROPAGATION_S = 3.0
"""All instances in touch know by then what one of them has learned."""

CRASHES = 3
LIMIT_WINDOW_S = 4.0
LIMIT_SLACK = 5

RunRecord = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was not kept.

    :param promise: its name.
    :param request_id: the request that shows it, or an empty text.
    :param detail: what was seen.
    """

    promise: str
    request_id: str
    detail: str


@dataclasses.dataclass(frozen=True)
class Evidence:
    """All that a run left behind.

    :param seen: what callers saw.
    :param ran: what backend servers ran.
    :param done: what was done to the site.
    :param taken_at_by_key: when the store took the word that a key is no longer valid.
    :param given_at_by_key: when it took the word of a new one.
    :param evacuated: which failure domains were evacuated, and when.
    :param limited: which servers named limits, and when.
    :param events: events of a whole stream.
    """

    seen: tuple[routedcaller.CallerResult, ...]
    runs: tuple[RunRecord, ...]
    fault_records: tuple[soaksite.FaultRecord, ...]
    revoked_at_by_key: dict[str, float]
    issued_at_by_key: dict[str, float]
    evacuated: tuple[soaksite.Evacuated, ...]
    limited: tuple[soaksite.Limited, ...]
    events: int

    def runs_by_id(self) -> dict[str, list[RunRecord]]:
        """Return the runs of each request."""
        found: dict[str, list[RunRecord]] = collections.defaultdict(list)
        for each in self.runs:
            found[each["request_id"]].append(each)
        return found


def violations(evidence: Evidence) -> tuple[Violation, ...]:
    """Return every promise that was not kept."""
    runs_by_id = evidence.runs_by_id()
    found: list[Violation] = []
    for seen in evidence.seen:
        found += _of_answer(seen, evidence.events)
        found += _of_runs(seen, runs_by_id.get(seen.request_id, []))
        found += _of_key(seen, evidence)
    found += _of_keys_that_come_back(evidence)
    found += _of_strangers(evidence)
    found += _of_evacuations(evidence)
    found += _of_fatal_requests(evidence)
    found += _of_limits(evidence)
    found += _of_service(evidence)
    return tuple(found)


def _of_answer(
    seen: routedcaller.CallerResult, whole_events: int
) -> collections.abc.Iterator[Violation]:
    """Return what is wrong with an answer by itself."""
    if seen.status is None:
        return
    if seen.is_sealed and seen.status == 200 and seen.is_stream:
        yield from _of_stream(seen, whole_events)
    elif seen.is_sealed and seen.is_whole:
        _, _, request_id = seen.body.decode("latin-1").rpartition(":")
        if request_id != seen.request_id:
            yield Violation("own_answer", seen.request_id, f"got {seen.body[:60]!r}")
    elif seen.status == 200 and not seen.is_sealed:
        yield Violation("proved_answer", seen.request_id, "a success without its replica's proof")
    if seen.status == 404 or (seen.status in CLIENT_ERRORS - {401} and seen.is_whole):
        yield Violation("not_denied", seen.request_id, f"status {seen.status}")


def _of_stream(
    seen: routedcaller.CallerResult, whole_events: int
) -> collections.abc.Iterator[Violation]:
    expected = [(number, f"{seen.request_id}.{number}") for number in range(1, whole_events + 1)]
    if list(seen.events) != expected[: len(seen.events)]:
        yield Violation("events_in_order", seen.request_id, f"{len(seen.events)} events")
    if seen.is_whole and len(seen.events) != whole_events:
        yield Violation("whole_only_when_whole", seen.request_id, f"{len(seen.events)} events")


def _of_runs(
    seen: routedcaller.CallerResult, runs: list[RunRecord]
) -> collections.abc.Iterator[Violation]:
    """Return what is wrong with how often and how a request was run."""
    terms = operatordocuments.SETTINGS_BY_ROUTE[seen.route]
    is_single = terms.kind == "non_idempotent" or (seen.is_stream and not terms.is_resumable)
    if len(runs) > (1 if is_single else terms.max_attempts):
        yield Violation("run_as_often_as_allowed", seen.request_id, f"{len(runs)} runs")
    if seen.status in NOT_RUN and not seen.is_sealed and runs:
        yield Violation("not_run_is_true", seen.request_id, f"status {seen.status}, but it ran")
    for each in runs:
        if each["team"] != soaksite.team_of(seen.key):
            yield Violation("own_team", seen.request_id, f"ran for {each['team']!r}")
        if routedcaller.RESERVED & set(each["names"]):
            yield Violation("nothing_reserved_passes", seen.request_id, str(each["names"]))
        if each["body"] != seen.request_id or each["target"] != f"/{seen.route}/1?q=2":
            yield Violation(
                "passes_unchanged", seen.request_id, f"{each['target']} {each['body']}"
            )


def _of_key(
    seen: routedcaller.CallerResult, evidence: Evidence
) -> collections.abc.Iterator[Violation]:
    """Return whether a key was refused that is valid, or the other way round."""
    revoked_at = evidence.revoked_at_by_key.get(seen.key)
    issued_at = evidence.issued_at_by_key.get(seen.key)
    was_always_valid = revoked_at is None and issued_at is None
    if seen.status == 401 and was_always_valid:
        yield Violation("valid_key_is_let_in", seen.request_id, seen.key)
    if revoked_at is None or seen.status != 200:
        return
    since = revoked_at + KEY_BOUND_S
    if seen.sent_at > since and not _was_disturbed(
        evidence.fault_records, revoked_at, seen.sent_at
    ):
        yield Violation("taken_key_is_refused", seen.request_id, seen.key)


def _was_disturbed(
    fault_records: collections.abc.Iterable[soaksite.FaultRecord], began_at: float, ended_at: float
) -> bool:
    """Tell whether the store, an instance or the links between were hurt meanwhile."""
    return any(
        (each.where == "store" or each.where.startswith("entry-"))
        and each.began_at < ended_at
        and each.ended_at > began_at
        for each in fault_records
    )


def _of_keys_that_come_back(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return whether an instance let a key in that it had refused before, in one life."""
    by_place: dict[tuple[str, str], list[routedcaller.CallerResult]] = collections.defaultdict(
        list
    )
    for seen in evidence.seen:
        if seen.key in evidence.revoked_at_by_key:
            by_place[seen.address, seen.key].append(seen)
    starts = [each.began_at for each in evidence.fault_records if _ends_a_life(each)]
    for (_, key), all_seen in by_place.items():
        refused = [each for each in all_seen if each.status == 401]
        for first in sorted(refused, key=lambda each: each.ended_at)[:1]:
            for later in all_seen:
                was_restarted = any(first.sent_at < at < later.ended_at for at in starts)
                if later.sent_at > first.ended_at and later.status == 200 and not was_restarted:
                    yield Violation("configuration_never_goes_back", later.request_id, key)


def _ends_a_life(fault_records: soaksite.FaultRecord) -> bool:
    return fault_records.what in ("InstanceKilled", "InstanceStopped")


def _of_strangers(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return runs of requests that no caller sent."""
    asked = {seen.request_id for seen in evidence.seen}
    for each in evidence.runs:
        if each["request_id"] not in asked and each["body"] != routedsite.FATAL_BODY:
            yield Violation("nothing_unasked_runs", each["request_id"], each["replica_id"])


def _of_evacuations(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return runs that began in a failure domain when it had been evacuated for long."""
    for evacuated in evidence.evacuated:
        since = evacuated.accepted_at + EVACUATED_BOUND_S
        for each in evidence.runs:
            place = each["replica_id"].partition(".")[0]
            is_there = routedsite.domain_of(place) == evacuated.domain
            if not is_there or not since < each["at"] < evacuated.ended_at:
                continue
            if not _was_disturbed(evidence.fault_records, evacuated.accepted_at, each["at"]):
                yield Violation(
                    "nothing_new_when_evacuated", each["request_id"], each["replica_id"]
                )


def _of_fatal_requests(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return whether a request that crashes servers was sent on when all had to know."""
    runs = sorted(
        (each for each in evidence.runs if each["body"] == routedsite.FATAL_BODY),
        key=lambda each: each["at"],
    )
    if len(runs) <= CRASHES:
        return
    third_at = runs[CRASHES - 1]["at"]
    late = [
        each
        for each in runs
        if each["at"] > third_at + PROPAGATION_S
        and not _was_disturbed(evidence.fault_records, third_at, each["at"])
    ]
    if len(late) > CRASHES:
        yield Violation("fatal_request_is_refused", late[-1]["request_id"], f"{len(runs)} crashes")


def _of_limits(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return whether a server that had named a limit got more than that."""
    for limited in evidence.limited:
        since = limited.began_at + PROPAGATION_S
        times = sorted(
            each["at"]
            for each in evidence.runs
            if each["replica_id"] == limited.replica_id and since < each["at"] < limited.ended_at
        )
        allowed = 1.5 * limited.requests_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        for begin in times:
            count = sum(begin <= at < begin + LIMIT_WINDOW_S for at in times)
            was_hurt = _was_disturbed(
                evidence.fault_records, limited.began_at, begin + LIMIT_WINDOW_S
            )
            if count > allowed and not was_hurt:
                yield Violation("limit_is_kept_to", "", f"{limited.replica_id}: {count} requests")
                break


def _of_service(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return whether the instances served next to nothing."""
    served = sum(seen.status == 200 and seen.is_whole for seen in evidence.seen)
    if served < LEAST_SERVED * len(evidence.seen):
        yield Violation("serves", "", f"{served} of {len(evidence.seen)} requests")
