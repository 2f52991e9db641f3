"""Conversion between messages and their Cap'n Proto encoding, with strict bounds.

Explanation
===========

Each message has a ``_fill`` and a ``_read`` function. Reading checks every
length before it walks a list and raises ``ValueError`` for anything out of
bounds; the codec turns that into a dropped frame. Gauges (loads, waiting times) are
clipped to the range of their field when written, so that an unusual load figure can never
prevent a node from sending its heartbeat.
"""

import collections.abc
import pathlib
import typing

import capnp

from hornbeamglade.exchange import messages
from hornbeamglade.replicas import evacuations

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("exchange.capnp")))

_MAX_U16 = 2**16 - 1
_MAX_U32 = 2**32 - 1
_NO_DUE_TIME = _MAX_U32

# pycapnp creates its builder and reader classes at run time.
_Builder = typing.Any
_Reader = typing.Any


def fill(envelope: _Builder, message: messages.Message) -> None:
    """Write ``message`` into the union of ``envelope``.

    :raises ValueError: if a list or name exceeds its bound.
    """
    message_format = _FORMAT_BY_TYPE[type(message)]
    message_format.fill(envelope.init(message_format.field), message)


def read(envelope: _Reader) -> messages.Message:
    """Read the message of ``envelope``.

    :raises ValueError: if anything is out of bounds.
    """
    message_format = _FORMAT_BY_FIELD.get(envelope.which())
    if message_format is None:
        raise ValueError("unknown message")
    return message_format.read(getattr(envelope, message_format.field))


def checked_name(name: str) -> str:
    """Return ``name`` if it does not exceed the bound on names.

    :raises ValueError: if it is too long.
    """
    if len(name.encode()) > messages.MAX_NAME_BYTES:
        raise ValueError("name too long")
    return name


def _checked_length(items: collections.abc.Sized, bound: int) -> int:
    length = len(items)
    if length > bound:
        raise ValueError("list too long")
    return length


def _clip(value: float, bound: int = _MAX_U32) -> int:
    return max(0, min(int(min(value, bound)), bound))


def _fill_heartbeat(builder: _Builder, message: messages.Heartbeat) -> None:
    builder.state = int(message.state)
    builder.wantsAnswer = message.wants_answer
    builder.beat = message.beat
    builder.refutation = message.refutation
    builder.configRevision = message.config_revision
    builder.listVersion = message.list_version
    _fill_evacuations(builder, message.evacuations)
    builder.quarantineDigest = message.quarantine_digest
    builder.failureDomain = checked_name(message.failure_domain)
    builder.address = checked_name(message.address)
    builder.exchange = checked_name(message.exchange)
    waiting = _checked_length(message.waiting, messages.MAX_WAITING_CLASSES)
    if waiting:
        _fill_waiting(builder.init("waiting", waiting), message.waiting)
    count = _checked_length(message.replicas, messages.max_digests(waiting))
    for entry, digest in zip(builder.init("replicas", count), message.replicas, strict=True):
        _fill_digest(entry, digest)
    count = _checked_length(message.demands, messages.MAX_DEMANDS)
    for entry, demand in zip(builder.init("demands", count), message.demands, strict=True):
        entry.team = demand.team
        entry.share = _clip(demand.share, _MAX_U16)
        entry.demand = _clip(demand.demand, _MAX_U16)
    count = _checked_length(message.updates, messages.MAX_MEMBERSHIP_UPDATES)
    for entry, update in zip(builder.init("rumours", count), message.updates, strict=True):
        entry.node = update.node
        entry.incarnation = update.incarnation
        entry.refutation = update.refutation
        entry.state = int(update.state)


