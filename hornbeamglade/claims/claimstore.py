"""Ensures that each non-repeatable request runs at most once.

Explanation
===========

Before a request is dispatched, its idempotency key is claimed durably. The claim's row is
written on the condition that the key is new, so only one of all attempts on all nodes
succeeds.

A claim is never taken over by another attempt. The alternative was a second step (``claimed``,
then ``dispatching`` by compare-and-set before the dispatch), so that a claim that never
reached the second step could be taken over. It would help only if a node dies in the
milliseconds between the two steps, or dies with pending writes. It would cost a third write
and another round trip for every request: at 100 requests/s, 300 instead of 200 writes/s on a
table that sustains several hundred. The price of the simpler scheme is that such a key is
answered "in progress" and then "outcome unknown" until the retention period ends, although
nothing ran.

Instead of takeover, an attempt that did not dispatch releases its own claim. The row then says
``released`` (it is not deleted, see :class:`hornbeamglade.claims.claimrecords.ClaimState`) and
the key can be claimed again. An attempt whose claim write got no response, and whose row could
not be read back, gets no ``Claim`` and so can never dispatch. Its claim is released in the
background (:mod:`hornbeamglade.claims.pendingwrites`), and a later request with that key on
the same node can claim it at once.

Each request costs two writes, the claim and its end, in transactions shared by the requests
that a node handles concurrently.

Since claims are never taken over, a dispatch by a node that was paused is not a second run. It
is still refused after ``dispatch_within_s``, because the row is removed after the retention
period, and because the caller is gone by then.
"""

import dataclasses
import hashlib
import itertools
import uuid

from hornbeamglade.claims import (
    claimprogress,
    claimrecords,
    claimsettings,
    claimvalues,
    groupcommit,
    pendingwrites,
)
from hornbeamglade.core import clocks
from hornbeamglade.store import contract

MAX_WRITES_PER_CLAIM = 3
OBJECT_PREFIX = "claim-answers/"


