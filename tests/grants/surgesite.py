"""The entry instances and engines of deployment 2 in virtual time, without a network."""

import asyncio
import collections
import dataclasses
import random
import selectors

from hornbeamglade.admission import replicaadmission, tokenledger
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import (
    asyncgrantclient,
    codec,
    grantserver,
    messages,
    transport,
)
from hornbeamglade.fairness import queuesettings
from hornbeamglade.grants import (
    asyncgrantacquirer,
    grantacquirer,
    remotescheduler,
    schedulerset,
    sitefigures,
)
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
from hornbeamglade.routes import objectives
from hornbeamglade.routing import candidates
from hornbeamglade.speeds import enginespeeds

SERVICE = "llm"
INSTANCES, DOMAINS, ENGINES = 66, 4, 23
MEMORY_TOKENS, SLOTS = 26_869, 24
PREFILL_TOKENS_PER_S = 7_000.0
TOKEN_S = 0.009
DEPARTURE_INTERVAL_S, REPLACEMENT_S = 3.3, 4.0
NETWORK_S = 0.001
ENDPOINT = transport.Endpoint("127.0.0.1", 1)
SPEC = schedulerset.SchedulerSpec(
    MEMORY_TOKENS,
    replicaadmission.AdmissionSettings(max_running=SLOTS),
    queuesettings.QueueSettings(),
)


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of requests, and the surge of its rate."""

    route: str
    priority: int
    rate: float
    prompt_tokens: int
    tokens: int
    goal_s: float
    surge: float
    surge_s: float

    @property
    def wait_s(self):
        return 2.5 * self.goal_s


LONG = Kind("long", 8, 9.3, 3_000, 748, 4.0, 2.4, 6.0)
SHORT = Kind("short", 10, 18.0, 2_200, 8, 1.5, 1.8, 3.5)


@dataclasses.dataclass
class Record:
    """What became of one request."""

    kind: Kind
    arrived_at: float
    asks: int = 0
    domain: str = ""
    started_at: float | None = None
    refused_at: float | None = None
    code: str = ""

    @property
    def is_late(self):
        prefill_s = self.kind.prompt_tokens / PREFILL_TOKENS_PER_S
        due = self.arrived_at + self.kind.goal_s - prefill_s
        return self.started_at is None or self.started_at > due


class _Selector(selectors.SelectSelector):
    """Advances the loop's time instead of waiting."""

    now = 100.0

    def select(self, timeout=None):
        self.now += max(0.0, timeout or 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.virtual = _Selector()
        super().__init__(self.virtual)

    def time(self):
        return self.virtual.now


class LoopClock(clocks.ManualClock):
    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def now(self):
        return self._loop.time()


class CountingAcquirer(asyncgrantacquirer.AsyncGrantAcquirer):
    """Counts the immediate grants that are requested from other owners."""

    asks = collections.Counter()

    async def _request(self, placement, replica, wait_s):
        if wait_s <= 0.0 and self._owners.owner(replica) is not None:
            self.asks[placement.work.request_id] += 1
        return await super()._request(placement, replica, wait_s)


class PredictedRefusals:
    """Records what the forecast would refuse, and refuses nothing."""

    def __init__(self, figures, site):
        self._figures = figures
        self._site = site

    def refusal(self, work, *arguments, **options):
        if self._figures.refusal(work, *arguments, **options) is not None:
            self._site.predicted_at.setdefault(work.request_id, self._site.clock.now())


class Instance(transport.Transport, grantacquirer.ReplicaOwners):
    """An entry instance with the components that place requests."""

    def __init__(self, site, number):
        self.site = site
        self.name = f"n{number}"
        self.is_cut_off = self.is_frozen = False
        self.held = []
        clock = site.clock
        self.schedulers = schedulerset.SchedulerSet(clock, lengthmodel.LengthModel())
        self.digests = digestcache.DigestCache(clock)
        coordinated = objectives.CoordinatedServices(lambda _service: site.is_coordinated)
        self.figures = sitefigures.SiteFigures(
            self.name,
            self.schedulers,
            self.digests,
            coordinated,
            clock,
            enginespeeds.EngineSpeeds(clock, lambda _service: False),
        )
        self.names = remotescheduler.ConfiguredNames()
        self.names.services.replace((LONG.route, SHORT.route))
        self.names.teams.replace(("",))
        self.remote = remotescheduler.RemoteScheduler(self.schedulers, clock, self.names)
        self.server = grantserver.GrantServer(self.remote, self, clock)
        self.remote.set_push(self.server.push)
        self.server.set_figures(
            lambda replica: self.figures.known(self.names.replicas.find(replica))
        )
        self.client = asyncgrantclient.AsyncGrantClient(1, self, clock)
        self.owned = frozenset()
        settings = candidates.RoutingSettings()
        self.catalog = enginecatalog.EngineCatalog(
            site.available, self.schedulers, self.digests, lambda: self.owned, settings
        )
        self.remote.set_alternatives(self.catalog.owned_alternatives)
        self.acquirer = CountingAcquirer(
            clock,
            self.schedulers,
            self.client,
            self,
            random.Random(number),
            settings,
            figures=self.figures if site.has_forecast else PredictedRefusals(self.figures, site),
        )

    def owner(self, replica):
        name = self.site.owner_name(replica)
        return None if name == self.name else transport.Peer(name, ENDPOINT)

    def record_no_response(self, owner):
        self.site.unanswered[owner] += 1

    def send(self, peer, message):
        self.site.deliver(self, self.site.instance_by_name[peer.name], message)

    def receive(self, sender, message):
        origin = codec.Sender(sender.name, 1)
        if isinstance(message, messages.GrantRequest):
            self.server.on_request(message, origin, ENDPOINT)
        elif isinstance(message, messages.GrantResponse):
            self.figures.record_response(sender.name, message)
            self.client.on_response(message, origin, ENDPOINT)
        elif isinstance(message, messages.Progress):
            self.server.on_progress(message, origin, ENDPOINT)
        elif isinstance(message, messages.Heartbeat):
            self.digests.record(sender.name, message.replicas)
            self.figures.record_heartbeat(sender.name, message.waiting)

    def heartbeat(self):
        states = self.schedulers.states_of(sorted(self.owned))
        digests = tuple(sitefigures.replica_digest(each) for each in states.values())
        waiting = self.figures.own_waiting() if self.site.is_coordinated else ()
        return messages.Heartbeat(
            messages.NodeState.LIVE, 1, 1, "", "", "", replicas=digests, waiting=waiting
        )


class SurgeSite:
    """The whole site.

    :param is_coordinated: whether owners pass on each other's figures; without, instances
        choose by the figures of sampled heartbeats.
    :param has_forecast: whether requests are refused by the site's forecast; without, it is only
        recorded which ones would be.
    """

    def __init__(
        self, loop, *, is_coordinated=True, has_forecast=True, seed=1, kinds=(LONG, SHORT)
    ):
        self.kinds = kinds
        self.clock = LoopClock(loop)
        self.loop = loop
        self.is_coordinated = is_coordinated
        self.has_forecast = has_forecast
        self.predicted_at = {}
        self.rng = random.Random(seed)
        self.replicas = replicalist.ReplicaList()
        self.available = availability.Availability(
            self.replicas,
            slowstart.SlowStarts(random.Random(1)),
            ratelimits.RateLimits(self.clock),
            backoffs.Backoffs(self.clock, random.Random(1)),
            refusals.RefusalGuards(self.clock, random.Random(1)),
            slowstart.Bound(),
            {},
        )
        self.unanswered = collections.Counter()
        self.records = []
        self._engine_count = 0
        self._domain_by_engine = {}
        self._prefilled_at = {}
        self.owner_by_domain = {f"d{number}": f"n{number}" for number in range(DOMAINS)}
        self.instances = [Instance(self, number) for number in range(INSTANCES)]
        self.instance_by_name = {each.name: each for each in self.instances}
        self._engines = []
        for number in range(ENGINES):
            self._add_engine(f"d{number % DOMAINS}")
        self.update()
        for owner in self.owners():
            for other in self.instances:
                if other is not owner:
                    other.receive(owner, owner.heartbeat())

    def _add_engine(self, domain):
        self._engine_count += 1
        name = f"e{self._engine_count}"
        self._domain_by_engine[name] = domain
        self._engines.append(models.Replica(name, SERVICE, "10.0.0.1:1", domain, SLOTS))

    def owner_name(self, replica):
        return self.owner_by_domain[self._domain_by_engine[replica]]

    def owners(self):
        return [self.instance_by_name[each] for each in sorted(self.owner_by_domain.values())]

    def update(self):
        """Apply the list of engines and their owners to all instances."""
        self.replicas.replace(self._engines, self.replicas.version + 1)
        names = [each.id for each in self._engines]
        for each in self.instances:
            owned = frozenset(name for name in names if self.owner_name(name) == each.name)
            each.names.replicas.replace(names)
            if owned or each.owned:
                each.schedulers.configure(dict.fromkeys(names, SPEC))
                # Schedulers are created on first use; the order of a set would differ between
                # runs, and so would the order in which queues are served.
                for name in filter(owned.__contains__, names):
                    each.schedulers.can_admit(name)
                each.schedulers.set_owned(owned)
            each.owned = owned
            each.figures.set_replicas(dict.fromkeys(names, SERVICE), owned)
        self.report()

    def report(self):
        """Let each owner read the reports of its engines."""
        for owner in self.owners():
            for name in sorted(owner.owned):
                owner.schedulers.apply(name, self._apply_report)

    def _apply_report(self, scheduler, now):
        used = int(scheduler.admission.ledger.own_tokens)
        view = tokenledger.LoadView(int(now * 1000), 0.0, MEMORY_TOKENS, used)
        scheduler.apply_report(view, False, now)

    def deliver(self, sender, recipient, message):
        if sender.is_cut_off or recipient.is_cut_off:
            return
        if sender.is_frozen or recipient.is_frozen:
            recipient.held.append((sender, message))
            return
        self.loop.call_later(NETWORK_S, recipient.receive, sender, message)

    async def _heartbeats(self):
        rounds = 0
        while True:
            rounds += 1
            if self.is_coordinated:
                for owner in self.owners():
                    for other in self.owners():
                        if other is not owner:
                            self.deliver(owner, other, owner.heartbeat())
            if rounds % 4 == 0:
                self.report()
                for each in self.instances:
                    for other in self.rng.sample(self.instances, 2):
                        self.deliver(each, other, each.heartbeat())
                        self.deliver(other, each, other.heartbeat())
            await asyncio.sleep(0.25)

    async def _process_queues(self):
        while True:
            for each in self.instances:
                if each.schedulers.has_waiting_requests and not each.is_frozen:
                    each.schedulers.process_queues()
            await asyncio.sleep(0.05)

    async def _replace_engines(self):
        while True:
            await asyncio.sleep(DEPARTURE_INTERVAL_S)
            departing = self.rng.sample(self._engines, round(len(self._engines) / 6))
            self._engines = [each for each in self._engines if each not in departing]
            self.update()
            self.loop.call_later(REPLACEMENT_S, self._replace, departing)

    def evacuate(self, domain, seconds):
        """Remove a failure domain's engines, a quarter of all, for a time."""
        departing = [each for each in self._engines if each.failure_domain == domain]
        self._engines = [each for each in self._engines if each not in departing]
        self.update()
        self.loop.call_later(seconds, self._replace, departing)

    def _replace(self, departed):
        for each in departed:
            self._add_engine(each.failure_domain)
        self.update()

    async def _arrivals(self, kind, begin, seconds, tasks):
        while (elapsed := self.clock.now() - begin) < seconds:
            is_surge = seconds / 3 <= elapsed < seconds / 3 + kind.surge_s
            rate = kind.rate * (kind.surge if is_surge else 1.0)
            await asyncio.sleep(self.rng.expovariate(rate))
            instance = self.rng.choice(self.instances)
            if not (instance.is_cut_off or instance.is_frozen):
                tasks.append(self.loop.create_task(self._request(kind, instance)))

    async def _request(self, kind, instance):
        now = self.clock.now()
        record = Record(kind, now)
        number = len(self.records)
        self.records.append(record)
        prefill_s = kind.prompt_tokens / PREFILL_TOKENS_PER_S
        request = asyncgrantacquirer.PlacementRequest(
            outcomes.Work(
                f"r{number}", kind.route, "", kind.priority, kind.prompt_tokens, kind.tokens
            ),
            1.0,
            now + kind.wait_s,
            lambda: instance.catalog.candidates(SERVICE, ()),
            resolve_replica=lambda chosen: instance.catalog.find(chosen, SERVICE, ()),
            due=now + kind.goal_s - prefill_s,
            site_service=SERVICE if self.is_coordinated else None,
        )
        grant = await instance.acquirer.acquire(request)
        record.asks = instance.acquirer.asks.pop(request.work.request_id, 0)
        if isinstance(grant, outcomes.Refusal):
            record.refused_at, record.code = self.clock.now(), grant.code
            return
        record.started_at = self.clock.now()
        record.domain = self._domain_by_engine[grant.replica]
        begin = max(self._prefilled_at.get(grant.replica, 0.0), record.started_at) + prefill_s
        self._prefilled_at[grant.replica] = begin
        ends_at = begin + kind.tokens * TOKEN_S
        while self.clock.now() < ends_at and grant.replica in self.replicas.by_id:
            await asyncio.sleep(min(0.5, ends_at - self.clock.now() + 0.001))
            done = max(0, int((self.clock.now() - begin) / TOKEN_S))
            instance.acquirer.record_progress(grant, min(kind.tokens, done))
        instance.acquirer.release(grant)

    async def run(self, seconds, at=()):
        """Play the load; call functions at times.

        :param at: pairs of seconds from the start and functions.
        """
        background = [
            self.loop.create_task(each())
            for each in (self._heartbeats, self._process_queues, self._replace_engines)
        ]
        begin = self.clock.now()
        for delay_s, function in at:
            self.loop.call_later(delay_s, function)
        tasks = []
        await asyncio.gather(*(self._arrivals(kind, begin, seconds, tasks) for kind in self.kinds))
        await asyncio.gather(*tasks)
        for each in background:
            each.cancel()


def evacuation(site):
    """Return an evacuation during the surge, on which nothing but the load depends."""
    return ((6.0, lambda: site.evacuate("d3", 8.0)),)


def heavy_evacuation(site):
    """Return the evacuation of half of the engines, without which all requests can start."""
    return tuple((6.0, lambda domain=each: site.evacuate(domain, 8.0)) for each in ("d2", "d3"))


def play(seconds=18.0, prepare=evacuation, **options):
    """Return the site after a play of the load.

    :param prepare: returns the functions to call at times, given the site.
    """
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        site = SurgeSite(loop, **options)
        loop.run_until_complete(site.run(seconds, prepare(site)))
        return site
    finally:
        asyncio.set_event_loop(None)
        loop.close()
