"""The platform's list of replicas, as known to this node, and what they state themselves."""

import collections.abc
import dataclasses

from hornbeamglade.replicas import models

MAX_LEAVING_UNLISTED = 4096
"""Replicas that are no longer listed and remain known as leaving: more than the largest site has.
An entry that expired while the store was down may come back."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListChange:
    """The effect of a list change on one replica.

    :param replica: the replica in its new state, or as it was before it was removed.
    :param kind: ``added``, ``leaving``, ``gone`` or ``changed``; ``restarted`` for the
        previous incarnation of a server that has restarted; ``unread`` if its entry is
        malformed.
    """

    replica: models.Replica
    kind: str


class ReplicaList:
    """Replicas by id and by service, at one version of the platform's table.

    Explanation
    ===========

    A replica that is removed from the list may continue to serve its running requests for
    some seconds. It remains known as departed until :meth:`forget_departed`.

    Rows have the version at which they were written. Only rows newer than the known ones
    are applied, since a change that arrives late by another way must not restore a replica
    that has been removed.

    A server that restarts with the same name is another replica: it has none of the
    previous state, and all information about its previous incarnation belongs to an id
    that is no longer listed. The newer of two incarnations is determined by their start
    times, not by the order in which entries arrive. Once an entry with a start time has been
    received for a name, an entry without one comes from another writer.

    A replica that has stated in a response that it is leaving stays so, whatever its entry
    says: the entry may be older, or not written yet because the store is unreachable.
    """

    def __init__(self) -> None:
        self.version = 0
        self.departed_by_id: dict[str, models.Replica] = {}
        self.by_id: dict[str, models.Replica] = {}
        self._id_by_name: dict[str, str] = {}
        self._newest_start_by_name: dict[str, int] = {}
        self._ids_by_service: dict[str, tuple[str, ...]] = {}
        self._id_by_address: dict[str, str] = {}
        self._leaving_by_statement: dict[str, None] = {}
        self._listed_leaving_by_statement: set[str] = set()

    def of_service(self, service: str) -> tuple[models.Replica, ...]:
        """Return the replicas of a service, including leaving ones."""
        return tuple(self.by_id[each] for each in self._ids_by_service.get(service, ()))

    def by_name(self, name: str) -> models.Replica | None:
        """Return the current replica with a server's name, or None."""
        replica_id = self._id_by_name.get(name)
        return None if replica_id is None else self.by_id[replica_id]

    def is_usable(self, replica_id: str) -> bool:
        """Return whether a replica is listed and not leaving."""
        replica = self.by_id.get(replica_id)
        return replica is not None and not replica.is_leaving

    def replace(
        self,
        replicas: collections.abc.Iterable[models.Replica],
        version: int,
        unread: collections.abc.Iterable[str] = (),
    ) -> tuple[ListChange, ...]:
        """Set the full list as of ``version``; an older one is ignored.

        :param unread: names with malformed entries.
        """
        if version < self.version:
            return ()
        replicas, unread = tuple(replicas), tuple(unread)
        listed = {replica.name for replica in replicas} | set(unread)
        gone = [name for name in self._newest_start_by_name if name not in listed]
        return self._apply(replicas, gone, unread, version)

    def update(
        self,
        present: collections.abc.Iterable[models.Replica],
        gone: collections.abc.Iterable[str],
        version: int,
        unread: collections.abc.Iterable[str] = (),
    ) -> tuple[ListChange, ...]:
        """Apply changes up to ``version``; older ones are ignored.

        :param gone: names that were removed from the list.
        :param unread: names with malformed entries.
        """
        if version <= self.version:
            return ()
        return self._apply(present, gone, unread, version)

    def is_replaced(self, replica: models.Replica) -> bool:
        """Return whether a replica's name or address belongs to another listed replica."""
        current = self.by_name(replica.name)
        has_restarted = current is not None and current.id != replica.id
        holder = self._id_by_address.get(replica.address, replica.id)
        return has_restarted or holder != replica.id

    def record_leaving(self, replica_id: str) -> tuple[ListChange, ...]:
        """Record that a replica has stated that it is leaving, for as long as its id is known."""
        if replica_id in self._leaving_by_statement:
            return ()
        self._leaving_by_statement[replica_id] = None
        self._forget_leaving()
        replica = self.by_id.get(replica_id)
        if replica is None:
            return ()
        self._listed_leaving_by_statement.add(replica_id)
        if replica.is_leaving:
            return ()
        leaving = self.by_id[replica_id] = dataclasses.replace(replica, is_leaving=True)
        return (ListChange(leaving, "leaving"),)

    @property
    def leaving_by_statement(self) -> collections.abc.Collection[str]:
        """The ids of the listed replicas that have stated that they are leaving."""
        return self._listed_leaving_by_statement

    def forget_departed(self, replica_id: str) -> None:
        """Forget a replica that was removed from the list some time ago."""
        self.departed_by_id.pop(replica_id, None)

    def _apply(
        self,
        present: collections.abc.Iterable[models.Replica],
        gone: collections.abc.Iterable[str],
        unread: collections.abc.Iterable[str],
        version: int,
    ) -> tuple[ListChange, ...]:
        changes: list[ListChange] = []
        for replica in present:
            changes += self._add(replica)
        for name in gone:
            changes += self._remove(name, "gone")
            self._newest_start_by_name.pop(name, None)
        for name in unread:
            changes += self._remove(name, "unread")
            self._newest_start_by_name.setdefault(name, 0)
        self.version = version
        self._index()
        return tuple(changes)

    def _add(self, replica: models.Replica) -> list[ListChange]:
        newest = self._newest_start_by_name.get(replica.name, 0)
        if newest and not replica.started_ms:
            return self._remove(replica.name, "unread")
        if replica.started_ms < newest:
            return []
        self._newest_start_by_name[replica.name] = replica.started_ms
        if replica.id in self._leaving_by_statement:
            self._listed_leaving_by_statement.add(replica.id)
            replica = dataclasses.replace(replica, is_leaving=True)
        changes: list[ListChange] = []
        if self._id_by_name.get(replica.name, replica.id) != replica.id:
            changes += self._remove(replica.name, "restarted")
        before = self.by_id.get(replica.id)
        self.by_id[replica.id] = replica
        self._id_by_name[replica.name] = replica.id
        self.departed_by_id.pop(replica.id, None)
        if before is None:
            changes.append(ListChange(replica, "added"))
        elif before != replica:
            starts_leaving = replica.is_leaving and not before.is_leaving
            changes.append(ListChange(replica, "leaving" if starts_leaving else "changed"))
        return changes

    def _remove(self, name: str, kind: str) -> list[ListChange]:
        replica_id = self._id_by_name.pop(name, None)
        if replica_id is None:
            return []
        replica = self.by_id.pop(replica_id)
        self._listed_leaving_by_statement.discard(replica_id)
        if kind == "gone":
            self.departed_by_id[replica_id] = replica
        return [ListChange(replica, kind)]

    def _forget_leaving(self) -> None:
        unlisted = [each for each in self._leaving_by_statement if each not in self.by_id]
        for replica_id in unlisted[: max(0, len(unlisted) - MAX_LEAVING_UNLISTED)]:
            del self._leaving_by_statement[replica_id]

    def _index(self) -> None:
        ids_by_service: dict[str, list[str]] = {}
        # Of several replicas that are listed with an address, the one that was added last.
        self._id_by_address = {each.address: each.id for each in self.by_id.values()}
        for replica in self.by_id.values():
            ids_by_service.setdefault(replica.service, []).append(replica.id)
        self._ids_by_service = {
            service: tuple(sorted(ids)) for service, ids in ids_by_service.items()
        }
