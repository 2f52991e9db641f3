"""Documents that instances fetch from one another."""

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
        self.documents = documentsync.DocumentSync(self._versions, self._read, self._apply, clock)

    def _versions(self):
        return documentsync.Versions(self.held[CONFIGURATION][0], self.held[REPLICAS][0])

    def _read(self, subject, _since):
        return self.held[subject][1] or None

    def _apply(self, subject, version, document):
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


def synchronize(clock, behind, ahead, rng=None):
    """Exchange requests and chunks; drop some of them if ``rng`` is given."""
    for _ in range(200):
        clock.advance(0.1)
        outgoing = behind.documents.next_request((member(ahead),), "a")
        request = None if outgoing is None else outgoing.message
        while request is not None:
            chunk = ahead.documents.on_chunk_request(request)
            if chunk is None or (rng is not None and rng.random() < 0.4):
                break
            request = behind.documents.on_chunk(chunk)


def test_missing_documents_are_fetched_completely():
    """The store refuses one instance while it serves the others.

    A key is revoked meanwhile, and that instance must reject it like the others.
    """
    clock, behind, ahead = pair()
    document = random.Random(1).randbytes(9_000)
    ahead.held = {CONFIGURATION: (7, document), REPLICAS: (41, b"[]")}
    synchronize(clock, behind, ahead)
    assert behind.held == ahead.held


def test_lost_datagrams_only_delay_a_fetch():
    clock, behind, ahead = pair()
    ahead.held[REPLICAS] = (3, random.Random(2).randbytes(5_000))
    synchronize(clock, behind, ahead, random.Random(3))
    assert behind.held == ahead.held


def test_update_from_the_store_takes_precedence():
    clock, behind, ahead = pair()
    ahead.held[CONFIGURATION] = (2, b"{}")
    assert behind.documents.next_request((member(ahead),), "a") is None
    clock.advance(documentsync.FETCH_DELAY_S / 2)
    behind.held[CONFIGURATION] = (2, b"{}")
    clock.advance(documentsync.FETCH_DELAY_S)
    assert behind.documents.next_request((member(ahead),), "a") is None


def test_nothing_is_requested_from_instances_that_are_not_ahead():
    clock, behind, ahead = pair()
    behind.held[CONFIGURATION] = (5, b"{}")
    ahead.held[CONFIGURATION] = (4, b"{}")
    clock.advance(10.0)
    assert behind.documents.next_request((member(ahead),), "a") is None


def test_replaced_document_is_requested_again():
    clock, behind, ahead = pair()
    ahead.held[CONFIGURATION] = (1, random.Random(4).randbytes(4_000))
    assert behind.documents.next_request((member(ahead),), "a") is None
    clock.advance(1.0)
    request = behind.documents.next_request((member(ahead),), "a").message
    behind.documents.on_chunk(ahead.documents.on_chunk_request(request))
    ahead.held[CONFIGURATION] = (2, random.Random(5).randbytes(4_000))
    synchronize(clock, behind, ahead)
    assert behind.held == ahead.held


def announcement(holder):
    versions = holder.documents.versions()
    return messages.VersionAnnouncement(versions.configuration, versions.replicas, True)


def test_announced_version_is_requested_at_once():
    """A key is revoked at a site where few instances follow the store.

    An instance that waited for its own update from the store would accept the key for longer.
    """
    _, behind, ahead = pair()
    ahead.held = {CONFIGURATION: (7, b"{}"), REPLICAS: (41, b"[]")}
    for request in behind.documents.on_announcement("b", announcement(ahead)):
        behind.documents.on_chunk(ahead.documents.on_chunk_request(request.message))
    assert behind.held == ahead.held
    assert behind.documents.on_announcement("b", announcement(ahead)) == ()


def test_follower_that_died_after_its_announcement_is_not_asked_again():
    clock, behind, ahead = pair()
    ahead.held[CONFIGURATION] = (7, b"{}")
    behind.documents.on_announcement("gone", announcement(ahead))
    clock.advance(documentsync.FETCH_DELAY_S + documentsync.REQUEST_RETRY_S)
    behind.documents.next_request((member(ahead),), "a")
    clock.advance(documentsync.FETCH_DELAY_S)
    assert behind.documents.next_request((member(ahead),), "a").node == "b"
