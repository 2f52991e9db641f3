"""The scenarios of the policy benchmark, grouped into sets."""

from hornbeamglade.bench import policyworkload
from hornbeamglade.core import codederrors

_LOADS = (0.7, 0.9, 1.0, 1.2, 1.5)
_OVERLOAD = 1.2
_OVERLOAD_SCENARIO = "load-1.2"


def _krakow(name: str, load: float, **overrides: object) -> policyworkload.Scenario:
    return policyworkload.Scenario(name, load, **overrides)


def _pirkanmaa(load: float) -> policyworkload.Scenario:
    name = f"pirkanmaa-{load:g}"
    return policyworkload.Scenario(name, load, replicas=9, domains=3)


SCENARIOS_BY_SET: dict[str, tuple[policyworkload.Scenario, ...]] = {
    "load": tuple(_krakow(f"load-{load:g}", load) for load in _LOADS),
    "pirkanmaa": tuple(_pirkanmaa(load) for load in (1.0, _OVERLOAD)),
    "lengths": (
        _krakow("bursty", _OVERLOAD, arrivals=policyworkload.Arrivals.BURSTY),
        _krakow("drifting", _OVERLOAD, arrivals=policyworkload.Arrivals.DRIFTING),
        _krakow("pareto", _OVERLOAD, shape=policyworkload.Shape.PARETO),
    ),
    "reports": (
        _krakow("reports-0s", _OVERLOAD, report_lag_s=0.0, request_source=_OVERLOAD_SCENARIO),
        _krakow("reports-5s", _OVERLOAD, report_lag_s=5.0, request_source=_OVERLOAD_SCENARIO),
        _krakow("two-owners", _OVERLOAD, owners=2, request_source=_OVERLOAD_SCENARIO),
    ),
    "routing": (
        _krakow("compared-3", _OVERLOAD, samples=3, request_source=_OVERLOAD_SCENARIO),
        _krakow("compared-6", _OVERLOAD, samples=6, request_source=_OVERLOAD_SCENARIO),
    ),
    "faults": (
        _krakow("replica-lost", 1.0, fault=policyworkload.Fault.LOST, request_source="load-1"),
        _krakow("replica-slowed", 1.0, fault=policyworkload.Fault.SLOWED, request_source="load-1"),
    ),
    "quick": (_krakow("quick", 1.5, replicas=3, capacity_tokens=12_000),),
}


def scenarios(names: tuple[str, ...]) -> list[policyworkload.Scenario]:
    """Return the scenarios of the named sets.

    :raises CodedError: ``scenario_set_unknown``.

    Examples
    ========

    >>> [scenario.name for scenario in scenarios(("faults",))]
    ['replica-lost', 'replica-slowed']
    """
    unknown = set(names) - set(SCENARIOS_BY_SET)
    if unknown:
        known = ", ".join(SCENARIOS_BY_SET)
        detail = f"{', '.join(sorted(unknown))} not among {known}"
        raise codederrors.CodedError("scenario_set_unknown", detail)
    return [scenario for name in names for scenario in SCENARIOS_BY_SET[name]]
