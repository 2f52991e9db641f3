"""Outcomes of repeated requests with the same idempotency key."""

import pytest

from hornbeamglade import claims
from hornbeamglade.core import clocks, codederrors, outcomes
from hornbeamglade.store import memory

SETTINGS = claims.ClaimSettings(inline_bytes=4)
KEY = claims.ClaimKey("front-desk", "counter", "hold-17")


@pytest.fixture
def clock():
    return clocks.ManualClock(1000.0)


@pytest.fixture
def platform(clock):
    return memory.MemoryPlatform(clock)


@pytest.fixture
def nodes(platform, clock):
    return [claims.ClaimStore(platform, platform, clock, n, SETTINGS) for n in ("n1", "n2")]


def granted(node):
    outcome = node.claim(KEY, "f")
    assert isinstance(outcome, claims.Granted)
    return outcome.claim


def test_other_node_sees_request_in_progress_then_unknown(nodes, clock):
    granted(nodes[0])
    assert nodes[1].claim(KEY, "f") == claims.InProgress(SETTINGS.retry_after_s)
    clock.advance(SETTINGS.in_progress_s)
    assert nodes[1].claim(KEY, "f") == claims.OutcomeUnknown()


@pytest.mark.parametrize("body", [b"", b"1\xff", b"a long answer"])
def test_recorded_answer_is_returned_again(nodes, body):
    answer = claims.RecordedAnswer(200, "text/plain", body)
    assert nodes[0].finish(granted(nodes[0]), answer)
    assert nodes[1].claim(KEY, "f") == claims.Recorded(answer)


def test_unknown_outcome_is_reported_at_once(nodes):
    nodes[0].mark_unknown(granted(nodes[0]))
    outcome = nodes[1].claim(KEY, "f")
    assert outcome.refusal.run is outcomes.RunStatus.UNKNOWN


def test_other_request_with_the_key_is_refused(nodes):
    granted(nodes[0])
    refusal = nodes[1].claim(KEY, "other").refusal
    assert (refusal.http_status, refusal.run) == (422, outcomes.RunStatus.NOT_RUN)


def test_released_key_may_be_claimed_again(nodes):
    nodes[0].release(granted(nodes[0]))
    assert nodes[1].may_dispatch(granted(nodes[1]))


def test_attempt_during_a_store_outage_is_refused_as_not_run(nodes, platform):
    platform.set_faults(memory.Faults(down=True))
    refusal = nodes[0].claim(KEY, "f")
    assert (refusal.http_status, refusal.run) == (503, outcomes.RunStatus.UNKNOWN)
    assert refusal.attempt_run is outcomes.RunStatus.NOT_RUN
    assert refusal.retry_after_s == SETTINGS.retry_after_s


def test_claim_with_a_lost_response_is_read_back(nodes, platform):
    platform.set_faults(memory.Faults(lose_answers=True))
    assert nodes[0].may_dispatch(granted(nodes[0]))


def test_row_of_a_newer_software_release_is_never_claimed(nodes, platform):
    platform.transact((), (memory.contract.Put(KEY.row_key, '{"state":"paused"}'),))
    assert nodes[0].claim(KEY, "f") == claims.OutcomeUnknown()


def test_refused_attempt_does_not_lock_its_key(nodes, platform):
    """A caller gets a retryable "not run" response and retries at the same node.

    The store had lost the responses, but the claim was written. The caller would be told "in
    progress" for a request that nobody runs.
    """
    platform.set_faults(memory.Faults(stall_writes=True))
    assert isinstance(nodes[0].claim(KEY, "f"), outcomes.Refusal)
    platform.set_faults(memory.Faults())
    platform.deliver_stalled()
    assert isinstance(nodes[1].claim(KEY, "f"), claims.InProgress)
    assert nodes[0].may_dispatch(granted(nodes[0]))


def test_late_end_does_not_overwrite_another_attempts_row(nodes, platform, clock):
    """A node is paused for longer than the retention period, then records its end.

    Its row was swept, and the key now belongs to another attempt, at the same version. That
    attempt's caller would get the answer to a much older request.
    """
    old = granted(nodes[0])
    clock.advance(SETTINGS.retention_s + 1)
    assert claims.sweep(platform, clock.wall(), SETTINGS) == 1
    new = granted(nodes[1])
    nodes[0].finish(old, claims.RecordedAnswer(200, "text/plain", b"old"))
    nodes[0].write_pending()
    answer = claims.RecordedAnswer(200, "text/plain", b"new")
    assert nodes[1].finish(new, answer)
    assert nodes[1].claim(KEY, "f") == claims.Recorded(answer)


def test_unreadable_recorded_answer_is_reported_as_run(nodes, platform):
    nodes[0].finish(granted(nodes[0]), claims.RecordedAnswer(200, "text/plain", b"a long answer"))
    platform.get = lambda key: memory.contract.Unavailable("down")
    assert nodes[1].claim(KEY, "f").run is outcomes.RunStatus.RAN


def test_part_of_a_recorded_answer_is_not_replayed(nodes, platform):
    """The store's response had no length and ended early, and callers got a part as whole."""
    nodes[0].finish(granted(nodes[0]), claims.RecordedAnswer(200, "text/plain", b"a long answer"))
    read = platform.get

    def get_part(key):
        found = read(key)
        return memory.contract.Found(memory.contract.Row(key, found.row.value[:8], 0))

    platform.get = get_part
    assert nodes[1].claim(KEY, "f").run is outcomes.RunStatus.RAN


def test_retention_must_exceed_the_time_in_progress():
    with pytest.raises(codederrors.CodedError, match="claims_retention_short"):
        claims.ClaimSettings(retention_s=10.0)


def test_claim_at_a_stalled_store_fails_after_one_write(nodes, platform):
    """Each write to the store times out after six seconds while a caller waits.

    The request could no longer be dispatched in time, so further writes would only prolong
    the wait.
    """
    platform.set_faults(memory.Faults(lose_writes=True, delay_s=6.0))
    assert nodes[0].claim(KEY, "f").attempt_run is outcomes.RunStatus.NOT_RUN
    assert platform.transaction_count == 1


def test_unreadable_conflict_is_not_reported_as_not_run(nodes, platform):
    """A caller loses its connection and retries while the store goes down.

    The claim conflicts with the first one, and then its row cannot be read. Told "not run",
    the caller would send the request again under a new key.
    """
    granted(nodes[0])
    platform.read = lambda key: memory.contract.Unavailable("down")
    refusal = nodes[1].claim(KEY, "f")
    assert (refusal.http_status, refusal.run) == (503, outcomes.RunStatus.UNKNOWN)


def test_paused_node_never_dispatches_late(nodes, clock):
    """A node is paused between its claim and the dispatch.

    When it resumes, its caller is long gone. A dispatch then would run the request with nobody
    to receive the answer.
    """
    claim = granted(nodes[0])
    clock.advance(SETTINGS.dispatch_within_s + 0.1)
    assert not nodes[0].may_dispatch(claim)


def test_claim_dispatches_once_unless_refused_as_not_run(nodes):
    claim = granted(nodes[0])
    assert nodes[0].may_dispatch(claim)
    assert not nodes[0].may_dispatch(claim)
    nodes[0].note_not_run(claim)
    assert nodes[0].may_dispatch(claim)
