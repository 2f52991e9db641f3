"""What is asked of servers whose connections have ended without a stated end."""

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.engines import control, models
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.replicas import replicalist
from hornbeamglade.routed import endinquiry, runends
from hornbeamglade.routes import models as routemodels
from tests import eventloop
from tests.routed import fakes

SERVER = replicamodels.Replica("e0", "s", "10.0.0.1:1", "a", 8)
ENGINES = routemodels.Service("s", "/h", 100, fakes.ENGINE)


class FakeAvailability:
    """The list of replicas; ``evacuated`` failure domains."""

    def __init__(self):
        self.replicas = replicalist.ReplicaList()
        self.replicas.replace((SERVER,), 1)
        self.evacuated = set()

    def is_evacuated(self, replica):
        return replica.failure_domain in self.evacuated


class FakeEngines(control.EngineControl):
    """Records the calls, and states how much of its notice is left."""

    def __init__(self, calls, leaves_in_s):
        self._calls = calls
        self._leaves_in_s = leaves_in_s

    async def report(self, address, *, new_only=False):
        self._calls.append(("report", address, new_only))
        return models.EngineReport(100, 0, 0, (), True, self._leaves_in_s)

    async def copy_kv_cache(self, address, request_id, to, *, is_last, timeout_s):
        raise NotImplementedError

    async def drop_copy(self, address, name):
        raise NotImplementedError


class Setup:
    """An inquiry with fake surroundings, in which nothing gives the server cause to close."""

    def __init__(self, service=None, leaves_in_s=None, stays_open=True, accepts=True):
        self.calls = []
        self.clock = clocks.ManualClock()
        self.available = FakeAvailability()
        self.list_age_s = 0.5
        self._stays_open_answer = stays_open
        self._accepts = accepts
        self.routed = fakes.routed_request(self.clock, fakes.route(), service)
        self.inquiry = endinquiry.EndInquiry(
            self.available,
            FakeEngines(self.calls, leaves_in_s),
            self._accepts_another,
            self._stays_open,
            lambda: self.list_age_s,
            self.clock,
        )

    async def _accepts_another(self, address):
        self.calls.append(("accept", address))
        return self._accepts

    async def _stays_open(self, address, seconds):
        self.calls.append(("connect", address, seconds))
        return self._stays_open_answer

    def is_complete(self, order=runends.StopOrder.NONE):
        return eventloop.run(self.inquiry.is_complete(self.routed, SERVER, order))


@pytest.mark.parametrize("accepts", [True, False])
def test_server_without_cause_to_close_is_asked_only_whether_it_listens(accepts):
    """A server that is killed closes its connections in order, and a part looked whole."""
    setup = Setup(ENGINES, accepts=accepts)
    assert setup.is_complete() is accepts
    assert setup.calls == [("accept", SERVER.address)]


def leave(setup):
    setup.available.replicas.record_leaving(SERVER.id)


def evacuate(setup):
    setup.available.evacuated.add("a")


def lose_the_store(setup):
    setup.list_age_s = runends.MAX_LIST_AGE_S + 1.0


def take_over(setup):
    other = replicamodels.Replica("e1", "s", SERVER.address, "a", 8)
    setup.available.replicas.update((other,), (), 2)


def restart(setup):
    again = replicamodels.Replica("e0@9", "s", "10.0.0.1:2", "a", 8, started_ms=9, name="e0")
    setup.available.replicas.update((again,), (), 2)


def run_out_of_time(setup):
    setup.clock.advance(fakes.route().timeout_s)


@pytest.mark.parametrize("cause", [leave, evacuate, lose_the_store])
@pytest.mark.parametrize("stays_open", [False, True])
def test_server_with_cause_to_close_is_asked_whether_it_still_serves(cause, stays_open):
    """Guards against a part that is taken for a whole response."""
    setup = Setup(stays_open=stays_open)
    cause(setup)
    assert setup.is_complete() is stays_open
    assert setup.calls == [("connect", SERVER.address, runends.EXIT_S)]


@pytest.mark.parametrize("cause", [take_over, restart, run_out_of_time])
def test_response_is_incomplete_where_no_answer_could_show_otherwise(cause):
    """Another server may answer at the address, and time that is over does not come back."""
    setup = Setup()
    cause(setup)
    assert (setup.is_complete(), setup.calls) == (False, [])


def test_engine_is_asked_for_its_report_on_a_new_connection():
    """A report on a kept connection may be an earlier one, of before the end."""
    setup = Setup(ENGINES, 1.5, stays_open=False)
    leave(setup)
    assert setup.is_complete()
    assert setup.calls == [("report", SERVER.address, True)]


@pytest.mark.parametrize("leaves_in_s", [None, 0.4])
@pytest.mark.parametrize("stays_open", [False, True])
def test_engine_whose_report_does_not_tell_is_asked_like_any_other_server(leaves_in_s, stays_open):
    setup = Setup(ENGINES, leaves_in_s, stays_open=stays_open)
    leave(setup)
    assert setup.is_complete() is stays_open
    assert [call for call, *_ in setup.calls] == ["report", "connect"]


@pytest.mark.parametrize("order", [runends.StopOrder.OBEYED, runends.StopOrder.UNANSWERED])
def test_nothing_is_asked_where_the_run_may_have_been_stopped(order):
    setup = Setup(ENGINES, 1.5)
    leave(setup)
    assert (setup.is_complete(order), setup.calls) == (False, [])
