"""One holder at a time, and no earlier order after a later one, whatever fails.

At each call of the table, the script of a rule may inject an event: a fault, a pause, or
another holder's call. The engine does not check fencing numbers; the state machine tracks the
orders in flight to it.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from hornbeamglade import leases
from hornbeamglade.core import clocks
from hornbeamglade.store import memory
from tests.store import interruption

TERM_S = 10.0
MARGIN_S = 1.0
FLIGHT_S = 4.0
HOLDERS = range(3)
PAUSE_S_BY_EVENT = {"short": 1.5, "pause": 4.0, "long_pause": 12.0}
EVENTS = ["heal", "nothing", *interruption.FAULTS_BY_EVENT, *PAUSE_S_BY_EVENT, "deliver", "other"]
SCRIPTS = st.lists(st.sampled_from(EVENTS), max_size=6)


class LeaseMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock(1000.0)
        self.platform = memory.MemoryPlatform(self.clock)
        self.table = interruption.InterruptedTable(self.platform, self.interrupt)
        self.start_count = 0
        self.holders = [self.new_holder() for _ in HOLDERS]
        self.script = []
        self.busy = []
        self.orders = []  # (arrival time, fencing)
        self.newest_arrived = 0
        self.holder_by_fencing = {}

    def new_holder(self):
        self.start_count += 1
        holder = f"n{self.start_count}"
        return leases.LeaseHolder(self.table, self.clock, "pool", holder, TERM_S, FLIGHT_S)

    def interrupt(self):
        event = self.script.pop(0) if self.script else "nothing"
        if event in interruption.FAULTS_BY_EVENT:
            self.platform.set_faults(interruption.FAULTS_BY_EVENT[event])
        self.advance(PAUSE_S_BY_EVENT.get(event, 0.0))
        if event == "deliver":
            self.platform.deliver_stalled()
        if event == "other":
            idle = [number for number in HOLDERS if number not in self.busy]
            if idle:
                self.call(idle[0], "acquire")
        self.check_one_holder()

    def advance(self, seconds):
        self.clock.advance(seconds)
        due = sorted(order for order in self.orders if order[0] <= self.clock.now())
        self.orders = [order for order in self.orders if order not in due]
        for _, fencing in due:
            assert fencing >= self.newest_arrived
            self.newest_arrived = fencing

    def call(self, number, method):
        self.busy.append(number)
        outcome = getattr(self.holders[number], method)()
        self.busy.remove(number)
        if isinstance(outcome, leases.Held):
            holder = self.holders[number]
            assert self.holder_by_fencing.setdefault(outcome.fencing, holder) is holder

    @stateful.invariant()
    def check_one_holder(self):
        assert sum(holder.may_act(0.0) for holder in self.holders) <= 1

    @stateful.rule(
        number=st.sampled_from(HOLDERS),
        method=st.sampled_from(["acquire", "acquire", "acquire", "renew", "release"]),
        script=SCRIPTS,
    )
    def call_holder(self, number, method, script):
        self.script = script
        self.call(number, method)

    @stateful.rule(number=st.sampled_from(HOLDERS), flight_s=st.sampled_from([0.0, FLIGHT_S]))
    def send_order(self, number, flight_s):
        holder = self.holders[number]
        if holder.may_act(MARGIN_S, engine_checks_fencing=False):
            self.orders.append((self.clock.now() + flight_s, holder.fencing))
            self.advance(0.0)

    @stateful.rule(event=st.sampled_from(EVENTS))
    def inject(self, event):
        self.script = [event]
        self.interrupt()

    @stateful.rule(number=st.sampled_from(HOLDERS))
    def crash(self, number):
        self.holders[number] = self.new_holder()

    def teardown(self):
        """After all faults have ended, a waiting holder gets the lease within a term."""
        self.script = []
        self.platform.set_faults(memory.Faults())
        self.platform.deliver_stalled()
        self.call(0, "acquire")
        self.advance(2 * TERM_S)
        assert isinstance(self.holders[0].acquire(), leases.Held)


LeaseMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=800, stateful_step_count=15
)
test_lease_under_faults = LeaseMachine.TestCase
