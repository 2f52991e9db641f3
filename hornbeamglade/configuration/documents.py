"""A base file and one overlay a site, checked and put into canonical form.

Explanation
===========

An overlay states only what differs at its site: mappings are merged key by
key, anything else replaces what the base says, and ``null`` removes a key. The
base lists the ``sites``; every listed site has its overlay, though that may
name no more than its ``site``. So a file left out by mistake is refused instead
of quietly putting its site back to the base.

The canonical form is JSON with sorted keys, and its SHA-256 digest names it.
It holds base and overlays unmerged, so that ``effective`` gives every node the
same values, and an operator can get the files back.
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
    """A checked configuration of all sites.

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
    :param change_id: unique for the change that made it.
    :param document: the canonical JSON.
    """

    number: int
    digest: str
    change_id: str
    document: str

    def verify(self) -> None:
        """Check that the content is the one that its digest names.

        :raises ConfigurationError: when it is another.
        """
        if digest(self.document) != self.digest:
            detail = f"content of revision {self.number} differs from its digest"
            raise _refusal("config_digest_differs", detail)

    def effective(self, site: str) -> models.SiteConfiguration:
        """Return the configuration of one site; computed anew by each call.

        :raises ConfigurationError: for an unknown site, or for content of a
            newer release that this one does not understand.
        """
        return effective(self.document, site)


def digest(text: str) -> str:
    """Return the digest that names a canonical document.

    Examples
    ========

    >>> digest("")[:15]
    'sha256-e3b0c442'
    """
    return "sha256-" + hashlib.sha256(text.encode()).hexdigest()


def load(
    base: documentyaml.SourceFile, overlays: collections.abc.Iterable[documentyaml.SourceFile]
) -> Document:
    r"""Check an operator's files and put them into canonical form.

    :raises ConfigurationError: with every problem that was found.

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
            # A fault of the base shows at every site and is told once.
            problems.setdefault((problem.file, problem.line, problem.key), problem)
    if problems:
        raise documentyaml.ConfigurationError(tuple(problems.values()))
    overlay_values = {site: tree.value for site, tree in overlay_by_site.items()}
    text = canonical({"base": base_tree.value, "overlays": overlay_values})
    return Document(text, digest(text))


def canonical(value: object) -> str:
    """Return JSON text that is the same for the same value."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)


def parts(text: str) -> tuple[dict[str, object], dict[str, dict[str, object]]]:
    """Return the base and the overlays by site of a canonical document.

    :raises ConfigurationError: when ``text`` is no such document.
    """
    try:
        value = json.loads(text)
        base, overlay_by_site = value["base"], value["overlays"]
        sound = isinstance(base, dict) and all(
            isinstance(overlay, dict) for overlay in overlay_by_site.values()
        )
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        sound = False
    if not sound:
        raise _refusal("config_not_canonical", "not a canonical configuration document")
    return base, overlay_by_site


def sites(text: str) -> tuple[str, ...]:
    """Return the sites of a canonical document, in order of name."""
    return tuple(sorted(parts(text)[1]))


def effective(text: str, site: str) -> models.SiteConfiguration:
    """Return the configuration of one site from a canonical document.

    :raises ConfigurationError: for an unknown site or content that fails the checks.
    """
    base, overlay_by_site = parts(text)
    if site not in overlay_by_site:
        raise _refusal("config_unknown_site", f"there is no site {site!r}")
    try:
        checked = documentsites.site_or_findings(site, base, overlay_by_site[site])
    except RecursionError:
        # Such a document was never accepted; a node that reads it must not stop.
        raise _refusal("config_too_deep", "nested too deep") from None
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


def _refusal(code: str, detail: str) -> documentyaml.ConfigurationError:
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
            raise _refusal_at(overlay, "config_unknown_site", ("site",), detail)
        if site in overlay_by_site:
            detail = f"{overlay_by_site[site].file} is an overlay of the same site"
            raise _refusal_at(overlay, "config_duplicate_site", ("site",), detail)
        overlay_by_site[site] = overlay
    for position, site in enumerate(listed):
        if site not in overlay_by_site:
            detail = f"no overlay was given for {site!r}"
            raise _refusal_at(base, "config_missing_overlay", ("sites", position), detail)
    return overlay_by_site


def _listed_sites(base: documentyaml.Tree) -> list[str]:
    listed = base.value.get("sites")
    if not isinstance(listed, list) or not listed:
        detail = "the base must list its sites"
        raise _refusal_at(base, "config_missing_key", ("sites",), detail)
    for position, site in enumerate(listed):
        path = ("sites", position)
        try:
            _SITE_NAME_ADAPTER.validate_python(site)
        except pydantic.ValidationError:
            raise _refusal_at(base, "config_bad_value", path, "not a site's name") from None
        if site in listed[:position]:
            raise _refusal_at(base, "config_duplicate_site", path, "stated twice")
    return listed


def _refusal_at(
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
    return tuple(_placed(found, base, overlay) for found in checked)


def _placed(
    found: documentchecks.Finding, base: documentyaml.Tree, overlay: documentyaml.Tree
) -> documentyaml.Problem:
    """Give a finding the file and line that stated the value, or what encloses it."""
    for length in range(len(found.path), -1, -1):
        for tree in (overlay, base):
            prefix = found.path[:length]
            if prefix and prefix in tree.line_by_path:
                key = documentyaml.dotted_key(found.path)
                line = tree.line_by_path[prefix]
                return documentyaml.Problem(found.code, tree.file, line, key, found.detail)
    key = documentyaml.dotted_key(found.path)
    return documentyaml.Problem(found.code, base.file, 1, key, found.detail)
