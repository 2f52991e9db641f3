import collections.abc
import dataclasses
from unittest import mock

import hypothesis
import pytest
from hypothesis import stateful, strategies

from hornbeamglade.configuration import head, headrecords
from hornbeamglade.core import clocks, codederrors
from hornbeamglade.store import contract, memory
from tests.configuration import samples

WELL = memory.Faults()
DOWN = memory.Faults(down=True)
ANSWER_LOST = memory.Faults(lose_answers=True)
WRITE_LOST = memory.Faults(lose_writes=True)
STALLED = memory.Faults(stall_writes=True)
FAULTS = strategies.sampled_from([WELL, DOWN, ANSWER_LOST, WRITE_LOST, STALLED])
OPERATORS = strategies.sampled_from(["ada", "bo"])

Step = memory.Faults | collections.abc.Callable[[], object]


class ScriptedTable(contract.Table):
    """Before each call: changes the faults, or lets something else happen."""

    def __init__(self, platform: memory.MemoryPlatform) -> None:
        self._platform = platform
        self.script: list[Step] = []

    def _platform_after_step(self) -> memory.MemoryPlatform:
        if self.script:
            step = self.script.pop(0)
            self._platform.set_faults(step if isinstance(step, memory.Faults) else WELL)
            if callable(step):
                step()
        return self._platform

    def read(self, key):
        return self._platform_after_step().read(key)

    def scan(self, prefix, limit=1000):
        return self._platform_after_step().scan(prefix, limit)

    def transact(self, conditions, writes):
        return self._platform_after_step().transact(conditions, writes)


@dataclasses.dataclass
class Store:
    """A platform with its head; ``rival`` is another operator's way to it."""

    platform: memory.MemoryPlatform = dataclasses.field(
        default_factory=lambda: memory.MemoryPlatform(clocks.ManualClock())
    )

    def __post_init__(self) -> None:
        self.table = ScriptedTable(self.platform)
        self.head = head.ConfigurationHead(self.table, self.platform, clocks.ManualClock())
        self.rival = head.ConfigurationHead(self.platform, self.platform, clocks.ManualClock())

    def send(self, change: head.Change, *script: Step) -> head.Outcome:
        self.platform.set_faults(WELL)
        self.table.script = [*script]
        outcome = self.head.apply(change)
        self.table.script = []
        self.platform.set_faults(WELL)
        return outcome

    def records(self) -> list[headrecords.AuditRecord]:
        self.platform.set_faults(WELL)
        return list(reversed(self.rival.history(1000)))


def change_of(number: int, based_on: int, who: str = "ada") -> head.Change:
    return head.Change(samples.numbered(number), based_on, f"c{number}", who, "a reason")


class HeadMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.store = Store()
        self.seen_by_operator = {"ada": 0, "bo": 0}
        self.change_by_id: dict[str, head.Change] = {}
        self.outcome_by_id: dict[str, head.Outcome] = {}

    def new_change(self, who: str) -> head.Change:
        change = change_of(len(self.change_by_id) + 1, self.seen_by_operator[who], who)
        self.change_by_id[change.change_id] = change
        return change

    def rival_applies(self, who: str) -> None:
        self.seen_by_operator[who] = len(self.store.records())
        change = self.new_change(who)
        self.learn(change, self.store.rival.apply(change))

    def learn(self, change: head.Change, outcome: head.Outcome) -> None:
        known = self.outcome_by_id.get(change.change_id)
        if isinstance(known, head.OutcomeUnknown) and isinstance(outcome, head.PlatformDown):
            return  # of the earlier sending this says nothing
        self.outcome_by_id[change.change_id] = outcome
        if isinstance(outcome, head.Applied):
            self.seen_by_operator[change.who] = outcome.revision

    def send(self, change: head.Change, script: list[Step | str]) -> None:
        rival = "bo" if change.who == "ada" else "ada"
        steps = [(lambda: self.rival_applies(rival)) if s == "rival" else s for s in script]
        self.learn(change, self.store.send(change, *steps))

    @stateful.rule(who=OPERATORS)
    def operator_reads(self, who):
        self.seen_by_operator[who] = len(self.store.records())

    @stateful.rule(
        who=OPERATORS,
        script=strategies.lists(strategies.one_of(FAULTS, strategies.just("rival")), max_size=5),
    )
    def operator_applies(self, who, script):
        self.send(self.new_change(who), [WELL, *script])

    @stateful.rule(script=strategies.lists(FAULTS, max_size=5))
    def operator_repeats_unknown(self, script):
        for change_id, outcome in list(self.outcome_by_id.items()):
            if isinstance(outcome, head.OutcomeUnknown):
                self.send(self.change_by_id[change_id], script)

    @stateful.rule()
    def stalled_writes_arrive(self):
        self.store.platform.deliver_stalled()

    @stateful.invariant()
    def every_outcome_is_true(self):
        records = self.store.records()
        assert [record.revision for record in records] == list(range(1, len(records) + 1))
        assert all(record.based_on == record.revision - 1 for record in records)
        record_by_change_id = {record.change_id: record for record in records}
        assert len(record_by_change_id) == len(records)
        for change_id, outcome in self.outcome_by_id.items():
            record = record_by_change_id.get(change_id)
            if isinstance(outcome, head.Applied):
                assert record.revision == outcome.revision
                assert self.store.rival.revision(outcome.revision).digest == record.digest
            elif not isinstance(outcome, head.OutcomeUnknown):
                assert record is None


TestHeadMachine = HeadMachine.TestCase
TestHeadMachine.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150, stateful_step_count=20
)


