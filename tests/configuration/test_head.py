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

NO_FAULTS = memory.Faults()
DOWN = memory.Faults(down=True)
ANSWER_LOST = memory.Faults(lose_answers=True)
WRITE_LOST = memory.Faults(lose_writes=True)
STALLED = memory.Faults(stall_writes=True)
FAULTS = strategies.sampled_from([NO_FAULTS, DOWN, ANSWER_LOST, WRITE_LOST, STALLED])
OPERATORS = strategies.sampled_from(["ada", "bo"])

Step = memory.Faults | collections.abc.Callable[[], object]


class ScriptedTable(contract.Table):
    """A table that changes the faults or runs a function before each call."""

    def __init__(self, platform: memory.MemoryPlatform) -> None:
        self._platform = platform
        self.script: list[Step] = []

    def _platform_after_step(self) -> memory.MemoryPlatform:
        if self.script:
            step = self.script.pop(0)
            self._platform.set_faults(step if isinstance(step, memory.Faults) else NO_FAULTS)
            if callable(step):
                step()
        return self._platform

    def read(self, key):
        return self._platform_after_step().read(key)

    def scan(self, prefix, limit=None):
        return self._platform_after_step().scan(prefix, limit)

    def transact(self, conditions, writes):
        return self._platform_after_step().transact(conditions, writes)


@dataclasses.dataclass
class Store:
    """A platform with a head; ``rival`` is the head as used by another operator."""

    platform: memory.MemoryPlatform = dataclasses.field(
        default_factory=lambda: memory.MemoryPlatform(clocks.ManualClock())
    )

    def __post_init__(self) -> None:
        self.table = ScriptedTable(self.platform)
        self.head = head.ConfigurationHead(self.table, self.platform, clocks.ManualClock())
        self.rival = head.ConfigurationHead(self.platform, self.platform, clocks.ManualClock())

    def send(self, change: head.Change, *script: Step) -> head.Outcome:
        self.platform.set_faults(NO_FAULTS)
        self.table.script = [*script]
        outcome = self.head.apply(change)
        self.table.script = []
        self.platform.set_faults(NO_FAULTS)
        return outcome

    def records(self) -> list[headrecords.AuditRecord]:
        self.platform.set_faults(NO_FAULTS)
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
        self.record_outcome(change, self.store.rival.apply(change))

    def record_outcome(self, change: head.Change, outcome: head.Outcome) -> None:
        known = self.outcome_by_id.get(change.change_id)
        if isinstance(known, head.OutcomeUnknown) and isinstance(outcome, head.PlatformDown):
            return  # does not show the outcome of the earlier attempt
        self.outcome_by_id[change.change_id] = outcome
        if isinstance(outcome, head.Applied):
            self.seen_by_operator[change.who] = outcome.revision

    def send(self, change: head.Change, script: list[Step | str]) -> None:
        rival = "bo" if change.who == "ada" else "ada"
        steps = [(lambda: self.rival_applies(rival)) if s == "rival" else s for s in script]
        self.record_outcome(change, self.store.send(change, *steps))

    @stateful.rule(who=OPERATORS)
    def operator_reads(self, who):
        self.seen_by_operator[who] = len(self.store.records())

    @stateful.rule(
        who=OPERATORS,
        script=strategies.lists(strategies.one_of(FAULTS, strategies.just("rival")), max_size=5),
    )
    def operator_applies(self, who, script):
        self.send(self.new_change(who), [NO_FAULTS, *script])

    @stateful.rule(script=strategies.lists(FAULTS, max_size=5))
    def operator_repeats_unknown(self, script):
        for change_id, outcome in list(self.outcome_by_id.items()):
            if isinstance(outcome, head.OutcomeUnknown):
                self.send(self.change_by_id[change_id], script)

    @stateful.rule()
    def stalled_writes_arrive(self):
        self.store.platform.deliver_stalled()

    @stateful.invariant()
    def outcomes_match_the_audit_rows(self):
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


@pytest.fixture
def store():
    return Store()


def test_a_lost_response_is_resolved_after_a_later_change(store):
    # A change is accepted, its response is lost and the command fails. Another change
    # follows, and the first command is repeated. It must not report a conflict.
    change = change_of(1, 0)
    assert isinstance(store.send(change, NO_FAULTS, ANSWER_LOST, DOWN, DOWN), head.OutcomeUnknown)
    assert store.rival.apply(change_of(2, 1, "bo")) == head.Applied(2)
    assert store.send(change) == head.Applied(1)


def test_a_write_that_may_arrive_late_is_not_reported_as_without_effect(store):
    # A write is delayed in the network, and the platform is unavailable at the next
    # attempt. Reported as without effect, the change would become active later.
    outcome = store.send(change_of(1, 0), NO_FAULTS, STALLED, NO_FAULTS, DOWN)
    store.platform.deliver_stalled()
    assert isinstance(outcome, head.OutcomeUnknown)
    assert store.records()[0].change_id == "c1"


