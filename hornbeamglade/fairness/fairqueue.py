"""A bounded fair queue of requests that wait for one replica or pool.

Explanation
===========

Order: the highest priority class first, where a class that is not served rises by
one priority each ``ageing_s``. Within a class, flows with requests that can still be
on time come before flows with late ones. Among these, the team with the lowest
virtual time is next (tokens served per weight, [1]_). Within a team's flow, the order is
first in, first out.

Alternatives considered:

- *First in, first out* lets a burst of one team delay all others.
- *Shortest expected first* keeps the mean wait low, but lengths are unknown and
  heavy-tailed, so long answers would starve under load. Only its useful part is
  kept: requests that fit may pass a head that does not, ``max_passes`` times. After
  that, free memory accumulates until the head fits or expires.
- *Strict priorities* starve the lowest class; ageing limits its wait.
- *One step per ageing interval* makes a class that is two priorities lower wait 10 s, longer
  than its callers do. Where objectives differ widely (``has_mixed_objectives``), a flow
  without a start for ``ageing_s`` therefore rises to the highest class at once, and so
  does one whose next request must start within :data:`URGENT_BEFORE_DUE_S`.
- *First in, first out* also makes all requests late where half of them could be
  served on time: during lasting overload, each starts only shortly before its deadline.
- *Refusing new requests when the queue is full* lets the teams that came first hold all
  of it. Instead, the newest request of the team that exceeds its weighted share the most
  is displaced if the new request's team is below its own share.

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
_PRUNE_EVERY = 256

URGENT_BEFORE_DUE_S = 1.2
"""A request that must start within this time counts as urgent where objectives differ widely: it
has no more time left than an urgent one has on arrival (1.5 s less its prefill)."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemovedRequest:
    """A request that leaves the queue with a final refusal and never runs.

    :param work: the request.
    :param refusal: its final answer.
    """

    work: outcomes.Work
    refusal: outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """A request was accepted into the queue.

    :param displaced: requests that it displaced; their callers must be answered now.
    """

    displaced: tuple[RemovedRequest, ...] = ()


