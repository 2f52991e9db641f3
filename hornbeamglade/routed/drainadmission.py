"""Admission of requests by an instance during a planned stop.

Explanation
===========

The operator ends the process some seconds after the stop signal, and callers keep sending
requests for as long as they cache an old response of the directory. A stream that is still being
relayed when the process ends is truncated, and its caller may not be able to have it run again.
What an engine does in the seconds that are left cannot be known: it may queue a request, preempt
its run, slow down or move it. So no promise rests on an estimate. For a request that is sent to a
replica long after the signal:

* One whose own time is over before the process ends is served as usual, since the stop cannot
  truncate it.
* Any other is refused while another instance is ready, before it is sent to a replica. Its caller
  gets the whole answer from that instance.
* While all instances are leaving, it is admitted if it is almost certain to complete, and its
  answer is withheld until it is complete. It then arrives whole, or an error takes its place.

Shortly after the signal, callers cannot know of the stop yet, and operators accept that the limit
truncates answers. A request is then admitted if it has a fair chance of completing in time.

Chances are estimated from the times that recent answers of the service took to begin, or have
taken so far if they have not begun, and from the lengths of answers. Under load an answer begins
seconds after its request was sent, as it waits in the engine's own queue, of which a grant tells
nothing. A request that waits for a grant is judged again at each tick and when it gets the grant.

An answer that can be repeated and begins too late to complete is not begun. At the limit of the
stop, each request without an answer gets one. It says "not run" only if the request was sent to
no replica.

Alternatives were rejected. Admitting every request until the end truncated two to four streams
per instance at a stop of 8 s. Refusing every request from the signal on makes callers retry short
requests that would have completed in time. Beginning late answers that should complete in time
truncated those whose engine preempted them, and withholding them while another instance is ready
replaced them by errors, after their runs. Relaying a late request to a ready instance changes
nothing, as its answer still passes through the process that ends.
"""

import collections.abc
import dataclasses
import enum

from hornbeamglade.core import outcomes
from hornbeamglade.routed import attemptlog, callrouter, requestsinprogress, tokentimes

NODE_LEAVING = "node_leaving"
STOPPED_BEFORE_ANSWER = "stopped_before_answer"
OTHER_INSTANCE_RETRY_S = 0.05
"""Retry delay while another instance is ready: it can take the request at once."""

ALL_LEAVING_RETRY_S = 3.0
"""Retry delay while all instances are leaving. In a rolling stop the first instance is back
before this time has passed."""

MAX_TRUNCATION_PROBABILITY = 0.1
"""A request is admitted if it completes in time with a chance of nine in ten: a refusal costs
the caller some hundredths of a second, truncation the whole answer."""

ALL_LEAVING_MAX_TRUNCATION_PROBABILITY = 0.6
"""Without another ready instance, an answer that is on time with a chance of two in five is
worth more to the caller than one that is certainly late by seconds."""

EARLY_PERIOD_S = 3.0
"""Operators accept that a stop truncates requests that arrive this soon after the signal,
while callers still use older responses of the directory. A later request is admitted although
the instance knows that it will stop, so its truncation counts as a fault of the instance."""

SIGNAL_DELAY_S = 0.25
"""A busy process handles its stop signal late; the operator counts from when it was sent. A longer
delay would use up the margin that the stop leaves before the process is killed."""

LATE_MAX_TRUNCATION_PROBABILITY = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class StopState:
    """What is known of a planned stop when it is decided on a request, for logs.

    :param since_s: seconds since the stop signal.
    :param remaining_s: seconds until the process ends.
    :param is_other_ready: whether another instance accepts requests.
    """

    since_s: float
    remaining_s: float
    is_other_ready: bool


LengthExceedance = collections.abc.Callable[[str, str, float], float]
"""Returns the probability that an answer of a route and team exceeds a number of tokens."""

AnswerTimes = collections.abc.Callable[
    [str], collections.abc.Sequence[requestsinprogress.AnswerTime]
]
"""Returns how long recent answers of a service took to begin."""

OtherInstanceReady = collections.abc.Callable[[], bool]
"""Returns whether another instance accepts requests."""


class LateStart(enum.Enum):
    """What is done with an answer that begins during a planned stop."""

    IN_TIME = "in_time"
    """It is relayed as it arrives."""

    WITHHELD = "withheld"
    """It is sent once it is complete."""

    DROPPED = "dropped"
    """It is not begun."""