def test_a_lost_response_without_a_reason_is_still_a_lost_response(store):
    # As above, with an adapter whose error has no text.
    outcomes = [contract.Unknown(""), contract.Unavailable("down")]
    with mock.patch.object(store.platform, "transact", side_effect=outcomes):
        assert isinstance(store.send(change_of(1, 0)), head.OutcomeUnknown)


def test_writes_that_all_stall_leave_the_outcome_unknown(store):
    # As above, but all attempts are delayed.
    outcome = store.send(change_of(1, 0), NO_FAULTS, *[STALLED] * 8)
    store.platform.deliver_stalled()
    assert isinstance(outcome, head.OutcomeUnknown)
    assert store.send(change_of(1, 0)) == head.Applied(1)


def test_a_conflict_that_cannot_be_resolved_is_not_a_lost_race(store):
    # The first attempt takes effect and its response is lost. The second one conflicts
    # with it, and then the store is down. A lost race would be reported although the
    # change is active.
    outcome = store.send(change_of(1, 0), NO_FAULTS, ANSWER_LOST, DOWN, NO_FAULTS, DOWN)
    assert isinstance(outcome, head.OutcomeUnknown)
    assert store.records()[0].change_id == "c1"


def test_a_rival_between_read_and_write_wins(store):
    # Two operators read the same head. The later write would silently overwrite the
    # earlier one.
    rival = change_of(2, 0, "bo")
    outcome = store.send(change_of(1, 0), NO_FAULTS, lambda: store.rival.apply(rival))
    assert isinstance(outcome, head.LostRace)
    assert [record.change_id for record in store.records()] == ["c2"]


def test_an_audit_row_is_never_overwritten(store):
    # The head row was deleted by hand. Numbering would start over and overwrite the audit
    # records of earlier changes.
    store.rival.apply(change_of(1, 0))
    store.platform.transact((), (contract.Delete(headrecords.HEAD_KEY),))
    with pytest.raises(codederrors.CodedError, match="config_head_behind_audit"):
        store.send(change_of(2, 0))


def test_a_head_row_restored_by_hand_is_reported(store):
    # The head row was restored from a backup without the audit rows. The change would be
    # reported as a lost race against a revision that is not newer than its base.
    store.rival.apply(change_of(1, 0))
    first_head = store.platform.read(headrecords.HEAD_KEY).row.value
    store.rival.apply(change_of(2, 1))
    store.platform.transact((), (contract.Put(headrecords.HEAD_KEY, first_head),))
    with pytest.raises(codederrors.CodedError, match="config_head_behind_audit"):
        store.send(change_of(3, 1))


def test_a_rival_whose_audit_row_was_deleted_still_wins(store):
    # A lost race, where the audit row that shows it was deleted.

    def rival() -> None:
        store.rival.apply(change_of(2, 0, "bo"))
        store.platform.transact((), (contract.Delete(headrecords.audit_key(1)),))

    assert isinstance(store.send(change_of(1, 0), NO_FAULTS, rival), head.LostRace)


def test_unreadable_content_of_an_earlier_revision_does_not_block_a_change(store):
    # The object of the newest revision is damaged, so the summary of differences cannot be
    # made. Without this rule, every further change would be refused.
    store.rival.apply(change_of(1, 0))
    store.platform.put(headrecords.content_key(samples.numbered(1).digest), "damaged")
    assert store.send(change_of(2, 1)) == head.Applied(2)


def test_a_lost_race_reports_the_changes_of_the_winner(store):
    store.rival.apply(change_of(1, 0))
    store.rival.apply(change_of(2, 1))
    lost = store.send(change_of(3, 1, "bo"))
    assert lost.revision == 2
    assert [str(found) for found in lost.theirs] == ["overlays.krakow.node.max_streams: 1 -> 2"]


def test_a_lost_race_reports_no_differences_when_they_cannot_be_read(store):
    # Shown an empty list of differences, the operator would overwrite the winner's change.
    store.rival.apply(change_of(1, 0))
    store.rival.apply(change_of(2, 1))
    store.platform.put(headrecords.content_key(samples.numbered(1).digest), "damaged")
    assert store.send(change_of(3, 1, "bo")) == head.LostRace(2, None)


def test_content_whose_response_is_lost_is_stored_again(store):
    outcomes = [contract.Unknown("lost"), contract.Committed({})]
    with mock.patch.object(store.platform, "put", side_effect=outcomes):
        assert store.send(change_of(1, 0)) == head.Applied(1)


def test_the_same_content_again_is_no_change(store):
    store.rival.apply(change_of(1, 0))
    again = dataclasses.replace(change_of(1, 1, "bo"), change_id="c2")
    assert store.send(again) == head.NothingChanged(1)


def test_a_base_that_does_not_exist_yet_is_an_error():
    with pytest.raises(codederrors.CodedError, match="config_based_on_unknown"):
        Store().send(change_of(1, 7))
