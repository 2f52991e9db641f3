"""What an instance that stops as planned still takes on.

Explanation
===========

The operator ends a process some seconds after the signal to stop, and callers who hold an
old answer of the directory come for as long as they keep it. A draft of ten seconds that is
begun three seconds before the end is cut in the middle, and its caller cannot have it run
again. Refused before it is sent, it runs whole at another instance.

Weighed against taking whatever comes until the end: at a stop of 8 s, two to four drafts were
cut at each instance. Against refusing all from the signal on: callers whose short requests
would have been answered in time come back for nothing.
"""

import collections.abc
import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.routed import callrouter, streampace

LEAVING = "node_leaving"
RETRY_S = 0.05
"""Other instances take the request at once."""

CUT_CHANCE = 0.1
"""A request is taken when it ends in time with nine chances in ten: a refusal costs its
caller some hundredths of a second, a cut the whole answer."""

Outlasts = collections.abc.Callable[[str, str, float], float]
"""Returns the chance that an answer of a route and team is longer than some tokens."""


@dataclasses.dataclass(slots=True)
class LeavingWork:
    """Decides on requests that come while the instance stops.

    :param pace: seconds that a token takes.
    :param outlasts: what was learned of lengths.
    :param ends_at: monotonic seconds at which the process ends, or None while it serves.
    """

    pace: streampace.StreamPace
    outlasts: Outlasts
    ends_at: float | None = None

    def refusal(self, routed: callrouter.RoutedCall, now: float) -> outcomes.Refusal | None:
        """Return the refusal of a request that would be cut off, or None to take it."""
        if self.ends_at is None or self._ends_in_time(routed, self.ends_at - now):
            return None
        detail = "this node stops before the answer would be whole"
        return outcomes.Refusal(LEAVING, 503, detail, retry_after_s=RETRY_S)

    def _ends_in_time(self, routed: callrouter.RoutedCall, left_s: float) -> bool:
        left_s -= routed.route.goal_s
        if left_s <= 0.0:
            return False
        generation = routed.call.generation
        if generation is None or routed.service.engine is None:
            return True
        tokens = left_s / self.pace.seconds_per_token(routed.service.name)
        if generation.max_tokens and generation.max_tokens <= tokens:
            return True
        team = "" if routed.team is None else routed.team.name
        return self.outlasts(routed.route.name, team, tokens) <= CUT_CHANCE
