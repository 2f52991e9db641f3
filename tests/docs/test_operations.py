"""The page for operators: its examples are valid and its tables list every key."""

import dataclasses
import pathlib
import re

import pytest

from hornbeamglade.configuration import documents, documentyaml, models
from hornbeamglade.node import settings
from hornbeamglade.observability import metrics, metricsregistry

DOCS = pathlib.Path(__file__).parents[2] / "docs"
PAGE = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
SETTINGS = "# node.yaml"
BASE = "# base.yaml"
OVERLAY = "# sites/"
PREFIX_BY_CLASS = {
    models.Service: "services.NAME.",
    models.Pool: "pools.NAME.",
    models.Replica: "pools.NAME.replicas.NAME.",
    models.Wanted: "pools.NAME.wanted.",
    models.Admission: "pools.NAME.admission.",
    models.Queue: "pools.NAME.queue.",
    models.Team: "teams.NAME.",
    models.Addresses: "addresses.",
    models.Node: "node.",
}


def _yaml_blocks() -> list[str]:
    blocks = []
    for page in sorted(DOCS.glob("*.md")):
        text = page.read_text(encoding="utf-8")
        blocks += re.findall(r"^```yaml\n(.*?)^```$", text, re.MULTILINE | re.DOTALL)
    return blocks


def _blocks(first_line: str) -> list[str]:
    return [block for block in _yaml_blocks() if block.startswith(first_line)]


def _row(key: str) -> str:
    rows = [line for line in PAGE.splitlines() if line.startswith(f"| `{key}` |")]
    assert len(rows) == 1, key
    return rows[0]


def _written_name(field: dataclasses.Field) -> str:
    metadata = getattr(field.type, "__metadata__", ())
    return next((each.alias for each in metadata if getattr(each, "alias", None)), field.name)


def _written(value: object) -> str:
    if value is None:
        return "none"
    if isinstance(value, bool):
        return str(value).lower()
    if value == ():
        return "`[]`"
    return f"{value:g}" if isinstance(value, float) else str(value)


def _configuration_keys() -> list[tuple[str, object]]:
    return [
        (prefix + _written_name(field), field.default)
        for model, prefix in PREFIX_BY_CLASS.items()
        for field in dataclasses.fields(model)
    ]


def _settings_keys() -> list[tuple[str, object]]:
    keys = []
    for model, prefix in ((settings.NodeSettings, ""), (settings.ExchangeKey, "exchange_keys.")):
        for name, field in model.model_fields.items():
            keys.append(
                (prefix + name, dataclasses.MISSING if field.is_required() else field.default)
            )
    return keys


def test_every_example_says_which_file_it_is():
    known = len(_blocks(SETTINGS)) + len(_blocks(BASE)) + len(_blocks(OVERLAY))
    assert known == len(_yaml_blocks())


@pytest.mark.parametrize("block", _blocks(SETTINGS))
def test_settings_examples_are_accepted_by_the_node(block, tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(block, encoding="utf-8")
    assert settings.load(str(path)).site


@pytest.mark.parametrize("base", _blocks(BASE))
def test_configuration_examples_pass_the_checks(base):
    overlays = [documentyaml.SourceFile(each[:30], each.encode()) for each in _blocks(OVERLAY)]
    document = documents.load(documentyaml.SourceFile("base.yaml", base.encode()), overlays)
    assert len(documents.sites(document.text)) == len(overlays) > 0


@pytest.mark.parametrize(("key", "default"), _settings_keys() + _configuration_keys())
def test_the_tables_state_each_key_with_its_default(key, default):
    cells = [cell.strip() for cell in _row(key).split("|")]
    is_part = isinstance(default, models.Admission | models.Queue)
    if default is not dataclasses.MISSING and not is_part:
        assert cells[3] == _written(default)
    else:
        assert cells[3] == ("see below" if is_part else "required")


def test_every_configuration_class_is_covered():
    classes = {
        each
        for each in vars(models).values()
        if isinstance(each, type) and dataclasses.is_dataclass(each)
    }
    assert classes - {models.SiteConfiguration} == set(PREFIX_BY_CLASS)
    parts = {_written_name(field) for field in dataclasses.fields(models.SiteConfiguration)}
    assert parts == {"site", "services", "pools", "teams", "addresses", "node"}


def test_every_metric_is_named():
    named = set(re.findall(rf"`({metricsregistry.PREFIX}\w+)`", PAGE))
    assert named == set(metrics.NodeMetrics().registry._instrument_by_name)
