import pathlib

import pytest

from hornbeamglade.modelcheck import programtext, reports, verification

PATHS = programtext.specification_paths()
PAGE = pathlib.Path(__file__).parents[2] / "docs" / "SPECIFICATIONS.md"


@pytest.fixture(scope="module")
def page_lines_by_section():
    sections = PAGE.read_text(encoding="utf-8").split("\n## ")
    return {section.partition("\n")[0]: section.splitlines() for section in sections}


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.stem)
def test_guarantee_holds_and_every_guard_is_needed_and_documented(path, page_lines_by_section):
    verdict = verification.verify(programtext.load(path))
    assert verdict.passed, reports.as_text(verdict)
    for result in verdict.guard_results:
        (row,) = [
            line
            for line in page_lines_by_section[path.name]
            if line.startswith(f"| `{result.guard}` |")
        ]
        assert f"| {result.state_count} " in row
        assert row.endswith(f": {', '.join(result.trace)} |")
