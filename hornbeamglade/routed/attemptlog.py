"""What a request's attempts have come to so far."""

import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.replicas import ratelimits


@dataclasses.dataclass(slots=True)
class AttemptLog:
    """The attempts of one request.

    :param tried: replicas that it was sent to, or that could not be reached.
    :param sent: attempts that a replica may have received.
    :param may_have_run: whether one of them may have run.
    :param in_flight_replica: the replica of the attempt that has not ended, or None.
    :param has_answer: whether that replica has begun to answer.
    :param limit_per_s: the limit that the replica of the newest attempt had named, or None.
    """

    tried: list[str] = dataclasses.field(default_factory=list)
    sent: int = 0
    may_have_run: bool = False
    in_flight_replica: str | None = None
    has_response: bool = False
    limit_per_s: float | None = None

    def start(self, replica_id: str, limit: ratelimits.RateLimit | None) -> None:
        """Note that the request is being sent to a replica, and the limit that it had named."""
        self.in_flight_replica = replica_id
        self.limit_per_s = None if limit is None else limit.requests_per_s

    def record_response_started(self) -> None:
        """Note that the replica under way has begun to answer."""
        self.has_response = True

    def record_end(self, replica_id: str, run: outcomes.RunStatus, was_sent: bool) -> None:
        """Note an attempt that ended without an answer for the caller."""
        self.in_flight_replica = None
        self.has_response = False
        self.tried.append(replica_id)
        self.sent += was_sent
        self.may_have_run = self.may_have_run or run is not outcomes.RunStatus.NOT_RUN

    @property
    def run(self) -> outcomes.RunStatus:
        """What is known over all attempts."""
        if self.may_have_run or self.in_flight_replica is not None:
            return outcomes.RunStatus.UNKNOWN
        return outcomes.RunStatus.NOT_RUN
