import pytest

from hornbeamglade.callers import problems
from hornbeamglade.core import outcomes
from hornbeamglade.node import onceonly
from tests.node import fakeparts

ANSWER = problems.Response(201, (("Content-Type", "text/plain"),), b"held")


@pytest.fixture
def parts():
    return fakeparts.Parts()


def test_a_claimed_request_may_be_dispatched_again_only_if_it_was_not_run(parts):
    dispatch = parts.begin()
    assert (dispatch.is_recorded, dispatch.is_repeatable) == (True, False)
    assert [dispatch.may_dispatch(), dispatch.may_dispatch()] == [True, False]
    dispatch.mark_not_run()
    assert [dispatch.may_dispatch(), dispatch.may_dispatch()] == [True, False]


def test_a_request_without_a_key_is_also_dispatched_once(parts):
    dispatch = parts.begin(key="")
    assert not dispatch.is_recorded
    assert [dispatch.may_dispatch(), dispatch.may_dispatch()] == [True, False]


def test_a_key_is_required_if_the_service_is_configured_so(parts):
    assert parts.begin(key="", idempotency_key="required").code == "idempotency_key_required"


@pytest.mark.parametrize("options", [{"repeatable": True}, {"method": "GET"}])
def test_a_repeatable_request_needs_no_claim(parts, options):
    dispatch = parts.begin(**options)
    assert not dispatch.is_recorded
    assert [dispatch.may_dispatch(), dispatch.may_dispatch()] == [True, True]


def test_a_key_that_is_too_long_is_refused(parts):
    assert parts.begin(key="k" * 256).code == "idempotency_key_invalid"


def test_a_retry_gets_the_recorded_response(parts):
    dispatch = parts.begin()
    dispatch.may_dispatch()
    dispatch.record_response(ANSWER)
    dispatch.close()
    replayed = parts.begin()
    assert (replayed.status, replayed.body) == (201, b"held")
    assert dict(replayed.headers)["Idempotent-Replayed"] == "true"
    assert parts.begin(body=b"another").http_status == 422


def test_a_request_that_was_never_sent_frees_its_key(parts):
    parts.begin().close()
    assert isinstance(parts.begin(), onceonly.DispatchPermit)


def test_a_request_that_was_not_run_frees_its_key(parts):
    dispatch = parts.begin()
    dispatch.may_dispatch()
    dispatch.mark_not_run()
    dispatch.close()
    assert isinstance(parts.begin(), onceonly.DispatchPermit)


def test_a_request_that_may_have_run_is_reported_as_unknown(parts):
    """A request was sent and its response was lost: a second one would act twice."""
    dispatch = parts.begin()
    dispatch.may_dispatch()
    dispatch.close()
    retried = parts.begin()
    assert retried.run is outcomes.RunStatus.UNKNOWN


def test_a_dispatch_after_a_long_pause_is_barred_and_frees_its_key(parts):
    dispatch = parts.begin()
    parts.clock.advance(10_000.0)
    assert not dispatch.may_dispatch()
    dispatch.close()
    assert isinstance(parts.begin(), onceonly.DispatchPermit)


def test_a_scope_releases_everything_once(parts):
    scope = parts.scope()
    scope.end("finished")
    scope.end("failed")
    scope.release_grant()
    assert parts.calls == ["release", "leave"]
