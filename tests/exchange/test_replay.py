import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.exchange import replay


def stamp(sequence, incarnation=5, wall_s=100.0, elapsed_s=0.0, sender="a"):
    return replay.FrameStamp(sender, incarnation, sequence, wall_s, elapsed_s)


@pytest.fixture
def guard():
    return replay.ReplayGuard()


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=100)
@hypothesis.given(strategies.lists(strategies.integers(1, 3000), max_size=60))
def test_no_sequence_number_is_accepted_twice(sequences):
    guard = replay.ReplayGuard()
    taken = [s for s in sequences if guard.admit(stamp(s), 0.0, 100.0) is None]
    assert len(taken) == len(set(taken))
    newest = max(sequences, default=0)
    if newest - min(sequences, default=0) < replay.WINDOW:
        assert set(taken) == set(sequences)


def test_a_lower_incarnation_is_dropped(guard):
    # A node restarts; a datagram of its former incarnation arrives late. If accepted, the
    # node's old state, such as leaving, would be taken for its current one.
    assert guard.admit(stamp(1, incarnation=5), 0.0, 100.0) is None
    assert guard.admit(stamp(9, incarnation=4), 0.0, 100.0) == replay.OLD_INCARNATION


def test_a_recorded_frame_does_not_make_a_failed_node_appear_live(guard):
    # A node failed an hour ago. One of its frames is replayed to a node that
    # started later and has no window for it: grant requests would be sent to the
    # failed node.
    assert guard.admit(stamp(1), 0.0, 100.0 + 3600) == replay.STALE


def test_a_known_node_is_accepted_after_a_step_of_its_wall_clock(guard):
    assert guard.admit(stamp(1), 0.0, 100.0) is None
    assert guard.admit(stamp(2, wall_s=5000.0, elapsed_s=0.5), 0.5, 100.5) is None


def test_a_frame_that_is_too_late_is_dropped(guard):
    # A grant request is delayed in the network for a minute. The owner no longer knows that
    # it was released, and would grant it again although it is not used.
    assert guard.admit(stamp(2, wall_s=160.0, elapsed_s=60.0), 60.0, 160.0) is None
    assert guard.admit(stamp(1, elapsed_s=0.0), 60.1, 160.1) == replay.STALE


def test_a_restarted_node_with_a_lower_incarnation_is_accepted_after_the_retention_time(guard):
    # A replaced node keeps its name and its clock is slightly behind. Peers that
    # knew the former incarnation would drop the frames of the new one forever.
    assert guard.admit(stamp(1, incarnation=5), 0.0, 100.0) is None
    later = replay.SENDER_RETENTION_S + 1
    assert guard.admit(stamp(1, incarnation=4, wall_s=100 + later), later, 100 + later) is None


def test_the_number_of_senders_is_bounded(guard):
    for number in range(replay.MAX_SENDERS):
        guard.admit(stamp(1, sender=f"n{number}"), 0.0, 100.0)
    assert guard.admit(stamp(1, sender="late"), 0.0, 100.0) == replay.TOO_MANY_SENDERS
    later = replay.SENDER_RETENTION_S + 1
    assert guard.admit(stamp(1, wall_s=100 + later, sender="late"), later, 100 + later) is None


def test_fresh_sender_with_a_lower_incarnation_is_notified_at_intervals(guard):
    guard.admit(stamp(1, incarnation=5), 0.0, 100.0)
    late = stamp(1, incarnation=4)
    assert guard.superseding_incarnation(late, 1.0, 100.0) == 5
    assert guard.superseding_incarnation(late, 1.1, 100.0) is None
    assert guard.superseding_incarnation(late, 2.0, 100.0) == 5


def test_recorded_frame_of_a_former_incarnation_is_not_answered(guard):
    guard.admit(stamp(1, incarnation=5), 0.0, 100.0)
    assert guard.superseding_incarnation(stamp(1, incarnation=4), 50.0, 150.0) is None
    assert (
        guard.superseding_incarnation(stamp(1, incarnation=4, sender="new"), 50.0, 100.0) is None
    )
    assert guard.superseding_incarnation(stamp(2, incarnation=5), 50.0, 100.0) is None
