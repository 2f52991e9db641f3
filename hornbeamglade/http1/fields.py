"""Lists of header fields, as immutable tuples of names and values in bytes.

Examples
========

>>> fields = ((b"Host", b"a.example"), (b"Connection", b"X-Trace"), (b"X-Trace", b"1"))
>>> value(fields, b"host")
b'a.example'
>>> end_to_end(fields)
((b'Host', b'a.example'),)
"""

import collections.abc

Field = tuple[bytes, bytes]
Fields = tuple[Field, ...]

# RFC 9110, section 7.6.1, with Keep-Alive and Proxy-Connection of older software.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def value(fields: collections.abc.Iterable[Field], name: bytes) -> bytes | None:
    """Return the first value of a field, or None.

    :param name: in lower case.
    """
    for each, found in fields:
        if each.lower() == name:
            return found
    return None


def values(fields: collections.abc.Iterable[Field], name: bytes) -> tuple[bytes, ...]:
    """Return every value of a field, in order.

    :param name: in lower case.
    """
    return tuple(found for each, found in fields if each.lower() == name)


def tokens(fields: collections.abc.Iterable[Field], name: bytes) -> frozenset[bytes]:
    """Return the comma-separated members of a field, in lower case.

    Examples
    ========

    >>> sorted(tokens(((b"Connection", b"close, X-Trace"),), b"connection"))
    [b'close', b'x-trace']
    """
    members = b",".join(values(fields, name)).split(b",")
    return frozenset(member.strip().lower() for member in members if member.strip())


def without(fields: collections.abc.Iterable[Field], names: collections.abc.Container) -> Fields:
    """Return the fields whose lower-case names are not among ``names``."""
    return tuple(field for field in fields if field[0].lower() not in names)


def end_to_end(fields: Fields) -> Fields:
    """Return the end-to-end fields, without those that concern only one connection."""
    return without(fields, HOP_BY_HOP | tokens(fields, b"connection"))
