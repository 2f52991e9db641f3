"""The configuration and the list of replicas as this instance believes them."""

import collections.abc

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

REACHABLE_TIMEOUT_S = tablefollower.WAIT_S + 1.5
"""A question is held by the store for the wait, and answered within a second of its end."""

MAX_LOGGED_PROBLEMS = 100
"""Entries of other writers that are decoded in the log at a time; any program may write to the
list, and each line costs what a request's does."""

STORE = "store"
PEER = "peer"

TableOutcome = contract.Snapshot | contract.Changes | contract.Unavailable
ListChanged = collections.abc.Callable[[tuple[replicalist.ListChange, ...]], None]


class ClusterState:
    """Takes what the store and other instances tell; to be used on the event loop only.

    Explanation
    ===========

    No belief ever goes back: a configuration is taken only when its revision is
    higher than that in force, a list or the evacuations only when their position is. One
    that cannot be read leaves the former in force.

    A store that has come back from an older copy lacks what was written since, until it is
    written again. The first reading of such an era is joined with what is known: what it lacks
    stays, what is known to be gone stays gone, and what is known to stop stays so. What the feed
    says of that era holds at once, and so does the next reading.

    :param current: the configuration in force; written here.
    :param available: the list and the evacuations; written here.
    :param clock: monotonic time.
    :param on_list_changed: decoded of each change of the list.
    :param on_configured: called when another configuration is in force.
    :param on_evacuated: called when an evacuation has begun or ended.
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
        """Return what this instance has."""
        route_view = self._current.routes
        revision = 0 if route_view is None else route_view.revision
        return documentsync.Versions(revision, self._replicas.version)

    def replica_list_staleness(self) -> views.ListStaleness:
        """Return what this instance believes of the replicas, and how old that is."""
        read_at = self.reached_at_by_table.get(tables.REPLICAS)
        times = [each for each in (read_at, self._confirmed_at) if each is not None]
        age_s = self._clock.now() - max(times) if times else None
        return views.ListStaleness(self._replicas.version, age_s)

    def on_announcement(self, announcement: messages.VersionAnnouncement) -> None:
        """Take the word of a follower: its list is as new as the store's."""
        if announcement.is_reached and announcement.list_version <= self._replicas.version:
            self._confirmed_at = self._clock.now()
        self.apply_evacuations(announcement.evacuations, PEER)

    def is_reached(self) -> bool:
        """Tell whether the store answers this instance, as far as it has tried."""
        now = self._clock.now()
        reached_at = self.reached_at_by_table
        return all(
            self._reached_by_table.get(table, False)
            and now - reached_at[table] < REACHABLE_TIMEOUT_S
            for table in (tables.CONFIGURATION, tables.REPLICAS)
        )

    def read_document(self, subject: messages.Subject, since: int = 0) -> bytes | None:
        """Return a document for another instance, or None.

        :param since: the position that it has of the list, or 0; what has changed after that
            will do.
        """
        if subject is messages.Subject.CONFIGURATION:
            return self._document or None
        return self._history.changes_since(since) or listhistory.encode_list(
            self._row_by_key.values()
        )

    def apply_document(self, subject: messages.Subject, version: int, document: bytes) -> None:
        """Take a document of another instance."""
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
        """Take an outcome of following the table of the configuration."""
        if not self._record_reachability(tables.CONFIGURATION, outcome):
            return
        self._apply_evacuation_rows(outcome)
        rows = outcome.rows if isinstance(outcome, contract.Snapshot) else outcome.written_rows
        row = tables.configuration_row(rows)
        if row is not None:
            self._apply_configuration(row.value.encode(), STORE)

    def on_replicas(self, outcome: TableOutcome) -> None:
        """Take an outcome of following the table of replicas."""
        if not self._record_reachability(tables.REPLICAS, outcome):
            return
        if isinstance(outcome, contract.Snapshot):
            self._apply_snapshot(outcome, STORE)
        elif outcome.newest > self._replicas.version:
            self._apply_changes(outcome, STORE)

    def apply_evacuations(self, state: evacuationlib.Evacuations, source: str) -> None:
        """Take a state of the evacuations; an older one changes nothing.

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
        """Note whether the store answers; tell whether it has."""
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
        replicas, undecodable = self._decode_rows(rows)
        changes = self._replicas.replace(replicas, snapshot.version, undecodable)
        self._row_by_key = {row.key: row for row in rows}
        self._history.reset(snapshot.version)
        for key in self._problem_by_key.keys() - self._row_by_key.keys():
            del self._problem_by_key[key]
        for key in self._decoded_by_key.keys() - self._row_by_key.keys():
            del self._decoded_by_key[key]
        self._report(changes, source)

    def _merged(self, restored: tuple[contract.Row, ...]) -> tuple[contract.Row, ...]:
        """Return the rows of an older copy, joined with what is known to have come since."""
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
        self._history.add(changes)
        for row in changes.written_rows:
            self._row_by_key[row.key] = row
        for key in changes.deleted_keys:
            self._row_by_key.pop(key, None)
            self._decoded_by_key.pop(key, None)
            self._problem_by_key.pop(key, None)
        replicas, undecodable = self._decode_rows(changes.written_rows)
        gone = [replicarows.server_name(key) for key in changes.deleted_keys]
        made = self._replicas.update(replicas, gone, changes.newest, undecodable)
        self._report(made, source)

    def _decode_rows(
        self, rows: collections.abc.Iterable[contract.Row]
    ) -> tuple[list[replicamodels.Replica], list[str]]:
        """Return the entries that can be read, and the names of those that cannot."""
        replicas: list[replicamodels.Replica] = []
        undecodable: list[str] = []
        for row in rows:
            known = self._decoded_by_key.get(row.key)
            if known is not None and known[0] == row:
                replicas.append(known[1])
                continue
            try:
                replica = replicarows.decode(row)
                self._decoded_by_key[row.key] = (row, replica)
                replicas.append(replica)
                self._record_entry(row.key, None)
            except codederrors.CodedError as error:
                undecodable.append(replicarows.server_name(row.key))
                self._record_entry(row.key, error)
        return replicas, undecodable

    def _record_entry(self, key: str, error: codederrors.CodedError | None) -> None:
        """Log whether an entry can be read, when that is news.

        Another writer may write one bad entry again and again, or many: a line is written
        when an entry's problem changes, and for a bounded number of entries at a time.
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
    """Tell whether a reading is the first one after the store came back from an older copy."""
    return known > 0 and positions.era(read) > positions.era(known)


def _reachability(is_reached: bool) -> str:
    return "reached" if is_reached else "lost"
