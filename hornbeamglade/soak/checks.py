"""Checks of the guarantees against callers' results and backend servers' ledgers."""

import collections
import collections.abc
import dataclasses
import math
import typing

from hornbeamglade.localsite import routedsite
from hornbeamglade.soak import callerfaults, enginefaults, faults, soaksite
from hornbeamglade.standins import operatordocuments, routedcaller

NOT_RUN = frozenset((408, 421, 429, 503))
"""Statuses that guarantee that the request has not run and never will."""

CLIENT_ERRORS = frozenset((400, 401, 403, 404, 413, 431))

MIN_SERVED_SHARE = 0.2
"""Least share of requests that must be served in a run with many faults. Below it the run shows
little, and something keeps the instances from serving."""

KEY_BOUND_S = 5.0
"""A revoked key is refused after this time, if the store could be reached."""

EVACUATED_BOUND_S = 5.0
"""No new request runs in an evacuated failure domain after this time, if the store and the
instances were healthy."""

PROPAGATION_S = 3.0
"""Within this time, all connected instances know what one of them has learned."""

LEAVING_BOUND_S = 2.0
"""A server gets no request from an instance that was sent this long after the instance had passed
on a response in which the server states that it is leaving."""

BACKOFF_GRACE_S = 0.5
BACKOFF_ALLOWED = 2
"""Requests that reach a server in the time that it named, apart from the first half second."""

CRASHES = 3
PART_CRASHES = 5
INSTANCE_INTERRUPTIONS = frozenset(("InstanceKilled", "InstanceStopped", "InstancePaused"))
LINK_INTERRUPTIONS = frozenset(
    ("LinkReset", "LinkDelayed", "AnswersHeld", "RequestsHeld", "LinkSilent", "ServerPaused")
)
"""Faults after which a response may not have reached its instance."""

CONTACT_S = 3.0
"""Time after which an instance that is partitioned from all servers serves like the others."""

CLOSED = "ProtocolError"
"""The error of a request whose connection was closed without an answer."""

PARTITION_SHARE = 2 / 3
PARTITION_SLACK = 10
ALLOWED_FALLS = 2

URGENT_ROUTE, LESS_URGENT_ROUTE = "rush", "draft"
"""Two routes that differ only in urgency and objective."""

MIN_COMPARED = 30
"""Fewer requests show nothing about the share that is served."""

URGENT_SLACK = 0.05
URGENT_DEVIATIONS = 3.0
STARVED_SHARE = 0.3
"""A kind or team starves if it is served less than this share of what its group is served."""

LIMIT_WINDOW_S = 4.0
LIMIT_SLACK = 5

OVERLAP_S = 0.4
"""Time for which an engine may work on a run that has continued elsewhere."""

