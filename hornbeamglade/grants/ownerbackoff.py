"""Whom not to ask again just yet: owners that have refused to grant at once.

Explanation
===========

In a crowd every waiting request of every instance looks again and again for room that has
become free. An owner answers each of these asks, and most answers are the same as the last
one. After a refusal an instance asks that owner for no request of that size or larger for a
pause, which doubles with each further refusal and ends with a grant. Nobody loses a place by
it: whoever waits stands in one owner's queue all the while, and that queue is served first.
"""

import dataclasses

from hornbeamglade.core import clocks

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
FORGOTTEN_S = 2.0
"""A refusal this long ago says nothing of the crowd now."""


@dataclasses.dataclass(slots=True)
class _Refusals:
    pause_s: float
    refused_at: float
    tokens: int


class OwnerBackoff:
    """The owners that refused one instance's asks lately.

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
        """Tell whether to ask an owner for a request of some size."""
        known = self._refusals_by_owner.get(owner)
        if known is None or tokens < known.tokens:
            return True
        return self._clock.now() - known.refused_at >= known.pause_s

    def refused(self, owner: str, tokens: int) -> None:
        """Note that an owner did not grant a request of some size."""
        now = self._clock.now()
        known = self._refusals_by_owner.get(owner)
        if known is None or now - known.refused_at > FORGOTTEN_S:
            self._refusals_by_owner[owner] = _Refusals(FIRST_PAUSE_S, now, tokens)
            return
        # Asks that were under way together are one refusal.
        if now - known.refused_at >= known.pause_s:
            known.pause_s = min(LONGEST_PAUSE_S, 2 * known.pause_s)
        known.refused_at = now
        known.tokens = min(known.tokens, tokens)

    def granted(self, owner: str) -> None:
        """Note that an owner has room again."""
        self._refusals_by_owner.pop(owner, None)
