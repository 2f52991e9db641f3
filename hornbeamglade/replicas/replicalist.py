"""The platform's list of replicas, as this node knows it."""

import collections.abc
import dataclasses

from hornbeamglade.replicas import models


@dataclasses.dataclass(frozen=True, slots=True)
class ListChange:
    """What a change of the list did to one replica.

    :param replica: as it is now, or was before it was gone.
    :param what: ``added``, ``leaving``, ``gone``, ``changed``; ``restarted`` of the former
        start of a server that has started anew; ``unread`` when its entry cannot be read.
    """

    replica: models.Replica
    kind: str


class ReplicaList:
    """Replicas by id and by service, at one version of the platform's table.

    Explanation
    ===========

    A replica that is taken from the list may serve on for some seconds, and its runs go
    on there; it stays known as departed until :meth:`forget_departed`.

    Rows come with the version at which they were written. Only rows newer than those
    known are taken: a change that arrives late, over another way, must not bring back
    a replica that has left.

    A server that starts again under its name is another replica: it holds nothing of
    before, and whatever was believed of its former start is believed of an id that is no
    longer listed. Which start is the newer one is told by their times, not by the order in
    which entries arrive. Once a name has told the time of a start, an entry without one is
    that of another writer.
    """

    def __init__(self) -> None:
        self.version = 0
        self.departed_by_id: dict[str, models.Replica] = {}
        self.by_id: dict[str, models.Replica] = {}
        self._id_by_name: dict[str, str] = {}
        self._newest_start_by_name: dict[str, int] = {}
        self._ids_by_service: dict[str, tuple[str, ...]] = {}

    def of_service(self, service: str) -> tuple[models.Replica, ...]:
        """Return the replicas of a service, those that leave included."""
        return tuple(self.by_id[each] for each in self._ids_by_service.get(service, ()))

    def by_name(self, name: str) -> models.Replica | None:
        """Return the replica that a server's name stands for now, or None."""
        replica_id = self._id_by_name.get(name)
        return None if replica_id is None else self.by_id[replica_id]

    def is_usable(self, replica_id: str) -> bool:
        """Tell whether a replica may get new work."""
        replica = self.by_id.get(replica_id)
        return replica is not None and not replica.is_leaving

    def replace(
        self,
        replicas: collections.abc.Iterable[models.Replica],
        version: int,
        unread: collections.abc.Iterable[str] = (),
    ) -> tuple[ListChange, ...]:
        """Take the whole list as of ``version``; an older one changes nothing.

        :param unread: names whose entries cannot be read.
        """
        if version < self.version:
            return ()
        replicas, unread = tuple(replicas), tuple(unread)
        listed = {replica.name for replica in replicas} | set(unread)
        gone = [name for name in self._newest_start_by_name if name not in listed]
        return self._take(replicas, gone, unread, version)

    def update(
        self,
        present: collections.abc.Iterable[models.Replica],
        gone: collections.abc.Iterable[str],
        version: int,
        unread: collections.abc.Iterable[str] = (),
    ) -> tuple[ListChange, ...]:
        """Take changes up to ``version``; older ones change nothing.

        :param gone: names that were taken from the list.
        :param unread: names whose entries cannot be read.
        """
        if version <= self.version:
            return ()
        return self._take(present, gone, unread, version)

    def forget_departed(self, replica_id: str) -> None:
        """Forget a replica that was taken from the list some time ago."""
        self.departed_by_id.pop(replica_id, None)

    def _take(
        self,
        present: collections.abc.Iterable[models.Replica],
        gone: collections.abc.Iterable[str],
        unread: collections.abc.Iterable[str],
        version: int,
    ) -> tuple[ListChange, ...]:
        changes: list[ListChange] = []
        for replica in present:
            changes += self._enter(replica)
        for name in gone:
            changes += self._remove(name, "gone")
            self._newest_start_by_name.pop(name, None)
        for name in unread:
            changes += self._remove(name, "unread")
            self._newest_start_by_name.setdefault(name, 0)
        self.version = version
        self._sort_by_service()
        return tuple(changes)

    def _enter(self, replica: models.Replica) -> list[ListChange]:
        newest = self._newest_start_by_name.get(replica.name, 0)
        if newest and not replica.started_ms:
            return self._remove(replica.name, "unread")
        if replica.started_ms < newest:
            return []
        self._newest_start_by_name[replica.name] = replica.started_ms
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
            is_new = replica.is_leaving and not before.is_leaving
            changes.append(ListChange(replica, "leaving" if is_new else "changed"))
        return changes

    def _remove(self, name: str, kind: str) -> list[ListChange]:
        replica_id = self._id_by_name.pop(name, None)
        if replica_id is None:
            return []
        replica = self.by_id.pop(replica_id)
        if kind == "gone":
            self.departed_by_id[replica_id] = replica
        return [ListChange(replica, kind)]

    def _sort_by_service(self) -> None:
        ids_by_service: dict[str, list[str]] = {}
        for replica in self.by_id.values():
            ids_by_service.setdefault(replica.service, []).append(replica.id)
        self._ids_by_service = {
            service: tuple(sorted(ids)) for service, ids in ids_by_service.items()
        }
