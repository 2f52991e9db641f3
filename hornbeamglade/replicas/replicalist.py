"""The platform's list of replicas, as this node knows it."""

import collections.abc
import dataclasses

from hornbeamglade.replicas import models


@dataclasses.dataclass(frozen=True, slots=True)
class ListChange:
    """What a change of the list did to one replica.

    :param replica: as it is now, or was before it was gone.
    :param what: ``added``, ``leaving``, ``gone`` or ``changed``.
    """

    replica: models.Replica
    what: str


class ReplicaList:
    """Replicas by id and by service, at one version of the platform's table.

    Explanation
    ===========

    A replica that is taken from the list may serve on for some seconds, and its runs go
    on there; it stays known as departed until :meth:`forget_departed`.

    Rows come with the version at which they were written. Only rows newer than those
    known are taken: a change that arrives late, over another way, must not bring back
    a replica that has left.
    """

    def __init__(self) -> None:
        self.version = 0
        self.departed_by_id: dict[str, models.Replica] = {}
        self.by_id: dict[str, models.Replica] = {}
        self._ids_by_service: dict[str, tuple[str, ...]] = {}

    def of_service(self, service: str) -> tuple[models.Replica, ...]:
        """Return the replicas of a service, those that leave included."""
        return tuple(self.by_id[each] for each in self._ids_by_service.get(service, ()))

    def is_usable(self, replica_id: str) -> bool:
        """Tell whether a replica may get new work."""
        replica = self.by_id.get(replica_id)
        return replica is not None and not replica.is_leaving

    def replace(
        self, replicas: collections.abc.Iterable[models.Replica], version: int
    ) -> tuple[ListChange, ...]:
        """Take the whole list as of ``version``; an older one changes nothing."""
        if version < self.version:
            return ()
        by_id = {replica.id: replica for replica in replicas}
        changes = [
            ListChange(replica, "gone")
            for replica_id, replica in self.by_id.items()
            if replica_id not in by_id
        ]
        changes += [
            change
            for replica in by_id.values()
            if (change := _change(self.by_id.get(replica.id), replica)) is not None
        ]
        self._take(by_id, version)
        return tuple(changes)

    def update(
        self,
        present: collections.abc.Iterable[models.Replica],
        gone: collections.abc.Iterable[str],
        version: int,
    ) -> tuple[ListChange, ...]:
        """Take changes up to ``version``; older ones change nothing."""
        if version <= self.version:
            return ()
        by_id = dict(self.by_id)
        changes = []
        for replica in present:
            change = _change(by_id.get(replica.id), replica)
            if change is not None:
                changes.append(change)
            by_id[replica.id] = replica
        for replica_id in gone:
            replica = by_id.pop(replica_id, None)
            if replica is not None:
                changes.append(ListChange(replica, "gone"))
        self._take(by_id, version)
        return tuple(changes)

    def forget_departed(self, replica_id: str) -> None:
        """Forget a replica that was taken from the list some time ago."""
        self.departed_by_id.pop(replica_id, None)

    def _take(self, by_id: dict[str, models.Replica], version: int) -> None:
        for replica_id, replica in self.by_id.items():
            if replica_id not in by_id:
                self.departed_by_id[replica_id] = replica
        for replica_id in by_id:
            self.departed_by_id.pop(replica_id, None)
        ids_by_service: dict[str, list[str]] = {}
        for replica in by_id.values():
            ids_by_service.setdefault(replica.service, []).append(replica.id)
        self.by_id = by_id
        self.version = version
        self._ids_by_service = {
            service: tuple(sorted(ids)) for service, ids in ids_by_service.items()
        }


def _change(before: models.Replica | None, after: models.Replica) -> ListChange | None:
    if before is None:
        return ListChange(after, "added")
    if after.is_leaving and not before.is_leaving:
        return ListChange(after, "leaving")
    return None if before == after else ListChange(after, "changed")
