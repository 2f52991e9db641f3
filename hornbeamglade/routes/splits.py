"""Selects the service of a route for a request, by the weights of its splits."""

import hashlib

from hornbeamglade.routes import models

_HASH_BYTES = 8
_HASH_RANGE = 2 ** (8 * _HASH_BYTES)


def choose_service(route: models.Route, request_id: str) -> str:
    """Return the service for a request; a request id always selects the same service.

    Examples
    ========

    >>> splits = (models.Split("old", 90), models.Split("new", 10))
    >>> kind = models.RouteKind.IDEMPOTENT
    >>> route = models.Route("r", "a.example", "/", kind, splits, 1.0, 0.5, 0, 1)
    >>> chosen = [choose_service(route, str(number)) for number in range(1000)]
    >>> 870 < chosen.count("old") < 930
    True
    """
    if len(route.splits) == 1:
        return route.splits[0].service
    digest = hashlib.blake2b(request_id.encode(), digest_size=_HASH_BYTES).digest()
    total = sum(split.weight for split in route.splits)
    remaining = int.from_bytes(digest, "big") / _HASH_RANGE * total
    for split in route.splits:
        remaining -= split.weight
        if remaining < 0:
            return split.service
    return route.splits[-1].service
