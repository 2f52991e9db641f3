"""What a request's attempts have come to so far."""

import dataclasses

from hornbeamglade.core import outcomes


@dataclasses.dataclass(slots=True)
class AttemptLog:
    """The attempts of one request.

    :param tried: replicas that it was sent to, or that could not be reached.
    :param sent: attempts that a replica may have received.
    :param may_have_run: whether one of them may have run.
    :param under_way: the replica of the attempt that has not ended, or None.
    :param has_answer: whether that replica has begun to answer.
    """

    tried: list[str] = dataclasses.field(default_factory=list)
    sent: int = 0
    may_have_run: bool = False
    under_way: str | None = None
    has_answer: bool = False

    def begin(self, replica_id: str) -> None:
        """Note that the request is being sent to a replica."""
        self.under_way = replica_id

    def answered(self) -> None:
        """Note that the replica under way has begun to answer."""
        self.has_answer = True

    def note(self, replica_id: str, run: outcomes.RunStatus, was_sent: bool) -> None:
        """Note an attempt that ended without an answer for the caller."""
        self.under_way = None
        self.has_answer = False
        self.tried.append(replica_id)
        self.sent += was_sent
        self.may_have_run = self.may_have_run or run is not outcomes.RunStatus.NOT_RUN

    @property
    def run(self) -> outcomes.RunStatus:
        """What is known over all attempts."""
        if self.may_have_run or self.under_way is not None:
            return outcomes.RunStatus.UNKNOWN
        return outcomes.RunStatus.NOT_RUN
