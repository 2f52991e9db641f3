"""Strategies that generate every kind of message, within its bounds."""

from hypothesis import strategies

from hornbeamglade.exchange import messages
from hornbeamglade.replicas import evacuations

_U16 = strategies.integers(0, 2**16 - 1)
_U32 = strategies.integers(0, 2**32 - 1)
_U64 = strategies.integers(0, 2**64 - 1)
_NAMES = strategies.text("abcäö-0123", max_size=12)
_CONTENT = strategies.binary(max_size=messages.MAX_CHUNK_BYTES)

_UPDATES = strategies.builds(
    messages.MembershipUpdate, _U64, _U64, _U32, strategies.sampled_from(messages.NodeState)
)
_DIGESTS = strategies.builds(
    messages.ReplicaDigest, _U64, _U32, _U16, _U32, token_10us=_U16, pause_ms=_U16
)
_DEMANDS = strategies.builds(messages.TeamDemand, _U64, _U16, _U16)
_DOMAINS = strategies.text("ab-0123", min_size=1, max_size=8)
_EVACUATIONS = strategies.just(evacuations.Evacuations()) | strategies.builds(
    evacuations.Evacuations,
    strategies.integers(1, 2**64 - 1),
    strategies.frozensets(_DOMAINS, max_size=messages.MAX_EVACUATED),
)
_HEARTBEATS = strategies.builds(
    messages.Heartbeat,
    state=strategies.sampled_from((messages.NodeState.LIVE, messages.NodeState.LEAVING)),
    beat=_U32,
    config_revision=_U64,
    failure_domain=_NAMES,
    address=_NAMES,
    exchange=_NAMES,
    wants_answer=strategies.booleans(),
    replicas=strategies.lists(_DIGESTS, max_size=8).map(tuple),
    demands=strategies.lists(_DEMANDS, max_size=8).map(tuple),
    updates=strategies.lists(_UPDATES, max_size=6).map(tuple),
    refutation=_U32,
    list_version=_U64,
    evacuations=_EVACUATIONS,
    quarantine_digest=_U64,
)
_GRANT_REQUESTS = strategies.builds(
    messages.GrantRequest,
    grant_id=_U64,
    replica=_U64,
    service=_U64,
    team=_U64,
    priority=strategies.integers(-100, 100),
    prompt_tokens=_U32,
    max_tokens=strategies.none() | strategies.integers(1, 2**32 - 1),
    weight=strategies.floats(0, 100, width=32),
    deadline_ms=_U32,
    produced=_U32,
    allow_other=strategies.booleans(),
    immediate=strategies.booleans(),
    due_ms=strategies.none() | strategies.integers(0, 2**32 - 2),
    gap_goal_ms=_U16,
    goal_ms=_U32,
    expected_tokens=_U32,
    may_find_other=strategies.booleans(),
    avoid=strategies.lists(_U64, max_size=messages.MAX_AVOIDED).map(tuple),
)
_GRANT_RESPONSES = strategies.builds(
    messages.GrantResponse,
    grant_id=_U64,
    kind=strategies.sampled_from(messages.GrantKind),
    code=_NAMES,
    retry_after_ms=_U32,
    incarnation=_U64,
    replica=_U64,
)
_PROGRESS = strategies.builds(
    messages.Progress,
    strategies.lists(
        strategies.builds(messages.GrantProgress, _U64, _U64, _U32, _U16, _U16), max_size=8
    ).map(tuple),
    strategies.lists(
        strategies.builds(messages.GrantRelease, _U64, _U32, _U16, _U16), max_size=8
    ).map(tuple),
)
_DOCUMENT_CHUNKS = strategies.builds(
    messages.DocumentChunk,
    revision=_U64,
    digest=strategies.binary(min_size=32, max_size=32),
    chunk=strategies.integers(0, 4),
    chunks=strategies.integers(5, messages.MAX_CHUNKS),
    content=_CONTENT,
    subject=strategies.sampled_from(messages.Subject),
)
_MIGRATION_SLOTS = strategies.builds(
    messages.MigrationSlot, strategies.sampled_from(messages.MigrationSlotKind), _U64, _U64, _U32
)
_CRASHES = strategies.builds(messages.ReportedCrash, _U64, _U64, _U32, _U32)
_ORIGINS = strategies.builds(messages.OriginRecord, _U64, _U64, _U16)
_QUARANTINED = strategies.builds(messages.QuarantinedRequest, _U64, _U32, strategies.booleans())
_PART_CRASHES = strategies.builds(
    messages.ReportedPartCrash, _U64, _U64, _U64, _U64, _U32, _U32, _U64
)
_PART_SUCCESSES = strategies.builds(messages.PartSuccess, _U64, _U32)
MESSAGES = (
    _HEARTBEATS
    | _GRANT_REQUESTS
    | _GRANT_RESPONSES
    | _PROGRESS
    | _MIGRATION_SLOTS
    | strategies.builds(
        messages.VersionAnnouncement, _U64, _U64, strategies.booleans(), _EVACUATIONS
    )
    | strategies.builds(
        messages.ChunkRequest, _U64, _U16, strategies.sampled_from(messages.Subject), _U64
    )
    | _DOCUMENT_CHUNKS
    | strategies.builds(
        messages.SupersededIncarnation, strategies.integers(0, messages.MAX_INCARNATION)
    )
    | strategies.builds(
        messages.CrashReport,
        strategies.lists(_CRASHES, max_size=messages.MAX_REPORTED_CRASHES).map(tuple),
    )
    | strategies.builds(
        messages.QuarantineNotice,
        strategies.lists(_QUARANTINED, max_size=messages.MAX_QUARANTINED).map(tuple),
    )
    | strategies.builds(
        messages.OriginRecords,
        strategies.lists(_ORIGINS, max_size=messages.MAX_ORIGINS).map(tuple),
    )
    | strategies.builds(
        messages.OriginQuery,
        strategies.lists(_U64, max_size=messages.MAX_ORIGINS).map(tuple),
        _U64,
        _U16,
        _U64,
    )
    | strategies.builds(messages.VersionStatement, _U64, _U64, _U64, _U64)
    | strategies.builds(
        messages.PartCrashReport,
        _U64,
        strategies.lists(_PART_CRASHES, max_size=messages.MAX_REPORTED_PARTS).map(tuple),
    )
    | strategies.builds(
        messages.PartInquiry, strategies.lists(_U64, max_size=messages.MAX_PARTS).map(tuple)
    )
    | strategies.builds(
        messages.PartSuccesses,
        strategies.lists(_PART_SUCCESSES, max_size=messages.MAX_PARTS).map(tuple),
    )
    | strategies.builds(messages.TunnelRequest, _U64)
    | strategies.builds(messages.TunnelResponse, strategies.sampled_from(messages.TunnelOutcome))
)