def test_a_lost_answer_is_resolved_after_a_later_change():
    # An operator is told "conflict" although the change was accepted. Its answer was
    # lost and the command broke off; a colleague went on from it; then it was repeated.
    store = Store()
    change = change_of(1, 0)
    assert isinstance(store.send(change, WELL, ANSWER_LOST, DOWN, DOWN), head.OutcomeUnknown)
    assert store.rival.apply(change_of(2, 1, "bo")) == head.Applied(2)
    assert store.send(change) == head.Applied(1)


def test_a_write_that_arrives_late_was_not_reported_as_without_effect():
    # An operator is told "nothing took effect" and sees the change in force a minute
    # later. The write stalled on its way, and the platform refused the next attempt.
    store = Store()
    outcome = store.send(change_of(1, 0), WELL, STALLED, WELL, DOWN)
    store.platform.deliver_stalled()
    assert isinstance(outcome, head.OutcomeUnknown)
    assert store.records()[0].change_id == "c1"


def test_a_lost_answer_without_a_reason_is_still_a_lost_answer():
    # As above; the adapter's error had no text.
    store = Store()
    outcomes = [contract.Unknown(""), contract.Unavailable("down")]
    with mock.patch.object(store.platform, "transact", side_effect=outcomes):
        assert isinstance(store.send(change_of(1, 0)), head.OutcomeUnknown)


def test_writes_that_all_stall_leave_the_outcome_unknown():
    # As above, but every attempt stalls.
    store = Store()
    outcome = store.send(change_of(1, 0), WELL, *[STALLED] * 8)
    store.platform.deliver_stalled()
    assert isinstance(outcome, head.OutcomeUnknown)
    assert store.send(change_of(1, 0)) == head.Applied(1)


def test_a_conflict_that_cannot_be_looked_into_is_not_called_lost():
    # An operator is told "conflict" although the change is in force. The first
    # sending took effect unanswered, the second met it, and then the store went down.
    store = Store()
    outcome = store.send(change_of(1, 0), WELL, ANSWER_LOST, DOWN, WELL, DOWN)
    assert isinstance(outcome, head.OutcomeUnknown)
    assert store.records()[0].change_id == "c1"


def test_a_rival_between_read_and_write_wins():
    # Of two operators' changes one vanishes without a word. Both read the same
    # head; the later write would overwrite the earlier one.
    store = Store()
    rival = change_of(2, 0, "bo")
    outcome = store.send(change_of(1, 0), WELL, lambda: store.rival.apply(rival))
    assert isinstance(outcome, head.LostRace)
    assert [record.change_id for record in store.records()] == ["c2"]


def test_an_audit_row_is_never_overwritten():
    # The trail shows a change that was never made. The head row was deleted by hand,
    # and numbering began anew over the old records.
    store = Store()
    store.rival.apply(change_of(1, 0))
    store.platform.transact((), (contract.Delete(headrecords.HEAD_KEY),))
    with pytest.raises(codederrors.CodedError, match="config_head_behind_audit"):
        store.send(change_of(2, 0))


def test_a_head_row_put_back_by_hand_is_told():
    # A change is called lost to a revision that is not newer than its own start: the
    # head row was put back from a backup, without the audit rows.
    store = Store()
    store.rival.apply(change_of(1, 0))
    first_head = store.platform.read(headrecords.HEAD_KEY).row.value
    store.rival.apply(change_of(2, 1))
    store.platform.transact((), (contract.Put(headrecords.HEAD_KEY, first_head),))
    with pytest.raises(codederrors.CodedError, match="config_head_behind_audit"):
        store.send(change_of(3, 1))


def test_a_rival_whose_audit_row_was_deleted_still_wins():
    # As in a race, but the audit row that would show it was cleared away.
    store = Store()

    def rival() -> None:
        store.rival.apply(change_of(2, 0, "bo"))
        store.platform.transact((), (contract.Delete(headrecords.audit_key(1)),))

    assert isinstance(store.send(change_of(1, 0), WELL, rival), head.LostRace)


def test_an_unreadable_earlier_content_does_not_hold_up_a_change():
    # The operator sees every change refused. The object of the newest revision was
    # damaged in the store; the summary of differences cannot be made from it.
    store = Store()
    store.rival.apply(change_of(1, 0))
    store.platform.put(headrecords.content_key(samples.numbered(1).digest), "damaged")
    assert store.send(change_of(2, 1)) == head.Applied(2)


def test_a_loser_learns_what_the_winner_changed():
    store = Store()
    store.rival.apply(change_of(1, 0))
    store.rival.apply(change_of(2, 1))
    lost = store.send(change_of(3, 1, "bo"))
    assert lost.revision == 2
    assert [str(found) for found in lost.theirs] == ["overlays.krakow.node.max_streams: 1 -> 2"]


def test_a_loser_is_not_told_that_nothing_changed_when_it_cannot_be_read():
    # The loser sees "it changed: nothing" and applies over the winner's change.
    store = Store()
    store.rival.apply(change_of(1, 0))
    store.rival.apply(change_of(2, 1))
    store.platform.put(headrecords.content_key(samples.numbered(1).digest), "damaged")
    assert store.send(change_of(3, 1, "bo")) == head.LostRace(2, None)


def test_content_whose_answer_is_lost_is_put_again():
    store = Store()
    outcomes = [contract.Unknown("lost"), contract.Committed({})]
    with mock.patch.object(store.platform, "put", side_effect=outcomes):
        assert store.send(change_of(1, 0)) == head.Applied(1)


def test_the_same_content_again_is_no_change():
    store = Store()
    store.rival.apply(change_of(1, 0))
    again = dataclasses.replace(change_of(1, 1, "bo"), change_id="c2")
    assert store.send(again) == head.NothingChanged(1)


def test_a_base_that_does_not_exist_yet_is_bad_input():
    with pytest.raises(codederrors.CodedError, match="config_based_on_unknown"):
        Store().send(change_of(1, 7))
