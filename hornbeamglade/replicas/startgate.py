"""What may keep a request from starting at a replica that is listed and has room."""

import abc

from hornbeamglade.core import outcomes


class StartGate(abc.ABC):
    """Asked by whoever admits requests to replicas."""

    @abc.abstractmethod
    def refusal(self, replica_id: str, now: float) -> outcomes.Refusal | None:
        """Return why no request may start at a replica now, or None.

        :param now: monotonic seconds.
        """

    @abc.abstractmethod
    def started(self, replica_id: str, now: float) -> None:
        """Note that a request starts at a replica."""


class OpenGate(StartGate):
    """Lets every request start."""

    def refusal(self, _replica_id: str, _now: float) -> outcomes.Refusal | None:
        """Return None."""
        return None

    def started(self, replica_id: str, now: float) -> None:
        """Take no note."""
