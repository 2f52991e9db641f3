"""What an instance that stops as planned still takes on.

Explanation
===========

The operator ends a process some seconds after the signal to stop, and callers who hold an
old answer of the directory come for as long as they keep it. A draft of ten seconds that is
begun three seconds before the end is cut in the middle, and its caller cannot have it run
again. Refused before it is sent, it runs whole at another instance.

While all instances stop at once, there is none to send it to. Then, soon after the signal, it
is taken if it may well end in time, and else asked to come back when the first of them has
started again. Later only what is nearly sure to end in time is taken, whoever else is there:
where two rounds of stops overlap, every instance of a site leaves for seconds, and drafts that
each takes on two chances in five are mostly cut in the middle.

Weighed against taking whatever comes until the end: at a stop of 8 s, two to four drafts were
cut at each instance. Against refusing all from the signal on: callers whose short requests
would have been answered in time come back for nothing.
"""

import collections.abc
import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.routed import callrouter, tokentimes

LEAVING = "node_leaving"
RETRY_S = 0.05
"""Other instances take the request at once."""

ALL_LEAVING_RETRY_S = 3.0
"""Instances that are stopped in turn overlap by less than this before the first is back."""

CUT_CHANCE = 0.1
"""A request is taken when it ends in time with nine chances in ten: a refusal costs its
caller some hundredths of a second, a cut the whole answer."""

ALL_LEAVING_CUT_CHANCE = 0.6
"""With nowhere else to go, an answer on time with two chances in five is worth more to its
caller than one that is late by seconds for certain."""

EARLY_S = 3.0
"""Operators bear that the end of a stop cuts a request that came this soon after its signal,
while callers still hold older answers of the directory; a later one was taken knowingly."""

LATE_CUT_CHANCE = 0.01

Outlasts = collections.abc.Callable[[str, str, float], float]
"""Returns the chance that an answer of a route and team is longer than some tokens."""

OthersReady = collections.abc.Callable[[], bool]
"""Tells whether another instance takes requests."""


@dataclasses.dataclass(slots=True)
class DrainAdmission:
    """Decides on requests that come while the instance stops.

    :param pace: seconds that a token takes.
    :param outlasts: what was learned of lengths.
    :param others_ready: tells whether another instance takes requests.
    :param ends_at: monotonic seconds at which the process ends, or None while it serves.
    :param begun_at: monotonic seconds of the signal to stop.
    """

    pace: tokentimes.TokenTimes
    outlasts: Outlasts
    others_ready: OthersReady
    ends_at: float | None = None
    begun_at: float = 0.0

    def begin(self, now: float, limit_s: float) -> None:
        """Note the signal to stop.

        :param limit_s: seconds until the process ends.
        """
        self.begun_at = now
        self.ends_at = now + limit_s

    def is_over(self, now: float) -> bool:
        """Tell whether the process ends: what is still under way is cut off by it."""
        return self.ends_at is not None and now >= self.ends_at

    def refusal(self, routed: callrouter.RoutedRequest, now: float) -> outcomes.Refusal | None:
        """Return the refusal of a request that would be cut off, or None to take it."""
        if self.ends_at is None:
            return None
        has_others = self.others_ready()
        bearable = CUT_CHANCE if has_others else ALL_LEAVING_CUT_CHANCE
        if now - self.begun_at > EARLY_S:
            bearable = LATE_CUT_CHANCE
        if self._cut_chance(routed, self.ends_at - now) <= bearable:
            return None
        detail = "this node stops before the answer would be whole"
        retry_s = RETRY_S if has_others else ALL_LEAVING_RETRY_S
        return outcomes.Refusal(LEAVING, 503, detail, retry_after_s=retry_s)

    def _cut_chance(self, routed: callrouter.RoutedRequest, left_s: float) -> float:
        """Return the chance that a request does not end within ``left_s``."""
        left_s -= routed.route.goal_s
        if left_s <= 0.0:
            return 1.0
        generation = routed.call.generation
        if generation is None or routed.service.engine is None:
            return 0.0
        tokens = left_s / self.pace.seconds_per_token(routed.service.name)
        if generation.max_tokens and generation.max_tokens <= tokens:
            return 0.0
        team = "" if routed.team is None else routed.team.name
        return self.outlasts(routed.route.name, team, tokens)
