"""A bounded queue of requests that wait for one replica or pool.

Explanation
===========

Order: the highest priority class first, where a class that gets no service
rises by one priority each ``ageing_s``; within a class those that can still be on
time before those that are late; among them the team with the least virtual time
(tokens served per weight, [1]_); within a team's flow first in, first out.

What was weighed:

- *First in, first out* lets one team's flood delay everyone.
- *Shortest expected first* keeps the mean wait low, but lengths are unknown and
  heavy-tailed: long drafts would wait for ever under load. Only its useful half
  is kept: work that fits may pass a head that does not, ``max_passes`` times.
  After that the head's room is left to grow until it fits or expires.
- *Strict priorities* starve the lowest class; ageing bounds its wait.
- *First in, first out* also makes all late where it could serve half on time: in a
  crowd that lasts, each starts when it has waited for as long as it may.
- *Refusing newcomers of a full queue* lets teams that came first hold all of
  it. The newest request of the team furthest above its weighted share gives
  way instead, when the newcomer's team is below its own.

References
==========

.. [1] Y. Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024.
"""

import collections.abc
import dataclasses
import math

from hornbeamglade.core import codederrors, outcomes
from hornbeamglade.fairness import (
    displacement,
    flows,
    forecast,
    queuesettings,
    refusals,
    servicerate,
    virtualtime,
)

_MIN_CHARGE_TOKENS = 1
_FORGET_EVERY = 256


@dataclasses.dataclass(frozen=True, slots=True)
class RemovedRequest:
    """A request that leaves the queue with its final answer, never run.

    :param work: the request.
    :param refusal: its final answer.
    """

    work: outcomes.Work
    refusal: outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """A request was accepted and waits.

    :param displaced: requests that gave way to it; their callers are to be answered now.
    """

    displaced: tuple[RemovedRequest, ...] = ()