class ClaimStore:
    """The claims of one node; thread-safe, one thread for each claim.

    :param table: the platform's table.
    :param objects: the platform's object store.
    :param clock: monotonic time limits the dispatch, wall time ages the rows.
    :param node_name: written into the rows as information for operators.
    :param settings: limits and timeouts.
    :param incarnation: unique for each start of the process; random by default.

    Examples
    ========

    >>> from hornbeamglade.store import memory
    >>> platform = memory.MemoryPlatform()
    >>> settings = claimsettings.ClaimSettings()
    >>> store = ClaimStore(platform, platform, clocks.SystemClock(), "n1", settings)
    >>> key = claimvalues.ClaimKey("front-desk", "counter", "hold-17")
    >>> granted = store.claim(key, "fingerprint")
    >>> store.may_dispatch(granted.claim)
    True
    >>> store.claim(key, "fingerprint")
    InProgress(retry_after_s=2.0)
    """

    def __init__(
        self,
        table: contract.Table,
        objects: contract.ObjectStore,
        clock: clocks.Clock,
        node_name: str,
        settings: claimsettings.ClaimSettings,
        incarnation: str | None = None,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._node_name = node_name
        self._settings = settings
        self._attempt_prefix = f"{node_name}/{incarnation or uuid.uuid4().hex}"
        self._attempt_numbers = itertools.count(1)
        self._commits = groupcommit.GroupCommit(table)
        self._pending_writes = pendingwrites.PendingWrites(
            table, objects, settings.pending_write_limit
        )
        self._open_claims = claimprogress.OpenClaims(clock, settings.dispatch_within_s)

    @property
    def pending_write_count(self) -> int:
        """Number of terminal writes not yet confirmed by the table."""
        return len(self._pending_writes)

    def claim(self, key: claimvalues.ClaimKey, fingerprint: str) -> claimvalues.ClaimOutcome:
        """Claim the key for a new attempt, or return what is known of earlier attempts.

        :param key: identifies requests that count as the same one.
        :param fingerprint: a digest of the request's method, target and body.
        """
        attempt = f"{self._attempt_prefix}/{next(self._attempt_numbers)}"
        # Started before the write is sent, so that a pause while it is in flight counts
        # against the time limit of the dispatch.
        claim = claimvalues.Claim(key.row_key, fingerprint, attempt, self._clock.now())
        unanswered = None
        outcome: claimvalues.ClaimOutcome = claimvalues.claims_unavailable(
            self._settings.retry_after_s
        )
        for _ in range(MAX_WRITES_PER_CLAIM):
            written = self._write_claim(claim)
            if isinstance(written, contract.Committed):
                return self._grant(claim, written.version_by_key[claim.row_key])
            if isinstance(written, contract.Unavailable):
                break
            if isinstance(written, contract.Unknown):
                unanswered = claim
                if not self._open_claims.in_time(claim.started_at):
                    break  # too late to dispatch: respond to the caller at once
            found = self._read_back(claim, isinstance(written, contract.Conflict))
            if isinstance(found, claimvalues.Granted):
                return found
            if not isinstance(found, claimvalues.Claim):
                outcome = found
                break
            claim = found
        if unanswered is not None:
            self._schedule_release(unanswered)
        return outcome

    def may_dispatch(self, claim: claimvalues.Claim) -> bool:
        """Return whether the request may be sent now; to be called right before sending.

        Returns True at most once per claim, unless :meth:`note_not_run` reports in between
        that the backend server refused the request as not run. If the first call for a claim
        returns False, the caller must release the claim.
        """
        return self._open_claims.dispatch(claim)

    def note_not_run(self, claim: claimvalues.Claim) -> None:
        """Record that the backend server refused the dispatch as not run."""
        self._open_claims.note_not_run(claim)

    def finish(self, claim: claimvalues.Claim, answer: claimvalues.RecordedAnswer) -> bool:
        """Record the answer; return whether the table has confirmed it."""
        body = claimrecords.encode_body(answer.body)
        inline = len(answer.body) <= self._settings.inline_bytes
        record = claimrecords.AnswerRecord(
            http_status=answer.http_status,
            content_type=answer.content_type,
            body=body if inline else None,
            object_key=None if inline else _object_key(body),
        )
        object_text = None if inline else body
        return self._end(claim, claimrecords.ClaimState.DONE, record, object_text)

    def release(self, claim: claimvalues.Claim) -> bool:
        """Release the key: this claim's request was not run and never will be.

        :return: whether the table has confirmed it.
        """
        return self._end(claim, claimrecords.ClaimState.RELEASED)

    def mark_unknown(self, claim: claimvalues.Claim) -> bool:
        """Record that the request was dispatched and its outcome is unknown.

        :return: whether the table has confirmed it.
        """
        return self._end(claim, claimrecords.ClaimState.UNKNOWN)

    def write_pending(self) -> int:
        """Retry terminal writes that failed; to be called about once a second.

        :return: how many were completed.
        """
        return self._pending_writes.write_pending()

    def _write_claim(self, claim: claimvalues.Claim) -> contract.WriteOutcome:
        record = self._record(claim, claimrecords.ClaimState.CLAIMED)
        condition = contract.Condition(claim.row_key, claim.version)
        write = contract.Put(claim.row_key, record.text())
        return self._commits.submit(groupcommit.Unit((condition,), (write,)))

    def _read_back(
        self, claim: claimvalues.Claim, has_conflict: bool
    ) -> claimvalues.ClaimOutcome | claimvalues.Claim:
        """Return the outcome, or the claim with the version at which to write it."""
        read = self._table.read(claim.row_key)
        if isinstance(read, contract.Unavailable):
            # A conflict means that another attempt may have run. "Not run" would let the
            # caller send the same request again under another key.
            if has_conflict:
                return claimvalues.claim_unreadable(self._settings.retry_after_s)
            return claimvalues.claims_unavailable(self._settings.retry_after_s)
        if isinstance(read, contract.Missing):
            return dataclasses.replace(claim, version=0)
        record = claimrecords.ClaimRecord.parse(read.row.value)
        if record is None:
            return claimvalues.OutcomeUnknown()
        if record.attempt == claim.attempt:
            return self._grant(claim, read.row.version)
        if self._is_claimable(record):
            return dataclasses.replace(claim, version=read.row.version)
        return self._known_outcome(record, claim.fingerprint)

    def _is_claimable(self, record: claimrecords.ClaimRecord) -> bool:
        if record.state is claimrecords.ClaimState.RELEASED:
            return True
        # The claim of an attempt of this process that ended as not run, before the row says
        # so. The claim of another process is never claimable, as it may still dispatch.
        claimed = record.state is claimrecords.ClaimState.CLAIMED
        return claimed and self._pending_writes.is_released(record.attempt)

    def _known_outcome(
        self, record: claimrecords.ClaimRecord, fingerprint: str
    ) -> claimvalues.ClaimOutcome:
        if record.fingerprint != fingerprint:
            return claimvalues.KeyReused()
        if record.state is claimrecords.ClaimState.DONE:
            return self._recorded(record.answer)
        age_s = self._clock.wall() - record.wall_s
        in_progress = age_s < self._settings.in_progress_s
        if record.state is claimrecords.ClaimState.CLAIMED and in_progress:
            return claimvalues.InProgress(self._settings.retry_after_s)
        return claimvalues.OutcomeUnknown()

    def _recorded(self, answer: claimrecords.AnswerRecord) -> claimvalues.ClaimOutcome:
        body = answer.body
        if answer.object_key is not None:
            read = self._objects.get(answer.object_key)
            body = read.row.value if isinstance(read, contract.Found) else None
            if body is not None and _object_key(body) != answer.object_key:
                # Also a part of a body may be valid base64.
                body = None
        decoded = None if body is None else claimrecords.decode_answer(answer, body)
        if decoded is not None:
            return claimvalues.Recorded(decoded)
        return claimvalues.answer_unreadable(self._settings.retry_after_s)

    def _grant(self, claim: claimvalues.Claim, version: int) -> claimvalues.Granted:
        self._open_claims.open(claim)
        return claimvalues.Granted(dataclasses.replace(claim, version=version))

    def _schedule_release(self, claim: claimvalues.Claim) -> None:
        """Schedule the release of a claim whose write got no response.

        The write may have taken effect or may still do so. No ``Claim`` was returned for this
        attempt, so it never dispatches and "not run" stays true.
        """
        record = self._record(claim, claimrecords.ClaimState.RELEASED)
        self._pending_writes.add(pendingwrites.TerminalWrite(claim, record, claimed=False))

    def _end(
        self,
        claim: claimvalues.Claim,
        state: claimrecords.ClaimState,
        answer: claimrecords.AnswerRecord | None = None,
        object_text: str | None = None,
    ) -> bool:
        # Closed before the write is sent: once the row may say "released", another attempt
        # may run, so this one must not dispatch any more.
        if not self._open_claims.close(claim):
            return True  # only the first end of a claim counts
        record = self._record(claim, state, answer)
        terminal_write = pendingwrites.TerminalWrite(
            claim, record, claimed=True, object_text=object_text
        )
        # The row of such an old claim may have been swept and belong to another attempt, at
        # the same version. The pending write reads the row before it writes.
        recent = self._clock.now() - claim.started_at < self._settings.in_progress_s
        if recent and terminal_write.store_object(self._objects):
            written = self._commits.submit(terminal_write.unit(claim.version))
            if isinstance(written, contract.Committed):
                return True
        self._pending_writes.add(terminal_write)
        return False

    def _record(
        self,
        claim: claimvalues.Claim,
        state: claimrecords.ClaimState,
        answer: claimrecords.AnswerRecord | None = None,
    ) -> claimrecords.ClaimRecord:
        return claimrecords.ClaimRecord(
            state=state,
            attempt=claim.attempt,
            node=self._node_name,
            fingerprint=claim.fingerprint,
            wall_s=self._clock.wall(),
            answer=answer,
        )


def _object_key(body: str) -> str:
    return OBJECT_PREFIX + hashlib.sha256(body.encode()).hexdigest()
