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


def test_the_page_is_the_one_that_its_slopes_give(measured, sweep):
    # Readers trust a figure that no run gave. Order: the arithmetic or the slopes
    # change, the page is not made anew. Cause: nothing ties the page to its source.
    assert (DOCS / "CAPACITY.md").read_text(encoding="utf-8") == page.markdown(measured, sweep)


def test_every_slope_has_four_sizes_and_a_module_that_exists(measured):
    package = DOCS.parent / "hornbeamglade"
    for slope in measured.slope_by_key.values():
        assert len({point.size for point in slope.points}) >= 4
        for word in slope.mechanism.replace(",", " ").split():
            if "/" in word:
                assert (package / word).exists(), slope.key


def test_the_bytes_of_the_list_are_measured_where_it_is_read_each_second(measured):
    # The page shows no bytes for the platform's list. Order: a site above the bound of
    # the mesh is measured with the others. Cause: it reads the list so seldom that its
    # point bends the line below nothing, which counts as nothing.
    slope = measured.slope_by_key["processes.platform_bytes.nodes"]
    assert all(point.size <= dissemination.FULL_MESH_MAX_NODES for point in slope.points)
    assert slope.fit.slope > 0


def test_slopes_survive_their_file(measured, tmp_path):
    path = tmp_path / "slopes.json"
    slopes.write(path, measured)
    assert slopes.read(path) == measured


def test_a_missing_slope_is_an_error_and_no_zero(measured, sweep):
    # A page without the load polls would show a node within its budget. Cause: a
    # group of slopes was left out and its costs counted as nothing.
    left = dict(measured.slope_by_key)
    del left["processes.cores.owned"]
    with pytest.raises(codederrors.CodedError, match="processes.cores.owned"):
        page.markdown(dataclasses.replace(measured, slope_by_key=left), sweep)


def test_the_data_path_is_no_control(measured):
    cost = dutyvalues.Cost("tokens", (), cores=1.0, data_path=True)
    control = dutyvalues.Cost("polls", (), cores=0.25, reads_per_s=2.0)
    total = dutyvalues.control_total((dutyvalues.Duty("both", "none", (cost, control)),))
    assert (total.cores, total.reads_per_s) == (0.25, 2.0)


def test_a_bound_is_broken_as_soon_as_it_is_passed():
    check = checkvalues.Check("what", 3.0, 3.0, "s", "module", "remark")
    assert check.carried
    assert not dataclasses.replace(check, value=3.01).carried


def test_a_bound_that_another_run_may_break_is_said_so():
    check = checkvalues.Check("what", 2.5, 3.0, "s", "module", "remark")
    assert check.verdict == "carried, by less than 20%"
    assert dataclasses.replace(check, value=2.3).verdict == "carried"


def test_a_list_that_is_read_more_seldom_costs_fewer_bytes(measured):
    # The page shows 41 KB/s for a list that is read each 30 s. Cause: the bytes were
    # measured at one reading a second and taken as they were.
    large = dataclasses.replace(targetsize.TARGET, nodes=dissemination.FULL_MESH_MAX_NODES + 1)
    small = dataclasses.replace(large, nodes=dissemination.FULL_MESH_MAX_NODES)
    read = [
        sum(cost.bytes_per_s for cost in dutiesshared.membership(measured, size).costs[2:])
        for size in (small, large)
    ]
    assert read[1] < read[0] / 10


def test_the_smaller_site_costs_less(measured):
    totals = [
        dutyvalues.control_total(duties.all_duties(measured, size))
        for size in (targetsize.TODAY, targetsize.ONE_REGION, targetsize.TARGET)
    ]
    assert totals[0].cores < totals[1].cores < totals[2].cores
    assert totals[0].reads_per_s < totals[1].reads_per_s < totals[2].reads_per_s


def test_all_nodes_are_heard_up_to_the_bound_of_the_mesh():
    assert checkvalues.heard_part(16, 5.0) == 1.0
    assert checkvalues.heard_part(17, 5.0) < 1.0
