"""Identification of software versions of replicas, and of streams.

Explanation
===========

What replicas of two software versions write for one request does not fit together, so a stream
goes on only at replicas of the version that began it. Versions are opaque strings without an
order; they are compared, stored and sent to other instances as hashes.
"""

import functools

from hornbeamglade.exchange import messages

_CACHED_VERSIONS = 1024


@functools.lru_cache(maxsize=_CACHED_VERSIONS)
def version_key(version: str) -> int:
    """Return the 64-bit hash that identifies a software version.

    Examples
    ========

    >>> version_key("v1") == version_key("v1"), version_key("v1.1") == version_key("v1.10")
    (True, False)
    """
    return messages.key_hash(version)


def stream_key(request_id: str, service: str, team: str) -> int:
    """Return the 64-bit hash that identifies a stream to all instances.

    Explanation
    ===========

    It covers the service and the team, so a caller cannot refer to a stream of another team.

    :param request_id: the id of the attempt that brought the first event.
    :param service: the name of the service that runs the stream.
    :param team: the name of the caller's team, or an empty string.

    Examples
    ========

    >>> stream_key("a1", "llm", "clinic") == stream_key("a1", "llm", "court")
    False
    """
    return messages.key_hash(f"{len(request_id)}:{request_id}{len(service)}:{service}{team}")
