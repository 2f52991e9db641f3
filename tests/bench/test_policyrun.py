import dataclasses

import pytest

from hornbeamglade.bench import policyclairvoyant, policyrun, policyscenarios, policyworkload
from hornbeamglade.core import codederrors, outcomes

QUICK = policyscenarios.scenarios(("quick",))[0]


def _figures(policy, **overrides):
    scenario = dataclasses.replace(QUICK, **overrides)
    return policyrun.run(scenario, policy, seed=1, duration_s=240.0).figures


def test_the_same_seed_gives_the_same_figures():
    assert _figures("probabilistic") == _figures("probabilistic")


def test_the_clairvoyant_policy_causes_no_preemptions():
    figures = _figures("clairvoyant")
    assert figures.preemptions_per_1000 == 0
    assert figures.goodput > 0


def test_learned_lengths_avoid_most_preemptions_under_overload():
    overloaded = _figures("least-outstanding").preemptions_per_1000
    assert overloaded > 100
    assert _figures("probabilistic").preemptions_per_1000 < overloaded / 3


@pytest.mark.parametrize("fault", list(policyworkload.Fault))
def test_requests_are_served_despite_a_faulty_replica(fault):
    figures = _figures("probabilistic", fault=fault)
    assert figures.started > 100
    assert (figures.lost > 0) == (fault is policyworkload.Fault.LOST)


def test_the_clairvoyant_policy_checks_the_peak_of_two_streams():
    policy = policyclairvoyant.Clairvoyant(1000, 8, {"r1": 400, "r2": 400, "r3": 4})
    works = [outcomes.Work(f"r{i}", "drafts", "clinic", 0, 100) for i in (1, 2, 3)]
    assert policy.fits(works[0], 0.0)
    policy.admit(works[0], 0.0)
    assert not policy.fits(works[1], 0.0)
    assert policy.fits(works[2], 0.0)


def test_an_unknown_policy_is_a_coded_error():
    with pytest.raises(codederrors.CodedError, match="policy_unknown"):
        _figures("best")
