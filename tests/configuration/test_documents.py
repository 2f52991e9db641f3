import pytest

from hornbeamglade.configuration import documents, documentyaml
from tests.configuration import samples


def problem_of(overlay: str, base: str = samples.BASE) -> documentyaml.Problem:
    with pytest.raises(documentyaml.ConfigurationError) as caught:
        samples.document(overlay, base)
    return caught.value.problems[0]


@pytest.mark.parametrize(
    ("overlay", "code", "line", "key"),
    [
        ("node: {max_stream: 3}\n", "config_unknown_key", 2, "node.max_stream"),
        ("node:\n  max_streams: 0\n", "config_bad_value", 3, "node.max_streams"),
        ("node: null\n", "config_removes_nothing", 2, "node"),
        ("sites: [krakow]\n", "config_unknown_key", 2, "sites"),
        ("services: {x: {kind: plain, pool: web, model: m}}\n", "config_plain_model", 2, ""),
        ("services: {x: {kind: plain, pool: no}}\n", "config_unknown_pool", 2, ""),
        ("services: {x: {kind: plain}}\n", "config_missing_key", 2, "services.x.pool"),
        ("services: {drafts: {model: null}}\n", "config_missing_key", 2, ""),
        ("services: {x: {kind: generation, pool: web, model: m}}\n", "config_missing_key", 11, ""),
        ("services:\n  drafts:\n    total_s: soon\n", "config_bad_value", 4, ""),
        ("services: {drafts: {repeatable: 1}}\n", "config_bad_value", 2, ""),
        ("teams: {clerks: {services: [x]}}\n", "config_unknown_service", 2, ""),
        ("teams: {clerks: {priority: 10}}\n", "config_bad_value", 2, "teams.clerks.priority"),
        (
            "services: {x: {kind: generation, pool: engines, model: drafts-7b}}\n",
            *("config_duplicate_model", 2, "services.x.model"),
        ),
        (
            f"teams:\n  x:\n    key_hashes:\n      - sha256:{'0' * 64}\n",
            *("config_duplicate_key_hash", 5, "teams.x.key_hashes.0"),
        ),
        (
            'pools: {web: {replicas: {w1: {address: "192.0.2.1:8000"}}}}\n',
            *("config_duplicate_address", 2, "pools.web.replicas.w1.address"),
        ),
        (
            'pools: {web: {replicas: {w1: {address: "web-1:8000"}}}}\n',
            *("config_bad_value", 2, "pools.web.replicas.w1.address"),
        ),
    ],
)
def test_a_problem_has_code_line_and_key(overlay, code, line, key):
    problem = problem_of(overlay)
    assert problem.code == code
    assert problem.key.startswith(key)
    assert problem.line == line


def test_a_problem_of_the_base_is_reported_once_with_its_line():
    base = samples.BASE.replace("[krakow]", "[krakow, pirkanmaa]").replace(
        "weight: 2", "weight: 0"
    )
    overlays = [samples.source(f"site: {site}\n", site) for site in ("krakow", "pirkanmaa")]
    with pytest.raises(documentyaml.ConfigurationError) as caught:
        documents.load(samples.source(base), overlays)
    found = [(problem.file, problem.line) for problem in caught.value.problems]
    assert found == [("base.yaml", samples.BASE[: samples.BASE.index("weight")].count("\n") + 1)]


@pytest.mark.parametrize(
    ("sites", "code"),
    [
        (["elsewhere"], "config_unknown_site"),
        ([], "config_missing_overlay"),
        (["krakow"] * 2, "config_duplicate_site"),
    ],
)
def test_overlays_and_listed_sites_must_match(sites, code):
    overlays = [samples.source(f"site: {site}\n", site) for site in sites]
    with pytest.raises(documentyaml.ConfigurationError) as caught:
        documents.load(samples.source(samples.BASE), overlays)
    assert caught.value.code == code


def test_an_overlay_contains_only_what_differs():
    document = samples.document(
        "teams: {clerks: {priority: 3}, notary: {key_hashes: []}}\nservices: {mailbox: null}\n"
    )
    site = documents.effective(document.text, "krakow")
    assert (site.team_by_name["clerks"].priority, site.team_by_name["clerks"].weight) == (3, 2)
    assert set(site.team_by_name) == {"clerks", "notary"}
    assert set(site.service_by_name) == {"drafts"}


def test_the_digest_does_not_depend_on_the_order_of_keys():
    first = samples.document("node: {max_streams: 3}\naddresses: {ttl_s: 9, per_team: 1}\n")
    second = samples.document("addresses: {per_team: 1, ttl_s: 9}\nnode: {max_streams: 3}\n")
    assert first == second


@pytest.mark.parametrize("depth", [300, 600, 100_000])
def test_a_stored_document_that_is_nested_too_deeply_is_refused(depth):
    nested = '{"a":' * depth + "1" + "}" * depth
    text = f'{{"base":{nested},"overlays":{{"krakow":{nested}}}}}'
    with pytest.raises(documentyaml.ConfigurationError):
        documents.effective(text, "krakow")


def test_an_unknown_site_of_an_accepted_document_is_an_error():
    with pytest.raises(documentyaml.ConfigurationError, match="config_unknown_site"):
        samples.revision(1).effective("elsewhere")


def test_replicas_with_the_same_name_in_two_pools_are_refused():
    pool = "{replicas: {e1: {address: '192.0.2.%d:80', failure_domain: d1}}}"
    base = (
        f"sites: [krakow]\nservices: {{}}\nteams: {{}}\npools: {{a: {pool % 1}, b: {pool % 2}}}\n"
    )
    with pytest.raises(documentyaml.ConfigurationError) as caught:
        documents.load(
            documentyaml.SourceFile("base.yaml", base.encode()),
            [documentyaml.SourceFile("k.yaml", b"site: krakow\n")],
        )
    assert [problem.code for problem in caught.value.problems] == ["config_duplicate_replica"]
