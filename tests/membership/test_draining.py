import hypothesis
from hypothesis import stateful, strategies

from hornbeamglade.membership import draining

TTL_S, PROPAGATION_S = 30.0, 5.0
Phase = draining.Phase


def test_callers_with_a_cached_address_list_are_served_until_its_ttl_has_passed():
    # A caller fetches addresses just before the stop and connects 29 s later. A node that
    # closes its listener as soon as it is idle would refuse the connection.
    stop = draining.Draining(TTL_S, PROPAGATION_S)
    stop.begin(0.0)
    assert stop.step(29.0, in_flight=0).accepts_requests


def test_a_long_stream_is_waited_for():
    stop = draining.Draining(TTL_S, PROPAGATION_S)
    stop.begin(0.0)
    assert stop.step(3600.0, in_flight=1).phase is Phase.LEAVING
    assert stop.step(3601.0, in_flight=0).phase is Phase.CLOSING


def test_a_second_signal_does_not_abort_streams():
    stop = draining.Draining(TTL_S, PROPAGATION_S)
    assert stop.begin(0.0)
    assert not stop.begin(1.0)
    assert stop.step(2.0, in_flight=1) == draining.Status(Phase.LEAVING)


def test_a_request_that_arrives_before_the_listener_closes_is_finished():
    # A connection arrives after the decision to close at a count of zero, and before the
    # listener is closed. Exiting at once would abort it.
    stop = draining.Draining(TTL_S, PROPAGATION_S)
    stop.begin(0.0)
    assert stop.step(40.0, in_flight=0).phase is Phase.CLOSING
    assert stop.step(40.1, in_flight=0).phase is Phase.CLOSING
    stop.listener_closed()
    assert stop.step(40.2, in_flight=1).phase is Phase.CLOSING
    assert stop.step(50.0, in_flight=0).phase is Phase.DONE


def test_the_hard_limit_ends_the_stop_and_counts_the_aborted_requests():
    stop = draining.Draining(TTL_S, PROPAGATION_S, hard_limit_s=60.0)
    stop.begin(0.0)
    assert stop.step(59.0, in_flight=2).phase is Phase.LEAVING
    assert stop.step(60.0, in_flight=2) == draining.Status(Phase.DONE, aborted_requests=2)


class DrainingMachine(stateful.RuleBasedStateMachine):
    """Requests arrive and end around a planned stop, and none is aborted."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.in_flight = 0
        self.began_at = None
        self.is_listening = True
        self.draining = draining.Draining(TTL_S, PROPAGATION_S)

    @stateful.rule(seconds=strategies.floats(0, 40))
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.rule()
    def signal(self):
        if self.draining.begin(self.now):
            assert self.began_at is None
            self.began_at = self.now

    @stateful.precondition(lambda self: self.is_listening)
    @stateful.rule()
    def request_arrives(self):
        self.in_flight += 1

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule()
    def request_ends(self):
        self.in_flight -= 1

    @stateful.rule()
    def close_listener_in_closing_phase(self):
        if self.draining.step(self.now, self.in_flight).phase is Phase.CLOSING:
            self.is_listening = False
            self.draining.listener_closed()

    @stateful.invariant()
    def nothing_is_aborted_and_cached_addresses_are_served(self):
        status = self.draining.step(self.now, self.in_flight)
        assert status.aborted_requests == 0
        assert status.closes_connections == (self.began_at is not None)
        if status.phase is Phase.DONE:
            assert self.in_flight == 0
            assert not self.is_listening
        if self.began_at is None or self.now < self.began_at + TTL_S:
            assert status.accepts_requests


TestDrainingMachine = DrainingMachine.TestCase
TestDrainingMachine.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=25
)
