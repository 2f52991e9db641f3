"""Configuration documents: a base file and one overlay per site, in canonical form.

Explanation
===========

An overlay contains only what differs at its site: mappings are merged key by key,
any other value replaces the base's, and ``null`` removes a key. The base lists the
``sites``, and every listed site must have an overlay, which may contain nothing but
its ``site``. So an overlay that is left out by mistake is an error, and its site
does not silently revert to the base.

The canonical form is JSON with sorted keys, identified by its SHA-256 digest. It
contains the base and the overlays unmerged, so that ``effective`` returns the same
values on every node and an operator can export the files again.
"""

import collections.abc
import dataclasses
import hashlib
import json

import pydantic

from hornbeamglade.configuration import documentchecks, documentsites, documentyaml, models

_SITE_NAME_ADAPTER = pydantic.TypeAdapter(models.Name)


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A validated configuration of all sites.

    :param text: the canonical JSON, ``{"base":...,"overlays":{site:...}}``.
    :param digest: of ``text``, see :func:`digest`.
    """

    text: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Revision:
    """An accepted configuration.

    :param number: grows by one with every accepted change; the first is 1.
    :param digest: of ``document``.
    :param change_id: unique id of the change that created it.
    :param document: the canonical JSON.
    """

    number: int
    digest: str
    change_id: str
    document: str

    def verify(self) -> None:
        """Check the content against the digest.

        :raises ConfigurationError: when they differ.
        """
        if digest(self.document) != self.digest:
            detail = f"content of revision {self.number} differs from its digest"
            raise _error("config_digest_differs", detail)

    def effective(self, site: str) -> models.SiteConfiguration:
        """Return the configuration of one site; the result is not cached.

        :param site: the site's name.
        :raises ConfigurationError: for an unknown site, or for content of a
            newer release that this one does not support.
        """
        return effective(self.document, site)


def digest(text: str) -> str:
    """Return the digest that identifies a canonical document.

    Examples
    ========

    >>> digest("")[:15]
    'sha256-e3b0c442'
    """
    return "sha256-" + hashlib.sha256(text.encode()).hexdigest()


def load(
    base: documentyaml.SourceFile, overlays: collections.abc.Iterable[documentyaml.SourceFile]
) -> Document:
    r"""Validate an operator's files and convert them to canonical form.

    :param base: the base file.
    :param overlays: one overlay per site.
    :raises ConfigurationError: with all problems that were found.

    Examples
    ========

    >>> base = documentyaml.SourceFile(
    ...     "base.yaml", b"sites: [krakow]\nservices: {}\npools: {}\nteams: {}\n"
    ... )
    >>> overlay = documentyaml.SourceFile("k.yaml", b"site: krakow\nnode: {max_streams: 9}\n")
    >>> effective(load(base, [overlay]).text, "krakow").node.max_streams
    9
    """
    base_tree = documentyaml.parse(base)
    overlay_trees = [documentyaml.parse(overlay) for overlay in overlays]
    overlay_by_site = _overlay_by_site(base_tree, overlay_trees)
    problems: dict[tuple[str, int, str], documentyaml.Problem] = {}
    for site, tree in overlay_by_site.items():
        for problem in _site_problems(site, base_tree, tree):
            # An error in the base is found for every site and reported once.
            problems.setdefault((problem.file, problem.line, problem.key), problem)
    if problems:
        raise documentyaml.ConfigurationError(tuple(problems.values()))
    overlay_values = {site: tree.value for site, tree in overlay_by_site.items()}
    text = canonical({"base": base_tree.value, "overlays": overlay_values})
    return Document(text, digest(text))


def canonical(value: object) -> str:
    """Return JSON text that is equal for equal values."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)


def parts(text: str) -> tuple[dict[str, object], dict[str, dict[str, object]]]:
    """Return the base and the overlays by site of a canonical document.

    :param text: the canonical JSON.
    :raises ConfigurationError: when ``text`` is not a canonical document.
    """
    try:
        value = json.loads(text)
        base, overlay_by_site = value["base"], value["overlays"]
        is_valid = isinstance(base, dict) and all(
            isinstance(overlay, dict) for overlay in overlay_by_site.values()
        )
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        is_valid = False
    if not is_valid:
        raise _error("config_not_canonical", "not a canonical configuration document")
    return base, overlay_by_site


