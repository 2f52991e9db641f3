"""Fingerprints that identify equal requests regardless of their ids.

Explanation
===========

A caller retries a request with a new id, at any instance. Requests are considered equal if they
have the same method, host, target, caller and body. Each part is hashed together with its length,
so that different requests are never hashed as the same sequence of bytes.
"""

import hashlib

FINGERPRINT_BYTES = 8


def fingerprint(method: bytes, host: str, target: bytes, caller: str, body: bytes) -> int:
    """Return a 64-bit hash that identifies a request.

    :param host: the host, in upper or lower case.
    :param caller: the team, or an empty string if no key is required.

    Examples
    ========

    >>> first = fingerprint(b"POST", "Mail.example", b"/tag/1", "clinic", b"text")
    >>> first == fingerprint(b"POST", "mail.example", b"/tag/1", "clinic", b"text")
    True
    >>> first == fingerprint(b"POST", "mail.example", b"/tag/1", "court", b"text")
    False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method, host.lower().encode("latin-1"), target, caller.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return int.from_bytes(digest.digest())


def to_hex(value: int) -> str:
    """Return a fingerprint in hexadecimal form, as used in log lines.

    Examples
    ========

    >>> to_hex(255)
    '00000000000000ff'
    """
    return f"{value:016x}"
