"""The load of a deployment with engines of uneven speed, in virtual time.

The grants, the placement and the measurements are the product's own; engines, arrivals and the
delivery of messages are simulated. Runs on an engine that departs end there.
"""

import asyncio
import collections
import dataclasses
import math
import random

from hornbeamglade.admission import replicaadmission, tokenledger
from hornbeamglade.core import outcomes
from hornbeamglade.entry import enginepaces
from hornbeamglade.exchange import asyncgrantclient, codec, grantserver, messages, transport
from hornbeamglade.fairness import queuesettings
from hornbeamglade.grants import asyncgrantacquirer, grantacquirer, remotescheduler, schedulerset
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.node import digestcache
from hornbeamglade.replicas import (
    availability,
    backoffs,
    models,
    ratelimits,
    refusals,
    replicalist,
    slowstart,
)
from hornbeamglade.routed import enginecatalog
from hornbeamglade.routing import candidates
from hornbeamglade.speeds import enginespeeds
from tests.speeds import virtualloop

MEMORY_TOKENS = 27_008
SLOTS = 24
FACTORS = (0.7, 0.7, 1.7)
TOKENS_PER_EVENT = 4
CHUNK_TOKENS = 112
ENGINE_LIFE_S = 20.0
REPLACED_AFTER_S = 4.0
DOMAINS = ("a", "b", "c")
ENGINES_PER_DOMAIN = 4
NODES = 6
LATENCY_S = 0.002
FIRST_REPORT_S = 1.1
DEMAND_SWING = 0.55
DEMAND_PERIOD_S = 17.0
SHARE = len(DOMAINS) * ENGINES_PER_DOMAIN / 22
SPEC = schedulerset.SchedulerSpec(
    MEMORY_TOKENS,
    replicaadmission.AdmissionSettings(horizons=(0, 100, 250, 500), max_running=SLOTS),
    queuesettings.QueueSettings(),
)


@dataclasses.dataclass(frozen=True)
class Kind:
    name: str
    rate: float
    prompt_tokens: int
    events: int
    goal_s: float
    priority: int

    @property
    def tokens(self):
        return self.events * TOKENS_PER_EVENT


LONG = Kind("long", 10.8 * SHARE, 3_000, 186, 1.8, 8)
SHORT = Kind("short", 12.0 * SHARE, 2_200, 3, 1.5, 9)
GAP_GOAL_S = 0.18


class Run:
    def __init__(self, kind, on_event):
        self.kind = kind
        self.prompt_left = kind.prompt_tokens
        self.tokens = 0
        self.on_event = on_event
        self.done = asyncio.get_running_loop().create_future()


class Engine:
    """Prefills prompts in order of arrival, in chunks between the steps of its requests."""

    def __init__(self, loop, replica, factor, rng):
        self.replica, self.factor = replica, factor
        self.runs = []
        self._loop, self._rng = loop, rng
        self._started_at = loop.time()
        self._work = asyncio.Event()
        self._windows = collections.deque(((loop.time() - 1.0, loop.time()),))

    def submit(self, run):
        self.runs.append(run)
        self._work.set()

    @property
    def used_tokens(self):
        return sum(each.kind.prompt_tokens + each.tokens for each in self.runs)

    def _is_busy(self):
        """Whether other work uses the machine: 15 % of the time, in windows of about 0.6 s."""
        now = self._loop.time()
        while self._windows[-1][1] < now:
            start = self._windows[-1][1] + self._rng.expovariate(1 / 3.4)
            self._windows.append((start, start + self._rng.uniform(0.4, 0.8)))
        while self._windows[0][1] < now:
            self._windows.popleft()
        return self._windows[0][0] <= now

    @property
    def is_idle(self):
        """Whether it runs nothing, although its owner has read its first report."""
        return not self.runs and self._loop.time() - self._started_at > FIRST_REPORT_S

    async def serve(self):
        while True:
            if not self.runs:
                self._work.clear()
                await self._work.wait()
            decoding = [each for each in self.runs if not each.prompt_left]
            prompt = next((each for each in self.runs if each.prompt_left), None)
            step_s = (0.007 + 0.00012 * (len(decoding) - 1)) if decoding else 0.0
            if prompt is not None:
                chunk = min(CHUNK_TOKENS, prompt.prompt_left)
                step_s += chunk / 14_000
                prompt.prompt_left -= chunk
            await asyncio.sleep(step_s * self.factor * (2.5 if self._is_busy() else 1.0))
            for run in decoding:
                run.tokens += 1
                if run.tokens % TOKENS_PER_EVENT == 0:
                    run.on_event(self._loop.time())
                if run.tokens == run.kind.tokens:
                    self.runs.remove(run)
                    run.done.set_result(None)


