"""Backoff from owners that have refused an immediate grant.

Explanation
===========

Under overload, every waiting request of every instance repeatedly looks for headroom that has
become free. An owner responds to each of these grant requests, mostly with the same response as
before. After a refusal, an instance requests nothing of that size or larger from that owner for a
pause, which doubles with each further refusal and ends with a grant. No request loses its
position because of the pause: each one waits in some owner's queue meanwhile, and that queue is
served first.
"""

import dataclasses

from hornbeamglade.core import clocks

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8
REFUSAL_LIFE_S = 2.0
"""A refusal older than this says nothing about the present load."""


@dataclasses.dataclass(slots=True)
class _Refusals:
    pause_s: float
    refused_at: float
    tokens: int


class OwnerBackoff:
    """The owners that have recently refused one instance's grant requests.

    :param clock: monotonic time.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> backoff = OwnerBackoff(clock)
    >>> backoff.refused("n1", 500)
    >>> backoff.may_ask("n1", 500), backoff.may_ask("n1", 100), backoff.may_ask("n2", 500)
    (False, True, True)
    >>> clock.advance(FIRST_PAUSE_S)
    >>> backoff.may_ask("n1", 500)
    True
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._refusals_by_owner: dict[str, _Refusals] = {}

    def may_ask(self, owner: str, tokens: int) -> bool:
        """Return whether to request a grant of this size from an owner."""
        refusals = self._refusals_by_owner.get(owner)
        if refusals is None or tokens < refusals.tokens:
            return True
        return self._clock.now() - refusals.refused_at >= refusals.pause_s

    def refused(self, owner: str, tokens: int) -> None:
        """Record that an owner refused a grant of this size."""
        now = self._clock.now()
        refusals = self._refusals_by_owner.get(owner)
        if refusals is None or now - refusals.refused_at > REFUSAL_LIFE_S:
            self._refusals_by_owner[owner] = _Refusals(FIRST_PAUSE_S, now, tokens)
            return
        # Refusals of requests that were in flight together count as one.
        if now - refusals.refused_at >= refusals.pause_s:
            refusals.pause_s = min(MAX_PAUSE_S, 2 * refusals.pause_s)
        refusals.refused_at = now
        refusals.tokens = min(refusals.tokens, tokens)

    def granted(self, owner: str) -> None:
        """Record that an owner has free capacity again."""
        self._refusals_by_owner.pop(owner, None)
