"""The messages between entry nodes, as immutable values.

Explanation
===========

No Cap'n Proto object leaves :mod:`hornbeamglade.exchange.codec`; all other modules
use only these classes. Replicas, services, teams and third nodes are identified by
:func:`key_hash`, eight bytes each, since heartbeats and grant requests must stay small with
hundreds of nodes; the recipient looks up the names in its configuration
(:mod:`hornbeamglade.exchange.hashednames`).
"""

import dataclasses
import enum
import hashlib

from hornbeamglade.replicas import evacuations as evacuationlib

MAX_NAME_BYTES = 64
# A heartbeat in which all lists have their maximum length fits one datagram.
MAX_REPLICAS = 22
MAX_DEMANDS = 12
MAX_MEMBERSHIP_UPDATES = 8
MAX_AVOIDED = 8
# Waiting classes of one owner; in a heartbeat they take the places of digests, which would not
# fit one datagram besides.
MAX_WAITING_CLASSES = 8
# Waiting classes of all owners in a grant response.
MAX_SITE_WAITING_CLASSES = 16
# Failure domains in one evacuation state, and total bytes of their names.
MAX_EVACUATED = 7
MAX_EVACUATED_BYTES = 56
MAX_REPORTED_CRASHES = 32
MAX_QUARANTINED = 64
MAX_ORIGINS = 32
MAX_PARTS = 64
MAX_REPORTED_PARTS = 24

# Demands change slowly and make up half of a heartbeat's bytes.
DEMANDS_INTERVAL_BEATS = 4
IDENTITY_INTERVAL_BEATS = 4

# This many grants of the larger kind still fit one datagram.
MAX_PROGRESS = 48
MAX_CHUNKS = 512
MAX_CHUNK_BYTES = 1000
DIGEST_BYTES = 32


def max_digests(waiting_classes: int) -> int:
    """Return how many digests fit into a heartbeat beside a number of waiting classes.

    Examples
    ========

    >>> max_digests(0), max_digests(2)
    (22, 18)
    """
    # Two more than the classes: their list has a header, and a class may be larger than a digest.
    return MAX_REPLICAS - (waiting_classes + 2 if waiting_classes else 0)


def key_hash(name: str) -> int:
    """Return the 64-bit hash that identifies a replica, team or node in messages.

    Explanation
    ===========

    Among 10,000 names two share a hash with a probability of about 3e-12; the effect
    would be a misattributed load figure, or a grant request counted for another team.

    Examples
    ========

    >>> key_hash("engine-1") == key_hash("engine-1")
    True
    >>> 0 <= key_hash("engine-1") < 2**64
    True
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class NodeState(enum.IntEnum):
    """State of a node as stated in a message."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