def sites(text: str) -> tuple[str, ...]:
    """Return the sites of a canonical document, sorted by name."""
    return tuple(sorted(parts(text)[1]))


def effective(text: str, site: str) -> models.SiteConfiguration:
    """Return the configuration of one site from a canonical document.

    :param text: the canonical JSON.
    :param site: the site's name.
    :raises ConfigurationError: for an unknown site or invalid content.
    """
    base, overlay_by_site = parts(text)
    if site not in overlay_by_site:
        raise _error("config_unknown_site", f"there is no site {site!r}")
    try:
        checked = documentsites.site_or_findings(site, base, overlay_by_site[site])
    except RecursionError:
        # Such a document was never accepted; a node that reads it must not fail.
        raise _error("config_too_deep", "nested too deeply") from None
    if isinstance(checked, models.SiteConfiguration):
        return checked
    raise documentyaml.ConfigurationError(
        tuple(
            documentyaml.Problem(
                found.code, "", 0, documentyaml.dotted_key(found.path), found.detail
            )
            for found in checked
        )
    )


def _error(code: str, detail: str) -> documentyaml.ConfigurationError:
    return documentyaml.ConfigurationError((documentyaml.Problem(code, "", 0, "", detail),))


def _overlay_by_site(
    base: documentyaml.Tree, overlays: list[documentyaml.Tree]
) -> dict[str, documentyaml.Tree]:
    listed = _listed_sites(base)
    overlay_by_site: dict[str, documentyaml.Tree] = {}
    for overlay in overlays:
        site = overlay.value.get("site")
        if not isinstance(site, str) or site not in listed:
            detail = f"{site!r} is not among the sites of {base.file}"
            raise _error_at(overlay, "config_unknown_site", ("site",), detail)
        if site in overlay_by_site:
            detail = f"{overlay_by_site[site].file} is an overlay of the same site"
            raise _error_at(overlay, "config_duplicate_site", ("site",), detail)
        overlay_by_site[site] = overlay
    for position, site in enumerate(listed):
        if site not in overlay_by_site:
            detail = f"no overlay was given for {site!r}"
            raise _error_at(base, "config_missing_overlay", ("sites", position), detail)
    return overlay_by_site


def _listed_sites(base: documentyaml.Tree) -> list[str]:
    listed = base.value.get("sites")
    if not isinstance(listed, list) or not listed:
        detail = "the base file must list the sites"
        raise _error_at(base, "config_missing_key", ("sites",), detail)
    for position, site in enumerate(listed):
        path = ("sites", position)
        try:
            _SITE_NAME_ADAPTER.validate_python(site)
        except pydantic.ValidationError:
            raise _error_at(base, "config_bad_value", path, "not a valid site name") from None
        if site in listed[:position]:
            raise _error_at(base, "config_duplicate_site", path, "listed twice")
    return listed


def _error_at(
    tree: documentyaml.Tree, code: str, path: documentyaml.Path, detail: str
) -> documentyaml.ConfigurationError:
    key = documentyaml.dotted_key(path)
    problem = documentyaml.Problem(code, tree.file, tree.line(path), key, detail)
    return documentyaml.ConfigurationError((problem,))


def _site_problems(
    site: str, base: documentyaml.Tree, overlay: documentyaml.Tree
) -> tuple[documentyaml.Problem, ...]:
    checked = documentsites.site_or_findings(site, base.value, overlay.value)
    if isinstance(checked, models.SiteConfiguration):
        return ()
    return tuple(_located(found, base, overlay) for found in checked)


def _located(
    found: documentchecks.Finding, base: documentyaml.Tree, overlay: documentyaml.Tree
) -> documentyaml.Problem:
    """Return a finding with the file and line of its value, or of an enclosing value."""
    for length in range(len(found.path), -1, -1):
        for tree in (overlay, base):
            prefix = found.path[:length]
            if prefix and prefix in tree.line_by_path:
                key = documentyaml.dotted_key(found.path)
                line = tree.line_by_path[prefix]
                return documentyaml.Problem(found.code, tree.file, line, key, found.detail)
    key = documentyaml.dotted_key(found.path)
    return documentyaml.Problem(found.code, base.file, 1, key, found.detail)
