"""What one request holds at this node, given back exactly once."""

import contextlib
import threading
from collections.abc import Callable

from hornbeamglade.configuration import models
from hornbeamglade.grants import grantacquirer
from hornbeamglade.node import onceonly, runtime
from hornbeamglade.teams import limits


class RequestScope:
    """A request's place in its team's limit, its claim and its grant.

    :param parts: the node's parts.
    :param request_id: the request's id.
    :param team: the team's name.
    :param service_name: the service's name.
    :param service: the service's configuration.
    :param dispatch: the right to dispatch the request.
    :param entered: its place in the team's limit.
    :param fingerprint: by which the same request is known when it comes again.
    """

    def __init__(
        self,
        parts: runtime.Runtime,
        request_id: str,
        team: str,
        service_name: str,
        service: models.Service,
        dispatch: onceonly.OneDispatch,
        entered: limits.Admission,
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
        self._entered = entered
        self._lock = threading.Lock()
        self._is_ended = False
        self._deadline: int | None = None
        self._sent_at = self.started

    @property
    def ends_at(self) -> float:
        """Monotonic seconds at which the request's time is over."""
        return self.started + self.service.total_s

    def end_in_time(self, cancel: Callable[[], None]) -> None:
        """Have the attempt under way cancelled when the request's time is over.

        :param cancel: replaces the one of an earlier attempt.
        """
        if self._deadline is not None:
            self.parts.deadlines.remove(self._deadline)
        self._deadline = self.parts.deadlines.add(self.ends_at, cancel)

    def run_lost(self, replica: str, address: str) -> None:
        """Take note that the connection of its run at a replica ended before the answer."""
        self.parts.crashes.run_lost(self.fingerprint, replica, address, self._sent_at)

    def run_sent(self) -> None:
        """Take note that it is being sent to a replica."""
        self._sent_at = self.parts.clock.now()

    def release_grant(self) -> None:
        """Give the grant back; idempotent."""
        if self.grant is not None:
            self.grant.release()
            self.grant = None

    def end(self, outcome: str) -> None:
        """Give everything back and count the outcome; only the first call counts.

        :param outcome: a short word for the metrics.
        """
        with self._lock:
            if self._is_ended:
                return
            self._is_ended = True
        if self._deadline is not None:
            self.parts.deadlines.remove(self._deadline)
        # Each is given back whatever becomes of the others, the last one first.
        with contextlib.ExitStack() as stack:
            stack.callback(self.parts.metrics.requests.add, labels=(self.service_name, outcome))
            stack.callback(self.parts.in_flight.leave, self._entered)
            stack.callback(self.dispatch.ended)
            stack.callback(self.release_grant)
