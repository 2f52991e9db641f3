import pytest

from hornbeamglade.exchange import grantrequests, messages, transport
from tests.exchange import lossynetwork

KIND = messages.GrantKind
OWNER = transport.Peer("b", transport.Endpoint("127.0.0.1", 1))


@pytest.fixture
def tracker():
    return grantrequests.GrantTracker(1)


def opened(tracker):
    number = tracker.open(OWNER, lossynetwork.make_ask(), 0.0)
    tracker.due(number, 0.0)
    return number


def answer(number, kind, incarnation=1):
    return messages.GrantResponse(number, kind, incarnation=incarnation)


def released(outgoing):
    return [grant.grant_id for out in outgoing for grant in out.message.released]


def test_an_unanswered_ask_is_sent_again_under_its_number(tracker):
    number = opened(tracker)
    assert tracker.due(number, 0.05) == ()
    (again,) = tracker.due(number, 0.1)
    assert again.message.grant_id == number


def test_silence_gives_the_ask_up_and_returns_it(tracker):
    number = opened(tracker)
    assert released(tracker.due(number, grantrequests.RESPONSE_TIMEOUT_S)) == [number]
    assert tracker.outcome(number) == grantrequests.NoResponse("b")


def test_a_late_grant_is_returned_at_once(tracker):
    # The owner granted after the caller had moved on to another replica. Every
    # scheduled return may have been lost; the owner would hold memory for nobody.
    number = opened(tracker)
    tracker.due(number, grantrequests.RESPONSE_TIMEOUT_S)
    tracker.close(number, 0.3)
    late = answer(number, KIND.GRANTED)
    assert released(tracker.on_response(OWNER, late, 9.0)) == [number]


def test_a_return_goes_with_the_next_reports_and_then_ends(tracker):
    number = opened(tracker)
    tracker.on_response(OWNER, answer(number, KIND.GRANTED), 0.0)
    assert released(tracker.close(number, 0.0)) == [number]
    reports = [
        released(tracker.tick(report * grantrequests.REPORT_INTERVAL_S)) for report in range(4)
    ]
    assert reports == [[number], [], [], []]


def test_reports_for_one_owner_share_a_message(tracker):
    for _ in range(messages.MAX_PROGRESS + 1):
        tracker.on_response(OWNER, answer(opened(tracker), KIND.GRANTED), 0.0)
    reports = tracker.tick(grantrequests.FIRST_REPORT_AFTER_S)
    assert [len(out.message.running) for out in reports] == [messages.MAX_PROGRESS, 1]


def test_a_grant_is_not_reported_before_it_has_something_to_tell(tracker):
    tracker.on_response(OWNER, answer(opened(tracker), KIND.GRANTED), 0.0)
    assert tracker.tick(grantrequests.FIRST_REPORT_AFTER_S - 0.1) == ()
    (report,) = tracker.tick(
        grantrequests.FIRST_REPORT_AFTER_S - 0.1 + grantrequests.REPORT_INTERVAL_S
    )
    assert len(report.message.running) == 1


def test_an_overtaken_queued_does_not_undo_a_grant(tracker):
    number = opened(tracker)
    tracker.on_response(OWNER, answer(number, KIND.GRANTED), 0.1)
    tracker.on_response(OWNER, answer(number, KIND.QUEUED), 0.2)
    assert tracker.due(number, 9.0) == ()
    assert tracker.outcome(number).kind is KIND.GRANTED


def test_an_answer_to_a_former_run_is_not_taken(tracker):
    # The node restarted and numbers its asks from 1 again; an answer to ask 1 of the
    # former run arrives. Taken, a request would run without leave.
    number = opened(tracker)
    tracker.on_response(OWNER, answer(number, KIND.GRANTED, incarnation=0), 0.1)
    assert tracker.outcome(number) is None


def test_an_answer_of_a_node_that_was_not_asked_is_not_taken(tracker):
    number = opened(tracker)
    stranger = transport.Peer("c", OWNER.endpoint)
    tracker.on_response(stranger, answer(number, KIND.GRANTED), 0.1)
    assert tracker.outcome(number) is None


def test_an_owner_that_dies_while_we_queue_is_given_up(tracker):
    number = opened(tracker)
    tracker.on_response(OWNER, answer(number, KIND.QUEUED), 0.1)
    tracker.due(number, 1.0)
    assert tracker.outcome(number) is None
    tracker.due(number, 0.1 + grantrequests.QUEUED_TIMEOUT_S)
    assert tracker.outcome(number) == grantrequests.NoResponse("b")


def test_progress_goes_to_the_new_owner_after_a_redirect(tracker):
    number = opened(tracker)
    tracker.on_response(OWNER, answer(number, KIND.GRANTED), 0.0)
    tracker.record_progress(number, 40)
    new = transport.Peer("c", OWNER.endpoint)
    tracker.redirect(lossynetwork.REPLICA, new)
    (report,) = tracker.tick(1.0)
    assert report.peer == new
    assert report.message.running == (messages.GrantProgress(number, lossynetwork.REPLICA, 40),)
