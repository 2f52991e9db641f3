"""The configuration's head: accepts changes, one after another.

Explanation
===========

A change states the revision that it is based on, and has an id. It takes effect by
one transaction that updates the head row on the condition that it still is at that
revision, and writes the audit row. So of two operators who start from the same
revision, one succeeds, and the other is told what the first one changed.

A change that took effect always has the revision ``based_on + 1``. So when the
response to the transaction is lost, a single audit row shows its outcome, even after
later changes have updated the head. While that row is missing, the lost write may
still arrive. Sending it again with the same condition is safe, since only one of the
two writes can update the head.
"""

import dataclasses

from hornbeamglade.configuration import documentdiff, documents, headcontent, headrecords
from hornbeamglade.core import clocks, codederrors
from hornbeamglade.store import contract

ATTEMPTS = 3
RETRY_PAUSE_S = 0.2
MAX_RECORDED_DIFFERENCES = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change requested by an operator.

    :param document: the complete new configuration.
    :param based_on: the revision that the change is based on; 0 for none.
    :param change_id: unique id; the same when a change is sent again.
    :param who: the operator.
    :param why: the operator's reason.
    """

    document: documents.Document
    based_on: int
    change_id: str
    who: str
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The change was accepted.

    :param revision: the number of the new revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class LostRace:
    """Another change was accepted first; this one had no effect.

    :param revision: the newest revision, to base the next attempt on.
    :param theirs: the differences between ``based_on`` and the newest revision, or
        None when they could not be read.
    """

    revision: int
    theirs: tuple[documentdiff.Difference, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class NothingChanged:
    """The newest revision already has the same content."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformDown:
    """The platform could not be reached; the change had no effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may have taken effect, or may still take effect.

    :param change_id: sending the change again with this id resolves the outcome.
    :param reason: for a person.
    """

    change_id: str
    reason: str


Outcome = Applied | LostRace | NothingChanged | PlatformDown | OutcomeUnknown


