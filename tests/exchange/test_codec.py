import hashlib
import hmac

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.core import clocks, codederrors
from hornbeamglade.exchange import codec, messages
from hornbeamglade.replicas import evacuations
from tests.exchange import strategies as exchange_strategies

OLD, NEW = b"the site key of last year", b"the site key of this year"
ANNOUNCEMENT = messages.VersionAnnouncement(7)
fuzz = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=150)


def make_codec(name, secret=OLD, incarnation=1, clock=None):
    ring = codec.KeyRing(1, {1: secret})
    return codec.Codec(name, incarnation, ring, clock or clocks.ManualClock(1000.0))


@fuzz
@hypothesis.given(exchange_strategies.MESSAGES)
def test_every_message_is_decoded_as_encoded(message):
    assert make_codec("b").decode(make_codec("a").encode("b", message)) == codec.Decoded(
        message, codec.Sender("a", 1)
    )


@fuzz
@hypothesis.given(strategies.binary(max_size=1600))
def test_random_bytes_are_dropped(frame):
    assert isinstance(make_codec("b").decode(frame), codec.Dropped)


@fuzz
@hypothesis.given(strategies.binary(max_size=1300))
def test_garbage_under_a_valid_key_is_dropped(body):
    # A faulty node of the site signs bytes that are no envelope. Without the
    # catch-all the receiver thread would end and the node would stop responding.
    header = make_codec("a").encode("b", ANNOUNCEMENT)[:6]
    tag = hmac.digest(OLD, header + b"\0\0\0\x01b" + body, hashlib.sha256)[:16]
    outcome = make_codec("b").decode(header + tag + body)
    assert outcome in (codec.Dropped(codec.MALFORMED), codec.Dropped(codec.TRUNCATED))


