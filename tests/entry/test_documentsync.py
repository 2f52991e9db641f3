"""Documents that instances read from one another."""

import random

from hornbeamglade.core import clocks
from hornbeamglade.entry import documentsync
from hornbeamglade.exchange import messages
from hornbeamglade.membership import view

CONFIGURATION, REPLICAS = messages.Subject.CONFIGURATION, messages.Subject.REPLICAS


class Holder:
    """One instance's documents, by subject."""

    def __init__(self, clock):
        self.held = {CONFIGURATION: (0, b""), REPLICAS: (0, b"")}
        self.documents = documentsync.DocumentSync(self._versions, self._read, self._take, clock)

    def _versions(self):
        return documentsync.Versions(self.held[CONFIGURATION][0], self.held[REPLICAS][0])

    def _read(self, subject, _since):
        return self.held[subject][1] or None

    def _take(self, subject, version, document):
        self.held[subject] = (version, document)


def member(holder, name="b"):
    versions = holder.documents.versions()
    heartbeat = messages.Heartbeat(
        messages.NodeState.LIVE,
        1,
        versions.configuration,
        "a",
        "",
        "",
        list_version=versions.replicas,
    )
    identity = view.Identity(name, "a", "", "")
    return view.Member(identity, 1, 1, 0, messages.NodeState.LIVE, 0.0, heartbeat)


def pair():
    clock = clocks.ManualClock(100.0)
    return clock, Holder(clock), Holder(clock)


def pursue(clock, behind, ahead, rng=None):
    """Let questions and answers go back and forth; lose some when ``rng`` says so."""
    for _ in range(200):
        clock.advance(0.1)
        ask = behind.documents.next_request((member(ahead),), "a")
        question = None if ask is None else ask.message
        while question is not None:
            offer = ahead.documents.on_chunk_request(question)
            if offer is None or (rng is not None and rng.random() < 0.4):
                break
            question = behind.documents.on_chunk(offer)


def test_what_an_instance_lacks_comes_whole_from_one_that_has_it():
    """The store turns one instance away while it serves the others.

    A key is taken away meanwhile: the instance must refuse it like the others.
    """
    clock, behind, ahead = pair()
    document = random.Random(1).randbytes(9_000)
    ahead.held = {CONFIGURATION: (7, document), REPLICAS: (41, b"[]")}
    pursue(clock, behind, ahead)
    assert behind.held == ahead.held


def test_lost_datagrams_only_delay_it():
    clock, behind, ahead = pair()
    ahead.held[REPLICAS] = (3, random.Random(2).randbytes(5_000))
    pursue(clock, behind, ahead, random.Random(3))
    assert behind.held == ahead.held


def test_the_stores_own_way_goes_first():
    clock, behind, ahead = pair()
    ahead.held[CONFIGURATION] = (2, b"{}")
    assert behind.documents.next_request((member(ahead),), "a") is None
    clock.advance(documentsync.FETCH_DELAY_S / 2)
    behind.held[CONFIGURATION] = (2, b"{}")
    clock.advance(documentsync.FETCH_DELAY_S)
    assert behind.documents.next_request((member(ahead),), "a") is None


def test_nothing_is_asked_of_those_that_have_no_more():
    clock, behind, ahead = pair()
    behind.held[CONFIGURATION] = (5, b"{}")
    ahead.held[CONFIGURATION] = (4, b"{}")
    clock.advance(10.0)
    assert behind.documents.next_request((member(ahead),), "a") is None


def test_document_that_was_replaced_is_asked_for_anew():
    clock, behind, ahead = pair()
    ahead.held[CONFIGURATION] = (1, random.Random(4).randbytes(4_000))
    assert behind.documents.next_request((member(ahead),), "a") is None
    clock.advance(1.0)
    ask = behind.documents.next_request((member(ahead),), "a").message
    behind.documents.on_chunk(ahead.documents.on_chunk_request(ask))
    ahead.held[CONFIGURATION] = (2, random.Random(5).randbytes(4_000))
    pursue(clock, behind, ahead)
    assert behind.held == ahead.held


def hint(holder):
    versions = holder.documents.versions()
    return messages.VersionAnnouncement(versions.configuration, versions.replicas, True)


def test_what_a_follower_hints_at_is_asked_for_at_once():
    """A key is taken away at a site where few follow the store.

    An instance that first gave its own way to the store time would serve it longer.
    """
    _, behind, ahead = pair()
    ahead.held = {CONFIGURATION: (7, b"{}"), REPLICAS: (41, b"[]")}
    for ask in behind.documents.on_announcement("b", hint(ahead)):
        behind.documents.on_chunk(ahead.documents.on_chunk_request(ask.message))
    assert behind.held == ahead.held
    assert behind.documents.on_announcement("b", hint(ahead)) == ()


def test_a_follower_that_died_after_its_hint_is_not_asked_again():
    clock, behind, ahead = pair()
    ahead.held[CONFIGURATION] = (7, b"{}")
    behind.documents.on_announcement("gone", hint(ahead))
    clock.advance(documentsync.FETCH_DELAY_S + documentsync.REQUEST_RETRY_S)
    behind.documents.next_request((member(ahead),), "a")
    clock.advance(documentsync.FETCH_DELAY_S)
    assert behind.documents.next_request((member(ahead),), "a").node == "b"