class GrantKind(enum.IntEnum):
    """Response of the owner of a replica to a grant request."""

    GRANTED = 0
    QUEUED = 1
    REFUSED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaDigest:
    """An owner's summary of one of its replicas.

    :param replica: :func:`key_hash` of the replica's name.
    :param room_tokens: tokens of memory that the owner would still admit; its headroom.
    :param queued: requests in its owner's queue ahead of a new request.
    :param expected_wait_ms: milliseconds that a new request would queue.
    :param leaving: the replica takes no new work.
    :param ejected: the owner has ejected it as an outlier.
    :param token_10us: its time per token in units of 10 microseconds, 0 if unknown.
    :param pause_ms: its longest recent pause between events, 0 if unknown.
    """

    replica: int
    room_tokens: int
    queued: int
    expected_wait_ms: int
    leaving: bool = False
    ejected: bool = False
    token_10us: int = 0
    pause_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AgedDigest:
    """A digest that a node passes on, possibly that of another owner.

    :param digest: the owner's summary of the replica.
    :param age_ms: milliseconds since the owner made it; 0 for a digest of the sender.
    """

    digest: ReplicaDigest
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingClass:
    """Requests of one service and priority that wait at one owner.

    :param service: :func:`key_hash` of the name of the replicas' service.
    :param priority: of the requests; larger is more urgent.
    :param waiting: requests in the owner's queues; 0 states that none of any priority wait.
    :param starts_per_s: how many of them have lately started per second.
    :param on_time: those of the waiting requests that can still be on time.
    :param owner: :func:`key_hash` of the owner's name; 0 for the sender.
    :param age_ms: milliseconds since the owner made the entry.
    """

    service: int
    priority: int
    waiting: int
    starts_per_s: float
    on_time: int = 0
    owner: int = 0
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TeamDemand:
    """The sender's share of and demand for one team's limit, in 1/10,000 of the limit.

    :param team: :func:`key_hash` of the team's name.
    :param share: what the node may use, or what it uses if that is more.
    :param demand: what it would use without the limit; may exceed 10,000.
    """

    team: int
    share: int
    demand: int


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """Information that the sender passes on about a third node.

    :param node: :func:`key_hash` of the node's name.
    :param incarnation: the incarnation of the node that the update describes.
    :param refutation: the newest refutation of that incarnation known to the originator.
    :param state: the state that the originator believes.
    """

    node: int
    incarnation: int
    refutation: int
    state: NodeState


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic announcement of a node; its name and incarnation are in the envelope.

    :param state: ``LIVE`` or ``LEAVING``.
    :param beat: increases with every round of heartbeats of this incarnation.
    :param config_revision: the configuration revision active at the sender.
    :param failure_domain: the sender's failure domain.
    :param address: ``ip:port`` for callers.
    :param exchange: ``ip:port`` (UDP) for other nodes; if it is empty, ``failure_domain`` and
        ``address`` are as well, and the recipient keeps the values it received before.
    :param wants_answer: the sender has not received a message from the recipient lately and
        requests a heartbeat in return.
    :param replicas: digests of the replicas owned by the sender.
    :param demands: teams, :data:`MAX_DEMANDS` at most, in each beat that
        :data:`DEMANDS_INTERVAL_BEATS` divides; none in the others.
    :param updates: recent changes of state of other nodes.
    :param refutation: increases each time the sender learns that it is considered failed.
    :param list_version: the version of the platform's list of replicas that the sender
        has, or 0.
    :param evacuations: the evacuated failure domains as the sender knows them.
    :param quarantine_digest: digest of the quarantined requests, which the sender refuses
        because they crash replicas, or 0 for none.
    :param waiting: the sender's waiting classes, at most :data:`MAX_WAITING_CLASSES`.
    """

    state: NodeState
    beat: int
    config_revision: int
    failure_domain: str
    address: str
    exchange: str
    wants_answer: bool = False
    replicas: tuple[ReplicaDigest, ...] = ()
    demands: tuple[TeamDemand, ...] = ()
    updates: tuple[MembershipUpdate, ...] = ()
    refutation: int = 0
    list_version: int = 0
    evacuations: evacuationlib.Evacuations = evacuationlib.Evacuations()
    quarantine_digest: int = 0
    waiting: tuple[WaitingClass, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """A request to the owner of a replica for permission to send one request to it.

    :param grant_id: unique within the sender's incarnation; from 1.
    :param replica: :func:`key_hash` of the replica's name.
    :param service: :func:`key_hash` of the service's name.
    :param team: :func:`key_hash` of the team's name.
    :param priority: larger is more urgent.
    :param prompt_tokens: estimated tokens of the prompt.
    :param max_tokens: the caller's limit on the generated tokens, or None.
    :param weight: the team's weight when the owner divides an overloaded replica.
    :param deadline_ms: milliseconds that the request may still queue.
    :param produced: tokens already produced by a generation that is to continue at
        this replica; 0 for a new one.
    :param allow_other: the owner may admit the request to another replica of the same service.
    :param avoid: :func:`key_hash` of the names of replicas that must not be chosen, at most
        :data:`MAX_AVOIDED`.
    :param due_ms: milliseconds until it must start to meet its objective; 0 if it is
        late, None without an objective.
    :param immediate: whether it must start now: it is refused rather than queued.
    :param gap_goal_ms: the objective for pauses between events, 0 if it is not placed by pace.
    :param goal_ms: the objective for the first event.
    :param expected_tokens: the expected length of the response.
    :param may_find_other: whether it may still start in time at an engine that keeps the pace,
        so that it must not start at one that does not.
    """

    grant_id: int
    replica: int
    service: int
    team: int
    priority: int
    prompt_tokens: int
    max_tokens: int | None
    weight: float
    deadline_ms: int
    produced: int = 0
    allow_other: bool = False
    avoid: tuple[int, ...] = ()
    due_ms: int | None = None
    immediate: bool = False
    gap_goal_ms: int = 0
    goal_ms: int = 0
    expected_tokens: int = 0
    may_find_other: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GrantResponse:
    """The owner's response to a grant request.

    :param grant_id: identifies the request, and the grant if it is granted.
    :param kind: granted, queued (another response follows) or refused.
    :param code: the reason for a refusal; else empty.
    :param retry_after_ms: milliseconds after which a retry makes sense, or 0.
    :param incarnation: the requester's incarnation, filled in by the grant server.
    :param replica: :func:`key_hash` of the name of the replica granted, if it may differ
        from the one requested; else 0.
    :param digests: the present states of the service's replicas that the owner knows, at
        most :data:`MAX_REPLICAS`; filled in by the grant server.
    :param waiting: the service's waiting classes that the owner knows, at most
        :data:`MAX_SITE_WAITING_CLASSES`; filled in by the grant server.
    """

    grant_id: int
    kind: GrantKind
    code: str = ""
    retry_after_ms: int = 0
    incarnation: int = 0
    replica: int = 0
    digests: tuple[AgedDigest, ...] = ()
    waiting: tuple[WaitingClass, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GrantProgress:
    """Progress of one granted request.

    :param grant_id: the identifier of the grant.
    :param replica: :func:`key_hash` of the replica's name, for an owner that did not
        admit the request.
    :param produced: tokens produced so far.
    :param token_us: the stream's microseconds per token, 0 if unknown.
    :param pause_ms: its longest pause since the previous report, 0 if unknown.
    """

    grant_id: int
    replica: int
    produced: int
    token_us: int = 0
    pause_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRelease:
    """Release of a grant or grant request: finished, failed or abandoned.

    :param grant_id: the identifier of the grant request.
    :param produced: tokens produced, 0 for none.
    :param token_us: the stream's microseconds per token, 0 if unknown.
    :param pause_ms: its longest pause since the previous report, 0 if unknown.
    """

    grant_id: int
    produced: int = 0
    token_us: int = 0
    pause_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Progress and releases of the sender's grants of one owner, at most :data:`MAX_PROGRESS`."""

    running: tuple[GrantProgress, ...] = ()
    released: tuple[GrantRelease, ...] = ()


