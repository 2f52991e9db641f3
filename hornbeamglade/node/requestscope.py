"""The resources that one request holds at this node, released exactly once."""

import contextlib
import threading
from collections.abc import Callable

from hornbeamglade.configuration import models
from hornbeamglade.grants import grantacquirer
from hornbeamglade.node import onceonly, runtime
from hornbeamglade.teams import limits


class RequestScope:
    """A request's place in its team's limit, its claim and its grant.

    :param parts: the node's components.
    :param request_id: the request's id.
    :param team: the team's name.
    :param service_name: the service's name.
    :param service: the service's configuration.
    :param dispatch: the permit to dispatch the request.
    :param admission: its place in the team's limit.
    :param fingerprint: identifies repetitions of the same request.
    """

    def __init__(
        self,
        parts: runtime.Runtime,
        request_id: str,
        team: str,
        service_name: str,
        service: models.Service,
        dispatch: onceonly.DispatchPermit,
        admission: limits.Admission,
        fingerprint: int,
    ) -> None:
        self.parts = parts
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.team = team
        self.service_name = service_name
        self.service = service
        self.dispatch = dispatch
        self.started = parts.clock.now()
        self.grant: grantacquirer.Grant | None = None
        self._admission = admission
        self._lock = threading.Lock()
        self._is_ended = False
        self._deadline: int | None = None
        self._sent_at = self.started

    @property
    def ends_at(self) -> float:
        """Monotonic seconds of the request's deadline."""
        return self.started + self.service.total_s

    def cancel_at_deadline(self, cancel: Callable[[], None]) -> None:
        """Cancel the current attempt when the request's deadline passes.

        :param cancel: replaces the callback of an earlier attempt.
        """
        if self._deadline is not None:
            self.parts.deadlines.remove(self._deadline)
        self._deadline = self.parts.deadlines.add(self.ends_at, cancel)

    def report_lost_run(self, replica: str, address: str) -> None:
        """Report that the connection to a replica ended before the response was complete."""
        self.parts.crashes.check_lost_run(self.fingerprint, replica, address, self._sent_at)

    def mark_sent(self) -> None:
        """Record the time at which the request is sent to a replica."""
        self._sent_at = self.parts.clock.now()

    def release_grant(self) -> None:
        """Release the grant; idempotent."""
        if self.grant is not None:
            self.grant.release()
            self.grant = None

    def end(self, outcome: str) -> None:
        """Release all resources and count the outcome; later calls have no effect.

        :param outcome: the label for the metrics.
        """
        with self._lock:
            if self._is_ended:
                return
            self._is_ended = True
        if self._deadline is not None:
            self.parts.deadlines.remove(self._deadline)
        # Each resource is released even if releasing another one fails, in reverse order.
        with contextlib.ExitStack() as stack:
            stack.callback(self.parts.metrics.requests.add, labels=(self.service_name, outcome))
            stack.callback(self.parts.in_flight.leave, self._admission)
            stack.callback(self.dispatch.close)
            stack.callback(self.release_grant)
