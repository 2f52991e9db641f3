"""Refusals of replicas, received in all ways in which a request may have run all the same."""

import pytest

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.http1 import clientpool
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import attemptlog, calls, sending
from tests.http1 import raw
from tests.routed import fakes

ANSWER = b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok"
NOT_RUN, UNKNOWN = outcomes.RunStatus.NOT_RUN, outcomes.RunStatus.UNKNOWN


def refusal(status=503, request_id=None, length=4):
    named = f"Attempt-Id: {request_id}\r\n" if request_id else ""
    marked = "" if status == 421 else "Not-Executed: 1\r\n"
    head = f"HTTP/1.1 {status} No\r\n{named}{marked}Content-Length: {length}\r\n\r\n"
    return head.encode() + b"full"


async def last_run_status(*responses):
    """Send requests ``r0``, ``r1``, ... at one replica; return what is known of the last."""
    server = raw.ScriptedServer(*responses)
    address = await server.start()
    clock = clocks.SystemClock()
    sender = fakes.sender(clientpool.ClientPool(clock), clock)
    replica = replicamodels.Replica("i0", "s", address, "a", 8)
    for number in range(len(responses)):
        routed = fakes.routed_request(clock, fakes.route(), request_id=f"r{number}")
        dispatch = calls.Dispatch("i0", None, 5.0)
        response = await sender.send(routed, replica, dispatch, attemptlog.AttemptLog())
        if isinstance(response, sending.StartedResponse):
            await sender.read_body(response)
    server.stop()
    return response.run


async def broken_off(_reader, writer):
    writer.write(refusal(request_id="r0", length=9))
    await writer.drain()


@pytest.mark.parametrize("status", [503, 429, 421])
async def test_refusal_without_an_id_proves_nothing_on_a_connection_that_was_used(status):
    assert await last_run_status(ANSWER, refusal(status)) is UNKNOWN


@pytest.mark.parametrize("status", [503, 429, 421])
async def test_first_response_on_a_connection_belongs_to_its_request(status):
    assert await last_run_status(refusal(status)) is NOT_RUN


@pytest.mark.parametrize("status", [503, 429, 421])
async def test_refusal_with_the_id_of_the_request_is_its_own_on_any_connection(status):
    assert await last_run_status(ANSWER, refusal(status, "r1")) is NOT_RUN


async def test_refusal_that_breaks_off_proves_nothing():
    assert await last_run_status(broken_off) is UNKNOWN


async def test_response_of_another_status_is_no_refusal():
    """A replica marks its answer as not run, though it has run the request."""
    assert await last_run_status(refusal(200, "r0")) is UNKNOWN
    assert await last_run_status(refusal(500, "r0")) is UNKNOWN


@pytest.mark.parametrize("status", [503, 429, 421])
async def test_refusal_with_the_proof_of_a_response_proves_nothing(status):
    """A head with the fields of an answer and of a refusal says both."""
    sealed = refusal(status, "r0").replace(b"\r\n", b"\r\nResponse-Seal: s\r\n", 1)
    assert await last_run_status(sealed) is UNKNOWN


@pytest.mark.parametrize("ids", [b"r0\r\nAttempt-Id: r9", b"r9\r\nAttempt-Id: r0"])
async def test_refusal_with_the_ids_of_two_requests_proves_nothing(ids):
    assert await last_run_status(refusal(503, "r0").replace(b"r0", ids)) is UNKNOWN
