"""The messages between entry nodes, as immutable values.

Explanation
===========

No Cap'n Proto object leaves :mod:`hornbeamglade.exchange.codec`; the decisions
see only these classes. Replicas, services, teams and third nodes are named by
:func:`key_hash`, eight bytes each, since heartbeats and asks must stay small at
hundreds of nodes; the recipient finds the names in its configuration
(:mod:`hornbeamglade.exchange.hashednames`).
"""

import dataclasses
import enum
import hashlib

from hornbeamglade.replicas import evacuations as evacuationlib

MAX_NAME_BYTES = 64
# A heartbeat at all its bounds fits one datagram.
MAX_REPLICAS = 24
MAX_DEMANDS = 12
MAX_MEMBERSHIP_UPDATES = 8
MAX_AVOIDED = 8
MAX_EVACUATED = 7
MAX_EVACUATED_BYTES = 56
MAX_REPORTED_CRASHES = 32
MAX_QUARANTINED = 64
"""Failure domains in one state of the evacuations, and bytes of all their names."""

# Demands change slowly and are half of a heartbeat's bytes.
DEMANDS_INTERVAL_BEATS = 4
IDENTITY_INTERVAL_BEATS = 4

# As many grants of the larger kind still fit one datagram.
MAX_PROGRESS = 48
MAX_CHUNKS = 512
MAX_CHUNK_BYTES = 1000
DIGEST_BYTES = 32


def key_hash(name: str) -> int:
    """Return the 64-bit hash by which heartbeats name a replica, team or node.

    Explanation
    ===========

    Among 10,000 names two share a hash with a probability of about 3e-12; the
    effect would be a misread load figure, or an ask counted for another team.

    Examples
    ========

    >>> key_hash("engine-1") == key_hash("engine-1")
    True
    >>> 0 <= key_hash("engine-1") < 2**64
    True
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class NodeState(enum.IntEnum):
    """What a message says of a node."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


class GrantKind(enum.IntEnum):
    """How the owner of a replica answered an ask."""

    GRANTED = 0
    QUEUED = 1
    REFUSED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaDigest:
    """An owner's summary of one of its replicas.

    :param replica: :func:`key_hash` of the replica's name.
    :param room_tokens: tokens of memory that the owner would still admit.
    :param queued: requests in its owner's queue that a newcomer stands behind.
    :param expected_wait_ms: milliseconds that a request asked for now would queue.
    :param leaving: the replica takes no new work.
    :param ejected: the owner holds it for failing.
    """

    replica: int
    room_tokens: int
    queued: int
    expected_wait_ms: int
    leaving: bool = False
    ejected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TeamDemand:
    """The sending node's part of one team's limit, in 1/10,000 of the limit.

    :param team: :func:`key_hash` of the team's name.
    :param share: what the node may use, or uses if that is more.
    :param demand: what it would use if it could; may exceed 10,000.
    """

    team: int
    share: int
    demand: int


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """What the sender has heard of a third node.

    :param node: :func:`key_hash` of the node's name.
    :param incarnation: the incarnation that it is about.
    :param refutation: the newest refutation of that incarnation that the author knew.
    :param state: the state that the author believes.
    """

    node: int
    incarnation: int
    refutation: int
    state: NodeState


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A node's sign of life; name and incarnation are in the envelope.

    :param state: ``LIVE`` or ``LEAVING``.
    :param beat: grows with every round of heartbeats of this incarnation.
    :param config_revision: the configuration revision in force at the sender.
    :param failure_domain: where the sender stands.
    :param address: ``ip:port`` for callers.
    :param exchange: ``ip:port`` (UDP) for other nodes; where it is empty, the other
        two are as well, and the recipient keeps what it was told before.
    :param wants_answer: the sender has not heard from the recipient lately and
        grantrequests for a heartbeat in return.
    :param replicas: digests of the replicas that the sender owns.
    :param demands: teams, :data:`MAX_DEMANDS` at most, in each beat that
        :data:`DEMANDS_INTERVAL_BEATS` divides; none in the others.
    :param updates: recent changes of state of other nodes.
    :param refutation: grows each time the sender hears that it is held for dead.
    :param list_version: the version of the platform's list of replicas that the sender
        has, or 0.
    :param evacuations: the evacuated failure domains as the sender knows them.
    :param quarantine_digest: of the requests that the sender refuses since they crash
        replicas, or 0 for none.
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


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """A request to the owner of a replica for leave to send one request to it.

    :param grant_id: unique among the asks of the sender's incarnation; from 1.
    :param replica: :func:`key_hash` of the replica's name.
    :param service: :func:`key_hash` of the service's name.
    :param team: :func:`key_hash` of the team's name.
    :param priority: larger is more urgent.
    :param prompt_tokens: estimated tokens of the prompt.
    :param max_tokens: the caller's bound on the answer, or None.
    :param weight: the team's share when the owner divides a crowded replica.
    :param deadline_ms: milliseconds that the request may still queue.
    :param produced: tokens of the answer that a run has already, which is to go on at
        this replica; 0 for a new one.
    :param allow_other: another replica of the same service that the owner admits to will do.
    :param avoid: :func:`key_hash` of the names of replicas that will not do, at most
        :data:`MAX_AVOIDED`.
    :param due_ms: milliseconds until it must start to be on time; 0 for one that is late,
        None without an aim.
    :param immediate: whether it may only start now: it is refused rather than queued.
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


@dataclasses.dataclass(frozen=True, slots=True)
class GrantResponse:
    """The owner's answer to an ask.

    :param grant_id: the number of the ask; the grant goes by it too.
    :param kind: granted, queued (another answer follows) or refused.
    :param code: why it was refused; else empty.
    :param retry_after_ms: milliseconds until asking again makes sense, or 0.
    :param incarnation: the asker's incarnation, which the grant server fills in.
    :param replica: :func:`key_hash` of the name of the replica that is meant, where it may
        be another than the one asked for; else 0.
    """

    grant_id: int
    kind: GrantKind
    code: str = ""
    retry_after_ms: int = 0
    incarnation: int = 0
    replica: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantProgress:
    """How far one granted request has come.

    :param grant_id: the number of the ask that was granted.
    :param replica: :func:`key_hash` of the replica's name, for an owner that did not
        admit the request.
    :param produced: tokens of the answer so far.
    """

    grant_id: int
    replica: int
    produced: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRelease:
    """A grant is returned, or an ask given up: finished, failed or abandoned.

    :param grant_id: the number of the ask.
    :param produced: tokens of the answer, 0 for none.
    """

    grant_id: int
    produced: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """News of the sender's grants of one owner, :data:`MAX_PROGRESS` at most."""

    running: tuple[GrantProgress, ...] = ()
    released: tuple[GrantRelease, ...] = ()


