"""Settings of the placement of models on engines."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRateSettings:
    """Limits on loads from the weight store.

    :param loads_per_s: loads per second that the weight store sustains.
    :param burst: loads that accumulate while the weight store is idle.
    :param max_loading: engines that may load at the same time.
    :param bytes_per_load: the size of one load, in bytes.
    :param bytes_by_name: sizes of models and adapters; one that is not listed counts
        as one load.
    """

    loads_per_s: float = 0.2
    burst: float = 4.0
    max_loading: int = 4
    bytes_per_load: float = 16e9
    bytes_by_name: collections.abc.Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How a pool's engines are brought to the desired state.

    :param load_rate: limits on loads from the weight store.
    :param floor: the share of a pool's replicas that must stay in service while
        others change; rounded up, but one replica may always change.
    :param first_drain_s: initial estimate of the time a closed replica drains.
    :param first_load_s: initial estimate of the duration of a load.
    :param propagation_s: seconds after which every node knows that a replica is
        closed.
    :param idle_report_max_age_s: the greatest age of a report without streams at the
        time of the order.
    :param load_timeout_s: seconds after which a load counts as failed.
    :param back_off_s: the delay after the first failure; doubled for each further one.
    :param max_back_off_s: upper bound of that delay.
    """

    load_rate: LoadRateSettings = LoadRateSettings()
    floor: float = 2 / 3
    first_drain_s: float = 60.0
    first_load_s: float = 60.0
    propagation_s: float = 5.0
    idle_report_max_age_s: float = 5.0
    load_timeout_s: float = 900.0
    back_off_s: float = 2.0
    max_back_off_s: float = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacerSettings:
    """Timing of a placer: its lease, its plans and its reads.

    :param term_s: the lease's term.
    :param renew_s: seconds between renewals while orders are sent.
    :param margin_s: the longest time that sending one order takes; no order is sent
        within this time before the lease expires.
    :param flight_s: the longest time from the last check of the clock until an order
        has taken effect at an engine that does not check fencing numbers.
    :param idle_release_s: seconds without work after which the lease is released.
    :param plan_max_age_s: the greatest age of a plan when one of its orders is sent;
        owners must keep a replica closed for longer than this.
    :param reads_per_step: engines read in one step while there is work.
    :param reads_when_idle: engines read in one step while there is none.
    """

    term_s: float = 30.0
    renew_s: float = 10.0
    margin_s: float = 5.0
    flight_s: float = 10.0
    idle_release_s: float = 30.0
    plan_max_age_s: float = 5.0
    reads_per_step: int = 50
    reads_when_idle: int = 3
