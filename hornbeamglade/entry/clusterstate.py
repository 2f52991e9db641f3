"""The configuration, replica list and evacuations as this instance knows them."""

import collections.abc
import dataclasses

from hornbeamglade.core import clocks, codederrors
from hornbeamglade.entry import documentsync, listhistory
from hornbeamglade.exchange import messages
from hornbeamglade.observability import logs
from hornbeamglade.platform import manifest, replicarows, tables
from hornbeamglade.replicas import availability, replicalist
from hornbeamglade.replicas import evacuations as evacuationlib
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import views
from hornbeamglade.store import contract, positions, tablefollower

REACHABLE_TIMEOUT_S = tablefollower.LONG_POLL_S + 1.5
"""The store answers a long poll within a second after its wait time has ended."""

MAX_LOGGED_PROBLEMS = 100
"""Undecodable entries that are logged at a time. Any program may write to the list, and each
log line costs as much as that of a request."""

UNDECODABLE = "undecodable"
STORE = "store"
PEER = "peer"
RESPONSE = "response"

TableOutcome = contract.Snapshot | contract.Changes | contract.Unavailable
ListChanged = collections.abc.Callable[[tuple[replicalist.ListChange, ...]], None]


class ClusterState:
    """Applies updates from the store and from other instances; for the event loop only.

    Explanation
    ===========

    State never goes back: a configuration is applied only if its revision is higher than that
    in force, a replica list or the evacuations only if their position is. A document that
    cannot be decoded leaves the former one in force.

    A store that was restored from an older copy lacks later writes until they are repeated.
    So the first snapshot of a new era is merged with the known state: missing entries stay,
    departed replicas stay departed, and leaving replicas stay leaving. Changes from the feed
    of that era, and the next snapshot, apply as they are.

    :param current: the configuration in force; updated here.
    :param available: the replica list and the evacuations; updated here.
    :param clock: monotonic time.
    :param on_list_changed: called with each change of the replica list.
    :param on_configured: called after another configuration has come into force.
    :param on_evacuated: called after an evacuation has begun or ended.
    """

    def __init__(
        self,
        current: views.CurrentView,
        available: availability.Availability,
        clock: clocks.Clock,
        on_list_changed: ListChanged,
        on_configured: collections.abc.Callable[[], None],
        on_evacuated: collections.abc.Callable[[], None],
    ) -> None:
        self._current = current
        self._available = available
        self._replicas = available.replicas
        self._clock = clock
        self._on_list_changed = on_list_changed
        self._on_configured = on_configured
        self._on_evacuated = on_evacuated
        self._document = b""
        self._row_by_key: dict[str, contract.Row] = {}
        self._decoded_by_key: dict[str, tuple[contract.Row, replicamodels.Replica]] = {}
        self._history = listhistory.ListHistory()
        self._problem_by_key: dict[str, str] = {}
        self._reached_by_table: dict[str, bool] = {}
        self._confirmed_at: float | None = None
        self.problem: str | None = None
        self.reached_at_by_table: dict[str, float] = {}

    def versions(self) -> documentsync.Versions:
        """Return the versions that this instance holds."""
        route_view = self._current.routes
        revision = 0 if route_view is None else route_view.revision
        return documentsync.Versions(revision, self._replicas.version)

    def replica_list_staleness(self) -> views.ListStaleness:
        """Return the version of the replica list and its age."""
        read_at = self.reached_at_by_table.get(tables.REPLICAS)
        times = [each for each in (read_at, self._confirmed_at) if each is not None]
        age_s = self._clock.now() - max(times) if times else None
        return views.ListStaleness(self._replicas.version, age_s)

    def on_announcement(self, announcement: messages.VersionAnnouncement) -> None:
        """Process a follower's version announcement, which may confirm this replica list."""
        if announcement.is_reached and announcement.list_version <= self._replicas.version:
            self._confirmed_at = self._clock.now()
        self.apply_evacuations(announcement.evacuations, PEER)

    def is_reached(self) -> bool:
        """Return whether the store answers this instance, as far as it has tried."""
        now = self._clock.now()
        reached_at = self.reached_at_by_table
        return all(
            self._reached_by_table.get(table, False)
            and now - reached_at[table] < REACHABLE_TIMEOUT_S
            for table in (tables.CONFIGURATION, tables.REPLICAS)
        )

    def read_document(self, subject: messages.Subject, since: int = 0) -> bytes | None:
        """Return a document for another instance, or None.

        :param since: the position of the list that the other instance holds, or 0. Only the
            changes after it are returned if they are still known.
        """
        if subject is messages.Subject.CONFIGURATION:
            return self._document or None
        return self._history.changes_since(since) or listhistory.encode_list(
            self._row_by_key.values()
        )

    def apply_document(self, subject: messages.Subject, version: int, document: bytes) -> None:
        """Apply a document fetched from another instance."""
        if subject is messages.Subject.CONFIGURATION:
            self._apply_configuration(document, PEER)
            return
        self._confirmed_at = self._clock.now()
        decoded = listhistory.decode(document)
        if not isinstance(decoded, listhistory.Delta):
            self._apply_snapshot(contract.Snapshot(decoded, version), PEER)
        elif decoded.since <= self._replicas.version < decoded.changes.newest:
            self._apply_changes(decoded.changes, PEER)

    def on_configuration(self, outcome: TableOutcome) -> None:
        """Process the outcome of polling the configuration table."""
        if not self._record_reachability(tables.CONFIGURATION, outcome):
            return
        self._apply_evacuation_rows(outcome)
        rows = outcome.rows if isinstance(outcome, contract.Snapshot) else outcome.written_rows
        row = tables.configuration_row(rows)
        if row is not None:
            self._apply_configuration(row.value.encode(), STORE)

    def on_replicas(self, outcome: TableOutcome) -> None:
        """Process the outcome of polling the replica table."""
        if not self._record_reachability(tables.REPLICAS, outcome):
            return
        if isinstance(outcome, contract.Snapshot):
            self._apply_snapshot(outcome, STORE)
        elif outcome.newest > self._replicas.version:
            self._apply_changes(outcome, STORE)

    def record_leaving(self, replica_id: str) -> None:
        """Record that a replica has stated in a response that it is leaving."""
        self._report(self._replicas.record_leaving(replica_id), RESPONSE)

    def apply_evacuations(self, state: evacuationlib.Evacuations, source: str) -> None:
        """Apply a state of the evacuations, unless it is older than the known one.

        :param source: where it comes from, for the log.
        """
        changed = self._available.apply_evacuations(state, self._clock.now())
        for domain in sorted(changed):
            names = ("serving", "evacuated")
            before, after = names if domain in state.domains else reversed(names)
            logs.state_changed(
                "evacuation",
                before,
                after,
                domain=domain,
                sequence=positions.version(state.version),
                era=positions.era(state.version),
                source=source,
            )
        if changed:
            self._on_evacuated()

    def _apply_evacuation_rows(self, outcome: contract.Snapshot | contract.Changes) -> None:
        if isinstance(outcome, contract.Snapshot):
            domains = tables.evacuated_domains(row.key for row in outcome.rows)
            known = self._available.evacuations
            if _is_new_era(known.version, outcome.version):
                domains |= known.domains
            state = evacuationlib.Evacuations(outcome.version, domains)
        else:
            state = self._available.evacuations.updated(
                tables.evacuated_domains(row.key for row in outcome.written_rows),
                tables.evacuated_domains(outcome.deleted_keys),
                outcome.newest,
            )
        self.apply_evacuations(state, STORE)

    def _record_reachability(self, table: str, outcome: TableOutcome) -> bool:
        """Record whether the store answered; return whether it did."""
        is_reached = not isinstance(outcome, contract.Unavailable)
        was_reached = self._reached_by_table.get(table)
        if was_reached is not is_reached:
            self._reached_by_table[table] = is_reached
            before = "unknown" if was_reached is None else _reachability(was_reached)
            reason = outcome.reason if isinstance(outcome, contract.Unavailable) else "answered"
            logs.state_changed(
                "store", before, _reachability(is_reached), table=table, reason=logs.slug(reason)
            )
        if is_reached:
            self.reached_at_by_table[table] = self._clock.now()
        return is_reached

    def _apply_configuration(self, document: bytes, source: str) -> None:
        try:
            configuration = manifest.decode(document)
        except codederrors.CodedError as error:
            self._record_problem(error)
            return
        before = self.versions().configuration
        if configuration.revision <= before:
            return
        self.problem = None
        self._document = document
        self._current.routes = views.RouteView(configuration)
        logs.state_changed("config", str(before), str(configuration.revision), source=source)
        self._on_configured()

    def _record_problem(self, error: codederrors.CodedError) -> None:
        logs.state_changed(
            "config_problem", self.problem or "none", error.code, reason=logs.slug(error.detail)
        )
        self.problem = error.code

    def _apply_snapshot(self, snapshot: contract.Snapshot, source: str) -> None:
        if snapshot.version < self._replicas.version:
            return
        rows = snapshot.rows
        if source == STORE and _is_new_era(self._replicas.version, snapshot.version):
            rows = self._merged(rows)
        kept, replicas, undecodable = self._decode_rows(rows)
        changes = self._replicas.replace(replicas, snapshot.version, undecodable)
        self._row_by_key = {row.key: row for row in kept}
        self._history.reset(snapshot.version)
        for key in self._problem_by_key.keys() - self._row_by_key.keys():
            del self._problem_by_key[key]
        for key in self._decoded_by_key.keys() - self._row_by_key.keys():
            del self._decoded_by_key[key]
        self._report(changes, source)

    def _merged(self, restored: tuple[contract.Row, ...]) -> tuple[contract.Row, ...]:
        """Return the rows of a restored table, merged with the state known from later writes."""
        gone = {replica.name for replica in self._replicas.departed_by_id.values()}
        row_by_key = {
            row.key: row for row in restored if replicarows.server_name(row.key) not in gone
        }
        for key, known in self._row_by_key.items():
            if key not in row_by_key or self._is_leaving(known):
                row_by_key[key] = known
        logs.state_changed(
            "replica_list", "lost", "joined", count=len(row_by_key), sequence=len(restored)
        )
        return tuple(row_by_key[key] for key in sorted(row_by_key))

    def _is_leaving(self, row: contract.Row) -> bool:
        replica = self._replicas.by_name(replicarows.server_name(row.key))
        return replica is not None and replica.is_leaving

    def _apply_changes(self, changes: contract.Changes, source: str) -> None:
        kept, replicas, undecodable = self._decode_rows(changes.written_rows)
        self._history.add(dataclasses.replace(changes, written_rows=kept))
        for row in kept:
            self._row_by_key[row.key] = row
        for key in changes.deleted_keys:
            self._row_by_key.pop(key, None)
            self._decoded_by_key.pop(key, None)
            self._problem_by_key.pop(key, None)
        gone = [replicarows.server_name(key) for key in changes.deleted_keys]
        list_changes = self._replicas.update(replicas, gone, changes.newest, undecodable)
        self._report(list_changes, source)

    def _decode_rows(
        self, rows: collections.abc.Iterable[contract.Row]
    ) -> tuple[tuple[contract.Row, ...], list[replicamodels.Replica], list[str]]:
        """Return the rows to keep, the decoded entries, and the names of the undecodable ones.

        An undecodable row is kept without its value, which may be long: all rows are passed on
        to other instances in one document.
        """
        kept: list[contract.Row] = []
        replicas: list[replicamodels.Replica] = []
        undecodable: list[str] = []
        for row in rows:
            known = self._decoded_by_key.get(row.key)
            if known is not None and known[0] == row:
                kept.append(row)
                replicas.append(known[1])
                continue
            try:
                replica = replicarows.decode(row)
                self._decoded_by_key[row.key] = (row, replica)
                kept.append(row)
                replicas.append(replica)
                self._record_entry(row.key, None)
            except codederrors.CodedError as error:
                problem = row.problem or UNDECODABLE
                kept.append(dataclasses.replace(row, value="", problem=problem))
                undecodable.append(replicarows.server_name(row.key))
                self._record_entry(row.key, error)
        return tuple(kept), replicas, undecodable

    def _record_entry(self, key: str, error: codederrors.CodedError | None) -> None:
        """Log whether an entry can be decoded, if that changed.

        Another program may write one bad entry repeatedly, or many. A line is written only
        when an entry's problem changes, and for a limited number of entries at a time.
        """
        before = self._problem_by_key.get(key)
        detail = None if error is None else error.detail
        if before == detail or (
            before is None and len(self._problem_by_key) >= MAX_LOGGED_PROBLEMS
        ):
            return
        if error is None:
            del self._problem_by_key[key]
            logs.state_changed("replica_entry", "unread", "read", replica=logs.slug(key))
            return
        self._problem_by_key[key] = error.detail
        logs.state_changed("replica_entry", "unread", error.code, reason=logs.slug(error.detail))

    def _report(self, changes: tuple[replicalist.ListChange, ...], source: str) -> None:
        for change in changes:
            if change.kind != "changed":
                logs.state_changed(
                    "replica",
                    "listed" if change.kind != "added" else "unknown",
                    change.kind,
                    replica=change.replica.id,
                    service=change.replica.service,
                    address=change.replica.address,
                    domain=change.replica.failure_domain,
                    warm_in_s=change.replica.warm_in_s,
                    sequence=positions.version(self._replicas.version),
                    era=positions.era(self._replicas.version),
                    source=source,
                )
        if changes:
            self._on_list_changed(changes)


def _is_new_era(known: int, read: int) -> bool:
    """Return whether a snapshot is the first since the store was restored from an older copy."""
    return known > 0 and positions.era(read) > positions.era(known)


def _reachability(is_reached: bool) -> str:
    return "reached" if is_reached else "lost"
