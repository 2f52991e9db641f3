"""Plays a surge of long and short responses on one owner's engines, in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import random

from hornbeamglade.admission import promptbacklog, tokenledger
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.emulator import enginemodel
from hornbeamglade.entry import componentsettings, policysettings
from hornbeamglade.grants import asyncgrantacquirer, replicascheduler, schedulerset
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.routes import models

ENGINES = tuple(f"e{number}" for number in range(6))
TRAITS = models.EngineTraits(24, 26_869, 262_144, 4.75e9, True, False, 4, 10.0)
CHUNK_TOKENS = 112
TICK_S = 0.05
SECONDS = 26.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of responses; ``per_s`` is the rate at the site when it is not in a surge."""

    name: str
    per_s: float
    surge_factor: float
    surge_s: tuple[float, float]
    prompt: int
    answer: int
    goal_s: float
    patience_s: float
    priority: int

    @property
    def start_s(self):
        return self.goal_s - self.prompt / promptbacklog.PromptSettings().tokens_per_s


LONG = Kind("long", 9.3, 2.4, (9.0, 15.0), 3000, 748, 4.0, 10.0, 1)
SHORT = Kind("short", 18.0, 1.8, (10.0, 13.5), 2200, 8, 1.5, 3.6, 3)


class Play:
    """One owner and its engines.

    :param site_engines: engines of the site that share its demand.
    """

    def __init__(self, seed, *, site_engines, has_mixed_objectives):
        self._rng = random.Random(seed)
        self._share = len(ENGINES) / site_engines
        self.clock = clocks.ManualClock()
        self.schedulers = schedulerset.SchedulerSet(self.clock, lengthmodel.LengthModel())
        self.schedulers.set_call_later(self._call_later)
        spec = componentsettings.scheduler(
            TRAITS, policysettings.Policy(), has_mixed_objectives=has_mixed_objectives
        )
        self.schedulers.configure(dict.fromkeys(ENGINES, spec))
        for engine in ENGINES:
            # Schedulers are created in this order, so that plays are reproducible.
            self.schedulers.set_owned(frozenset(ENGINES[: ENGINES.index(engine) + 1]))
        self._models = {
            engine: enginemodel.EngineModel(
                TRAITS.memory_tokens,
                step_s=1.0,
                max_running=TRAITS.slots,
                prefill_tokens_per_step=CHUNK_TOKENS,
            )
            for engine in ENGINES
        }
        self._calls = []
        self._order = itertools.count()
        self._arrival_by_id = {}
        self._queued_at = {}
        self._produced = {engine: {} for engine in ENGINES}
        self.arrived = collections.Counter()
        self.refused = collections.Counter()
        self.first_s_by_kind = collections.defaultdict(list)
        self.prefilled_tokens = 0
        self.long_starts = 0
        self.overtaken = collections.Counter()

    def run(self):
        for kind in (LONG, SHORT):
            self._plan_arrival(kind)
        for engine in ENGINES:
            self._step(engine)
        self._tick(0)
        while self._calls[0][0] <= SECONDS:
            at, _, function = heapq.heappop(self._calls)
            self.clock.advance(max(0.0, at - self.clock.now()))
            function()
        return self

    def late_count(self, kind):
        late = sum(each > kind.goal_s for each in self.first_s_by_kind[kind])
        return late + self.refused[kind]

    def _call_later(self, delay_s, function):
        heapq.heappush(self._calls, (self.clock.now() + delay_s, next(self._order), function))

    def _plan_arrival(self, kind):
        begin, end = kind.surge_s
        factor = kind.surge_factor if begin <= self.clock.now() < end else 1.0
        pause_s = self._rng.expovariate(kind.per_s * self._share * factor)
        self._call_later(pause_s, lambda: self._arrive(kind))

    def _arrive(self, kind):
        self._plan_arrival(kind)
        now = self.clock.now()
        name = f"r{len(self._arrival_by_id)}"
        self._arrival_by_id[name] = (kind, now)
        self.arrived[kind] += 1
        work = outcomes.Work(name, kind.name, "", kind.priority, kind.prompt)
        due = now + kind.start_s
        states = self.schedulers.states()
        ranked = sorted(ENGINES, key=lambda each: states[each].expected_wait_s)
        if self._try_all(ranked, work, due):
            return
        engine = min(ranked, key=lambda each: states[each].waiting)
        self._queued_at[name] = engine
        answer = self.schedulers.request_grant(
            engine,
            work,
            1.0,
            now + kind.patience_s,
            lambda outcome: self._on_answer(engine, name, outcome.answer),
            due,
        )
        self._on_answer(engine, name, answer)
        self._call_later(asyncgrantacquirer.SEARCH_INTERVAL_S, lambda: self._search(work, due))

    def _search(self, work, due):
        """Try the other engines while a request waits, as its instance does."""
        queued_at = self._queued_at.get(work.request_id)
        others = [engine for engine in ENGINES if engine != queued_at]
        if queued_at is None:
            return
        if self._try_all(others, work, due):
            self.schedulers.finish(queued_at, work.request_id)
            return
        self._call_later(asyncgrantacquirer.SEARCH_INTERVAL_S, lambda: self._search(work, due))

    def _try_all(self, engines, work, due):
        for engine in engines:
            answer = self.schedulers.try_grant(engine, work, due)
            if answer is not None:
                self._on_answer(engine, work.request_id, answer)
                return True
        return False

    def _on_answer(self, engine, name, answer):
        if isinstance(answer, replicascheduler.Queued):
            return
        kind, _ = self._arrival_by_id[name]
        self._queued_at.pop(name, None)
        if isinstance(answer, outcomes.Refusal):
            self.refused[kind] += 1
            return
        if kind is LONG:
            self._count_overtaken(engine)
        self._produced[engine][name] = 0
        self._models[engine].submit(enginemodel.Sequence(name, kind.prompt, kind.answer))

    def _count_overtaken(self, engine):
        """Count a long start ahead of a short one that waits; as it is smaller, it would fit."""
        self.long_starts += 1
        waiting_at = {
            queued_at
            for name, queued_at in self._queued_at.items()
            for kind, arrived_at in (self._arrival_by_id[name],)
            if kind is SHORT and arrived_at + SHORT.start_s > self.clock.now()
        }
        self.overtaken["same engine"] += engine in waiting_at
        self.overtaken["owner"] += bool(waiting_at)

    def _step(self, engine):
        model, produced = self._models[engine], self._produced[engine]
        decoding = sum(tokens > 0 for tokens in produced.values())
        prefill_s = CHUNK_TOKENS / 14_000 if decoding < len(produced) else 0.0
        model.slow_factor = 0.007 + 0.00012 * max(0, decoding - 1) + prefill_s
        result = model.step()
        for name, tokens in result.token_count_by_id.items():
            produced[name] += tokens
            kind, arrived_at = self._arrival_by_id[name]
            if produced[name] == tokens:
                self.prefilled_tokens += kind.prompt
            if produced[name] == TRAITS.tokens_per_event:
                first_at = self.clock.now() + result.duration_s
                self.first_s_by_kind[kind].append(first_at - arrived_at)
        for name in result.finished:
            kind, _ = self._arrival_by_id[name]
            self.schedulers.observe_length(kind.name, "", produced.pop(name), censored=False)
            self.schedulers.finish(engine, name)
        self._call_later(result.duration_s, lambda: self._step(engine))

    def _tick(self, count):
        self.schedulers.process_queues()
        for engine in ENGINES:
            if count % 4 == 0:
                for name, tokens in self._produced[engine].items():
                    self.schedulers.progress(engine, name, tokens)
            if count % 20 == 0:
                load = self._models[engine].load()
                view = tokenledger.LoadView(count + 1, 0.0, load.capacity_tokens, load.used_tokens)
                self.schedulers.apply(
                    engine, lambda owner, now, view=view: owner.apply_report(view, False, now)
                )
        self._call_later(TICK_S, lambda: self._tick(count + 1))