class MigrationSlotKind(enum.IntEnum):
    """What a message says of a run's turn to leave a replica."""

    REQUEST = 0
    GRANT = 1
    RELEASE = 2
    WAIT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class MigrationSlot:
    """The order in which runs leave a replica that is about to stop.

    :param kind: asked by a run's node; given, or put off, by the replica's owner; done with.
    :param replica: :func:`key_hash` of the replica's name.
    :param run: :func:`key_hash` of the request's id.
    :param tokens: memory that the run holds, as its node asks.
    """

    kind: MigrationSlotKind
    replica: int
    run: int
    tokens: int = 0


class Subject(enum.IntEnum):
    """What nodes read from one another when the platform's store turns them away."""

    CONFIGURATION = 0
    REPLICAS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class VersionAnnouncement:
    """What the sender has of the platform's store; the recipient reads what is newer.

    :param revision: the configuration's revision.
    :param list_version: the version of the list of replicas, or 0.
    :param is_reached: whether the store answers the sender.
    :param evacuations: the evacuated failure domains.
    """

    revision: int
    list_version: int = 0
    is_reached: bool = False
    evacuations: evacuationlib.Evacuations = evacuationlib.Evacuations()


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Ask a peer for one chunk of a configuration document.

    :param revision: the revision wanted.
    :param chunk: the chunk wanted, from 0.
    :param subject: which document is meant.
    :param since: the revision or position that the sender has: what has changed since will do.
    """

    revision: int
    chunk: int
    subject: Subject = Subject.CONFIGURATION
    since: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentChunk:
    """One chunk of a configuration document.

    :param revision: the revision of the document.
    :param digest: SHA-256 of the whole document.
    :param chunk: the place of this chunk, from 0.
    :param chunks: how many chunks the document has.
    :param content: this chunk's bytes.
    :param subject: which document it belongs to.
    """

    revision: int
    digest: bytes
    chunk: int
    chunks: int
    content: bytes
    subject: Subject = Subject.CONFIGURATION


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A replica's crash under a run of a request.

    :param fingerprint: of the request.
    :param replica: :func:`key_hash` of the replica's id.
    :param age_ms: milliseconds since the crash.
    :param ran_ms: milliseconds from the run's sending to the crash.
    """

    fingerprint: int
    replica: int
    age_ms: int
    ran_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes that the sender has seen, :data:`MAX_REPORTED_CRASHES` at most."""

    crashes: tuple[ReportedCrash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that the sender refuses since it crashes replicas.

    :param fingerprint: of the request.
    :param left_s: seconds for which it is still refused.
    """

    fingerprint: int
    left_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineNotice:
    """Requests that the sender refuses, :data:`MAX_QUARANTINED` at most."""

    requests: tuple[QuarantinedRequest, ...]


MAX_INCARNATION = 2**62
"""Far beyond any time in milliseconds: nobody is raised above it by a word that is wrong."""


@dataclasses.dataclass(frozen=True, slots=True)
class SupersededIncarnation:
    """The recipient's frames are dropped: a higher incarnation of it was heard before.

    :param incarnation: the highest one known.
    """

    incarnation: int


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
)