class FairQueue:
    """The queue of requests that wait for one replica or pool.

    Every offered request ends exactly once: taken, expired, removed, displaced, or
    refused when it is offered.

    :param settings: limits and trade-offs.

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

    @property
    def has_mixed_objectives(self) -> bool:
        """Whether requests with slack let more urgent ones pass."""
        return self._settings.has_mixed_objectives

    @property
    def ageing_s(self) -> float:
        """Seconds without service after which a starved request counts as more urgent."""
        return self._settings.ageing_s

    def __len__(self) -> int:
        return len(self._table)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._table

    def queued_count(self, team: str) -> int:
        """Return how many requests of ``team`` are queued."""
        return self._table.queued_count(team)

    def offer(
        self,
        work: outcomes.Work,
        weight: float,
        now: float,
        deadline: float,
        due: float = math.inf,
    ) -> Queued | outcomes.Refusal:
        """Add a request to the queue, or refuse it.

        :param weight: the team's weight, above 0.
        :param now: present time, in seconds of the same clock as ``deadline``.
        :param deadline: when the request must have started.
        :param due: when it must have started to be on time.
        :raises InvariantError: when the request is already queued.
        """
        if work.request_id in self._table:
            raise codederrors.InvariantError("request_queued_twice", work.request_id)
        if deadline <= now:
            return self._refusal("deadline_passed", work, now)
        if self.queued_count(work.team) >= self._settings.max_per_team:
            return self._refusal("team_queue_full", work, now)
        victim = self._victim(work, weight)
        if victim is None and self._is_full():
            return self._refusal("queue_full", work, now)
        entry = flows.Entry(work, now, deadline, due)
        if self._would_miss_deadline(entry, self._join(entry, weight), now):
            return self._refusal("cannot_start_in_time", work, now)
        displaced = () if victim is None else (self._expire(victim, "displaced", now),)
        if not self._table:
            self._rate.queue_became_nonempty(now)
        self._table.add(entry)
        return Queued(displaced)

    def take(
        self,
        fits: collections.abc.Callable[[outcomes.Work], bool],
        now: float,
        is_deferred: flows.Deferral | None = None,
    ) -> outcomes.Work | None:
        """Remove and return the next request that may start, or None.

        A flow whose next entry is past its deadline is skipped until :meth:`expire` is called.

        :param fits: whether the replica has headroom for a request now.
        :param is_deferred: the requests that let others pass now. This does not count toward
            ``max_passes``, at which they would block urgent requests.
        """
        passed: list[flows.Entry] = []
        for flow in self._ordered(now):
            head = flow.next_startable(now, is_deferred)
            if head is None or head.deadline <= now:
                continue
            if fits(head.work):
                self._start(flow, head, passed, now)
                return head.work
            # Without the limit, a stream of small requests could keep a large one from ever
            # starting, and it would expire while others are served all the time. Once the
            # limit is reached, nothing starts until enough memory is free for the large one.
            if head.passes >= self._settings.max_passes:
                return None
            passed.append(head)
        return None

    def charge_output(self, team: str, tokens: int) -> None:
        """Charge a team for the tokens of its answers.

        Prompt tokens are charged by :meth:`take`.
        """
        self._times.charge(team, tokens)

    def expire(self, now: float) -> tuple[RemovedRequest, ...]:
        """Remove and refuse every request that can no longer start in time.

        Call it at :meth:`next_deadline` and about once a second: a caller whose request
        cannot start in time must be answered at once, not at its deadline.
        """
        removed: list[RemovedRequest] = []
        for flow in self._table.flows():
            ahead = 0
            for entry in list(flow.entries):
                code = self._expiry_code(entry, ahead, now)
                if code is None:
                    ahead += 1
                else:
                    removed.append(self._expire(entry, code, now))
        return tuple(removed)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of the queued requests, or None if the queue is empty."""
        return min((entry.deadline for entry in self._table.entries()), default=None)

    def remove(self, request_id: str) -> outcomes.Work | None:
        """Remove a request without an answer, for example when its caller has disconnected.

        :returns: the request, or None if it is not queued.
        """
        entry = self._table.entry(request_id)
        if entry is None:
            return None
        self._table.remove(entry)
        return entry.work

    def would_start_next(self, due: float, now: float) -> bool:
        """Return whether a request that is offered now would be the next to start.

        :param due: when it must have started to be on time.
        """
        return not self._table or (due > now and not self.count_ahead(now))

    def would_start_first(
        self,
        work: outcomes.Work,
        due: float,
        now: float,
        is_deferred: flows.Deferral | None,
    ) -> bool:
        """Return whether a new request comes before all queued ones that are not deferred.

        :meth:`would_start_next` holds a new request back for any queued one that can be on time,
        also for a less urgent one.
        """
        for flow in self._table.flows():
            entry = flow.next_startable(now, is_deferred)
            if entry is None:
                continue
            priority = math.inf if self._counts_as_urgent(flow, now) else flow.key.priority
            is_peer_ahead = entry.due > now or due <= now
            if priority > work.priority or (priority == work.priority and is_peer_ahead):
                return False
        return True

    def count_ahead(self, now: float, is_deferred: flows.Deferral | None = None) -> int:
        """Return the number of queued requests that can still be on time and thus start first.

        :param is_deferred: the requests that let a new one pass; None for none.
        """
        entries = self._table.entries()
        if is_deferred is None:
            return sum(entry.due > now for entry in entries)
        return sum(
            entry.due > now and not is_deferred(entry.work.priority, entry.due)
            for entry in entries
        )

    def expected_wait_s(self, now: float, is_deferred: flows.Deferral | None = None) -> float:
        """Return the expected seconds until a new request that can be on time starts.

        :param is_deferred: the requests that let a new one pass; None for none.
        """
        return self.count_ahead(now, is_deferred) * self._interval_s(now)

    def _interval_s(self, now: float) -> float:
        return self._rate.current_interval_s(now) or 0.0

    def retry_after(self, now: float, request_id: str) -> float:
        """Return the seconds after which the caller of a refused request may retry.

        Explanation
        ===========

        This is the expected time until the queue has drained, increased by up to a factor
        of two that depends on the request id. Retries are thus spread over the time that
        the queue needs to serve as many requests again.
        """
        settings = self._settings
        drain_s = len(self) * self._interval_s(now)
        base_s = min(max(drain_s, settings.min_retry_s), settings.max_retry_s)
        return base_s * (1.0 + servicerate.jitter(request_id))

    def _victim(self, work: outcomes.Work, weight: float) -> flows.Entry | None:
        if not self._is_full():
            return None
        return displacement.select_victim(work, weight, self._table, self._times)

    def _is_full(self) -> bool:
        return len(self._table) >= self._settings.max_waiting

    def _join(self, entry: flows.Entry, weight: float) -> int:
        """Register the entry's team; return the number of entries ahead in its flow."""
        flow = self._table.flow(entry.flow_key)
        if flow is None:
            self._times.join(entry.work.team, entry.work.priority, weight)
            return 0
        self._times.set_weight(entry.work.team, weight)
        return len(flow.entries)

    def _ordered(self, now: float) -> list[flows.Flow]:
        queued = self._table.flows()
        top = max((flow.key.priority for flow in queued), default=0)
        ageing_s = self._settings.ageing_s

        def rank(flow: flows.Flow) -> tuple[int, bool, float, float]:
            aged = flow.aged_priority(now, ageing_s, top)
            if self.has_mixed_objectives:
                aged = top if self._counts_as_urgent(flow, now) else flow.key.priority
            virtual_time = self._times.virtual_time(flow.key.team)
            return (-aged, flow.is_late(now), virtual_time, -flow.starved_s(now))

        return sorted(queued, key=rank)

    def _counts_as_urgent(self, flow: flows.Flow, now: float) -> bool:
        if flow.starved_s(now) >= self._settings.ageing_s:
            return True
        return 0.0 < flow.next_entry(now).due - now < URGENT_BEFORE_DUE_S

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
        self._times.charge_start(work.team, max(work.prompt_tokens, _MIN_CHARGE_TOKENS))
        self._rate.started(now)
        self._starts += 1
        if self._starts % _PRUNE_EVERY == 0:
            self._times.prune(keep=self._table.teams())

    def _expiry_code(self, entry: flows.Entry, ahead: int, now: float) -> str | None:
        if entry.deadline <= now:
            return "deadline_passed"
        if self._would_miss_deadline(entry, ahead, now):
            return "cannot_start_in_time"
        return None

    def _would_miss_deadline(self, entry: flows.Entry, ahead: int, now: float) -> bool:
        """Return whether the entry would miss its deadline even at an optimistic service rate."""
        interval_s = self._rate.mean_interval_s
        if interval_s is None:
            return False
        start_s = interval_s / self._settings.optimism
        # The forecast visits all flows, but most requests would start in time even in last place.
        if now + len(self._table) * start_s <= entry.deadline:
            return False
        queued = self._table.flows()
        starts = forecast.count_starts_before(entry.flow_key, ahead, queued, self._times)
        return now + starts * start_s > entry.deadline

    def _expire(self, entry: flows.Entry, code: str, now: float) -> RemovedRequest:
        refusal = self._refusal(code, entry.work, now)
        self._table.remove(entry)
        return RemovedRequest(entry.work, refusal)

    def _refusal(self, code: str, work: outcomes.Work, now: float) -> outcomes.Refusal:
        return refusals.refusal(code, self.retry_after(now, work.request_id))