class ConfigurationHead:
    """The configuration's head, stored in the operator's platform.

    :param table: contains the head row and the audit rows.
    :param objects: contains the documents by digest.
    :param clock: dates the audit rows and times the retries.
    """

    def __init__(
        self, table: contract.Table, objects: contract.ObjectStore, clock: clocks.Clock
    ) -> None:
        self._table = table
        self._content = headcontent.HeadContent(objects, clock)
        self._clock = clock

    def apply(self, change: Change) -> Outcome:
        """Make a change the newest revision, unless another change came first.

        :param change: the change.
        :raises CodedError: for a damaged row, or a ``based_on`` that does not exist yet.
        """
        read = self._table.read(headrecords.HEAD_KEY)
        if isinstance(read, contract.Unavailable):
            return PlatformDown(read.reason)
        head = headrecords.read_head(read.row.value) if isinstance(read, contract.Found) else None
        version = read.row.version if isinstance(read, contract.Found) else 0
        number = head.revision if head else 0
        if change.based_on > number:
            detail = f"revision {change.based_on} does not exist; the newest is {number}"
            raise codederrors.CodedError("config_based_on_unknown", detail)
        if change.based_on < number:
            return self._earlier_outcome(change) or self._lost_race(change, head)
        if head and head.digest == change.document.digest:
            return NothingChanged(number)
        before = self._text_if_readable(number)
        if failure := self._content.store(change.document, before):
            # No head refers to the content yet, so the change had no effect.
            return PlatformDown(failure.reason)
        return self._commit(change, before, version)

    def newest(self) -> headrecords.Head | PlatformDown | None:
        """Return the head row, or None when no change was ever accepted."""
        read = self._table.read(headrecords.HEAD_KEY)
        if isinstance(read, contract.Unavailable):
            return PlatformDown(read.reason)
        return headrecords.read_head(read.row.value) if isinstance(read, contract.Found) else None

    def current(self) -> documents.Revision | PlatformDown | None:
        """Return the newest revision with its content, or None when there is none."""
        found = self.newest()
        return self._read_revision(found) if isinstance(found, headrecords.Head) else found

    def revision(self, number: int) -> documents.Revision | PlatformDown | None:
        """Return an earlier revision with its content, or None when there is none."""
        found = self._read_audit(number)
        return self._read_revision(found) if isinstance(found, headrecords.AuditRecord) else found

    def history(self, limit: int) -> tuple[headrecords.AuditRecord, ...] | PlatformDown:
        """Return the latest audit records, the newest first.

        :param limit: the maximum number of records; each costs one read.
        """
        found = self.newest()
        if not isinstance(found, headrecords.Head):
            return found or ()
        records = []
        for number in range(found.revision, max(0, found.revision - limit), -1):
            record = self._read_audit(number)
            if isinstance(record, PlatformDown):
                return record
            if record is not None:
                records.append(record)
        return tuple(records)

    def _earlier_outcome(self, change: Change) -> Applied | PlatformDown | None:
        """Return the outcome of an earlier attempt of this change, if it took effect.

        When the response to an operator's change is lost, another change follows, and
        the command is repeated, the head alone would show a lost race although the
        change was accepted. If it took effect, it is in the audit row right after
        ``based_on``.
        """
        record = self._read_audit(change.based_on + 1)
        if isinstance(record, PlatformDown):
            return record
        if record is not None and record.change_id == change.change_id:
            return Applied(record.revision)
        return None

    def _lost_race(self, change: Change, head: headrecords.Head) -> LostRace | NothingChanged:
        if head.digest == change.document.digest:
            return NothingChanged(head.revision)
        before = self._text_if_readable(change.based_on)
        after = self._text_if_readable(head.revision)
        if after is None or (before is None and change.based_on):
            return LostRace(head.revision, None)
        return LostRace(head.revision, documentdiff.differences(before, after))

    def _commit(self, change: Change, before: str | None, version: int) -> Outcome:
        number = change.based_on + 1
        record = self._record(change, before)
        new_head = headrecords.Head(number, record.digest, record.change_id)
        conditions = (
            contract.Condition(headrecords.HEAD_KEY, version),
            contract.Condition(headrecords.audit_key(number), 0),
        )
        writes = (
            contract.Put(headrecords.HEAD_KEY, headrecords.encode(new_head)),
            contract.Put(headrecords.audit_key(number), headrecords.encode(record)),
        )
        reason: str | None = None
        for _ in range(ATTEMPTS):
            outcome = self._table.transact(conditions, writes)
            if isinstance(outcome, contract.Committed):
                return Applied(number)
            if isinstance(outcome, contract.Unavailable) and reason is None:
                return PlatformDown(outcome.reason)
            if isinstance(outcome, contract.Unavailable):
                # This refusal does not show the outcome of the earlier attempt.
                break
            earlier_outcome = self._earlier_outcome(change)
            if isinstance(earlier_outcome, Applied):
                return earlier_outcome
            if isinstance(outcome, contract.Conflict):
                return self._resolve_conflict(change, earlier_outcome)
            reason = outcome.reason
            self._clock.sleep(RETRY_PAUSE_S)
        return OutcomeUnknown(change.change_id, reason or "no response")

    def _resolve_conflict(self, change: Change, earlier_outcome: PlatformDown | None) -> Outcome:
        """Return the outcome of a conflict: a lost race, or unknown if the platform is down."""
        if isinstance(earlier_outcome, PlatformDown):
            return OutcomeUnknown(change.change_id, earlier_outcome.reason)
        read = self._table.read(headrecords.HEAD_KEY)
        if isinstance(read, contract.Found):
            head = headrecords.read_head(read.row.value)
            if head.revision > change.based_on:
                return self._lost_race(change, head)
        if isinstance(read, contract.Unavailable):
            return LostRace(change.based_on + 1, None)
        detail = f"revision {change.based_on + 1} has an audit row, but the head is behind it"
        raise codederrors.CodedError("config_head_behind_audit", detail)

    def _record(self, change: Change, before: str | None) -> headrecords.AuditRecord:
        differed = documentdiff.differences(before, change.document.text)
        return headrecords.AuditRecord(
            revision=change.based_on + 1,
            digest=change.document.digest,
            change_id=change.change_id,
            based_on=change.based_on,
            who=change.who,
            why=change.why,
            at_s=self._clock.wall(),
            differed=tuple(str(difference) for difference in differed[:MAX_RECORDED_DIFFERENCES]),
            differed_count=len(differed),
        )

    def _text_if_readable(self, number: int) -> str | None:
        """Return a revision's text for a summary of differences, or None.

        The content of an earlier revision may be lost or damaged. If it were required
        here, no later change could ever repair the configuration.
        """
        if number == 0:
            return None
        try:
            revision = self.revision(number)
        except codederrors.CodedError:
            return None
        return revision.document if isinstance(revision, documents.Revision) else None

    def _read_audit(self, number: int) -> headrecords.AuditRecord | PlatformDown | None:
        read = self._table.read(headrecords.audit_key(number))
        if isinstance(read, contract.Unavailable):
            return PlatformDown(read.reason)
        if isinstance(read, contract.Missing):
            return None
        return headrecords.read_audit(read.row.value)

    def _read_revision(
        self, found: headrecords.Head | headrecords.AuditRecord
    ) -> documents.Revision | PlatformDown:
        read = self._content.read(found)
        return read if isinstance(read, documents.Revision) else PlatformDown(read.reason)
