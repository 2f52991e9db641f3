"""Merges the base and the overlay of one site and validates the result."""

import copy

import pydantic

from hornbeamglade.configuration import documentchecks, documentyaml, models

_SITE_ADAPTER = pydantic.TypeAdapter(models.SiteConfiguration)
_CODE_BY_ERROR_TYPE = {
    "missing": "config_missing_key",
    "unexpected_keyword_argument": "config_unknown_key",
}


def site_or_findings(
    site: str, base: dict[str, object], overlay: dict[str, object]
) -> models.SiteConfiguration | tuple[documentchecks.Finding, ...]:
    """Return a site's configuration, or every error found.

    :param site: the site's name.
    :param base: the content of the base file; not modified.
    :param overlay: the content of the site's overlay; not modified.

    Examples
    ========

    >>> base = {"sites": ["krakow"], "services": {}, "pools": {}, "teams": {}}
    >>> site_or_findings("krakow", base, {"site": "krakow", "node": None})[0].code
    'config_removes_nothing'
    """
    merged, merge_findings = _merged_site(site, base, overlay)
    checked = _checked_site(merged)
    if isinstance(checked, models.SiteConfiguration):
        return tuple(merge_findings) or checked
    return (*merge_findings, *checked)


def _merged_site(
    site: str, base: dict[str, object], overlay: dict[str, object]
) -> tuple[dict[str, object], list[documentchecks.Finding]]:
    findings: list[documentchecks.Finding] = []
    for value, key in ((base, "site"), (overlay, "sites")):
        if key in value:
            findings.append(
                documentchecks.Finding("config_unknown_key", (key,), "not allowed in this file")
            )
    base_value = {key: value for key, value in base.items() if key != "sites"}
    overlay_value = {key: value for key, value in overlay.items() if key not in ("site", "sites")}
    merged = _merge(copy.deepcopy(base_value), overlay_value, (), findings)
    merged["site"] = site
    return merged, findings


def _merge(
    base: dict[str, object],
    overlay: dict[str, object],
    path: documentyaml.Path,
    findings: list[documentchecks.Finding],
) -> dict[str, object]:
    """Apply an overlay to a base, in place; add errors to ``findings``."""
    for key, value in overlay.items():
        present = base.get(key)
        if value is None and key not in base:
            # The key is probably misspelled; the value meant to be removed would stay.
            finding = documentchecks.Finding(
                "config_removes_nothing", (*path, key), "the base has no such key to remove"
            )
            findings.append(finding)
        elif value is None:
            del base[key]
        elif isinstance(present, dict) and isinstance(value, dict):
            _merge(present, value, (*path, key), findings)
        else:
            base[key] = copy.deepcopy(value)
    return base


def _checked_site(
    merged: dict[str, object],
) -> models.SiteConfiguration | tuple[documentchecks.Finding, ...]:
    try:
        site = _SITE_ADAPTER.validate_python(merged)
    except pydantic.ValidationError as error:
        return tuple(_finding(details, merged) for details in error.errors(include_url=False))
    return documentchecks.findings(site) or site


def _finding(
    details: "pydantic.types.ErrorDetails", merged: dict[str, object]
) -> documentchecks.Finding:
    kind = details["type"]
    path = _known_path(details["loc"], merged, kind)
    code = _CODE_BY_ERROR_TYPE.get(kind, "config_bad_value")
    return documentchecks.Finding(code, path, details["msg"])


def _known_path(
    location: tuple[str | int, ...], merged: dict[str, object], kind: str
) -> documentyaml.Path:
    """Return pydantic's location without the parts that name types instead of keys."""
    value: object = merged
    path: list[str | int] = []
    for part in location:
        if _contains(value, part):
            value = value[part]
        elif not (kind == "missing" and isinstance(value, dict)):
            continue
        path.append(part)
    return tuple(path)


def _contains(value: object, part: str | int) -> bool:
    if isinstance(value, dict):
        return part in value
    return isinstance(value, list) and isinstance(part, int) and part < len(value)


def to_yaml_values(site: models.SiteConfiguration) -> dict[str, object]:
    """Return a site's configuration with the keys of the YAML files, including defaults."""
    return _SITE_ADAPTER.dump_python(site, mode="json", by_alias=True)
