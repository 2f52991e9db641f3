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

NODE_LEAVING = "node_leaving"
OTHER_INSTANCE_RETRY_S = 0.05
"""Other instances take the request at once."""

ALL_LEAVING_RETRY_S = 3.0
"""Instances that are stopped in turn overlap by less than this before the first is back."""

MAX_TRUNCATION_PROBABILITY = 0.1
"""A request is taken when it ends in time with nine chances in ten: a refusal costs its
caller some hundredths of a second, a cut the whole answer."""

ALL_LEAVING_MAX_TRUNCATION_PROBABILITY = 0.6
"""With nowhere else to go, an answer on time with two chances in five is worth more to its
caller than one that is late by seconds for certain."""

EARLY_PERIOD_S = 3.0
"""Operators bear that the end of a stop cuts a request that came this soon after its signal,
while callers still hold older answers of the directory; a later one was taken knowingly."""

LATE_MAX_TRUNCATION_PROBABILITY = 0.01

LengthExceedance = collections.abc.Callable[[str, str, float], float]
"""Returns the chance that an answer of a route and team is longer than some tokens."""

OtherInstanceReady = collections.abc.Callable[[], bool]
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

    token_times: tokentimes.TokenTimes
    length_exceedance: LengthExceedance
    is_other_ready: OtherInstanceReady
    ends_at: float | None = None
    stop_requested_at: float = 0.0

    def begin(self, now: float, limit_s: float) -> None:
        """Note the signal to stop.

        :param limit_s: seconds until the process ends.
        """
        self.stop_requested_at = now
        self.ends_at = now + limit_s

    def is_over(self, now: float) -> bool:
        """Tell whether the process ends: what is still under way is cut off by it."""
        return self.ends_at is not None and now >= self.ends_at

    def refusal(self, routed: callrouter.RoutedRequest, now: float) -> outcomes.Refusal | None:
        """Return the refusal of a request that would be cut off, or None to take it."""
        if self.ends_at is None:
            return None
        has_other_instance = self.is_other_ready()
        max_probability = (
            MAX_TRUNCATION_PROBABILITY
            if has_other_instance
            else ALL_LEAVING_MAX_TRUNCATION_PROBABILITY
        )
        if now - self.stop_requested_at > EARLY_PERIOD_S:
            max_probability = LATE_MAX_TRUNCATION_PROBABILITY
        if self._truncation_probability(routed, self.ends_at - now) <= max_probability:
            return None
        detail = "this node stops before the answer would be whole"
        retry_s = OTHER_INSTANCE_RETRY_S if has_other_instance else ALL_LEAVING_RETRY_S
        return outcomes.Refusal(NODE_LEAVING, 503, detail, retry_after_s=retry_s)

    def _truncation_probability(
        self, routed: callrouter.RoutedRequest, remaining_s: float
    ) -> float:
        """Return the chance that a request does not end within ``remaining_s``."""
        remaining_s -= routed.route.goal_s
        if remaining_s <= 0.0:
            return 1.0
        generation = routed.call.generation
        if generation is None or routed.service.engine is None:
            return 0.0
        tokens = remaining_s / self.token_times.seconds_per_token(routed.service.name)
        if generation.max_tokens and generation.max_tokens <= tokens:
            return 0.0
        team = "" if routed.team is None else routed.team.name
        return self.length_exceedance(routed.route.name, team, tokens)
