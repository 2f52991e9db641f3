"""The end of requests without an answer."""

import asyncio

import pytest

from hornbeamglade.core import outcomes
from hornbeamglade.routed import attemptlog, requestsinprogress
from tests import eventloop
from tests.routed import fakes

REFUSAL = outcomes.Refusal("node_leaving", 503, "-", retry_after_s=1.0)


def test_request_that_is_ended_times_out_with_the_first_refusal():
    async def test():
        timeout = asyncio.timeout(30.0)
        routed = fakes.plain_request()
        request = requestsinprogress.RequestInProgress(routed, attemptlog.AttemptLog(), timeout)
        with pytest.raises(TimeoutError):
            async with timeout:
                request.end(REFUSAL)
                request.end(outcomes.Refusal("other", 503, "-"))
                await asyncio.sleep(30.0)
        return request.refusal

    assert eventloop.run(test()) is REFUSAL


def test_request_whose_time_is_over_is_not_ended_again():
    async def test():
        timeout = asyncio.timeout(0.0)
        routed = fakes.plain_request()
        request = requestsinprogress.RequestInProgress(routed, attemptlog.AttemptLog(), timeout)
        with pytest.raises(TimeoutError):
            async with timeout:
                await asyncio.sleep(30.0)
        request.end(REFUSAL)
        return request.refusal

    assert eventloop.run(test()) is None
