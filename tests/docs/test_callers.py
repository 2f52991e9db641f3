"""The page for callers lists every code that a caller can get."""

import pathlib
import re

from hornbeamglade.configuration import following
from hornbeamglade.exchange import grantserver
from hornbeamglade.fairness import refusals
from hornbeamglade.node import daemon
from tests.docs import refusalcodes

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CALLERS.md"


def _codes_of_the_page() -> set[str]:
    section = PAGE.read_text(encoding="utf-8").partition("## Every code")[2]
    return set(re.findall(r"^\| `(\w+)` \|", section, re.MULTILINE))


def _computed_codes() -> set[str]:
    readiness = {each.value for each in following.Readiness} - {following.Readiness.READY.value}
    owners = {grantserver.RETURNED, grantserver.OWNER_FULL}
    return {*refusals._DETAIL_BY_CODE, *readiness, *owners, daemon.LEAVING_CODE, "internal_error"}


def test_every_code_of_the_source_is_on_the_page():
    codes = refusalcodes.find().codes | _computed_codes()
    assert codes - _codes_of_the_page() == set()


def test_every_code_of_the_page_is_in_the_source():
    codes = refusalcodes.find().codes | _computed_codes()
    assert _codes_of_the_page() - codes == set()


def test_no_other_place_computes_a_code():
    # The tests above do not cover new places: add their codes to _computed_codes.
    found = refusalcodes.find()
    assert found.unresolved == {
        "callers.application: code",
        "grants.grantresponses: response.code",
        "node.pages: reason",
    }
    assert found.exported == {"fairness.refusals.refusal", "node.siteview.not_ready"}