@dataclasses.dataclass(slots=True)
class DrainAdmission:
    """Decides which requests are admitted while the instance is stopping.

    :param token_times: estimated seconds per token.
    :param length_exceedance: probability that an answer exceeds a number of tokens.
    :param is_other_ready: returns whether another instance accepts requests.
    :param answer_times: how long recent answers of a service took to begin.
    :param ends_at: monotonic time at which the process ends, or None while it is serving.
    :param stop_requested_at: monotonic time of the stop signal.
    """

    token_times: tokentimes.TokenTimes
    length_exceedance: LengthExceedance
    is_other_ready: OtherInstanceReady
    answer_times: AnswerTimes
    ends_at: float | None = None
    stop_requested_at: float = 0.0

    def begin(self, now: float, limit_s: float) -> None:
        """Record the stop signal.

        :param limit_s: seconds until the process ends.
        """
        self.stop_requested_at = now
        self.ends_at = now + limit_s

    def stop_state(self, now: float) -> StopState | None:
        """Return what is known of the planned stop, or None while the instance is serving."""
        if self.ends_at is None:
            return None
        return StopState(now - self.stop_requested_at, self.ends_at - now, self.is_other_ready())

    def is_over(self, now: float) -> bool:
        """Return whether the process is ending, which truncates all requests in flight."""
        return self.ends_at is not None and now >= self.ends_at

    def refusal(
        self, routed: callrouter.RoutedRequest, now: float, *, has_waited: bool = False
    ) -> outcomes.Refusal | None:
        """Return the refusal of a request that would be truncated, or None to admit it.

        :param has_waited: whether it could be sent to a replica now, or has just arrived.
        """
        if not self._may_be_truncated(routed):
            return None
        has_other_instance = self.is_other_ready()
        if has_other_instance and self._is_late(now):
            return self._not_run_refusal(has_other_instance)
        max_probability = self._max_probability(now, has_other_instance)
        remaining_s = self.ends_at - now
        if self._truncation_probability(routed, remaining_s, has_waited) <= max_probability:
            return None
        return self._not_run_refusal(has_other_instance)

    def late_start(
        self, routed: callrouter.RoutedRequest, sent_at: float, now: float
    ) -> LateStart:
        """Return what is done with an answer that begins now, as it may be truncated.

        An answer that cannot be repeated is not dropped, since its caller can get no other.

        :param sent_at: monotonic time at which the request was sent to its replica.
        """
        if not self._may_be_truncated(routed):
            return LateStart.IN_TIME
        max_probability = self._max_probability(now, self.is_other_ready())
        exceedance = self._exceedance(routed, self.ends_at - now)
        if routed.route.is_repeatable and exceedance > max_probability:
            return LateStart.DROPPED
        return LateStart.WITHHELD if self._is_late(sent_at) else LateStart.IN_TIME

    def _may_be_truncated(self, routed: callrouter.RoutedRequest) -> bool:
        """Return whether the process may end before the request's own time is over."""
        return self.ends_at is not None and routed.ends_at > self.ends_at

    def _is_late(self, at: float) -> bool:
        return at + SIGNAL_DELAY_S - self.stop_requested_at > EARLY_PERIOD_S

    def _max_probability(self, now: float, has_other_instance: bool) -> float:
        if self._is_late(now):
            return LATE_MAX_TRUNCATION_PROBABILITY
        if has_other_instance:
            return MAX_TRUNCATION_PROBABILITY
        return ALL_LEAVING_MAX_TRUNCATION_PROBABILITY

    def final_refusal(self, log: attemptlog.AttemptLog) -> outcomes.Refusal:
        """Return the refusal of a request that has no answer at the limit of the stop.

        :param log: its attempts, which tell whether it may have run.
        """
        if log.run is outcomes.RunStatus.NOT_RUN:
            return self._not_run_refusal(self.is_other_ready())
        detail = "this node stopped before the replica answered"
        return outcomes.Refusal(STOPPED_BEFORE_ANSWER, 502, detail, outcomes.RunStatus.UNKNOWN)

    def _not_run_refusal(self, has_other_instance: bool) -> outcomes.Refusal:
        detail = "this node stops before the answer would be whole"
        retry_s = OTHER_INSTANCE_RETRY_S if has_other_instance else ALL_LEAVING_RETRY_S
        return outcomes.Refusal(NODE_LEAVING, 503, detail, retry_after_s=retry_s)

    def _truncation_probability(
        self, routed: callrouter.RoutedRequest, remaining_s: float, has_waited: bool
    ) -> float:
        """Return the probability that a request does not complete within ``remaining_s``."""
        goal_s = routed.route.goal_s
        begin_times_s = [goal_s]
        for each in self.answer_times(routed.service.name):
            begin_s = each.response_s if has_waited else each.wait_s + each.response_s
            begin_times_s.append(begin_s if each.has_begun else max(begin_s, goal_s))
        probabilities = [self._exceedance(routed, remaining_s - each) for each in begin_times_s]
        return sum(probabilities) / len(probabilities)

    def _exceedance(self, routed: callrouter.RoutedRequest, remaining_s: float) -> float:
        """Return the probability that an answer takes longer than ``remaining_s`` once begun."""
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
