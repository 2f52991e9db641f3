"""The configuration's head: accepting changes, one after another.

Explanation
===========

A change names the revision that it was made from and carries an id of its
own. It takes effect by one transaction that moves the head row from exactly
that revision and writes the audit row, so of two operators who start from the
same revision one wins and the other learns what the winner changed.

A change that took effect is always revision ``based_on + 1``. So when the
answer of the transaction is lost, one audit row tells what became of it, also
after later changes have moved the head on. While that row is missing the lost
write may still arrive; sending it once more under the same condition is safe,
since only one of the two can move the head.
"""

import dataclasses

from hornbeamglade.configuration import documentdiff, documents, headcontent, headrecords
from hornbeamglade.core import clocks, codederrors
from hornbeamglade.store import contract

ATTEMPTS = 3
RETRY_PAUSE_S = 0.2
DIFFERENCES_KEPT = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that an operator asks for.

    :param document: the whole new configuration.
    :param based_on: the revision that the operator started from; 0 for none.
    :param change_id: unique; the same when a change is sent again.
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
    """The change is accepted; it holds until a later change.

    :param revision: the number that it got.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class LostRace:
    """Another change was accepted first; nothing of this one took effect.

    :param revision: the newest revision, to start from anew.
    :param theirs: what differs between ``based_on`` and the newest revision, or
        None when that could not be read.
    """

    revision: int
    theirs: tuple[documentdiff.Difference, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class NothingChanged:
    """The newest revision has this very content already."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformDown:
    """The platform was not reached; nothing took effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may have taken effect or may yet do so.

    :param change_id: sending the change again under this id finds out.
    """

    change_id: str
    reason: str


Outcome = Applied | LostRace | NothingChanged | PlatformDown | OutcomeUnknown