def _read_heartbeat(reader: _Reader) -> messages.Heartbeat:
    _checked_length(reader.replicas, messages.MAX_REPLICAS)
    _checked_length(reader.demands, messages.MAX_DEMANDS)
    _checked_length(reader.rumours, messages.MAX_MEMBERSHIP_UPDATES)
    _checked_length(reader.waiting, messages.MAX_WAITING_CLASSES)
    state = messages.NodeState(reader.state)
    if state not in (messages.NodeState.LIVE, messages.NodeState.LEAVING):
        raise ValueError("a node can only announce itself as live or leaving")
    return messages.Heartbeat(
        state=state,
        wants_answer=reader.wantsAnswer,
        beat=reader.beat,
        refutation=reader.refutation,
        config_revision=reader.configRevision,
        list_version=reader.listVersion,
        evacuations=_read_evacuations(reader),
        quarantine_digest=reader.quarantineDigest,
        waiting=_read_waiting(reader.waiting),
        failure_domain=checked_name(reader.failureDomain),
        address=checked_name(reader.address),
        exchange=checked_name(reader.exchange),
        replicas=tuple(_read_digest(entry) for entry in reader.replicas),
        demands=tuple(
            messages.TeamDemand(entry.team, entry.share, entry.demand) for entry in reader.demands
        ),
        updates=tuple(
            messages.MembershipUpdate(
                entry.node, entry.incarnation, entry.refutation, messages.NodeState(entry.state)
            )
            for entry in reader.rumours
        ),
    )


def _fill_evacuations(builder: _Builder, state: evacuations.Evacuations) -> None:
    # A truncated state would end an evacuation; without a state the recipient keeps its own.
    name_bytes = sum(len(each.encode()) for each in state.domains)
    is_too_large = len(state.domains) > messages.MAX_EVACUATED
    if not state.is_known or is_too_large or name_bytes > messages.MAX_EVACUATED_BYTES:
        return
    fields = builder.init("evacuations")
    fields.version = state.version
    fields.domains = [checked_name(each) for each in sorted(state.domains)]


def _read_evacuations(reader: _Reader) -> evacuations.Evacuations:
    fields = reader.evacuations
    _checked_length(fields.domains, messages.MAX_EVACUATED)
    return evacuations.Evacuations(
        fields.version, frozenset(checked_name(each) for each in fields.domains)
    )


def _fill_digest(builder: _Builder, digest: messages.ReplicaDigest) -> None:
    builder.replica = digest.replica
    builder.roomTokens = _clip(digest.room_tokens)
    builder.queued = _clip(digest.queued, _MAX_U16)
    builder.expectedWaitMs = _clip(digest.expected_wait_ms)
    builder.leaving = digest.leaving
    builder.ejected = digest.ejected
    builder.tokenUs = _clip(digest.token_10us, _MAX_U16)
    builder.pauseMs = _clip(digest.pause_ms, _MAX_U16)


def _read_digest(reader: _Reader) -> messages.ReplicaDigest:
    return messages.ReplicaDigest(
        replica=reader.replica,
        room_tokens=reader.roomTokens,
        queued=reader.queued,
        expected_wait_ms=reader.expectedWaitMs,
        leaving=reader.leaving,
        ejected=reader.ejected,
        token_10us=reader.tokenUs,
        pause_ms=reader.pauseMs,
    )


def _fill_waiting(entries: _Builder, waiting: tuple[messages.WaitingClass, ...]) -> None:
    for entry, each in zip(entries, waiting, strict=True):
        entry.service = each.service
        entry.owner = each.owner
        entry.priority = each.priority
        entry.waiting = _clip(each.waiting, _MAX_U16)
        entry.startsPer100s = _clip(each.starts_per_s * 100, _MAX_U16)
        entry.ageMs = _clip(each.age_ms, _MAX_U16)
        entry.onTime = _clip(each.on_time, _MAX_U16)


def _read_waiting(entries: _Reader) -> tuple[messages.WaitingClass, ...]:
    return tuple(
        messages.WaitingClass(
            entry.service,
            entry.priority,
            entry.waiting,
            entry.startsPer100s / 100,
            entry.onTime,
            entry.owner,
            entry.ageMs,
        )
        for entry in entries
    )