RunRecord = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee.

    :param guarantee: the name of the guarantee.
    :param request_id: the request that shows the violation, or an empty text.
    :param detail: what was observed.
    """

    guarantee: str
    request_id: str
    detail: str


@dataclasses.dataclass(frozen=True)
class Evidence:
    """All observations of one run.

    :param results: the results that callers received.
    :param runs: the requests that backend servers ran.
    :param refusals: the requests that backend servers refused.
    :param fault_records: the faults that were injected.
    :param revoked_at_by_key: when the store accepted the revocation of a key.
    :param issued_at_by_key: when the store accepted a new key.
    :param evacuated: the failure domains that were evacuated, and when.
    :param limited: the servers that announced rate limits, and when.
    :param instance_by_address: the instances by the address on which they accept callers.
    :param events: number of events of a complete stream.
    :param continuations: the runs that engines continued, from copies or without a connection.
    """

    results: tuple[routedcaller.CallerResult, ...]
    runs: tuple[RunRecord, ...]
    refusals: tuple[RunRecord, ...]
    fault_records: tuple[soaksite.FaultRecord, ...]
    revoked_at_by_key: dict[str, float]
    issued_at_by_key: dict[str, float]
    evacuated: tuple[soaksite.Evacuated, ...]
    limited: tuple[soaksite.Limited, ...]
    instance_by_address: dict[str, str]
    events: int
    continuations: tuple[RunRecord, ...] = ()

    def runs_by_id(self) -> dict[str, list[RunRecord]]:
        """Return the runs of each request."""
        found: dict[str, list[RunRecord]] = collections.defaultdict(list)
        for each in self.runs:
            found[each["request_id"]].append(each)
        return found


def violations(evidence: Evidence) -> tuple[Violation, ...]:
    """Return all violations of guarantees."""
    runs_by_id = evidence.runs_by_id()
    found: list[Violation] = []
    for result in evidence.results:
        found += _check_response(result, evidence.events)
        found += _check_runs(result, runs_by_id.get(result.request_id, []))
        found += _check_key(result, evidence)
    found += _check_engines_of_runs(evidence)
    found += _check_versions(evidence)
    found += _check_key_regressions(evidence)
    found += _check_unknown_requests(evidence)
    found += _check_evacuations(evidence)
    found += _check_crashing_requests(evidence)
    found += _check_crashing_parts(evidence)
    found += _check_limits(evidence)
    found += _check_leaving(evidence)
    found += _check_backoffs(evidence)
    found += _check_stops(evidence)
    found += _check_partitions(evidence)
    found += _check_tolerances(evidence)
    found += _check_served_share(evidence)
    found += _check_urgency(evidence)
    found += _check_starvation(evidence)
    return tuple(found)


def _check_response(
    result: routedcaller.CallerResult, whole_events: int
) -> collections.abc.Iterator[Violation]:
    """Return the violations that a single response shows."""
    if result.status is None:
        return
    if result.is_sealed and result.status == 200 and result.is_stream:
        yield from _check_stream(result, whole_events)
    elif result.is_sealed and result.is_whole:
        _, _, request_id = result.body.decode("latin-1").rpartition(":")
        if request_id != result.request_id:
            yield Violation("own_answer", result.request_id, f"got {result.body[:60]!r}")
    elif result.status == 200 and not result.is_sealed:
        yield Violation(
            "proved_answer", result.request_id, "a success without its replica's proof"
        )
    if result.status == 404 or (result.status in CLIENT_ERRORS - {401} and result.is_whole):
        yield Violation("not_denied", result.request_id, f"status {result.status}")


def _check_stream(
    result: routedcaller.CallerResult, whole_events: int
) -> collections.abc.Iterator[Violation]:
    earlier = 0 if result.resumption is None else result.resumption.last_event
    numbers = range(earlier + 1, whole_events + 1)
    expected = [(number, f"{result.request_id}.{number}") for number in numbers]
    received = [(number, text.partition(" ")[0]) for number, text in result.events]
    if received != expected[: len(received)]:
        yield Violation("events_in_order", result.request_id, f"{len(received)} events")
    if result.is_whole and len(received) != len(expected):
        yield Violation("whole_only_when_whole", result.request_id, f"{len(received)} events")


def _check_engines_of_runs(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return the runs that continued at an engine while the one before still worked on them."""
    # The last record of a run at an engine tells when it ended there.
    unread = {
        (each["request_id"], each["replica_id"]): each
        for each in evidence.continuations
        if "unread_until" in each
    }
    for continued in evidence.continuations:
        for before in unread.values():
            if (
                "continued_at" in continued
                and before["request_id"] == continued["request_id"]
                and before["replica_id"] != continued["replica_id"]
                and before["unread_until"] > continued["continued_at"] + OVERLAP_S
            ):
                yield Violation(
                    "one_engine_at_a_time",
                    continued["request_id"],
                    f"{before['replica_id']} and {continued['replica_id']}",
                )


