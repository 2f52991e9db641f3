"""Planned stop of a node without aborting any request.

Explanation
===========

The steps are: announce the stop (in heartbeats and by leaving the node out of address
lists); continue to serve callers with a cached address list until its time to live has
passed and all streams have ended; close the listener; finish the requests that were
accepted before it closed; exit. Draining takes as long as the longest stream, a quarter
of an hour or more. The alternative, a time limit, would abort a request at each planned
stop during a long generation. An operator who requires a limit sets ``hard_limit_s``.

A second stop signal has no effect: supervisors may send several, and the node is
already draining after the first one.
"""

import dataclasses
import enum


class Phase(enum.Enum):
    """The lifecycle phase of a node."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What the daemon must do now.

    :param phase: in ``SERVING`` and ``LEAVING``, requests are accepted; in ``CLOSING``,
        the daemon closes the listener and calls :meth:`Draining.listener_closed`; in
        ``DONE``, the process exits.
    :param aborted_requests: requests aborted by the operator's hard limit; otherwise 0.
    """

    phase: Phase
    aborted_requests: int = 0

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are served or forwarded."""
        return self.phase in (Phase.SERVING, Phase.LEAVING)

    @property
    def closes_connections(self) -> bool:
        """Whether responses ask callers not to reuse their connection."""
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
        """Start in the serving phase.

        :param address_ttl_s: seconds for which callers cache an address list.
        :param propagation_s: seconds until every peer has learned that this node is
            leaving and omits it from its address lists.
        :param hard_limit_s: the operator's limit on the duration of the stop, or None.
        """
        self._announcement_s = address_ttl_s + propagation_s
        self._hard_limit_s = hard_limit_s
        self._began_at: float | None = None
        self._listener_is_closed = False
        self._status = Status(Phase.SERVING)

    def begin(self, now: float) -> bool:
        """Start to leave; idempotent.

        :returns: True for the first call, after which the stop must be announced.
        """
        if self._began_at is not None:
            return False
        self._began_at = now
        self._status = Status(Phase.LEAVING)
        return True

    def listener_closed(self) -> None:
        """Record that no further connection can arrive.

        Explanation
        ===========

        Call this only after the last accepted connection is counted in ``in_flight``.
        """
        self._listener_is_closed = True

    def step(self, now: float, in_flight: int) -> Status:
        """Return what to do now.

        :param now: monotonic seconds.
        :param in_flight: requests accepted and not finished, including queued ones.
        """
        if self._began_at is None or self._status.phase is Phase.DONE:
            return self._status
        elapsed_s = now - self._began_at
        if self._hard_limit_s is not None and elapsed_s >= self._hard_limit_s:
            self._status = Status(Phase.DONE, aborted_requests=in_flight)
        elif self._status.phase is Phase.LEAVING:
            self._leave(elapsed_s, in_flight)
        elif self._listener_is_closed and in_flight == 0:
            # Done only once the listener is closed: a request that arrives between the last
            # count and the closing of the listener would be aborted without a response.
            self._status = Status(Phase.DONE)
        return self._status

    def _leave(self, elapsed_s: float, in_flight: int) -> None:
        if elapsed_s >= self._announcement_s and in_flight == 0:
            self._status = Status(Phase.CLOSING)