def _fill_grant_request(builder: _Builder, message: messages.GrantRequest) -> None:
    builder.ask = message.grant_id
    builder.replica = message.replica
    builder.service = message.service
    builder.team = message.team
    builder.priority = message.priority
    builder.promptTokens = _clip(message.prompt_tokens)
    # 0 means no limit, as a limit of 0 tokens would request nothing.
    builder.maxTokens = _clip(message.max_tokens or 0)
    builder.weight = message.weight
    builder.deadlineMs = _clip(message.deadline_ms)
    builder.produced = _clip(message.produced)
    builder.orOther = message.allow_other
    builder.atOnce = message.immediate
    builder.gapGoalMs = _clip(message.gap_goal_ms, _MAX_U16)
    builder.goalMs = _clip(message.goal_ms)
    builder.expectedTokens = _clip(message.expected_tokens)
    builder.mayFindOther = message.may_find_other
    _checked_length(message.avoid, messages.MAX_AVOIDED)
    builder.dueMs = (
        _NO_DUE_TIME if message.due_ms is None else _clip(message.due_ms, _NO_DUE_TIME - 1)
    )
    avoid = builder.init("avoid", len(message.avoid))
    for position, name_hash in enumerate(message.avoid):
        avoid[position] = name_hash


def _read_grant_request(reader: _Reader) -> messages.GrantRequest:
    weight = float(reader.weight)
    if not 0.0 <= weight < float("inf"):
        raise ValueError("weight is negative or not finite")
    return messages.GrantRequest(
        grant_id=reader.ask,
        replica=reader.replica,
        service=reader.service,
        team=reader.team,
        priority=reader.priority,
        prompt_tokens=reader.promptTokens,
        max_tokens=reader.maxTokens or None,
        weight=weight,
        deadline_ms=reader.deadlineMs,
        produced=reader.produced,
        allow_other=reader.orOther,
        immediate=reader.atOnce,
        gap_goal_ms=reader.gapGoalMs,
        goal_ms=reader.goalMs,
        expected_tokens=reader.expectedTokens,
        may_find_other=reader.mayFindOther,
        due_ms=None if reader.dueMs == _NO_DUE_TIME else reader.dueMs,
        avoid=tuple(reader.avoid)[: messages.MAX_AVOIDED],
    )


def _fill_grant_response(builder: _Builder, message: messages.GrantResponse) -> None:
    builder.ask = message.grant_id
    builder.kind = int(message.kind)
    builder.code = checked_name(message.code)
    builder.retryAfterMs = _clip(message.retry_after_ms)
    builder.incarnation = message.incarnation
    builder.replica = message.replica
    count = _checked_length(message.digests, messages.MAX_REPLICAS)
    # A list that is not initialized takes no space.
    if count:
        digests, ages = builder.init("replicas", count), builder.init("agesMs", count)
        for position, each in enumerate(message.digests):
            _fill_digest(digests[position], each.digest)
            ages[position] = _clip(each.age_ms, _MAX_U16)
    count = _checked_length(message.waiting, messages.MAX_SITE_WAITING_CLASSES)
    if count:
        _fill_waiting(builder.init("waiting", count), message.waiting)


def _read_grant_response(reader: _Reader) -> messages.GrantResponse:
    count = _checked_length(reader.replicas, messages.MAX_REPLICAS)
    if len(reader.agesMs) != count:
        raise ValueError("digests and ages differ in number")
    _checked_length(reader.waiting, messages.MAX_SITE_WAITING_CLASSES)
    return messages.GrantResponse(
        grant_id=reader.ask,
        kind=messages.GrantKind(reader.kind),
        code=checked_name(reader.code),
        retry_after_ms=reader.retryAfterMs,
        incarnation=reader.incarnation,
        replica=reader.replica,
        digests=tuple(
            messages.AgedDigest(_read_digest(entry), age_ms)
            for entry, age_ms in zip(reader.replicas, reader.agesMs, strict=True)
        ),
        waiting=_read_waiting(reader.waiting),
    )


def _fill_progress(builder: _Builder, message: messages.Progress) -> None:
    running, released = message.running, message.released
    _checked_length(running + released, messages.MAX_PROGRESS)
    # A list that is not initialized takes no space.
    if running:
        for entry, grant in zip(builder.init("running", len(running)), running, strict=True):
            entry.ask = grant.grant_id
            entry.replica = grant.replica
            entry.produced = _clip(grant.produced)
            _fill_pace(entry, grant)
    if released:
        for entry, grant in zip(builder.init("returned", len(released)), released, strict=True):
            entry.ask = grant.grant_id
            entry.produced = _clip(grant.produced)
            _fill_pace(entry, grant)


