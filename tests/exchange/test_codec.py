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
HINT = messages.VersionAnnouncement(7)
fuzz = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=150)


def make(name, secret=OLD, incarnation=1, clock=None):
    ring = codec.KeyRing(1, {1: secret})
    return codec.Codec(name, incarnation, ring, clock or clocks.ManualClock(1000.0))


@fuzz
@hypothesis.given(exchange_strategies.MESSAGES)
def test_every_message_survives_the_wire(message):
    assert make("b").decode(make("a").encode("b", message)) == codec.Decoded(
        message, codec.Sender("a", 1)
    )


@fuzz
@hypothesis.given(strategies.binary(max_size=1600))
def test_random_bytes_are_dropped(frame):
    assert isinstance(make("b").decode(frame), codec.Dropped)


@fuzz
@hypothesis.given(strategies.binary(max_size=1300))
def test_garbage_under_a_valid_key_is_dropped(body):
    # A node of the site with a fault signs what is no envelope. Without the
    # catch-all the receiver thread would end and the node fall silent.
    header = make("a").encode("b", HINT)[:6]
    tag = hmac.digest(OLD, header + b"\0\0\0\x01b" + body, hashlib.sha256)[:16]
    outcome = make("b").decode(header + tag + body)
    assert outcome in (codec.Dropped(codec.MALFORMED), codec.Dropped(codec.TRUNCATED))


