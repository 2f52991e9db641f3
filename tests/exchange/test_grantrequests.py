import pytest

from hornbeamglade.exchange import grantrequests, messages, transport
from hornbeamglade.speeds import pacemeter
from tests.exchange import lossynetwork

KIND = messages.GrantKind
OWNER = transport.Peer("b", transport.Endpoint("127.0.0.1", 1))


@pytest.fixture
def tracker():
    return grantrequests.GrantTracker(1)


def open_request(tracker):
    grant_id = tracker.open(OWNER, lossynetwork.make_request(), 0.0)
    tracker.advance(grant_id, 0.0)
    return grant_id


def make_response(grant_id, kind, incarnation=1):
    return messages.GrantResponse(grant_id, kind, incarnation=incarnation)


def released_ids(outgoing):
    return [grant.grant_id for out in outgoing for grant in out.message.released]


def test_an_unanswered_request_is_sent_again_with_the_same_grant_id(tracker):
    grant_id = open_request(tracker)
    assert tracker.advance(grant_id, 0.05) == ()
    (again,) = tracker.advance(grant_id, 0.1)
    assert again.message.grant_id == grant_id


def test_request_without_a_response_is_abandoned_and_released(tracker):
    grant_id = open_request(tracker)
    assert released_ids(tracker.advance(grant_id, grantrequests.RESPONSE_TIMEOUT_S)) == [grant_id]
    assert tracker.outcome(grant_id) == grantrequests.NoResponse("b")


def test_a_late_grant_is_released_immediately(tracker):
    # The owner granted after the request had gone to another replica. Every scheduled
    # release may have been lost; the owner would reserve memory that is not used.
    grant_id = open_request(tracker)
    tracker.advance(grant_id, grantrequests.RESPONSE_TIMEOUT_S)
    tracker.close(grant_id, 0.3)
    late = make_response(grant_id, KIND.GRANTED)
    assert released_ids(tracker.on_response(OWNER, late, 9.0)) == [grant_id]


def test_a_release_is_repeated_with_the_next_report_only(tracker):
    grant_id = open_request(tracker)
    tracker.on_response(OWNER, make_response(grant_id, KIND.GRANTED), 0.0)
    assert released_ids(tracker.close(grant_id, 0.0)) == [grant_id]
    reports = [
        released_ids(tracker.tick(report * grantrequests.REPORT_INTERVAL_S)) for report in range(4)
    ]
    assert reports == [[grant_id], [], [], []]


def test_reports_for_one_owner_share_a_message(tracker):
    for _ in range(messages.MAX_PROGRESS + 1):
        tracker.on_response(OWNER, make_response(open_request(tracker), KIND.GRANTED), 0.0)
    reports = tracker.tick(grantrequests.FIRST_REPORT_AFTER_S)
    assert [len(out.message.running) for out in reports] == [messages.MAX_PROGRESS, 1]


def test_a_young_grant_is_not_reported(tracker):
    tracker.on_response(OWNER, make_response(open_request(tracker), KIND.GRANTED), 0.0)
    assert tracker.tick(grantrequests.FIRST_REPORT_AFTER_S - 0.1) == ()
    (report,) = tracker.tick(
        grantrequests.FIRST_REPORT_AFTER_S - 0.1 + grantrequests.REPORT_INTERVAL_S
    )
    assert len(report.message.running) == 1


def test_a_reordered_queued_response_does_not_undo_a_grant(tracker):
    grant_id = open_request(tracker)
    tracker.on_response(OWNER, make_response(grant_id, KIND.GRANTED), 0.1)
    tracker.on_response(OWNER, make_response(grant_id, KIND.QUEUED), 0.2)
    assert tracker.advance(grant_id, 9.0) == ()
    assert tracker.outcome(grant_id).kind is KIND.GRANTED


def test_a_response_to_a_former_incarnation_is_ignored(tracker):
    # The node restarted and its grant ids start from 1 again; a response to request 1 of
    # the former incarnation arrives. If accepted, a request would run without a grant.
    grant_id = open_request(tracker)
    tracker.on_response(OWNER, make_response(grant_id, KIND.GRANTED, incarnation=0), 0.1)
    assert tracker.outcome(grant_id) is None


def test_a_response_from_another_node_is_ignored(tracker):
    grant_id = open_request(tracker)
    other = transport.Peer("c", OWNER.endpoint)
    tracker.on_response(other, make_response(grant_id, KIND.GRANTED), 0.1)
    assert tracker.outcome(grant_id) is None


def test_request_queued_at_an_owner_that_fails_is_abandoned(tracker):
    grant_id = open_request(tracker)
    tracker.on_response(OWNER, make_response(grant_id, KIND.QUEUED), 0.1)
    tracker.advance(grant_id, 1.0)
    assert tracker.outcome(grant_id) is None
    tracker.advance(grant_id, 0.1 + grantrequests.QUEUED_TIMEOUT_S)
    assert tracker.outcome(grant_id) == grantrequests.NoResponse("b")


def test_progress_goes_to_the_new_owner_after_a_redirect(tracker):
    grant_id = open_request(tracker)
    tracker.on_response(OWNER, make_response(grant_id, KIND.GRANTED), 0.0)
    tracker.record_progress(grant_id, 40)
    new = transport.Peer("c", OWNER.endpoint)
    tracker.redirect(lossynetwork.REPLICA, new)
    (report,) = tracker.tick(1.0)
    assert report.peer == new
    assert report.message.running == (messages.GrantProgress(grant_id, lossynetwork.REPLICA, 40),)


def test_first_pace_of_a_stream_is_reported_before_the_next_regular_report(tracker):
    """An engine that lives for 20 s was used without its pace for half of that time."""
    tracker.tick(0.0)
    grant_id = open_request(tracker)
    tracker.on_response(OWNER, make_response(grant_id, KIND.GRANTED), 0.0)
    meter = pacemeter.PaceMeter(tokens_per_event=4)
    for number in range(pacemeter.READY_EVENTS):
        tracker.record_progress(grant_id, 4 * number, meter)
        meter.record(number / 25)
    assert tracker.tick(0.3) == ()
    tracker.record_progress(grant_id, 32, meter)
    (report,) = tracker.tick(0.35)
    expected = messages.GrantProgress(grant_id, lossynetwork.REPLICA, 32, 10_000, 40)
    assert report.message.running == (expected,)
    tracker.record_progress(grant_id, 36, meter)
    assert tracker.tick(0.4) == ()
    (release,) = tracker.close(grant_id, 0.4)
    assert release.message.released == (messages.GrantRelease(grant_id, 36, 10_000, 0),)