def _check_versions(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return a violation for each stream with events of several software versions."""
    versions_by_stream: dict[str, set[str]] = collections.defaultdict(set)
    for result in evidence.results:
        first = result.request_id if result.resumption is None else result.resumption.first_id
        versions_by_stream[first] |= {text.partition(" ")[2] for _, text in result.events}
    for first, versions in versions_by_stream.items():
        if len(versions) > 1:
            yield Violation("one_version_a_stream", first, ", ".join(sorted(versions)))


def _check_runs(
    result: routedcaller.CallerResult, runs: list[RunRecord]
) -> collections.abc.Iterator[Violation]:
    """Return violations in how often and in what form a request was run."""
    settings = operatordocuments.SETTINGS_BY_ROUTE[result.route]
    is_single = settings.kind == "non_idempotent" or (
        result.is_stream and not settings.is_resumable
    )
    if len(runs) > (1 if is_single else settings.max_attempts):
        yield Violation("run_as_often_as_allowed", result.request_id, f"{len(runs)} runs")
    if result.status in NOT_RUN and runs:
        yield Violation(
            "not_run_is_true", result.request_id, f"status {result.status}, but it ran"
        )
    for each in runs:
        if each["team"] != soaksite.team_of(result.key):
            yield Violation("own_team", result.request_id, f"ran for {each['team']!r}")
        if routedcaller.RESERVED & set(each["names"]):
            yield Violation("nothing_reserved_passes", result.request_id, str(each["names"]))
        if each["body"] != result.request_id or each["target"] != f"/{result.route}/1?q=2":
            yield Violation(
                "passes_unchanged", result.request_id, f"{each['target']} {each['body']}"
            )


def _check_key(
    result: routedcaller.CallerResult, evidence: Evidence
) -> collections.abc.Iterator[Violation]:
    """Return violations in which a valid key was refused or a revoked key accepted."""
    revoked_at = evidence.revoked_at_by_key.get(result.key)
    issued_at = evidence.issued_at_by_key.get(result.key)
    was_always_valid = revoked_at is None and issued_at is None
    if result.status == 401 and was_always_valid:
        yield Violation("valid_key_is_let_in", result.request_id, result.key)
    if revoked_at is None or result.status != 200:
        return
    since = revoked_at + KEY_BOUND_S
    if result.sent_at > since and not _was_disturbed(
        evidence.fault_records, revoked_at, result.sent_at
    ):
        yield Violation("taken_key_is_refused", result.request_id, result.key)


def _was_disturbed(
    fault_records: collections.abc.Iterable[soaksite.FaultRecord], began_at: float, ended_at: float
) -> bool:
    """Return whether a fault hit the store, an instance or its link in the given period."""
    return any(
        (each.component == "store" or each.component.startswith("entry-"))
        and each.began_at < ended_at
        and each.ended_at > began_at
        for each in fault_records
    )


def _check_key_regressions(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return violations in which one incarnation accepted a key that it had refused before."""
    results_by_place: dict[tuple[str, str], list[routedcaller.CallerResult]] = (
        collections.defaultdict(list)
    )
    for result in evidence.results:
        if result.key in evidence.revoked_at_by_key:
            results_by_place[result.address, result.key].append(result)
    starts = [each.began_at for each in evidence.fault_records if _ends_incarnation(each)]
    for (_, key), key_results in results_by_place.items():
        refused = [each for each in key_results if each.status == 401]
        for first in sorted(refused, key=lambda each: each.ended_at)[:1]:
            for later in key_results:
                was_restarted = any(first.sent_at < at < later.ended_at for at in starts)
                if later.sent_at > first.ended_at and later.status == 200 and not was_restarted:
                    yield Violation("configuration_never_goes_back", later.request_id, key)


def _ends_incarnation(fault_record: soaksite.FaultRecord) -> bool:
    return fault_record.name in ("InstanceKilled", "InstanceStopped")


def _check_unknown_requests(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return runs of requests that no caller sent, as violations."""
    sent_ids = {result.request_id for result in evidence.results}
    for each in evidence.runs:
        if each["request_id"] not in sent_ids and each["body"] != routedsite.FATAL_BODY:
            yield Violation("nothing_unasked_runs", each["request_id"], each["replica_id"])


def _check_evacuations(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return runs that began in a failure domain too long after its evacuation."""
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


def _check_crashing_requests(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return a violation if a crashing request ran when all instances had to know of it."""
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


def _check_crashing_parts(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return each part of prompts that crashed too many engines, without disturbed instances."""
    runs_by_part: dict[str, list[RunRecord]] = collections.defaultdict(list)
    for each in sorted(evidence.runs, key=lambda each: each["at"]):
        if each["request_id"].startswith(enginefaults.FATAL_PREFIX):
            runs_by_part[each["request_id"].partition("-")[0]].append(each)
    for part, runs in runs_by_part.items():
        late = [
            each
            for each in runs[PART_CRASHES:]
            if not _was_disturbed(evidence.fault_records, runs[0]["at"], each["at"])
        ]
        if len(late) > CRASHES:
            yield Violation("fatal_part_is_refused", part, f"{len(runs)} crashes")


def _check_limits(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return a violation for each server that got more requests than its announced limit."""
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
            was_disturbed = _was_disturbed(
                evidence.fault_records, limited.began_at, begin + LIMIT_WINDOW_S
            )
            if count > allowed and not was_disturbed:
                yield Violation("limit_is_kept_to", "", f"{limited.replica_id}: {count} requests")
                break


def _check_leaving(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return requests to a server after the same instance had passed on that it is leaving."""
    stated_at: dict[tuple[str, str], float] = {}
    for result in evidence.results:
        if result.leaving_replica:
            key = (result.address, result.leaving_replica)
            stated_at[key] = min(stated_at.get(key, result.ended_at), result.ended_at)
    result_by_id = {result.request_id: result for result in evidence.results}
    for each in evidence.runs:
        result = result_by_id.get(each["request_id"])
        since = None if result is None else stated_at.get((result.address, each["replica_id"]))
        if since is None or result.sent_at <= since + LEAVING_BOUND_S:
            continue
        instance = evidence.instance_by_address.get(result.address, "")
        if not _was_interrupted(evidence, INSTANCE_INTERRUPTIONS, instance, since, each["at"]):
            yield Violation("nothing_new_when_leaving", result.request_id, each["replica_id"])


def _check_backoffs(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return a violation for each refusal after which too many requests of the instance came."""
    address_by_id = {result.request_id: result.address for result in evidence.results}
    arrivals_by_pair: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    for each in (*evidence.runs, *evidence.refusals):
        address = address_by_id.get(each["request_id"])
        if address is not None:
            arrivals_by_pair[address, each["replica_id"]].append(each["at"])
    for each in evidence.refusals:
        address = address_by_id.get(each["request_id"])
        if address is None or not each["retry_after"]:
            continue
        until = each["at"] + float(each["retry_after"])
        arrivals = arrivals_by_pair[address, each["replica_id"]]
        count = sum(each["at"] + BACKOFF_GRACE_S < at < until for at in arrivals)
        instance = evidence.instance_by_address.get(address, "")
        place = each["replica_id"].partition(".")[0]
        is_excused = _was_interrupted(
            evidence, INSTANCE_INTERRUPTIONS, instance, each["at"], until
        ) or _was_interrupted(evidence, LINK_INTERRUPTIONS, place, each["at"], until)
        if count > BACKOFF_ALLOWED and not is_excused:
            yield Violation(
                "backoff_is_kept", each["request_id"], f"{each['replica_id']}: {count} requests"
            )


def _check_stops(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return requests that a stopped instance had passed on and left without an answer."""
    runs_by_id = evidence.runs_by_id()
    closed = [
        each
        for each in evidence.results
        if each.status is None and each.error == CLOSED and each.request_id in runs_by_id
    ]
    for result in closed:
        component = evidence.instance_by_address.get(result.address, "")
        names = [
            each.name
            for each in evidence.fault_records
            if each.component == component
            and each.began_at < result.ended_at
            and each.ended_at > result.sent_at
        ]
        if names == ["InstanceStopped"]:
            yield Violation("stops_answer", result.request_id, component)


def _check_partitions(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return a violation for each partition in which its instance served far too few requests.

    Every other fault may keep the instance that relays from serving, so only partitions without a
    fault of instances count.
    """
    for each in evidence.fault_records:
        if each.name != "InstancePartitioned":
            continue
        began_at, ended_at = each.began_at + CONTACT_S, each.ended_at
        if _was_disturbed(evidence.fault_records, each.began_at, ended_at) or _are_all_partitioned(
            evidence, each.began_at, ended_at
        ):
            continue
        cut, others = [], []
        for result in evidence.results:
            if began_at < result.sent_at and result.ended_at < ended_at and result.status != 401:
                instance = evidence.instance_by_address.get(result.address, "")
                is_cut = faults.LINKS_OF + instance == each.component
                (cut if is_cut else others).append(result.status == 200 and result.is_whole)
        if not cut or not others:
            continue
        failed = cut.count(False)
        is_worse = sum(cut) / len(cut) < PARTITION_SHARE * sum(others) / len(others)
        if is_worse and failed > PARTITION_SLACK + (len(cut) + len(others)) / 50:
            yield Violation("serves_when_partitioned", "", f"{sum(cut)} of {len(cut)} requests")


def _check_tolerances(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return a violation for each time in which servers fell over from refusals too often."""
    for each in evidence.fault_records:
        if each.name != "ServersTolerateFew" or _was_disturbed(
            evidence.fault_records, each.began_at, each.ended_at
        ):
            continue
        falls = sum(
            refusal.get("fell", False) and each.began_at < refusal["at"] < each.ended_at
            for refusal in evidence.refusals
        )
        if falls > ALLOWED_FALLS:
            yield Violation("tolerance_is_kept_to", "", f"{falls} falls")


def _are_all_partitioned(evidence: Evidence, began_at: float, ended_at: float) -> bool:
    """Return whether every instance was partitioned from the servers at some time of a period."""
    return all(
        _was_interrupted(
            evidence,
            frozenset(("InstancePartitioned",)),
            faults.LINKS_OF + name,
            began_at,
            ended_at,
        )
        for name in evidence.instance_by_address.values()
    )


def _was_interrupted(
    evidence: Evidence, names: frozenset[str], component: str, began_at: float, ended_at: float
) -> bool:
    """Return whether a component had one of the given faults in a period."""
    return any(
        each.name in names
        and each.component == component
        and each.began_at < ended_at
        and each.ended_at > began_at
        for each in evidence.fault_records
    )


def _check_served_share(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return a violation if the instances served too few requests."""
    served = sum(result.status == 200 and result.is_whole for result in evidence.results)
    if served < MIN_SERVED_SHARE * len(evidence.results):
        yield Violation("serves", "", f"{served} of {len(evidence.results)} requests")


def _check_urgency(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return a violation if urgent requests were served less often than less urgent ones.

    Faults hit both alike, so the difference must lie within the spread of such samples.
    """
    served = {}
    for route in (URGENT_ROUTE, LESS_URGENT_ROUTE):
        served[route] = [_is_served(each) for each in _counted(evidence) if each.route == route]
    counts = [len(each) for each in served.values()]
    if min(counts) < MIN_COMPARED:
        return
    urgent, other = (sum(each) / len(each) for each in served.values())
    mean = sum(map(sum, served.values())) / sum(counts)
    deviation = math.sqrt(mean * (1 - mean) * sum(1 / count for count in counts))
    if other - urgent > URGENT_SLACK + URGENT_DEVIATIONS * deviation:
        detail = f"{urgent:.2f} of {counts[0]} urgent, {other:.2f} of {counts[1]} other requests"
        yield Violation("urgent_is_served_first", "", detail)


def _check_starvation(evidence: Evidence) -> collections.abc.Iterator[Violation]:
    """Return a violation for each team that starved, and each route among those of its service."""
    groups: dict[str, dict[str, list[bool]]] = collections.defaultdict(dict)
    for result in _counted(evidence):
        service = operatordocuments.SETTINGS_BY_ROUTE[result.route].service
        team = soaksite.team_of(result.key)
        for group, member in ((service, result.route), ("teams", team)):
            groups[group].setdefault(member, []).append(_is_served(result))
    for served_by_member in groups.values():
        every = [served for each in served_by_member.values() for served in each]
        for member, served in served_by_member.items():
            least = STARVED_SHARE * sum(every) / len(every)
            if len(served) >= MIN_COMPARED and sum(served) / len(served) < least:
                detail = f"{member}: {sum(served)} of {len(served)} requests"
                yield Violation("nothing_starves", "", detail)


def _counted(evidence: Evidence) -> list[routedcaller.CallerResult]:
    """Return the results of callers that read their responses and have a valid key."""
    return [
        each
        for each in evidence.results
        if each.status != 401
        and not each.request_id.startswith((callerfaults.SLOW_PREFIX, enginefaults.FATAL_PREFIX))
    ]


def _is_served(result: routedcaller.CallerResult) -> bool:
    return result.status == 200 and result.is_whole
