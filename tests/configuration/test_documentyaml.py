import json
from unittest import mock

import hypothesis
import pytest
import yaml
from hypothesis import strategies

from hornbeamglade.configuration import documents, documentyaml
from hornbeamglade.core import codederrors
from tests.configuration import samples

FRAGMENTS = strategies.sampled_from(
    [
        *samples.BASE.splitlines(keepends=True),
        *("a: &x [1]\n", "b: *x\n", "? [k]\n: v\n", "!!python/none ", "---\n", "...\n", "\t"),
        *('"\\ud800"', "1e999", "9" * 30, "<<: ", ".nan", "null", "[[[[", "{{{{", "}", "]"),
        *("sites:\n", "- krakow\n", "krakow", ": ", "\n", "  ", "%YAML 9.9\n", "\x00", "\ufeff"),
    ]
)
INPUTS = strategies.one_of(
    strategies.binary(max_size=200),
    strategies.lists(FRAGMENTS, max_size=25).map(lambda parts: "".join(parts).encode()),
    strategies.text(max_size=100).map(lambda text: (samples.BASE + text).encode()),
)


@pytest.mark.parametrize("loader", [documentyaml.LOADER, yaml.SafeLoader])
@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=300)
@hypothesis.given(INPUTS, strategies.one_of(strategies.just(b"site: krakow\n"), INPUTS))
def test_any_bytes_result_in_a_canonical_document_or_a_coded_error(loader, base, overlay):
    overlays = [samples.source(overlay, "krakow.yaml")]
    try:
        with mock.patch.object(documentyaml, "LOADER", loader):
            document = documents.load(samples.source(base), overlays)
    except documentyaml.ConfigurationError as error:
        assert error.problems[0].file in ("base.yaml", "krakow.yaml")
        assert all(problem.line >= 1 for problem in error.problems)
    else:
        assert documents.canonical(json.loads(document.text)) == document.text
        documents.effective(document.text, documents.sites(document.text)[0])
        document.text.encode()


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)
@hypothesis.given(strategies.text(max_size=60))
def test_any_text_as_a_stored_document_results_in_a_value_or_a_coded_error(text):
    try:
        documents.effective(text, "krakow")
    except codederrors.CodedError as error:
        assert error.code.startswith("config_")


@pytest.mark.parametrize(
    ("text", "code", "line"),
    [
        ("a: 1\nb:\n  c: 1\n  c: 2\n", "config_duplicate_key", 4),
        ("a: &x [1]\n", "config_anchor", 1),
        ("a: 1\nb: *x\n", "config_anchor", 2),
        ("a: !!binary aGk=\n", "config_tag", 1),
        ("a: " + "[" * 30 + "]" * 30, "config_too_deep", 1),
        ("a:\n  - 1e999\n", "config_number_range", 2),
        ("a: 1\nb: " + "9" * 5000, "config_number_range", 2),
        (b"a: 1\nb: \xff\n", "config_not_utf8", 2),
        ("[a]: 1\n", "config_key_not_text", 1),
        ("- 1\n", "config_not_mapping", 1),
        ("a: 1\n---\nb: 1\n", "config_many_documents", 2),
        ("a: 1\nb: [\n", "config_not_yaml", 3),
        (b"#" * (documentyaml.LARGEST_FILE_BYTES + 1), "config_too_large", 1),
    ],
)
def test_an_invalid_file_is_refused_with_code_and_line(text, code, line):
    with pytest.raises(documentyaml.ConfigurationError) as caught:
        documentyaml.parse(samples.source(text))
    assert (caught.value.code, caught.value.problems[0].line) == (code, line)


@pytest.mark.parametrize("text", ['a: "\\ud800"\n', '"\\ud800": 1\n'])
@pytest.mark.parametrize("loader", [documentyaml.LOADER, yaml.SafeLoader])
def test_half_a_surrogate_pair_is_refused(monkeypatch, loader, text):
    monkeypatch.setattr(documentyaml, "LOADER", loader)
    with pytest.raises(documentyaml.ConfigurationError):
        documentyaml.parse(samples.source(text))


def test_words_and_times_are_strings():
    tree = documentyaml.parse(samples.source("a: no\nb: 1:30\nc: 2026-12-02\non: 010\n"))
    assert tree.value == {"a": "no", "b": "1:30", "c": "2026-12-02", "on": 10}