class FairQueue:
    """The requests that wait for one replica or pool, as an aggregate.

    Every offered request ends exactly once: taken, expired, removed, displaced or
    refused at the offer.

    :param settings: bounds and trade-offs.

    Examples
    ========

    >>> queue = FairQueue(queuesettings.QueueSettings())
    >>> work = outcomes.Work("r-1", "chat", "clerks", 0, prompt_tokens=20)
    >>> queue.offer(work, weight=1.0, now=0.0, deadline=10.0)
    Queued(displaced=())
    >>> queue.take(lambda work: work.prompt_tokens < 100, now=0.5).request_id
    'r-1'
    """

    def __init__(self, settings: queuesettings.QueueSettings) -> None:
        self._settings = settings
        self._table = flows.FlowTable()
        self._times = virtualtime.VirtualTimes()
        self._rate = servicerate.ServiceRate()
        self._starts = 0

    def __len__(self) -> int:
        return len(self._table)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._table

    def waiting(self, team: str) -> int:
        """Return how many requests of ``team`` wait."""
        return self._table.waiting(team)

    def offer(
        self,
        work: outcomes.Work,
        weight: float,
        now: float,
        deadline: float,
        due: float = math.inf,
    ) -> Queued | outcomes.Refusal:
        """Let a request wait, or refuse it with its final answer.

        :param weight: the team's weight, above 0.
        :param now: seconds of the clock that ``deadline`` is on.
        :param deadline: when the request must have started.
        :param due: when it must have started to be on time.
        :raises InvariantError: when the request waits already.
        """
        if work.request_id in self._table:
            raise codederrors.InvariantError("request_queued_twice", work.request_id)
        if deadline <= now:
            return self._refusal("deadline_passed", work, now)
        if self.waiting(work.team) >= self._settings.max_per_team:
            return self._refusal("team_queue_full", work, now)
        victim = self._victim(work, weight)
        if victim is None and self._is_full():
            return self._refusal("queue_full", work, now)
        entry = flows.Entry(work, now, deadline, due)
        if self._is_hopeless(entry, self._join(entry, weight), now):
            return self._refusal("cannot_start_in_time", work, now)
        displaced = () if victim is None else (self._expire(victim, "displaced", now),)
        if not self._table:
            self._rate.waiting_began(now)
        self._table.add(entry)
        return Queued(displaced)

    def take(
        self, fits: collections.abc.Callable[[outcomes.Work], bool], now: float
    ) -> outcomes.Work | None:
        """Remove and return the next request that may start, or None.

        A flow whose first entry is past its deadline waits for :meth:`expire`.

        :param fits: whether there is room for a request now.
        """
        passed: list[flows.Entry] = []
        for flow in self._ordered(now):
            head = flow.first(now)
            if head.deadline <= now:
                continue
            if fits(head.work):
                self._start(flow, head, passed, now)
                return head.work
            # Guard: without the bound, a stream of small requests keeps a large one from
            # ever starting; its caller sees it expire although capacity was served to
            # others all along. Once the bound is reached the room is left to grow.
            if head.passes >= self._settings.max_passes:
                return None
            passed.append(head)
        return None

    def charge_output(self, team: str, tokens: int) -> None:
        """Charge a team for tokens of its answers.

        Prompt tokens are charged by :meth:`take`.
        """
        self._times.charge(team, tokens)

    def expire(self, now: float) -> tuple[RemovedRequest, ...]:
        """Remove and answer every request that can't start in time any more.

        Call it at :meth:`next_deadline` and about once a second: a caller that is given
        up on must get its answer at once, not at its deadline.
        """
        gone: list[RemovedRequest] = []
        for flow in self._table.flows():
            ahead = 0
            for entry in list(flow.entries):
                code = self._expiry_code(entry, ahead, now)
                if code is None:
                    ahead += 1
                else:
                    gone.append(self._expire(entry, code, now))
        return tuple(gone)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline among the waiting, or None when none waits."""
        return min((entry.deadline for entry in self._table.entries()), default=None)

    def remove(self, request_id: str) -> outcomes.Work | None:
        """Take a request out without an answer, as when its caller has gone.

        :returns: the request, or None when it does not wait.
        """
        entry = self._table.entry(request_id)
        if entry is None:
            return None
        self._table.remove(entry)
        return entry.work

    def would_start_next(self, due: float, now: float) -> bool:
        """Tell whether a request that comes now would be the next to start.

        :param due: when it must have started to be on time.
        """
        return not self._table or (due > now and not self.count_ahead(now))

    def count_ahead(self, now: float) -> int:
        """Return how many wait that can still be on time: a newcomer stands behind them."""
        return sum(entry.due > now for entry in self._table.entries())

    def expected_wait_s(self, now: float) -> float:
        """Return the expected seconds until a newcomer that can be on time starts."""
        return self.count_ahead(now) * self._interval_s(now)

    def _interval_s(self, now: float) -> float:
        return self._rate.current_interval_s(now) or 0.0

    def retry_after(self, now: float, request_id: str) -> float:
        """Return the seconds until the caller of a refused request may come back.

        Explanation
        ===========

        The queue's expected time to drain, stretched by up to its double according
        to the request id, so that refused callers come back spread over the time
        that the queue needs to serve as many again.
        """
        settings = self._settings
        drain_s = len(self) * self._interval_s(now)
        base_s = min(max(drain_s, settings.min_retry_s), settings.max_retry_s)
        return base_s * (1.0 + servicerate.jitter(request_id))

    def _victim(self, work: outcomes.Work, weight: float) -> flows.Entry | None:
        if not self._is_full():
            return None
        return displacement.victim(work, weight, self._table, self._times)

    def _is_full(self) -> bool:
        return len(self._table) >= self._settings.max_waiting

    def _join(self, entry: flows.Entry, weight: float) -> int:
        """Prepare the entry's team for its wait; return the entries ahead in its flow."""
        flow = self._table.flow(entry.flow_key)
        if flow is None:
            self._times.join(entry.work.team, entry.work.priority, weight)
            return 0
        self._times.reweigh(entry.work.team, weight)
        return len(flow.entries)

    def _ordered(self, now: float) -> list[flows.Flow]:
        waiting = self._table.flows()
        top = max((flow.key.priority for flow in waiting), default=0)
        ageing_s = self._settings.ageing_s

        def rank(flow: flows.Flow) -> tuple[int, bool, float, float]:
            aged = flow.aged_priority(now, ageing_s, top)
            at = self._times.at(flow.key.team)
            return (-aged, flow.is_late(now), at, -flow.starved_s(now))

        return sorted(waiting, key=rank)

    def _start(
        self, flow: flows.Flow, chosen: flows.Entry, passed: list[flows.Entry], now: float
    ) -> None:
        for entry in passed:
            entry.passes += 1
        priority = flow.key.priority
        peers = [other.key.team for other in self._table.flows() if other.key.priority == priority]
        self._times.raise_floor(priority, peers)
        work = chosen.work
        self._table.remove(chosen)
        flow.last_start = now
        self._times.start(work.team, max(work.prompt_tokens, _MIN_CHARGE_TOKENS))
        self._rate.started(now)
        self._starts += 1
        if self._starts % _FORGET_EVERY == 0:
            self._times.forget(keep=self._table.teams())

    def _expiry_code(self, entry: flows.Entry, ahead: int, now: float) -> str | None:
        if entry.deadline <= now:
            return "deadline_passed"
        if self._is_hopeless(entry, ahead, now):
            return "cannot_start_in_time"
        return None

    def _is_hopeless(self, entry: flows.Entry, ahead: int, now: float) -> bool:
        """Whether even an optimistic rate of service leaves no start before the deadline."""
        interval_s = self._rate.mean_interval_s
        if interval_s is None:
            return False
        start_s = interval_s / self._settings.optimism
        # The forecast walks all flows; most requests would start in time even as the last.
        if now + len(self._table) * start_s <= entry.deadline:
            return False
        waiting = self._table.flows()
        starts = forecast.starts_before(entry.flow_key, ahead, waiting, self._times)
        return now + starts * start_s > entry.deadline

    def _expire(self, entry: flows.Entry, code: str, now: float) -> RemovedRequest:
        refusal = self._refusal(code, entry.work, now)
        self._table.remove(entry)
        return RemovedRequest(entry.work, refusal)

    def _refusal(self, code: str, work: outcomes.Work, now: float) -> outcomes.Refusal:
        return refusals.refusal(code, self.retry_after(now, work.request_id))
