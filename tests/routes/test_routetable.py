"""Longest-prefix matching of routes, compared with a search of all routes."""

import hypothesis
from hypothesis import strategies

from hornbeamglade.routes import models, routetable

_SEGMENTS = strategies.lists(strategies.sampled_from(["a", "b", "ab"]), max_size=4)
_PREFIXES = _SEGMENTS.map(lambda segments: "/" + "".join(f"{each}/" for each in segments))
_PATHS = strategies.tuples(_PREFIXES, strategies.sampled_from(["", "a", "b?x=/a/b/", "?q"]))


def route(prefix, host="h.example"):
    kind = models.RouteKind.IDEMPOTENT
    return models.Route(prefix, host, prefix, kind, (models.Split("s", 1),), 1.0, 1.0, 0, 1)


@hypothesis.given(strategies.sets(_PREFIXES), _PATHS)
def test_longest_prefix_is_found(prefixes, path):
    target = "".join(path)
    found = routetable.RouteTable([route(prefix) for prefix in prefixes]).find("h.example", target)
    matching = [prefix for prefix in prefixes if target.split("?")[0].startswith(prefix)]
    expected = max(matching, key=len, default=None)
    assert (found and found.prefix) == expected


def test_routes_of_other_hosts_are_not_found():
    table = routetable.RouteTable([route("/a/", "other.example")])
    assert table.find("h.example", "/a/x") is None
