"""The records of the fault model name only what exists, and the page is made from them."""

import pathlib

import pydantic
import pytest

from hornbeamglade.core import codederrors
from hornbeamglade.faultmodel import page, records, references

ROOT = pathlib.Path(__file__).parents[2]
GRAVEST = (
    records.Promise.ANSWERED,
    records.Promise.ONCE,
    records.Promise.OWN_ANSWER,
    records.Promise.LEAVING,
)


def test_records_name_only_what_exists():
    """A fault counted as played although its stand-in option or test had been renamed."""
    assert references.missing(records.load(), ROOT) == []


def test_page_is_the_one_that_the_records_make():
    """A page kept by hand lacked what the code had and the records named."""
    made = page.render(records.load())
    assert (ROOT / "docs" / "FAULT_MODEL.md").read_text(encoding="utf-8") == made


@pytest.mark.parametrize(
    "reference",
    [
        "option:none",
        "soak:Fault",
        "sweep:none",
        "store:none",
        "crowd:Crowd",
        "test:tests/none.py",
        f"test:tests/faultmodel/{pathlib.Path(__file__).name}::test_none",
        "none",
    ],
)
def test_reference_to_nothing_is_found(reference):
    model = records.load()
    freedom = model.freedoms_by_party[records.Party.STORE][0]
    changes = {"played_by": (reference,), "held_by": ("no.module",)}
    broken = {records.Party.STORE: (freedom.model_copy(update=changes),)}
    found = references.missing(records.FaultModel(broken, {}), ROOT)
    assert found == [f"{freedom.id}: {reference}", f"{freedom.id}: no.module"]


@pytest.mark.parametrize(
    "change", [{"promise": "none"}, {"held_by": []}, {"id": "Not An Id"}, {"more": "x"}]
)
def test_malformed_record_is_refused(change, monkeypatch):
    freedom = records.load().freedoms_by_party[records.Party.STORE][0].model_dump(mode="json")
    monkeypatch.setattr(records, "_read", lambda _name: {"store": [freedom | change]})
    with pytest.raises(codederrors.CodedError, match="fault_model_invalid") as raised:
        records.load()
    assert isinstance(raised.value.__cause__, pydantic.ValidationError)


def test_unplayed_crossings_are_listed_the_gravest_first():
    model = records.load()
    promises = [freedom.promise for freedom, _ in model.gaps()]
    order = list(records.Promise)
    assert promises == sorted(promises, key=order.index)
    played = [
        (freedom, moment)
        for freedom, moment in model.played_by_crossing
        if any(
            each.id == freedom and each.promise in GRAVEST
            for each in model.freedoms_by_party["replica"]
        )
    ]
    assert len(played) >= 12
