"""Which replicas may get new work.

Explanation
===========

A replica gets new work while it is listed, does not leave, and stands in a failure domain that
is not evacuated. What runs at an evacuated replica goes on to its end: moving it would cost a
copy of its memory and room at the replicas that are left, while the evacuated one serves on.
"""

from hornbeamglade.core import outcomes
from hornbeamglade.replicas import evacuations as evacuationlib
from hornbeamglade.replicas import models, replicalist, startgate

EVACUATED_RETRY_S = 0.3


class Availability(startgate.StartGate):
    """Joins the list of replicas with what the operator asks of failure domains.

    :param replicas: the list.
    """

    def __init__(self, replicas: replicalist.ReplicaList) -> None:
        self.replicas = replicas
        self.evacuations = evacuationlib.Evacuations()

    def take_evacuations(self, state: evacuationlib.Evacuations) -> frozenset[str]:
        """Take a state of the evacuations; an older one changes nothing.

        :returns: the failure domains whose evacuation has begun or ended by it.
        """
        before = self.evacuations
        self.evacuations = before.newer(state)
        return before.domains ^ self.evacuations.domains

    def is_evacuated(self, replica: models.Replica) -> bool:
        """Tell whether the operator keeps new work from a replica's failure domain."""
        return replica.failure_domain in self.evacuations.domains

    def accepts(self, replica: models.Replica) -> bool:
        """Tell whether a replica may get new work."""
        return not replica.is_leaving and not self.is_evacuated(replica)

    def usable(self, service: str) -> tuple[models.Replica, ...]:
        """Return the replicas of a service that may get new work."""
        return tuple(each for each in self.replicas.of_service(service) if self.accepts(each))

    def refusal(self, replica_id: str, _now: float) -> outcomes.Refusal | None:
        """Return the refusal of work for an evacuated replica, or None."""
        replica = self.replicas.by_id.get(replica_id)
        if replica is None or not self.is_evacuated(replica):
            return None
        detail = f"the failure domain {replica.failure_domain} is evacuated"
        return outcomes.Refusal("replica_evacuated", 503, detail, retry_after_s=EVACUATED_RETRY_S)

    def started(self, replica_id: str, now: float) -> None:
        """Take no note: evacuations do not count requests."""