class Node(grantacquirer.ReplicaOwners, transport.Transport):
    """One entry instance: its schedulers, its view of the engines, and both sides of grants."""

    def __init__(self, site, name, domain):
        clock = site.clock
        self.name, self._site = name, site
        self.replicas = replicalist.ReplicaList()
        self.digests = digestcache.DigestCache(clock)
        self.schedulers = schedulerset.SchedulerSet(clock, lengthmodel.LengthModel())
        self.speeds = enginespeeds.EngineSpeeds(clock, lambda service: site.by_pace)
        self.speeds.configure({"llm": TOKENS_PER_EVENT})
        self.owned = frozenset()
        settings = candidates.RoutingSettings(
            domain, usable_s=60.0, samples=8, prefill_tokens_per_s=7000.0, placement_s=0.35
        )
        available = availability.Availability(
            self.replicas,
            slowstart.SlowStarts(random.Random(1)),
            ratelimits.RateLimits(clock),
            backoffs.Backoffs(clock, random.Random(1)),
            refusals.RefusalGuards(clock, random.Random(1)),
            slowstart.Bound(),
            dict.fromkeys(DOMAINS, "r"),
        )
        self.catalog = enginecatalog.EngineCatalog(
            available,
            self.schedulers,
            self.digests,
            lambda: self.owned,
            settings,
            self.speeds,
            clock,
        )
        self.paces = enginepaces.EnginePaces(
            lambda: [self.replicas.by_id[each] for each in self.owned],
            self.catalog,
            self.schedulers,
        )
        self.client = asyncgrantclient.AsyncGrantClient(1, self, clock)
        self.names = remotescheduler.ConfiguredNames()
        self.names.services.replace((LONG.name, SHORT.name))
        self.names.teams.replace(("",))
        scheduler = remotescheduler.RemoteScheduler(
            self.schedulers, clock, self.names, self.speeds
        )
        scheduler.set_alternatives(self.catalog.owned_alternatives, self.catalog.must_avoid)
        self.server = grantserver.GrantServer(scheduler, self, clock)
        scheduler.set_push(self.server.push)
        self.acquirer = asyncgrantacquirer.AsyncGrantAcquirer(
            clock,
            self.schedulers,
            self.client,
            self,
            random.Random(name),
            settings,
            self.speeds,
        )

    def owner(self, replica):
        name = self._site.owner_by_replica.get(replica)
        endpoint = transport.Endpoint("127.0.0.1", 1)
        return None if name in (None, self.name) else transport.Peer(name, endpoint)

    def record_no_response(self, owner):
        raise AssertionError(f"{owner} did not respond")

    def send(self, peer, message):
        self._site.loop.call_later(
            LATENCY_S, self._site.node_by_name[peer.name].receive, message, self.name
        )

    def receive(self, message, sender):
        handlers = {
            messages.GrantRequest: self.server.on_request,
            messages.GrantResponse: self.client.on_response,
            messages.Progress: self.server.on_progress,
        }
        endpoint = transport.Endpoint("127.0.0.1", 1)
        handlers[type(message)](message, codec.Sender(sender, 1), endpoint)

    def apply_list(self, listed, version):
        self.replicas.replace(listed, version)
        self.names.replicas.replace([each.id for each in listed])
        self.schedulers.configure({each.id: SPEC for each in listed})
        owner_by_replica = self._site.owner_by_replica
        self.owned = frozenset(
            each.id for each in listed if owner_by_replica[each.id] == self.name
        )
        self.schedulers.set_owned(self.owned)
        self.speeds.retain(self.owned)

    def own_digests(self):
        states = self.schedulers.states_of(self.owned).values()
        return tuple(self._digest(state, self.speeds.pace(state.replica)) for state in states)

    def _digest(self, state, pace):
        return messages.ReplicaDigest(
            messages.key_hash(state.replica),
            max(0, int(state.headroom_tokens)),
            state.waiting_ahead,
            int(state.expected_wait_s * 1000),
            token_10us=0 if pace is None else round(pace.token_s * 1e5),
            pause_ms=0 if pace is None else round(pace.pause_s * 1e3),
        )


@dataclasses.dataclass
class Result:
    kind: Kind
    factor: float = 0.0
    start_s: float | None = None
    gap_s: float = 0.0
    is_refused: bool = False


