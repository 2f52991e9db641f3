import dataclasses
import random

import pytest

from hornbeamglade.core import codederrors
from hornbeamglade.exchange import configchunks


@pytest.mark.parametrize("size", [0, 1, 1000, 1001, 5000])
def test_a_document_is_assembled_from_chunks_in_any_order(size):
    rng = random.Random(size)
    document = rng.randbytes(size)
    chunks = list(configchunks.split(3, document))
    rng.shuffle(chunks)
    assembler = configchunks.ChunkAssembler(3)
    assert [assembler.add(chunk) for chunk in chunks][-1] == document
    assert assembler.next_request() is None


def test_the_first_missing_chunk_is_requested():
    chunks = configchunks.split(3, b"x" * 2500)
    assembler = configchunks.ChunkAssembler(3)
    assert assembler.next_request().chunk == 0
    assembler.add(chunks[0])
    assembler.add(chunks[2])
    assert assembler.next_request().chunk == 1


def test_chunks_of_two_documents_are_never_mixed():
    # After a fault, two peers have different content for one revision. A node that
    # mixes them would start with a configuration that was never accepted.
    one, other = configchunks.split(3, b"x" * 2000), configchunks.split(3, b"y" * 2000)
    assembler = configchunks.ChunkAssembler(3)
    assert assembler.add(one[0]) is None
    assert assembler.add(other[1]) is None
    assert assembler.add(other[0]) == b"y" * 2000


def test_a_document_that_is_too_large_is_refused_at_the_sender():
    with pytest.raises(codederrors.CodedError, match="config_document_too_large"):
        configchunks.split(1, b"x" * (configchunks.MAX_DOCUMENT_BYTES + 1))


def test_a_document_that_does_not_match_its_digest_is_not_returned():
    (chunk,) = configchunks.split(3, b"accepted")
    assembler = configchunks.ChunkAssembler(3)
    assert assembler.add(dataclasses.replace(chunk, content=b"tampered")) is None
    assert assembler.next_request().chunk == 0