@fuzz
@hypothesis.given(exchange_strategies.MESSAGES, strategies.data())
def test_a_flipped_bit_is_dropped(message, data):
    frame = bytearray(make_codec("a").encode("b", message))
    position = data.draw(strategies.integers(0, len(frame) * 8 - 1))
    frame[position // 8] ^= 1 << position % 8
    assert isinstance(make_codec("b").decode(bytes(frame)), codec.Dropped)


@fuzz
@hypothesis.given(exchange_strategies.MESSAGES, strategies.data())
def test_a_truncated_frame_is_dropped(message, data):
    frame = make_codec("a").encode("b", message)
    length = data.draw(strategies.integers(0, len(frame) - 1))
    assert isinstance(make_codec("b").decode(frame[:length]), codec.Dropped)


def test_an_oversized_frame_is_dropped_and_counted():
    receiver = make_codec("b")
    assert receiver.decode(b"\x01" * 1401) == codec.Dropped(codec.OVERSIZED)
    assert receiver.dropped_by_reason == {codec.OVERSIZED: 1}


def test_a_frame_under_an_unknown_key_is_dropped():
    assert make_codec("b").decode(make_codec("a", NEW).encode("b", ANNOUNCEMENT)) == codec.Dropped(
        codec.FORGED
    )


def test_a_frame_for_another_node_is_dropped():
    assert make_codec("b").decode(make_codec("a").encode("c", ANNOUNCEMENT)) == codec.Dropped(
        codec.NOT_FOR_US
    )


def test_a_frame_is_bound_to_the_whole_name_of_its_recipient(monkeypatch):
    # The names of two nodes have the same short hash; a frame for one of them, recorded and
    # replayed to the other, would be accepted there.
    monkeypatch.setattr(codec, "_recipient_hash", lambda name: b"same")
    assert make_codec("b").decode(make_codec("a").encode("c", ANNOUNCEMENT)) == codec.Dropped(
        codec.FORGED
    )


def test_both_keys_are_accepted_during_a_rotation_and_only_the_new_one_after():
    receiver = make_codec("b")
    receiver.use_keys(codec.KeyRing(2, {1: OLD, 2: NEW}))
    sender = make_codec("a")
    assert isinstance(receiver.decode(sender.encode("b", ANNOUNCEMENT)), codec.Decoded)
    sender.use_keys(codec.KeyRing(2, {1: OLD, 2: NEW}))
    assert isinstance(receiver.decode(sender.encode("b", ANNOUNCEMENT)), codec.Decoded)
    receiver.use_keys(codec.KeyRing(2, {2: NEW}))
    sender.use_keys(codec.KeyRing(1, {1: OLD}))
    assert receiver.decode(sender.encode("b", ANNOUNCEMENT)) == codec.Dropped(codec.UNKNOWN_KEY)


def test_a_message_larger_than_a_datagram_is_refused_at_the_sender():
    with pytest.raises(codederrors.CodedError, match="exchange_message_too_large"):
        make_codec("a").encode("b", messages.DocumentChunk(1, b"d" * 32, 0, 1, b"x" * 1001))


def test_a_load_figure_out_of_range_is_clipped_and_the_heartbeat_is_sent():
    digest = messages.ReplicaDigest(1, room_tokens=-5, queued=10**9, expected_wait_ms=10**12)
    beat = messages.Heartbeat(messages.NodeState.LIVE, 1, 1, "d", "", "", replicas=(digest,))
    received = make_codec("b").decode(make_codec("a").encode("b", beat)).message.replicas[0]
    assert (received.room_tokens, received.queued) == (0, 2**16 - 1)


def test_a_short_key_is_refused():
    with pytest.raises(codederrors.CodedError, match="exchange_key_invalid"):
        codec.KeyRing(1, {1: b"short"})


@pytest.mark.parametrize("classes", [0, messages.MAX_WAITING_CLASSES])
def test_a_heartbeat_of_maximum_size_fits_a_datagram(classes):
    # A node that owns very many replicas fills its heartbeat. If that did not fit a
    # datagram, its heartbeats would stop when other nodes depend on it most.
    largest, name = 2**32 - 1, "n" * messages.MAX_NAME_BYTES
    digest = messages.ReplicaDigest(
        2**64 - 3, largest, 2**16 - 1, largest, True, True, 2**16 - 1, 2**16 - 1
    )
    demand = messages.TeamDemand(2**64 - 3, 2**16 - 1, 2**16 - 1)
    update = messages.MembershipUpdate(2**64 - 3, 2**64 - 3, largest, messages.NodeState.GONE)
    beat = messages.Heartbeat(
        messages.NodeState.LEAVING,
        largest,
        2**64 - 3,
        name,
        name,
        name,
        wants_answer=True,
        replicas=(digest,) * messages.max_digests(classes),
        waiting=(messages.WaitingClass(2**64 - 3, 2**31 - 1, 2**16 - 1, 655.35, 2**16 - 1),)
        * classes,
        demands=(demand,) * messages.MAX_DEMANDS,
        updates=(update,) * messages.MAX_MEMBERSHIP_UPDATES,
        refutation=largest,
        evacuations=evacuations.Evacuations(
            2**64 - 3, frozenset(str(n) * 8 for n in range(messages.MAX_EVACUATED))
        ),
    )
    frame = make_codec(name, incarnation=2**63).encode(name, beat)
    assert make_codec(name).decode(frame).message == beat


@pytest.mark.parametrize("running", [0, 20, messages.MAX_PROGRESS])
def test_a_progress_report_of_maximum_size_fits_a_datagram(running):
    # A node reports very many grants of one owner. If the report did not fit a
    # datagram, it would never be sent, and all these grants would expire.
    largest, name = 2**64 - 3, "n" * messages.MAX_NAME_BYTES
    released = messages.MAX_PROGRESS - running
    report = messages.Progress(
        (messages.GrantProgress(largest, largest, 2**32 - 1, 2**16 - 1, 2**16 - 1),) * running,
        (messages.GrantRelease(largest, 2**32 - 1, 2**16 - 1, 2**16 - 1),) * released,
    )
    frame = make_codec(name, incarnation=2**63).encode(name, report)
    assert make_codec(name).decode(frame).message == report


def test_node_with_a_superseded_incarnation_is_notified_and_accepted_after_raising_it():
    """A node restarts after its wall clock was set back.

    Its new incarnation is lower, and all peers that knew the former one dropped its frames.
    """
    peer, former, restarted = (
        make_codec("b"),
        make_codec("a", incarnation=9),
        make_codec("a", incarnation=4),
    )
    peer.decode(former.encode("b", ANNOUNCEMENT))
    dropped = peer.decode(restarted.encode("b", ANNOUNCEMENT))
    assert dropped.superseded_by == codec.Sender("a", 9)
    assert restarted.raise_incarnation_above(9) == 10
    assert peer.decode(restarted.encode("b", ANNOUNCEMENT)) == codec.Decoded(
        ANNOUNCEMENT, codec.Sender("a", 10)
    )


def test_late_frame_of_a_former_incarnation_raises_no_incarnation():
    assert make_codec("a", incarnation=9).raise_incarnation_above(9) == 9


@pytest.mark.parametrize(
    "domains", [[str(n) for n in range(messages.MAX_EVACUATED + 1)], ["a" * 57]]
)
def test_evacuations_that_are_too_large_are_not_sent_in_part(domains):
    """A truncated state would end the evacuations that it omits."""
    state = evacuations.Evacuations(4, frozenset(domains))
    sender, recipient = make_codec("a"), make_codec("b")
    frame = sender.encode("b", messages.VersionAnnouncement(7, 3, True, state))
    assert recipient.decode(frame).message == messages.VersionAnnouncement(7, 3, True)


def test_a_grant_response_of_maximum_size_fits_a_datagram():
    # An owner knows as many engines as a response may carry. If that did not fit a datagram,
    # no grant request would be answered at the largest services.
    largest = 2**32 - 1
    digest = messages.ReplicaDigest(
        2**64 - 3, largest, 2**16 - 1, largest, True, True, 2**16 - 1, 2**16 - 1
    )
    response = messages.GrantResponse(
        2**64 - 3,
        messages.GrantKind.REFUSED,
        "n" * messages.MAX_NAME_BYTES,
        largest,
        2**64 - 3,
        2**64 - 3,
        (messages.AgedDigest(digest, 1000),) * messages.MAX_REPLICAS,
        (messages.WaitingClass(0, 2**31 - 1, 2**16 - 1, 655.35, 2**16 - 1, 2**64 - 3, 2000),)
        * messages.MAX_SITE_WAITING_CLASSES,
    )
    name = "n" * messages.MAX_NAME_BYTES
    frame = make_codec(name, incarnation=2**63).encode(name, response)
    assert make_codec(name).decode(frame).message == response