class MigrationSlotKind(enum.IntEnum):
    """Kind of a migration slot message."""

    REQUEST = 0
    GRANT = 1
    RELEASE = 2
    WAIT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class MigrationSlot:
    """Coordinates the order in which generations leave a replica that is about to stop.

    :param kind: requested or released by the generation's node; granted or postponed by the
        replica's owner.
    :param replica: :func:`key_hash` of the replica's name.
    :param run: :func:`key_hash` of the request's id.
    :param tokens: memory that the generation occupies, as stated by its node in a request.
    """

    kind: MigrationSlotKind
    replica: int
    run: int
    tokens: int = 0


class Subject(enum.IntEnum):
    """Documents that nodes fetch from peers when the platform's store refuses them."""

    CONFIGURATION = 0
    REPLICAS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class VersionAnnouncement:
    """Versions that the sender has of the store's documents; the recipient fetches newer ones.

    :param revision: the configuration's revision.
    :param list_version: the version of the list of replicas, or 0.
    :param is_reached: whether the sender reaches the store.
    :param evacuations: the evacuated failure domains.
    """

    revision: int
    list_version: int = 0
    is_reached: bool = False
    evacuations: evacuationlib.Evacuations = evacuationlib.Evacuations()


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Request to a peer for one chunk of a document.

    :param revision: the requested revision.
    :param chunk: the number of the requested chunk, from 0.
    :param subject: the requested document.
    :param since: the revision or position that the sender has: only later changes are needed.
    """

    revision: int
    chunk: int
    subject: Subject = Subject.CONFIGURATION
    since: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentChunk:
    """One chunk of a document.

    :param revision: the revision of the document.
    :param digest: SHA-256 of the whole document.
    :param chunk: the number of this chunk, from 0.
    :param chunks: the number of chunks of the document.
    :param content: this chunk's bytes.
    :param subject: the document that it belongs to.
    """

    revision: int
    digest: bytes
    chunk: int
    chunks: int
    content: bytes
    subject: Subject = Subject.CONFIGURATION


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A crash of a replica during the run of a request.

    :param fingerprint: of the request.
    :param replica: :func:`key_hash` of the replica's id.
    :param age_ms: milliseconds since the crash.
    :param ran_ms: milliseconds from the dispatch of the request to the crash.
    """

    fingerprint: int
    replica: int
    age_ms: int
    ran_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes that the sender has detected, at most :data:`MAX_REPORTED_CRASHES`."""

    crashes: tuple[ReportedCrash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that the sender refuses because it crashes replicas.

    :param fingerprint: of the request.
    :param left_s: seconds until the refusal ends.
    :param is_part: whether it is a part of prompts, whose refusal has the fingerprint as its key.
    """

    fingerprint: int
    left_s: int
    is_part: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineNotice:
    """Requests that the sender refuses, at most :data:`MAX_QUARANTINED`."""

    requests: tuple[QuarantinedRequest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedPartCrash:
    """A crash of a replica during a run whose prompt contained a part.

    :param part: hash of the part.
    :param replica: :func:`key_hash` of the replica's id.
    :param team: hash of the caller's team.
    :param next_part: hash of the part that follows in the prompt, 0 if that is the last one.
    :param age_ms: milliseconds since the run ended.
    :param ran_ms: milliseconds from the send of the run to its end.
    :param request: fingerprint of the request, or 0 if it is not known.
    """

    part: int
    replica: int
    team: int
    next_part: int
    age_ms: int
    ran_ms: int
    request: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PartCrashReport:
    """Crashes with the parts of the prompts that they ended.

    :param service: :func:`key_hash` of the service's name.
    :param crashes: at most :data:`MAX_REPORTED_PARTS`.
    """

    service: int
    crashes: tuple[ReportedPartCrash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PartInquiry:
    """Asks whether runs with parts of prompts went well, now and for some time.

    :param parts: hashes of the parts, at most :data:`MAX_PARTS`.
    """

    parts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PartSuccess:
    """A run whose prompt contained a part went well.

    :param part: hash of the part.
    :param age_ms: milliseconds since then.
    """

    part: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartSuccesses:
    """Responds to :class:`PartInquiry`, with at most :data:`MAX_PARTS` parts."""

    parts: tuple[PartSuccess, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelRequest:
    """Asks the recipient to connect the sender to a replica.

    :param replica: :func:`key_hash` of the replica's id.
    """

    replica: int


class TunnelOutcome(enum.IntEnum):
    """Response to a request for a tunnel."""

    OPENED = 0
    REFUSED = 1
    """The replica's machine refused the connection."""

    NO_RESPONSE = 2
    """The replica's machine did not respond to the recipient."""

    PARTITIONED = 3
    """The recipient is partitioned from replicas itself, so it cannot tell."""

    UNKNOWN_REPLICA = 4
    BUSY = 5
    LEAVING = 6


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelResponse:
    """Response to a request for a tunnel; after ``OPENED`` the replica's bytes follow."""

    outcome: TunnelOutcome


MAX_INCARNATION = 2**62
"""Far beyond any time in milliseconds: a wrong message raises no incarnation above it."""


@dataclasses.dataclass(frozen=True, slots=True)
class SupersededIncarnation:
    """Tells the recipient that its frames are dropped: a higher incarnation of it is known.

    :param incarnation: the highest known incarnation.
    """

    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class OriginRecord:
    """The software version that began a stream.

    :param stream: :func:`stream_key <hornbeamglade.origins.versions.stream_key>` of the stream.
    :param version: :func:`key_hash` of the version, or 0 if the stream must not be continued.
    :param kept_s: seconds for which the recipient keeps the record.
    """

    stream: int
    version: int
    kept_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class OriginRecords:
    """Origins of streams, at most :data:`MAX_ORIGINS`, that the recipient keeps or asked for."""

    origins: tuple[OriginRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OriginQuery:
    """Asks for the origins of streams, at most :data:`MAX_ORIGINS`.

    :param streams: the keys of the streams.
    :param service: :func:`key_hash` of their service.
    :param window_s: seconds in which the streams may have begun.
    :param token: sent back in the :class:`VersionStatement` that is asked for; 0 asks for none.
    """

    streams: tuple[int, ...]
    service: int = 0
    window_s: int = 0
    token: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionStatement:
    """Tells which software versions of a service its sender has seen listed.

    :param token: that of the query, or 0 if the statement was not asked for.
    :param service: :func:`key_hash` of the service.
    :param version: key of the only version in the time asked for, or 0 if there were several.
    :param list_version: version of the replica list that the sender holds.
    """

    token: int
    service: int
    version: int
    list_version: int


Message = (
    Heartbeat
    | GrantRequest
    | GrantResponse
    | Progress
    | MigrationSlot
    | VersionAnnouncement
    | ChunkRequest
    | DocumentChunk
    | SupersededIncarnation
    | CrashReport
    | QuarantineNotice
    | TunnelRequest
    | TunnelResponse
    | OriginRecords
    | VersionStatement
    | OriginQuery
    | PartCrashReport
    | PartInquiry
    | PartSuccesses
)
