"""Which faults a seed brings."""

import pytest

from hornbeamglade.soak import faults, plan


@pytest.mark.parametrize("seed", range(1, 40))
def test_no_part_is_hit_twice_at_once_and_two_instances_stay(seed):
    planned = plan.make(seed, 30.0)
    for one in planned:
        lasting = [each for each in planned if each.at_s <= one.at_s < each.at_s + each.for_s]
        places = [each.fault.where for each in lasting]
        assert len(places) == len(set(places))
        assert len(set(places) & set(plan.INSTANCES)) <= plan.MOST_STOPPED


def test_every_kind_of_fault_comes_in_some_seed():
    kinds = {each.fault.what for seed in range(1, 60) for each in plan.make(seed, 30.0)}
    abstract = {"Fault", "LinkFault"}
    concrete = {
        name
        for name, kind in vars(faults).items()
        if isinstance(kind, type) and issubclass(kind, faults.Fault)
    }
    assert kinds == concrete - abstract


def test_a_plan_is_the_same_for_each_run_of_its_seed():
    def told(seed):
        return [(each.at_s, each.for_s, each.fault.what) for each in plan.make(seed, 20.0)]

    assert told(5) == told(5) != told(6)
