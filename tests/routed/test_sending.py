"""Sending a request again to an address at which it was refused."""

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.http1 import clientpool
from hornbeamglade.replicas import models
from hornbeamglade.routed import attemptlog, calls, sending
from hornbeamglade.standins import routed, routedfaults
from tests.routed import fakes


async def test_second_copy_of_a_refusal_is_not_the_response_to_the_next_attempt_at_its_address():
    """The next attempt, which the new replica runs, would count as not run."""
    clock = clocks.SystemClock()
    server = routed.RoutedStandin("e2")
    server.faults = routedfaults.RoutedFaults(repeats_refusals=True)
    await server.start()
    pool = clientpool.ClientPool(clock)
    sender = fakes.sender(pool, clock)
    request, log = fakes.routed_request(clock, fakes.route()), attemptlog.AttemptLog()

    async def send(name):
        replica = models.Replica(name, "s", server.address, "a", 8)
        log.start(replica, None, clock.now())
        response = await sender.send(request, replica, calls.Dispatch(name, None, 5.0), log)
        log.record_end(name, getattr(response, "run", None), True, clock.now())
        return response

    try:
        refused, answered = await send("e1"), await send("e2")
        assert isinstance(answered, sending.StartedResponse)
        assert await sender.read_body(answered)
    finally:
        pool.prune(())
        await server.stop()
    assert refused.run == outcomes.RunStatus.NOT_RUN
    assert answered.head.status == 200
    assert len(server.ledger) == 1