class ConfigurationHead:
    """The head in the operator's platform.

    :param table: holds the head row and the audit rows.
    :param objects: holds the documents by digest.
    :param clock: dates the audit rows and paces the retries.
    """

    def __init__(
        self, table: contract.Table, objects: contract.ObjectStore, clock: clocks.Clock
    ) -> None:
        self._table = table
        self._content = headcontent.HeadContent(objects, clock)
        self._clock = clock

    def apply(self, change: Change) -> Outcome:
        """Make a change the newest revision if none has come between.

        :raises CodedError: for a damaged row, or a ``based_on`` that does not exist yet.
        """
        read = self._table.read(headrecords.HEAD_KEY)
        if isinstance(read, contract.Unavailable):
            return PlatformDown(read.reason)
        head = headrecords.read_head(read.row.value) if isinstance(read, contract.Found) else None
        version = read.row.version if isinstance(read, contract.Found) else 0
        number = head.revision if head else 0
        if change.based_on > number:
            detail = f"the newest revision is {number}, not yet {change.based_on}"
            raise codederrors.CodedError("config_based_on_unknown", detail)
        if change.based_on < number:
            return self._overtaken(change) or self._unequal(change, head)
        if head and head.digest == change.document.digest:
            return NothingChanged(number)
        before = self._text_if_readable(number)
        if kept_out := self._content.store(change.document, before):
            # Nothing is lost: no head names the content yet.
            return PlatformDown(kept_out.reason)
        return self._move(change, before, version)

    def newest(self) -> headrecords.Head | PlatformDown | None:
        """Return the head row, or None when nothing was ever accepted."""
        read = self._table.read(headrecords.HEAD_KEY)
        if isinstance(read, contract.Unavailable):
            return PlatformDown(read.reason)
        return headrecords.read_head(read.row.value) if isinstance(read, contract.Found) else None

    def current(self) -> documents.Revision | PlatformDown | None:
        """Return the newest revision with its content, or None when there is none."""
        found = self.newest()
        return self._of(found) if isinstance(found, headrecords.Head) else found

    def revision(self, number: int) -> documents.Revision | PlatformDown | None:
        """Return an earlier revision with its content, or None when there is none."""
        found = self._audit(number)
        return self._of(found) if isinstance(found, headrecords.AuditRecord) else found

    def history(self, limit: int) -> tuple[headrecords.AuditRecord, ...] | PlatformDown:
        """Return the newest audit records, the newest first.

        :param limit: at most so many; each is one read.
        """
        found = self.newest()
        if not isinstance(found, headrecords.Head):
            return found or ()
        records = []
        for number in range(found.revision, max(0, found.revision - limit), -1):
            record = self._audit(number)
            if isinstance(record, PlatformDown):
                return record
            if record is not None:
                records.append(record)
        return tuple(records)

    def _overtaken(self, change: Change) -> Applied | PlatformDown | None:
        """Return how an earlier sending of this change ended, if it took effect.

        Failure: an operator's answer is lost, a colleague's change follows, and
        the command is repeated. Judged by the head alone it would be refused as
        a lost race although it was accepted. The audit row right after
        ``based_on`` is the only place where it can have taken effect.
        """
        record = self._audit(change.based_on + 1)
        if isinstance(record, PlatformDown):
            return record
        if record is not None and record.change_id == change.change_id:
            return Applied(record.revision)
        return None

    def _unequal(self, change: Change, head: headrecords.Head) -> LostRace | NothingChanged:
        if head.digest == change.document.digest:
            return NothingChanged(head.revision)
        before = self._text_if_readable(change.based_on)
        after = self._text_if_readable(head.revision)
        if after is None or (before is None and change.based_on):
            return LostRace(head.revision, None)
        return LostRace(head.revision, documentdiff.differences(before, after))

    def _move(self, change: Change, before: str | None, version: int) -> Outcome:
        number = change.based_on + 1
        record = self._record(change, before)
        new_head = headrecords.Head(number, record.digest, record.change_id)
        conditions = (
            contract.Condition(headrecords.HEAD_KEY, version),
            contract.Condition(headrecords.audit_key(number), 0),
        )
        writes = (
            contract.Put(headrecords.HEAD_KEY, headrecords.written(new_head)),
            contract.Put(headrecords.audit_key(number), headrecords.written(record)),
        )
        reason: str | None = None
        for _ in range(ATTEMPTS):
            outcome = self._table.transact(conditions, writes)
            if isinstance(outcome, contract.Committed):
                return Applied(number)
            if isinstance(outcome, contract.Unavailable) and reason is None:
                return PlatformDown(outcome.reason)
            if isinstance(outcome, contract.Unavailable):
                # This refusal says nothing of an earlier sending whose answer was lost.
                break
            settled = self._overtaken(change)
            if isinstance(settled, Applied):
                return settled
            if isinstance(outcome, contract.Conflict):
                return self._conflict(change, settled)
            reason = outcome.reason
            self._clock.sleep(RETRY_PAUSE_S)
        return OutcomeUnknown(change.change_id, reason or "no answer")

    def _conflict(self, change: Change, settled: PlatformDown | None) -> Outcome:
        """Tell a lost race from the platform going down while it was looked into."""
        if isinstance(settled, PlatformDown):
            return OutcomeUnknown(change.change_id, settled.reason)
        read = self._table.read(headrecords.HEAD_KEY)
        if isinstance(read, contract.Found):
            head = headrecords.read_head(read.row.value)
            if head.revision > change.based_on:
                return self._unequal(change, head)
        if isinstance(read, contract.Unavailable):
            return LostRace(change.based_on + 1, None)
        detail = f"there is an audit row past the head, of revision {change.based_on + 1}"
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
            differed=tuple(str(difference) for difference in differed[:DIFFERENCES_KEPT]),
            differed_count=len(differed),
        )

    def _text_if_readable(self, number: int) -> str | None:
        """Return a revision's text for a summary, which must not hold up a change.

        Failure: the content of an earlier revision is lost or damaged. Were it
        needed here, no later change could ever mend the configuration.
        """
        if number == 0:
            return None
        try:
            revision = self.revision(number)
        except codederrors.CodedError:
            return None
        return revision.document if isinstance(revision, documents.Revision) else None

    def _audit(self, number: int) -> headrecords.AuditRecord | PlatformDown | None:
        read = self._table.read(headrecords.audit_key(number))
        if isinstance(read, contract.Unavailable):
            return PlatformDown(read.reason)
        if isinstance(read, contract.Missing):
            return None
        return headrecords.read_audit(read.row.value)

    def _of(
        self, found: headrecords.Head | headrecords.AuditRecord
    ) -> documents.Revision | PlatformDown:
        read = self._content.read(found)
        return read if isinstance(read, documents.Revision) else PlatformDown(read.reason)