def _fill_pace(entry: _Builder, grant: messages.GrantProgress | messages.GrantRelease) -> None:
    entry.tokenUs = _clip(grant.token_us, _MAX_U16)
    entry.pauseMs = _clip(grant.pause_ms, _MAX_U16)


def _read_progress(reader: _Reader) -> messages.Progress:
    bound = messages.MAX_PROGRESS - _checked_length(reader.running, messages.MAX_PROGRESS)
    _checked_length(reader.returned, bound)
    return messages.Progress(
        running=tuple(
            messages.GrantProgress(
                entry.ask, entry.replica, entry.produced, entry.tokenUs, entry.pauseMs
            )
            for entry in reader.running
        ),
        released=tuple(
            messages.GrantRelease(entry.ask, entry.produced, entry.tokenUs, entry.pauseMs)
            for entry in reader.returned
        ),
    )


def _fill_migration_slot(builder: _Builder, message: messages.MigrationSlot) -> None:
    builder.kind = int(message.kind)
    builder.replica = message.replica
    builder.run = message.run
    builder.tokens = _clip(message.tokens)


def _read_migration_slot(reader: _Reader) -> messages.MigrationSlot:
    return messages.MigrationSlot(
        messages.MigrationSlotKind(reader.kind), reader.replica, reader.run, reader.tokens
    )


def _fill_version_announcement(builder: _Builder, message: messages.VersionAnnouncement) -> None:
    builder.revision = message.revision
    builder.listVersion = message.list_version
    builder.isReached = message.is_reached
    _fill_evacuations(builder, message.evacuations)


def _read_version_announcement(reader: _Reader) -> messages.VersionAnnouncement:
    return messages.VersionAnnouncement(
        reader.revision, reader.listVersion, reader.isReached, _read_evacuations(reader)
    )


def _fill_chunk_request(builder: _Builder, message: messages.ChunkRequest) -> None:
    builder.revision = message.revision
    builder.chunk = message.chunk
    builder.subject = int(message.subject)
    builder.since = message.since


def _read_chunk_request(reader: _Reader) -> messages.ChunkRequest:
    return messages.ChunkRequest(
        reader.revision, reader.chunk, messages.Subject(reader.subject), reader.since
    )


def _fill_document_chunk(builder: _Builder, message: messages.DocumentChunk) -> None:
    _checked_length(message.content, messages.MAX_CHUNK_BYTES)
    builder.revision = message.revision
    builder.digest = message.digest
    builder.chunk = message.chunk
    builder.chunks = message.chunks
    builder.content = message.content
    builder.subject = int(message.subject)


def _read_document_chunk(reader: _Reader) -> messages.DocumentChunk:
    digest = bytes(reader.digest)
    content = bytes(reader.content)
    _checked_length(content, messages.MAX_CHUNK_BYTES)
    if len(digest) != messages.DIGEST_BYTES:
        raise ValueError("digest has a wrong length")
    if not reader.chunk < reader.chunks <= messages.MAX_CHUNKS:
        raise ValueError("chunk number out of bounds")
    subject = messages.Subject(reader.subject)
    return messages.DocumentChunk(
        reader.revision, digest, reader.chunk, reader.chunks, content, subject
    )


def _fill_superseded(builder: _Builder, message: messages.SupersededIncarnation) -> None:
    builder.incarnation = message.incarnation


def _read_superseded(reader: _Reader) -> messages.SupersededIncarnation:
    if reader.incarnation > messages.MAX_INCARNATION:
        raise ValueError("incarnation out of bounds")
    return messages.SupersededIncarnation(reader.incarnation)


def _fill_crashes(builder: _Builder, message: messages.CrashReport) -> None:
    count = _checked_length(message.crashes, messages.MAX_REPORTED_CRASHES)
    for entry, crash in zip(builder.init("crashes", count), message.crashes, strict=True):
        entry.fingerprint = crash.fingerprint
        entry.replica = crash.replica
        entry.ageMs = _clip(crash.age_ms)
        entry.ranMs = _clip(crash.ran_ms)


