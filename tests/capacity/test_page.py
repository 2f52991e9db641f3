import dataclasses
import pathlib

import pytest

from hornbeamglade.capacity import (
    checkvalues,
    duties,
    dutiesshared,
    dutyvalues,
    page,
    slopes,
    targetsize,
)
from hornbeamglade.core import codederrors
from hornbeamglade.membership import dissemination
from hornbeamglade.platform import sweeptables

DOCS = pathlib.Path(__file__).parents[2] / "docs"


@pytest.fixture(scope="module")
def measured():
    return slopes.read(DOCS / "capacity-slopes.json")


@pytest.fixture(scope="module")
def sweep():
    return sweeptables.decode((DOCS / "capacity-sweep.txt").read_text(encoding="utf-8"))


def test_the_page_matches_its_slopes(measured, sweep):
    # Guards against an outdated page: the computation or the slopes change, and the page
    # is not generated again, so it contains figures that no run produced.
    assert (DOCS / "CAPACITY.md").read_text(encoding="utf-8") == page.markdown(measured, sweep)


def test_every_slope_has_four_sizes_and_existing_modules(measured):
    package = DOCS.parent / "hornbeamglade"
    for slope in measured.slope_by_key.values():
        assert len({point.size for point in slope.points}) >= 4
        for word in slope.mechanism.replace(",", " ").split():
            if "/" in word:
                assert (package / word).exists(), slope.key


def test_the_bytes_of_the_instance_list_are_measured_within_the_full_mesh(measured):
    # Guards against a page that shows no bytes for the platform's instance list. A site
    # above the full-mesh limit reads the list so rarely that its point pulls the fitted line
    # below zero, which counts as zero.
    slope = measured.slope_by_key["processes.platform_bytes.nodes"]
    assert all(point.size <= dissemination.FULL_MESH_MAX_NODES for point in slope.points)
    assert slope.fit.slope > 0


def test_slopes_survive_a_round_trip_through_a_file(measured, tmp_path):
    path = tmp_path / "slopes.json"
    slopes.write(path, measured)
    assert slopes.read(path) == measured


def test_a_missing_slope_is_an_error_and_not_zero(measured, sweep):
    # Guards against costs that count as zero because their group was not measured: without
    # the load polls, the page would show a node within its budget.
    remaining = dict(measured.slope_by_key)
    del remaining["processes.cores.owned"]
    with pytest.raises(codederrors.CodedError, match="processes.cores.owned"):
        page.markdown(dataclasses.replace(measured, slope_by_key=remaining), sweep)


def test_the_data_path_does_not_count_as_control(measured):
    cost = dutyvalues.Cost("tokens", (), cores=1.0, data_path=True)
    control = dutyvalues.Cost("polls", (), cores=0.25, reads_per_s=2.0)
    total = dutyvalues.control_total((dutyvalues.Duty("both", "none", (cost, control)),))
    assert (total.cores, total.reads_per_s) == (0.25, 2.0)


def test_a_bound_includes_its_own_value():
    check = checkvalues.Check("what", 3.0, 3.0, "s", "module", "remark")
    assert check.is_met
    assert not dataclasses.replace(check, value=3.01).is_met


def test_a_narrowly_met_bound_is_marked():
    check = checkvalues.Check("what", 2.5, 3.0, "s", "module", "remark")
    assert check.verdict == "carried, by less than 20%"
    assert dataclasses.replace(check, value=2.3).verdict == "carried"


def test_an_instance_list_that_is_read_less_often_costs_fewer_bytes(measured):
    # Guards against bytes measured at one read per second that are not scaled to the actual
    # period: the page showed 41 KB/s for a list that is read every 30 s.
    large = dataclasses.replace(targetsize.TARGET, nodes=dissemination.FULL_MESH_MAX_NODES + 1)
    small = dataclasses.replace(large, nodes=dissemination.FULL_MESH_MAX_NODES)
    bytes_per_s = [
        sum(cost.bytes_per_s for cost in dutiesshared.membership(measured, size).costs[2:])
        for size in (small, large)
    ]
    assert bytes_per_s[1] < bytes_per_s[0] / 10


def test_a_smaller_site_costs_less(measured):
    totals = [
        dutyvalues.control_total(duties.all_duties(measured, size))
        for size in (targetsize.TODAY, targetsize.ONE_REGION, targetsize.TARGET)
    ]
    assert totals[0].cores < totals[1].cores < totals[2].cores
    assert totals[0].reads_per_s < totals[1].reads_per_s < totals[2].reads_per_s


def test_all_nodes_are_heard_up_to_the_full_mesh_limit():
    assert checkvalues.heard_fraction(16, 5.0) == 1.0
    assert checkvalues.heard_fraction(17, 5.0) < 1.0