class Site:
    """All nodes and engines; collects the results of requests that arrive after ``warm_s``."""

    def __init__(self, loop, by_pace, seed):
        self.loop, self.by_pace = loop, by_pace
        self.clock = virtualloop.LoopClock(loop)
        self.rng = random.Random(seed)
        self.results = []
        self.idle_s = 0.0
        self.owner_by_replica = {}
        self.engine_by_id = {}
        self._version = 0
        self._late_waiting = 0
        self._tasks = set()
        self.node_by_name = {
            f"n{number}": Node(self, f"n{number}", DOMAINS[number % len(DOMAINS)])
            for number in range(NODES)
        }

    async def play(self, seconds, warm_s):
        for number in range(len(DOMAINS) * ENGINES_PER_DOMAIN):
            self._start(self._replace_engines(number))
        self._start(self._tick())
        arrivals = [
            asyncio.ensure_future(self._arrive(kind, warm_s, seconds)) for kind in (LONG, SHORT)
        ]
        await asyncio.gather(*arrivals)
        for task in tuple(self._tasks):
            task.cancel()

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace_engines(self, number):
        domain, factor = DOMAINS[number % len(DOMAINS)], FACTORS[(number // 3 + number) % 3]
        life_s = ENGINE_LIFE_S * (number + 1) / (len(DOMAINS) * ENGINES_PER_DOMAIN)
        for generation in range(1000):
            replica = models.Replica(f"e{number}.{generation}", "llm", "-", domain, SLOTS)
            engine = Engine(self.loop, replica, factor, random.Random(self.rng.random()))
            self._start(engine.serve())
            self.engine_by_id[replica.id] = engine
            self.owner_by_replica[replica.id] = f"n{number % len(DOMAINS)}"
            self._apply_list()
            await asyncio.sleep(life_s)
            del self.engine_by_id[replica.id]
            self._apply_list()
            await asyncio.sleep(REPLACED_AFTER_S)
            life_s = ENGINE_LIFE_S - REPLACED_AFTER_S

    def _apply_list(self):
        self._version += 1
        listed = [each.replica for each in self.engine_by_id.values()]
        for node in self.node_by_name.values():
            node.apply_list(listed, self._version)

    async def _tick(self):
        for number in range(1_000_000):
            for node in self.node_by_name.values():
                if number % 20 == 0:
                    self._report(node)
                    node.paces.update()
                if number % 10 == 0:
                    for other in self.node_by_name.values():
                        other.digests.record(node.name, node.own_digests())
                node.client.tick()
                node.server.tick()
                node.schedulers.process_queues()
            if self._late_waiting:
                self.idle_s += 0.05 * sum(each.is_idle for each in self.engine_by_id.values())
            await asyncio.sleep(0.05)

    def _report(self, node):
        for replica in node.owned:
            view = tokenledger.LoadView(
                int(self.loop.time() * 20),
                0.0,
                MEMORY_TOKENS,
                self.engine_by_id[replica].used_tokens,
            )
            node.schedulers.apply(
                replica, lambda each, now, view=view: each.apply_report(view, False, now)
            )

    async def _arrive(self, kind, warm_s, seconds):
        requests = []
        while self.loop.time() < seconds:
            await asyncio.sleep(self.rng.expovariate(kind.rate))
            result = Result(kind)
            if self.loop.time() >= warm_s:
                self.results.append(result)
            node = self._draw_node()
            request = self._request(node, kind, result, f"{kind.name}-{self.loop.time()}")
            requests.append(asyncio.ensure_future(request))
        await asyncio.gather(*requests)

    def _draw_node(self):
        """Draw an entry instance; the demand of each failure domain varies."""
        turns = self.loop.time() / DEMAND_PERIOD_S
        weights = [
            1 + DEMAND_SWING * math.sin(2 * math.pi * (turns + number / len(DOMAINS)))
            for number in range(NODES)
        ]
        return self.rng.choices(tuple(self.node_by_name.values()), weights)[0]

    async def _request(self, node, kind, result, name):
        arrived_at = self.loop.time()
        pace = outcomes.PaceObjective(GAP_GOAL_S, kind.goal_s, kind.tokens)
        work = outcomes.Work(
            name,
            kind.name,
            "",
            kind.priority,
            kind.prompt_tokens,
            kind.tokens,
            pace=pace if node.speeds.is_enabled("llm") else None,
        )
        due = arrived_at + kind.goal_s - kind.prompt_tokens / 7000.0
        placement = asyncgrantacquirer.PlacementRequest(
            work,
            1.0,
            arrived_at + 2.5 * kind.goal_s,
            lambda: node.catalog.candidates("llm", frozenset()),
            resolve_replica=lambda chosen: node.catalog.find(chosen, "llm", frozenset()),
            due=due,
        )
        late = self.loop.call_later(kind.goal_s, self._count_late, 1)
        grant = await node.acquirer.acquire(placement)
        if late.when() <= self.loop.time():
            self._count_late(-1)
        late.cancel()
        if (
            not isinstance(grant, asyncgrantacquirer.Grant)
            or grant.replica not in self.engine_by_id
        ):
            result.is_refused = True
            return
        await self._stream(node, kind, result, grant, arrived_at)

    def _count_late(self, change):
        self._late_waiting += change

    async def _stream(self, node, kind, result, grant, arrived_at):
        meter = node.speeds.make_meter("llm")
        last_at = None

        def on_event(now):
            nonlocal last_at
            if last_at is None:
                result.start_s = now - arrived_at
            else:
                result.gap_s = max(result.gap_s, now - last_at)
            last_at = now
            if meter is not None:
                meter.record(now)
            node.acquirer.record_progress(grant, run.tokens, meter)

        run = Run(kind, on_event)
        engine = self.engine_by_id[grant.replica]
        result.factor = engine.factor
        engine.submit(run)
        await run.done
        node.acquirer.release(grant)
        node.schedulers.observe_length(kind.name, "", kind.tokens, censored=False)


def play(by_pace, seed, seconds=75.0, warm_s=15.0):
    """Return the site after it has served its load."""

    async def main(loop):
        site = Site(loop, by_pace, seed)
        await site.play(seconds, warm_s)
        return site

    return virtualloop.run(main)