def _read_crashes(reader: _Reader) -> messages.CrashReport:
    _checked_length(reader.crashes, messages.MAX_REPORTED_CRASHES)
    return messages.CrashReport(
        tuple(
            messages.ReportedCrash(entry.fingerprint, entry.replica, entry.ageMs, entry.ranMs)
            for entry in reader.crashes
        )
    )


def _fill_quarantine(builder: _Builder, message: messages.QuarantineNotice) -> None:
    count = _checked_length(message.requests, messages.MAX_QUARANTINED)
    for entry, request in zip(builder.init("requests", count), message.requests, strict=True):
        entry.fingerprint = request.fingerprint
        entry.leftS = _clip(request.left_s)
        entry.isPart = request.is_part


def _read_quarantine(reader: _Reader) -> messages.QuarantineNotice:
    _checked_length(reader.requests, messages.MAX_QUARANTINED)
    return messages.QuarantineNotice(
        tuple(
            messages.QuarantinedRequest(entry.fingerprint, entry.leftS, entry.isPart)
            for entry in reader.requests
        )
    )


def _fill_tunnel_request(builder: _Builder, message: messages.TunnelRequest) -> None:
    builder.replica = message.replica


def _read_tunnel_request(reader: _Reader) -> messages.TunnelRequest:
    return messages.TunnelRequest(reader.replica)


def _fill_tunnel_response(builder: _Builder, message: messages.TunnelResponse) -> None:
    builder.outcome = int(message.outcome)


def _read_tunnel_response(reader: _Reader) -> messages.TunnelResponse:
    return messages.TunnelResponse(messages.TunnelOutcome(reader.outcome))


def _fill_origins(builder: _Builder, message: messages.OriginRecords) -> None:
    count = _checked_length(message.origins, messages.MAX_ORIGINS)
    for entry, origin in zip(builder.init("origins", count), message.origins, strict=True):
        entry.stream = origin.stream
        entry.version = origin.version
        entry.keptS = _clip(origin.kept_s, _MAX_U16)


def _read_origins(reader: _Reader) -> messages.OriginRecords:
    _checked_length(reader.origins, messages.MAX_ORIGINS)
    return messages.OriginRecords(
        tuple(
            messages.OriginRecord(entry.stream, entry.version, entry.keptS)
            for entry in reader.origins
        )
    )


def _fill_origin_query(builder: _Builder, message: messages.OriginQuery) -> None:
    _checked_length(message.streams, messages.MAX_ORIGINS)
    builder.streams = list(message.streams)
    builder.service = message.service
    builder.windowS = _clip(message.window_s, _MAX_U16)
    builder.token = message.token


def _read_origin_query(reader: _Reader) -> messages.OriginQuery:
    _checked_length(reader.streams, messages.MAX_ORIGINS)
    return messages.OriginQuery(
        tuple(reader.streams), reader.service, reader.windowS, reader.token
    )


def _fill_version_statement(builder: _Builder, message: messages.VersionStatement) -> None:
    builder.token = message.token
    builder.service = message.service
    builder.version = message.version
    builder.listVersion = message.list_version


def _read_version_statement(reader: _Reader) -> messages.VersionStatement:
    return messages.VersionStatement(
        reader.token, reader.service, reader.version, reader.listVersion
    )


def _fill_part_crashes(builder: _Builder, message: messages.PartCrashReport) -> None:
    builder.service = message.service
    count = _checked_length(message.crashes, messages.MAX_REPORTED_PARTS)
    for entry, crash in zip(builder.init("crashes", count), message.crashes, strict=True):
        entry.part = crash.part
        entry.replica = crash.replica
        entry.team = crash.team
        entry.nextPart = crash.next_part
        entry.ageMs = _clip(crash.age_ms)
        entry.ranMs = _clip(crash.ran_ms)
        entry.request = crash.request


