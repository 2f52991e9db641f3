"""Values of the placement: a pool's desired state, orders, and the status of replicas."""

import collections.abc
import dataclasses
import enum

from hornbeamglade.backends import orders
from hornbeamglade.configuration import models


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """The desired state of a pool in one revision of the configuration.

    :param revision: the configuration's revision; a larger one replaces this one.
    :param wanted: the state that every engine is to have.
    :param replica_by_name: the pool's engines.
    """

    revision: int
    wanted: orders.EngineState
    replica_by_name: collections.abc.Mapping[str, models.Replica]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order that is due.

    :param replica: the replica's name.
    :param wanted: the complete state that the engine is to have.
    :param checks_fencing: whether the engine refuses old fencing numbers.
    """

    replica: str
    wanted: orders.EngineState
    checks_fencing: bool


class PlacementCondition(enum.Enum):
    """How far a replica is from its wanted state."""

    IN_SYNC = "in_sync"
    ORDERED = "ordered"
    WAITING_FOR_PACE = "waiting_for_pace"
    WAITING_FOR_STREAMS = "waiting_for_streams"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    NO_LEASE = "no_lease"


class Reason(enum.Enum):
    """Why a replica is not in its wanted state, for operators and their scripts."""

    AS_WANTED = "as_wanted"
    LOADING = "loading"
    LOAD_RATE = "load_rate"
    LOADS_AT_ONCE = "loads_at_once"
    DRAINS_AT_ONCE = "drains_at_once"
    FLOOR = "floor"
    BACK_OFF = "back_off"
    OLD_ORDERS_UNDER_WAY = "old_orders_under_way"
    STREAMS_RUNNING = "streams_running"
    NOT_READ_YET = "not_read_yet"
    NO_ANSWER = "no_answer"
    ENGINE_REFUSES = "engine_refuses"
    LOAD_TIMED_OUT = "load_timed_out"
    NEWER_FENCING_SEEN = "newer_fencing_seen"
    LEASE_NOT_ASKED = "lease_not_asked"
    NOT_CANDIDATE = "not_candidate"
    HELD_ELSEWHERE = "held_elsewhere"
    TABLE_UNAVAILABLE = "table_unavailable"
    CONFIGURATION_BEHIND = "configuration_behind"


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementStatus:
    """The wanted and the loaded state of one backend server, and why they differ.

    :param replica: the replica's name.
    :param wanted: the state that it is to have.
    :param present: the state that was read last, or None when none was read.
    :param condition: how far it is from the wanted state.
    :param reason: why it is not there yet.
    :param closed: whether it gets no new requests until it has changed.
    :param failures: consecutive failed attempts.
    """

    replica: str
    wanted: orders.EngineState
    present: orders.EngineState | None
    condition: PlacementCondition
    reason: Reason
    closed: bool
    failures: int
