"""What makes two requests the same, whatever their ids.

Explanation
===========

A caller that asks again does so under a new id, at any instance. Requests are the same when
they have the same method, host, target, caller and body. Each part is hashed with its length,
so that no two different requests are one sequence of bytes.
"""

import hashlib

FINGERPRINT_BYTES = 8


def fingerprint(method: bytes, host: str, target: bytes, caller: str, body: bytes) -> int:
    """Return a 64-bit hash by which a request is known again.

    :param host: in any case of letters.
    :param caller: the team, or an empty text where no key is needed.

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
    """Return a fingerprint as log lines show it.

    Examples
    ========

    >>> to_hex(255)
    '00000000000000ff'
    """
    return f"{value:016x}"
