"""Property test of two placers under faults.

No engine returns to an older revision, no stream is cut, the floor is kept, and the
newest revision is loaded in the end. While an order is sent, a script may pause its
sender and run the other node. Owners learn that a replica is closed after
``CLOSING_DELAY_S`` and keep it closed for ``CLOSING_TTL_S``.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from hornbeamglade import leases, placement
from hornbeamglade.core import clocks
from hornbeamglade.placement import virtualengines
from hornbeamglade.store import memory
from tests.placement import fakes
from tests.store import interruption

NODES = ("n1", "n2")
ENGINES = ("e0", "e1", "e2", "e3")
UNCHECKED = "e3"
MODELS = [("a",), ("b",), ("a", "b")]
CLOSING_DELAY_S = 4.0
CLOSING_TTL_S = 20.0
EVENTS = ["nothing", "pause", "long_pause", "other", "other_long", "configure"]
SETTINGS = placement.PlacerSettings()
ROLLOUT = placement.PlacementSettings(
    load_rate=placement.LoadRateSettings(loads_per_s=1.0), load_timeout_s=60.0, max_back_off_s=10.0
)


class PlacementMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock(1000.0)
        self.platform = memory.MemoryPlatform(self.clock)
        first = self.content(0, ("a",))
        self.engines = {
            name: fakes.engine(number, first, name != UNCHECKED, 7.0)
            for number, name in enumerate(ENGINES)
        }
        self.client = virtualengines.VirtualEngineClient(self.clock, self.engines.values())
        self.client.before_read = lambda: self.interrupt(None)
        self.client.before_permission = lambda: self.interrupt(None)
        self.client.after_permission = self.interrupt
        self.head = fakes.desired_state(0, first, self.engines)
        self.candidates = {"n1"}
        self.script = []
        self.busy = set()
        self.closing_by_engine = {}
        self.starts = 0
        self.placer_by_node = {node: self.placer(node) for node in NODES}

    def content(self, revision, models):
        return fakes.state(*models, adapters=[f"{revision}"])

    def placer(self, node):
        self.starts += 1
        lease = leases.LeaseHolder(
            self.platform, self.clock, "pool", f"{node}/{self.starts}", 30.0, SETTINGS.flight_s
        )
        rng = random.Random(self.starts)
        decisions = placement.Rollout(self.head, ROLLOUT, SETTINGS.flight_s, rng, self.clock.now())
        return placement.Placer(
            lease,
            decisions,
            self.client,
            lambda: node in self.candidates,
            lambda: None if self.platform.faults.down else self.head.revision,
            SETTINGS,
            self.clock,
        )

    def advance(self, seconds):
        self.clock.advance(seconds)
        now = self.clock.now()
        self.client.deliver(
            lambda delayed: (
                not delayed.engine.replica.checks_fencing
                and now >= delayed.sent_at + virtualengines.LATE_S
            )
        )
        for engine in self.engines.values():
            engine.advance(now)

    def interrupt(self, engine):
        event = self.script.pop() if self.script else "nothing"
        # An order to an engine without fencing checks arrives within a bounded time.
        is_bounded = engine is not None and not engine.replica.checks_fencing
        if event in ("pause", "long_pause") or is_bounded:
            self.advance(40.0 if event == "long_pause" and not is_bounded else 3.0)
        elif event == "configure":
            self.configure(0)
        elif event in ("other", "other_long"):
            self.advance(0.0 if event == "other" else 35.0)
            for node in set(NODES) - self.busy:
                self.candidates.add(node)
                self.run(node, 30 if event == "other_long" else 5)

    def run(self, node, count):
        if node in self.busy:
            return
        self.busy.add(node)
        for _ in range(count):
            self.advance(1.0)
            placer = self.placer_by_node[node]
            placer.step()
            self.announce_closed(placer.closed())
            self.check()
        self.busy.discard(node)

    def announce_closed(self, closed):
        now = self.clock.now()
        for name in closed:
            known_at, until = self.closing_by_engine.get(name, (0.0, 0.0))
            known_at = known_at if now < until else now + CLOSING_DELAY_S
            self.closing_by_engine[name] = (known_at, now + CLOSING_TTL_S)

    @stateful.invariant()
    def check(self):
        for name, engine in self.engines.items():
            revisions = [int(min(state.adapters)) for state in engine.applied_states]
            assert revisions == sorted(revisions), name
            assert engine.streams_cut == 0, name
        assert sum(engine.is_disrupted for engine in self.engines.values()) <= 1

    @stateful.rule(
        node=st.sampled_from(NODES),
        count=st.sampled_from([1, 5, 20, 60]),
        script=st.lists(st.sampled_from(EVENTS), max_size=6),
    )
    def run_with_script(self, node, count, script):
        self.script = script
        self.run(node, count)
        self.script = []

    @stateful.rule(models=st.sampled_from(range(len(MODELS))))
    def configure(self, models):
        revision = self.head.revision + 1
        self.head = fakes.desired_state(
            revision, self.content(revision, MODELS[models]), self.engines
        )

    @stateful.rule(node=st.sampled_from(NODES))
    def adopt_newest(self, node):
        self.placer_by_node[node].set_desired(self.head)

    @stateful.rule(candidates=st.sampled_from([{"n1"}, {"n2"}, {"n1", "n2"}, set()]))
    def choose_candidates(self, candidates):
        self.candidates = set(candidates)

    @stateful.rule(name=st.sampled_from(ENGINES), fault=st.sampled_from(fakes.Fault))
    def break_engine(self, name, fault):
        self.engines[name].fault = fault

    @stateful.rule(event=st.sampled_from(["heal", "heal", "down", "lose_answers", "lose_writes"]))
    def break_table(self, event):
        self.platform.set_faults(interruption.FAULTS_BY_EVENT[event])

    @stateful.rule()
    def deliver_late(self):
        self.client.deliver(lambda _: True)

    @stateful.rule(name=st.sampled_from(ENGINES), streams=st.sampled_from([0, 1]))
    def change_streams(self, name, streams):
        known_at, until = self.closing_by_engine.get(name, (0.0, 0.0))
        if streams == 0 or not known_at <= self.clock.now() < until:
            self.engines[name].streams = streams

    @stateful.rule(node=st.sampled_from(NODES))
    def crash(self, node):
        self.placer_by_node[node] = self.placer(node)

    def teardown(self):
        """Check that the newest revision is loaded everywhere once the faults end."""
        self.platform.set_faults(memory.Faults())
        self.client.deliver(lambda _: True)
        self.candidates = {"n1"}
        for engine in self.engines.values():
            engine.fault = fakes.Fault.NONE
            engine.streams = 0
        for node in NODES:
            self.adopt_newest(node)
        self.run("n2", 1)
        self.run("n1", 240)
        assert all(engine.present == self.head.wanted for engine in self.engines.values())
        reasons = {status.reason for status in self.placer_by_node["n1"].statuses().values()}
        assert reasons == {placement.Reason.AS_WANTED}


PlacementMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=120, stateful_step_count=20
)
test_placement_under_faults = PlacementMachine.TestCase
