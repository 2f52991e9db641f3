"""Configuration documents between nodes, in chunks that fit a datagram.

Explanation
===========

A node that starts while the platform's store is down may read the document from
a peer. It asks for one chunk at a time, so the receiver sets the pace and a
lost chunk is simply asked for again. Whether a document may be *adopted* is not
decided here; this module only yields bytes whose SHA-256 is the digest offered.
"""

import hashlib

from hornbeamglade.core import codederrors
from hornbeamglade.exchange import messages

MAX_DOCUMENT_BYTES = messages.MAX_CHUNKS * messages.MAX_CHUNK_BYTES


def split(
    revision: int,
    document: bytes,
    subject: messages.Subject = messages.Subject.CONFIGURATION,
) -> tuple[messages.DocumentChunk, ...]:
    """Cut a document into offers.

    :param revision: the revision of the document.
    :param document: its bytes, at most :data:`MAX_DOCUMENT_BYTES`.
    :param subject: which document it is.
    :raises CodedError: ``config_document_too_large`` when it is larger.

    Examples
    ========

    >>> [len(offer.content) for offer in split(3, b"x" * 1500)]
    [1000, 500]
    """
    if len(document) > MAX_DOCUMENT_BYTES:
        raise codederrors.CodedError(
            "config_document_too_large", f"{len(document)} bytes, {MAX_DOCUMENT_BYTES} allowed"
        )
    size = messages.MAX_CHUNK_BYTES
    parts = [document[start : start + size] for start in range(0, len(document), size)] or [b""]
    digest = hashlib.sha256(document).digest()
    return tuple(
        messages.DocumentChunk(revision, digest, chunk, len(parts), part, subject)
        for chunk, part in enumerate(parts)
    )


class ChunkAssembler:
    """Puts one revision's chunks together again.

    Examples
    ========

    >>> assembly = ChunkAssembler(3)
    >>> for offer in split(3, b"x" * 1500):
    ...     document = assembly.add(offer)
    >>> len(document)
    1500
    """

    def __init__(
        self, revision: int, subject: messages.Subject = messages.Subject.CONFIGURATION
    ) -> None:
        """Begin with nothing.

        :param revision: the wanted revision; offers of others are ignored.
        :param subject: which document it is.
        """
        self._revision = revision
        self._subject = subject
        self._source: tuple[bytes, int] | None = None
        self._content_by_chunk: dict[int, bytes] = {}

    def next_request(self) -> messages.ChunkRequest | None:
        """Return the ask for the first chunk that is missing, or None at the end."""
        chunks = self._source[1] if self._source else 1
        missing = (chunk for chunk in range(chunks) if chunk not in self._content_by_chunk)
        chunk = next(missing, None)
        return (
            None if chunk is None else messages.ChunkRequest(self._revision, chunk, self._subject)
        )

    def add(self, offer: messages.DocumentChunk) -> bytes | None:
        """Take one chunk.

        :returns: the whole document once it is complete and matches its digest.
        """
        if (offer.revision, offer.subject) != (self._revision, self._subject):
            return None
        source = (offer.digest, offer.chunks)
        # Guards against a mix of two documents, when peers disagree about what
        # the revision holds: it shows as chunks under different digests.
        if self._source is not None and source != self._source:
            self._content_by_chunk.clear()
        self._source = source
        self._content_by_chunk[offer.chunk] = offer.content
        if len(self._content_by_chunk) < offer.chunks:
            return None
        document = b"".join(self._content_by_chunk[chunk] for chunk in range(offer.chunks))
        if hashlib.sha256(document).digest() == offer.digest:
            return document
        self._content_by_chunk.clear()
        self._source = None
        return None