def _read_part_crashes(reader: _Reader) -> messages.PartCrashReport:
    _checked_length(reader.crashes, messages.MAX_REPORTED_PARTS)
    return messages.PartCrashReport(
        reader.service,
        tuple(
            messages.ReportedPartCrash(
                each.part,
                each.replica,
                each.team,
                each.nextPart,
                each.ageMs,
                each.ranMs,
                each.request,
            )
            for each in reader.crashes
        ),
    )


def _fill_part_inquiry(builder: _Builder, message: messages.PartInquiry) -> None:
    _checked_length(message.parts, messages.MAX_PARTS)
    builder.parts = list(message.parts)


def _read_part_inquiry(reader: _Reader) -> messages.PartInquiry:
    _checked_length(reader.parts, messages.MAX_PARTS)
    return messages.PartInquiry(tuple(reader.parts))


def _fill_part_successes(builder: _Builder, message: messages.PartSuccesses) -> None:
    count = _checked_length(message.parts, messages.MAX_PARTS)
    for entry, success in zip(builder.init("parts", count), message.parts, strict=True):
        entry.part = success.part
        entry.ageMs = _clip(success.age_ms)


def _read_part_successes(reader: _Reader) -> messages.PartSuccesses:
    _checked_length(reader.parts, messages.MAX_PARTS)
    return messages.PartSuccesses(
        tuple(messages.PartSuccess(each.part, each.ageMs) for each in reader.parts)
    )


class _MessageFormat(typing.NamedTuple):
    """Functions that encode and decode one type of message."""

    message_type: type
    field: str
    fill: collections.abc.Callable[[_Builder, typing.Any], None]
    read: collections.abc.Callable[[_Reader], messages.Message]


_FORMATS = (
    _MessageFormat(messages.Heartbeat, "heartbeat", _fill_heartbeat, _read_heartbeat),
    _MessageFormat(messages.GrantRequest, "grantAsk", _fill_grant_request, _read_grant_request),
    _MessageFormat(
        messages.GrantResponse, "grantAnswer", _fill_grant_response, _read_grant_response
    ),
    _MessageFormat(messages.Progress, "progress", _fill_progress, _read_progress),
    _MessageFormat(messages.MigrationSlot, "moveTurn", _fill_migration_slot, _read_migration_slot),
    _MessageFormat(
        messages.VersionAnnouncement,
        "configHint",
        _fill_version_announcement,
        _read_version_announcement,
    ),
    _MessageFormat(messages.ChunkRequest, "configAsk", _fill_chunk_request, _read_chunk_request),
    _MessageFormat(
        messages.DocumentChunk, "configOffer", _fill_document_chunk, _read_document_chunk
    ),
    _MessageFormat(messages.SupersededIncarnation, "outrun", _fill_superseded, _read_superseded),
    _MessageFormat(messages.CrashReport, "crashReport", _fill_crashes, _read_crashes),
    _MessageFormat(
        messages.QuarantineNotice, "quarantineNotice", _fill_quarantine, _read_quarantine
    ),
    _MessageFormat(
        messages.TunnelRequest, "tunnelRequest", _fill_tunnel_request, _read_tunnel_request
    ),
    _MessageFormat(
        messages.TunnelResponse, "tunnelResponse", _fill_tunnel_response, _read_tunnel_response
    ),
    _MessageFormat(messages.OriginRecords, "originRecords", _fill_origins, _read_origins),
    _MessageFormat(messages.OriginQuery, "originQuery", _fill_origin_query, _read_origin_query),
    _MessageFormat(
        messages.VersionStatement,
        "versionStatement",
        _fill_version_statement,
        _read_version_statement,
    ),
    _MessageFormat(
        messages.PartCrashReport, "partCrashReport", _fill_part_crashes, _read_part_crashes
    ),
    _MessageFormat(messages.PartInquiry, "partInquiry", _fill_part_inquiry, _read_part_inquiry),
    _MessageFormat(
        messages.PartSuccesses, "partSuccesses", _fill_part_successes, _read_part_successes
    ),
)
_FORMAT_BY_TYPE = {message_format.message_type: message_format for message_format in _FORMATS}
_FORMAT_BY_FIELD = {message_format.field: message_format for message_format in _FORMATS}
