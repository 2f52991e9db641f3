"""Transfer of configuration documents between nodes, in chunks that fit a datagram.

Explanation
===========

A node that starts while the platform's store is unavailable may fetch the document from
a peer. It requests one chunk at a time, so the receiver controls the rate and simply
requests a lost chunk again. Whether a document may be *adopted* is not
decided here; this module only returns bytes whose SHA-256 is the announced digest.
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
    """Split a document into chunks.

    :param revision: the revision of the document.
    :param document: its bytes, at most :data:`MAX_DOCUMENT_BYTES`.
    :param subject: which document it is.
    :raises CodedError: ``config_document_too_large`` when it is larger.

    Examples
    ========

    >>> [len(chunk.content) for chunk in split(3, b"x" * 1500)]
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
    """Reassembles the document of one revision from its chunks.

    Examples
    ========

    >>> assembler = ChunkAssembler(3)
    >>> for chunk in split(3, b"x" * 1500):
    ...     document = assembler.add(chunk)
    >>> len(document)
    1500
    """

    def __init__(
        self, revision: int, subject: messages.Subject = messages.Subject.CONFIGURATION
    ) -> None:
        """Create an assembler without chunks.

        :param revision: the revision to assemble; chunks of others are ignored.
        :param subject: which document it is.
        """
        self._revision = revision
        self._subject = subject
        self._source: tuple[bytes, int] | None = None
        self._content_by_chunk: dict[int, bytes] = {}

    def next_request(self) -> messages.ChunkRequest | None:
        """Return the request for the first missing chunk, or None if none is missing."""
        chunks = self._source[1] if self._source else 1
        missing = (chunk for chunk in range(chunks) if chunk not in self._content_by_chunk)
        chunk = next(missing, None)
        return (
            None if chunk is None else messages.ChunkRequest(self._revision, chunk, self._subject)
        )

    def add(self, document_chunk: messages.DocumentChunk) -> bytes | None:
        """Add one chunk.

        :returns: the document once it is complete and matches its digest, else None.
        """
        if (document_chunk.revision, document_chunk.subject) != (self._revision, self._subject):
            return None
        source = (document_chunk.digest, document_chunk.chunks)
        # Guards against mixing two documents if peers have different content for the
        # revision: their chunks then carry different digests.
        if self._source is not None and source != self._source:
            self._content_by_chunk.clear()
        self._source = source
        self._content_by_chunk[document_chunk.chunk] = document_chunk.content
        if len(self._content_by_chunk) < document_chunk.chunks:
            return None
        document = b"".join(
            self._content_by_chunk[chunk] for chunk in range(document_chunk.chunks)
        )
        if hashlib.sha256(document).digest() == document_chunk.digest:
            return document
        self._content_by_chunk.clear()
        self._source = None
        return None
