import dataclasses
import random

import pytest

from hornbeamglade.core import codederrors
from hornbeamglade.exchange import configchunks


@pytest.mark.parametrize("size", [0, 1, 1000, 1001, 5000])
def test_a_document_is_put_together_from_chunks_in_any_order(size):
    rng = random.Random(size)
    document = rng.randbytes(size)
    offers = list(configchunks.split(3, document))
    rng.shuffle(offers)
    assembly = configchunks.ChunkAssembler(3)
    assert [assembly.add(offer) for offer in offers][-1] == document
    assert assembly.next_request() is None


def test_asks_name_the_first_missing_chunk():
    offers = configchunks.split(3, b"x" * 2500)
    assembly = configchunks.ChunkAssembler(3)
    assert assembly.next_request().chunk == 0
    assembly.add(offers[0])
    assembly.add(offers[2])
    assert assembly.next_request().chunk == 1


def test_chunks_of_two_documents_are_never_mixed():
    # Two peers hold different bytes under one revision, after a fault. A node that
    # mixes them would start with a configuration that nobody ever accepted.
    one, other = configchunks.split(3, b"x" * 2000), configchunks.split(3, b"y" * 2000)
    assembly = configchunks.ChunkAssembler(3)
    assert assembly.add(one[0]) is None
    assert assembly.add(other[1]) is None
    assert assembly.add(other[0]) == b"y" * 2000


def test_a_document_too_large_is_refused_at_the_sender():
    with pytest.raises(codederrors.CodedError, match="config_document_too_large"):
        configchunks.split(1, b"x" * (configchunks.MAX_DOCUMENT_BYTES + 1))


def test_a_document_that_does_not_match_its_digest_is_not_returned():
    (offer,) = configchunks.split(3, b"accepted")
    assembly = configchunks.ChunkAssembler(3)
    assert assembly.add(dataclasses.replace(offer, content=b"tampered")) is None
    assert assembly.next_request().chunk == 0
