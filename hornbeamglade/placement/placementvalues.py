"""Values of the placement: what is wanted of a pool, orders, and how replicas stand."""

import collections.abc
import dataclasses
import enum

from hornbeamglade.backends import orders
from hornbeamglade.configuration import models


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """What one revision of the configuration wants of a pool.

    :param revision: the configuration's revision; a larger one replaces the goal.
    :param wanted: what every engine is to have.
    :param replica_by_name: the pool's engines.
    """

    revision: int
    wanted: orders.EngineState
    replica_by_name: collections.abc.Mapping[str, models.Replica]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order that is to be sent now.

    :param checks_fencing: whether the engine refuses old fencing numbers.
    """

    replica: str
    wanted: orders.EngineState
    checks_fencing: bool


class PlacementCondition(enum.Enum):
    """How a replica stands to what is wanted of it."""

    IN_SYNC = "in_sync"
    ORDERED = "ordered"
    WAITING_FOR_PACE = "waiting_for_pace"
    WAITING_FOR_STREAMS = "waiting_for_streams"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    NO_LEASE = "no_lease"


class Reason(enum.Enum):
    """Why a replica is not as wanted, for operators and their scripts."""

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
    """One backend server: what is wanted, what is present, and why they differ.

    :param present: what was read last, or None when nothing was.
    :param closed: it gets no new work until it has changed.
    :param failures: attempts that failed one after another.
    """

    replica: str
    wanted: orders.EngineState
    present: orders.EngineState | None
    condition: PlacementCondition
    reason: Reason
    closed: bool
    failures: int
