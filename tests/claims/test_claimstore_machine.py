"""A key runs at most once, whatever fails at any moment.

The state machine drives two real ``ClaimStore`` objects over one ``MemoryPlatform``. At each
call of the table, the script of a rule may inject an event: an outage, lost responses, a
stalled write, a pause, or another node's complete request. There are only one key and two
nodes, so that most steps interact. A ledger records what a backend server would have run.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from hornbeamglade import claims
from hornbeamglade.core import clocks
from hornbeamglade.store import memory
from tests.store import interruption

SETTINGS = claims.ClaimSettings(
    dispatch_within_s=5.0, in_progress_s=20.0, retention_s=100.0, inline_bytes=4
)
KEYS = [claims.ClaimKey("team", "counter", f"hold-{n}") for n in range(1)]
NODES = range(2)
PAUSE_S_BY_EVENT = {"pause": 3.0, "long_pause": 120.0}
EVENTS = [
    *["nothing", "nothing", "nothing", "heal", "heal"],  # so that some steps succeed
    *interruption.FAULTS_BY_EVENT,
    *PAUSE_S_BY_EVENT,
    *["deliver", "other_node", "sweep"],
]
ENDINGS = ["finish", "finish_long", "unknown", "refused", "refused_release", "none"]
SCRIPTS = st.lists(st.sampled_from(EVENTS), max_size=6)


class ClaimMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock(1000.0)
        self.platform = memory.MemoryPlatform(self.clock)
        self.table = interruption.InterruptedTable(self.platform, self.interrupt)
        self.stores = [self.new_store(node) for node in NODES]
        self.script = []
        self.busy = []
        self.key = KEYS[0]
        self.claims = []  # (node, key, claim) for every claim ever granted
        self.runs_by_key = {key: [] for key in KEYS}  # (attempt, time)
        self.reported_not_run = set()
        self.answers_by_key = {key: [] for key in KEYS}
        self.crashed = False

    def new_store(self, node):
        return claims.ClaimStore(self.table, self.platform, self.clock, f"n{node}", SETTINGS)

    def interrupt(self):
        event = self.script.pop(0) if self.script else "nothing"
        if event in interruption.FAULTS_BY_EVENT:
            self.platform.set_faults(interruption.FAULTS_BY_EVENT[event])
        self.clock.advance(PAUSE_S_BY_EVENT.get(event, 0.0))
        if event == "deliver":
            self.platform.deliver_stalled()
        if event == "sweep":
            claims.sweep(self.platform, self.clock.wall(), SETTINGS)
        if event == "other_node" and len(self.busy) < len(NODES):
            self.request(next(node for node in NODES if node not in self.busy), self.key)
            self.dispatch_newest("finish")

    def request(self, node, key):
        self.busy.append(node)
        outcome = self.stores[node].claim(key, "fingerprint")
        self.busy.remove(node)
        if isinstance(outcome, claims.Granted):
            self.claims.append((node, key, outcome.claim))
        if isinstance(outcome, claims.Recorded):
            assert outcome.answer in self.answers_by_key[key]
        return outcome

    def dispatch_newest(self, ending):
        if self.claims and self.claims[-1][0] not in self.busy:
            self.dispatch(self.claims[-1], ending)

    def dispatch(self, granted, ending):
        node, key, claim = granted
        store = self.stores[node]
        if not store.may_dispatch(claim):
            return
        assert claim.attempt not in self.reported_not_run
        for _, run_at in self.runs_by_key[key]:
            apart_s = self.clock.now() - run_at
            assert apart_s >= SETTINGS.retention_s - SETTINGS.dispatch_within_s
        run = (claim.attempt, self.clock.now())
        self.runs_by_key[key].append(run)
        self.busy.append(node)
        if ending.startswith("finish"):
            body = b"a long answer" if ending == "finish_long" else b"ok"
            answer = claims.RecordedAnswer(200, "text/plain", body + claim.attempt.encode()[-1:])
            self.answers_by_key[key].append(answer)
            store.finish(claim, answer)
        elif ending == "unknown":
            store.mark_unknown(claim)
        elif ending.startswith("refused"):
            self.runs_by_key[key].remove(run)
            store.note_not_run(claim)
            if ending == "refused_release":
                self.reported_not_run.add(claim.attempt)
                store.release(claim)
        self.busy.remove(node)

    @stateful.rule(
        node=st.sampled_from(NODES),
        key=st.sampled_from(KEYS),
        script=SCRIPTS,
        dispatches=st.booleans(),
    )
    def claim(self, node, key, script, dispatches):
        self.script, self.key = script, key
        if isinstance(self.request(node, key), claims.Granted) and dispatches:
            self.dispatch_newest("finish")

    @stateful.precondition(lambda self: self.claims)
    @stateful.rule(data=st.data(), ending=st.sampled_from(ENDINGS), script=SCRIPTS)
    def dispatch_any(self, data, ending, script):
        granted = data.draw(st.sampled_from(self.claims))
        self.script, self.key = script, granted[1]
        self.dispatch(granted, ending)

    @stateful.precondition(lambda self: self.claims)
    @stateful.rule(data=st.data(), script=SCRIPTS)
    def release_undispatched(self, data, script):
        node, key, claim = data.draw(st.sampled_from(self.claims))
        if any(attempt == claim.attempt for attempt, _ in self.runs_by_key[key]):
            return
        self.script, self.key = script, key
        self.reported_not_run.add(claim.attempt)
        self.busy.append(node)
        self.stores[node].release(claim)
        self.busy.remove(node)

    @stateful.rule(node=st.sampled_from(NODES), script=SCRIPTS)
    def write_pending(self, node, script):
        self.script = script
        self.busy.append(node)
        self.stores[node].write_pending()
        self.busy.remove(node)

    @stateful.rule(event=st.sampled_from(EVENTS))
    def inject(self, event):
        self.script = [event]
        self.interrupt()

    @stateful.rule(node=st.sampled_from(NODES))
    def crash(self, node):
        self.crashed = True
        self.stores[node] = self.new_store(node)

    def teardown(self):
        """Without a crash, a key that never ran can be claimed after all faults have ended."""
        self.script = []
        self.platform.set_faults(memory.Faults())
        for node, _, claim in self.claims:
            if claim.attempt not in {a for runs in self.runs_by_key.values() for a, _ in runs}:
                self.stores[node].release(claim)
        for store in self.stores:
            while store.pending_write_count:
                assert store.write_pending()
        self.platform.deliver_stalled()
        for key in KEYS:
            if not self.crashed and not self.runs_by_key[key]:
                assert isinstance(self.request(0, key), claims.Granted)


ClaimMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=800, stateful_step_count=15
)
test_claims_under_faults = ClaimMachine.TestCase
