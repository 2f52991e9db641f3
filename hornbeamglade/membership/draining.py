"""A node's own planned stop, which cuts off no request.

Explanation
===========

The order is: announce (heartbeats, the answer to callers), go on serving those who
hold an old answer until its time to live is over and all streams have ended,
close the listener, finish what slipped in before it closed, end. Draining takes
as long as the longest stream does, a quarter of an hour or more; weighed against
a bound on it, which would cut off a request at every planned stop that meets a
long answer. An operator who must have a bound sets ``hard_limit_s``.

A second signal to stop changes nothing: supervisors send them in haste, and the
first one is being obeyed.
"""

import dataclasses
import enum


class Phase(enum.Enum):
    """Where a node is in its life."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What the daemon must do now.

    :param phase: in ``SERVING`` and ``LEAVING`` requests are taken; in ``CLOSING`` the
        listener is closed, and :meth:`Draining.listener_closed` called; at ``DONE`` the
        process ends.
    :param cut: requests cut off by the operator's hard limit; else 0.
    """

    phase: Phase
    aborted_requests: int = 0

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are served or passed on."""
        return self.phase in (Phase.SERVING, Phase.LEAVING)

    @property
    def closes_connections(self) -> bool:
        """Whether answers tell callers not to reuse their connection."""
        return self.phase is not Phase.SERVING


class Draining:
    """The aggregate of one node's planned stop; not thread-safe.

    Examples
    ========

    >>> draining = Draining(address_ttl_s=30)
    >>> draining.begin(now=100.0)
    True
    >>> draining.step(now=129.0, in_flight=0).phase
    <Phase.LEAVING: 'leaving'>
    >>> draining.step(now=140.0, in_flight=1).phase
    <Phase.LEAVING: 'leaving'>
    >>> draining.step(now=141.0, in_flight=0).phase
    <Phase.CLOSING: 'closing'>
    >>> draining.listener_closed()
    >>> draining.step(now=141.0, in_flight=0).phase
    <Phase.DONE: 'done'>
    """

    def __init__(
        self, address_ttl_s: float, propagation_s: float = 5.0, hard_limit_s: float | None = None
    ) -> None:
        """Begin as serving.

        :param address_ttl_s: seconds that callers keep an answer.
        :param spread_s: seconds until the last peer has heard that this node
            leaves, and so stops naming it in its answers.
        :param hard_limit_s: the operator's bound on the whole stop, or None.
        """
        self._announcement_s = address_ttl_s + propagation_s
        self._hard_limit_s = hard_limit_s
        self._began_at: float | None = None
        self._listener_is_closed = False
        self._status = Status(Phase.SERVING)

    def begin(self, now: float) -> bool:
        """Begin to leave; idempotent.

        :returns: True the first time, when the stop must be announced.
        """
        if self._began_at is not None:
            return False
        self._began_at = now
        self._status = Status(Phase.LEAVING)
        return True

    def listener_closed(self) -> None:
        """Note that no further connection can arrive.

        Explanation
        ===========

        Call it only after the last connection taken is counted in ``in_flight``.
        """
        self._listener_is_closed = True

    def step(self, now: float, in_flight: int) -> Status:
        """Return what to do now.

        :param now: monotonic seconds.
        :param in_flight: requests taken and not finished, queued ones included.
        """
        if self._began_at is None or self._status.phase is Phase.DONE:
            return self._status
        elapsed_s = now - self._began_at
        if self._hard_limit_s is not None and elapsed_s >= self._hard_limit_s:
            self._status = Status(Phase.DONE, aborted_requests=in_flight)
        elif self._status.phase is Phase.LEAVING:
            self._leave(elapsed_s, in_flight)
        elif self._listener_is_closed and in_flight == 0:
            # Guards against a request that came between the last count and the
            # closing of the listener: it shows as a connection cut unanswered.
            self._status = Status(Phase.DONE)
        return self._status

    def _leave(self, elapsed_s: float, in_flight: int) -> None:
        if elapsed_s >= self._announcement_s and in_flight == 0:
            self._status = Status(Phase.CLOSING)