@fuzz
@hypothesis.given(exchange_strategies.MESSAGES, strategies.data())
def test_a_flipped_bit_is_dropped(message, data):
    frame = bytearray(make("a").encode("b", message))
    place = data.draw(strategies.integers(0, len(frame) * 8 - 1))
    frame[place // 8] ^= 1 << place % 8
    assert isinstance(make("b").decode(bytes(frame)), codec.Dropped)


@fuzz
@hypothesis.given(exchange_strategies.MESSAGES, strategies.data())
def test_a_truncated_frame_is_dropped(message, data):
    frame = make("a").encode("b", message)
    length = data.draw(strategies.integers(0, len(frame) - 1))
    assert isinstance(make("b").decode(frame[:length]), codec.Dropped)


def test_an_oversized_frame_is_dropped_and_counted():
    receiver = make("b")
    assert receiver.decode(b"\x01" * 1401) == codec.Dropped(codec.OVERSIZED)
    assert receiver.dropped_by_reason == {codec.OVERSIZED: 1}


def test_a_strangers_key_is_dropped():
    assert make("b").decode(make("a", NEW).encode("b", HINT)) == codec.Dropped(codec.FORGED)


def test_a_frame_for_another_node_is_dropped():
    assert make("b").decode(make("a").encode("c", HINT)) == codec.Dropped(codec.NOT_FOR_US)


def test_a_frame_is_bound_to_the_whole_name_of_its_recipient(monkeypatch):
    # Two nodes' names have the same short hash; a frame for the one, recorded and
    # played to the other, would be taken as said to it.
    monkeypatch.setattr(codec, "_mark", lambda name: b"same")
    assert make("b").decode(make("a").encode("c", HINT)) == codec.Dropped(codec.FORGED)


def test_both_keys_are_taken_during_a_rotation_and_the_old_one_not_after():
    receiver = make("b")
    receiver.use_keys(codec.KeyRing(2, {1: OLD, 2: NEW}))
    sender = make("a")
    assert isinstance(receiver.decode(sender.encode("b", HINT)), codec.Decoded)
    sender.use_keys(codec.KeyRing(2, {1: OLD, 2: NEW}))
    assert isinstance(receiver.decode(sender.encode("b", HINT)), codec.Decoded)
    receiver.use_keys(codec.KeyRing(2, {2: NEW}))
    sender.use_keys(codec.KeyRing(1, {1: OLD}))
    assert receiver.decode(sender.encode("b", HINT)) == codec.Dropped(codec.UNKNOWN_KEY)


def test_a_message_beyond_a_datagram_is_refused_at_the_sender():
    with pytest.raises(codederrors.CodedError, match="exchange_message_too_large"):
        make("a").encode("b", messages.DocumentChunk(1, b"d" * 32, 0, 1, b"x" * 1001))


def test_a_load_figure_out_of_range_is_clipped_and_the_heartbeat_goes_out():
    digest = messages.ReplicaDigest(1, room_tokens=-5, queued=10**9, expected_wait_ms=10**12)
    beat = messages.Heartbeat(messages.NodeState.LIVE, 1, 1, "d", "", "", replicas=(digest,))
    received = make("b").decode(make("a").encode("b", beat)).message.replicas[0]
    assert (received.room_tokens, received.queued) == (0, 2**16 - 1)


def test_a_short_key_is_refused():
    with pytest.raises(codederrors.CodedError, match="exchange_key_invalid"):
        codec.KeyRing(1, {1: b"short"})


def test_a_heartbeat_at_all_its_bounds_fits_a_datagram():
    # A node that has become the owner of very many replicas fills its heartbeat. If
    # that did not fit, it would fall silent just when all depends on it.
    most, name = 2**32 - 1, "n" * messages.MAX_NAME_BYTES
    digest = messages.ReplicaDigest(2**64 - 3, most, 2**16 - 1, most, True, True)
    demand = messages.TeamDemand(2**64 - 3, 2**16 - 1, 2**16 - 1)
    update = messages.MembershipUpdate(2**64 - 3, 2**64 - 3, most, messages.NodeState.GONE)
    beat = messages.Heartbeat(
        messages.NodeState.LEAVING,
        most,
        2**64 - 3,
        name,
        name,
        name,
        wants_answer=True,
        replicas=(digest,) * messages.MAX_REPLICAS,
        demands=(demand,) * messages.MAX_DEMANDS,
        updates=(update,) * messages.MAX_MEMBERSHIP_UPDATES,
        refutation=most,
        evacuations=evacuations.Evacuations(
            2**64 - 3, frozenset(str(n) * 8 for n in range(messages.MAX_EVACUATED))
        ),
    )
    frame = make(name, incarnation=2**63).encode(name, beat)
    assert make(name).decode(frame).message == beat


@pytest.mark.parametrize("running", [0, 20, messages.MAX_PROGRESS])
def test_a_report_at_all_its_bounds_fits_a_datagram(running):
    # A node with very many grants of one owner reports them. If the report did not
    # fit, it would never leave, and all these grants would lapse.
    most, name = 2**64 - 3, "n" * messages.MAX_NAME_BYTES
    released = messages.MAX_PROGRESS - running
    report = messages.Progress(
        (messages.GrantProgress(most, most, 2**32 - 1),) * running,
        (messages.GrantRelease(most, 2**32 - 1),) * released,
    )
    frame = make(name, incarnation=2**63).encode(name, report)
    assert make(name).decode(frame).message == report


def test_node_that_was_outrun_is_named_and_heard_once_it_has_risen():
    """A node starts again while its time of day is behind that of its start before.

    Its incarnation is the lower one, and everyone who knew it dropped all that it sent.
    """
    peer, former, again = make("b"), make("a", incarnation=9), make("a", incarnation=4)
    peer.decode(former.encode("b", HINT))
    dropped = peer.decode(again.encode("b", HINT))
    assert dropped.superseded_by == codec.Sender("a", 9)
    assert again.raise_incarnation_above(9) == 10
    assert peer.decode(again.encode("b", HINT)) == codec.Decoded(HINT, codec.Sender("a", 10))


def test_late_frame_of_a_former_run_raises_nobody():
    assert make("a", incarnation=9).raise_incarnation_above(9) == 9


@pytest.mark.parametrize(
    "domains", [[str(n) for n in range(messages.MAX_EVACUATED + 1)], ["a" * 57]]
)
def test_evacuations_that_are_too_large_are_not_told_in_part(domains):
    """Cut short, a state would end the evacuations that it leaves out."""
    state = evacuations.Evacuations(4, frozenset(domains))
    sender, recipient = make("a"), make("b")
    frame = sender.encode("b", messages.VersionAnnouncement(7, 3, True, state))
    assert recipient.decode(frame).message == messages.VersionAnnouncement(7, 3, True)
