"""The plan of faults of a seed."""

import pytest

from hornbeamglade.soak import callerfaults, enginefaults, faults, plan


@pytest.mark.parametrize("seed", range(1, 40))
def test_no_component_has_two_faults_at_once_and_two_instances_have_none(seed):
    planned = plan.make(seed, 30.0)
    for planned_fault in planned:
        overlapping = [
            each for each in planned if each.at_s <= planned_fault.at_s < each.at_s + each.for_s
        ]
        components = [each.fault.component for each in overlapping]
        assert len(components) == len(set(components))
        assert len(set(components) & set(plan.INSTANCES)) <= plan.MAX_IMPAIRED_INSTANCES


def test_every_kind_of_fault_occurs_for_some_seed():
    kinds = {each.fault.name for seed in range(1, 60) for each in plan.make(seed, 30.0)}
    abstract = {"Fault", "LinkFault", "ExtraCallers"}
    concrete = {
        name
        for module in (faults, callerfaults, enginefaults)
        for name, kind in vars(module).items()
        if isinstance(kind, type) and issubclass(kind, faults.Fault)
    }
    assert kinds == concrete - abstract


def test_a_plan_is_the_same_for_each_run_of_its_seed():
    def summary(seed):
        return [(each.at_s, each.for_s, each.fault.name) for each in plan.make(seed, 20.0)]

    assert summary(5) == summary(5) != summary(6)


@pytest.mark.parametrize("seed", [*range(20), 46])
def test_no_server_has_another_fault_until_all_servers_have_their_room_again(seed):
    """Guards against the end of one fault that switches off another."""
    planned = plan.make(seed, 20.0)
    for each in planned:
        if isinstance(each.fault, faults.ServersTolerateFew):
            later = [other for other in planned if each.at_s < other.at_s < each.ends_at_s]
            assert not any(other.fault.component.startswith("service") for other in later)
