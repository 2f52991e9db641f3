"""Interface for refusing the start of a request at a replica that is listed and has capacity."""

import abc

from hornbeamglade.core import outcomes


class StartGate(abc.ABC):
    """Queried by the components that admit requests to replicas."""

    @abc.abstractmethod
    def refusal(self, replica_id: str, now: float) -> outcomes.Refusal | None:
        """Return the refusal if no request may start at a replica now, or None.

        :param now: monotonic seconds.
        """

    @abc.abstractmethod
    def started(self, replica_id: str, now: float) -> None:
        """Record that a request starts at a replica."""


class OpenGate(StartGate):
    """Allows every request to start."""

    def refusal(self, _replica_id: str, _now: float) -> outcomes.Refusal | None:
        """Return None."""
        return None

    def started(self, replica_id: str, now: float) -> None:
        """Record nothing."""
