import hypothesis
from hypothesis import strategies

from hornbeamglade.configuration import documentdelta, documents

SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(0, 3),
    strategies.sampled_from("ab"),
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=2),
        strategies.dictionaries(strategies.sampled_from("xyz"), inner, max_size=3),
    ),
    max_leaves=8,
)
TEXTS = strategies.dictionaries(strategies.sampled_from("xyz"), VALUES).map(documents.canonical)


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=300)
@hypothesis.given(TEXTS, TEXTS)
def test_a_delta_converts_any_document_to_any_other(before, after):
    assert documentdelta.apply(before, documentdelta.make(before, after)) == after


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)
@hypothesis.given(TEXTS, TEXTS, TEXTS)
def test_a_delta_applies_to_one_document_only(before, after, other):
    delta = documentdelta.make(before, after)
    assert documentdelta.apply(other, delta) == (after if other == before else None)


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)
@hypothesis.given(TEXTS, strategies.lists(strategies.sampled_from("wxyz"), max_size=3))
def test_a_delta_with_any_path_is_refused_or_results_in_a_document(before, path):
    setting = {"path": path, "removed": True}
    delta = documents.canonical({"before": documents.digest(before), "settings": [setting]})
    applied = documentdelta.apply(before, delta)
    assert applied is None or len(applied) < len(before)
