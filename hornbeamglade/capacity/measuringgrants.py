"""Measures the cost of grants at the local schedulers and between nodes."""

import collections.abc
import dataclasses

from hornbeamglade.admission import tokenledger
from hornbeamglade.capacity import fits, profiling, samplesite, slopes
from hornbeamglade.core import clocks, codederrors, outcomes
from hornbeamglade.exchange import codec, grantclient, grantserver, messages, transport
from hornbeamglade.grants import remotescheduler, replicascheduler, schedulerset
from hornbeamglade.lengths import lengthmodel

GROUP = "grants"
RESPONSE_S = 7.4
"""Mean duration of a response at the target size: 286 tokens of 26 ms each."""

_STREAM_COUNTS = (8, 16, 32, 60)
_SCHEDULER_COUNTS = (2, 5, 10, 20)
_GRANT_COUNTS = (4, 8, 16, 32)
_TEAM_COUNTS = (50, 100, 200, 400)
_STREAMS_PER_SCHEDULER = 29
_REPORTS_AFTER_END = 3
_INCARNATION = 1_764_000_000_000
_SECRET = b"a secret of the sample site"
_ENDPOINT = transport.Endpoint("127.0.0.1", 9)


def measure() -> collections.abc.Iterator[slopes.Slope]:
    """Measure the group."""
    scheduler = "grants/schedulerset.py, admission/replicaadmission.py"
    yield _slope(
        "grants.local_us",
        "processor us of one request at its scheduler: ask, seven reports, finish",
        "streams running at the replica",
        scheduler,
        [fits.Point(size, _local_us(size)) for size in _STREAM_COUNTS],
    )
    yield _slope(
        "grants.states_us",
        "processor us to read the state of all schedulers (at each request and heartbeat)",
        "replicas owned",
        scheduler,
        [
            fits.Point(size, profiling.cpu_us(_schedulers(size).states))
            for size in _SCHEDULER_COUNTS
        ],
    )
    yield _slope(
        "grants.scheduler_bytes",
        f"bytes of the schedulers, {_STREAMS_PER_SCHEDULER} streams at each",
        "replicas owned",
        scheduler,
        [
            fits.Point(size, profiling.held_bytes(lambda n=size: _schedulers(n)))
            for size in _SCHEDULER_COUNTS
        ],
    )
    yield _slope(
        "lengths.team_bytes",
        "bytes of the learned answer lengths",
        "teams with answers",
        "lengths/lengthmodel.py",
        [fits.Point(n, profiling.held_bytes(lambda n=n: _lengths(n))) for n in _TEAM_COUNTS],
    )
    # Each grant has another owner: with several hundred owners, a node rarely has two grants of
    # the same owner whose progress reports could share a frame.
    remote_grants = [_run_remote_grants(count) for count in _GRANT_COUNTS]
    remote = "exchange/grantclient.py, exchange/grantserver.py, grants/remotescheduler.py"
    for key, cost, read in (
        ("grants.remote_bytes", "bytes of frames, both ways", lambda grant: grant.bytes),
        ("grants.remote_messages", "frames, both ways", lambda grant: grant.frames),
        ("grants.remote_us", "processor us at both nodes together", lambda grant: grant.cpu_us),
    ):
        points = [
            fits.Point(count, sum(map(read, group)))
            for count, group in zip(_GRANT_COUNTS, remote_grants, strict=True)
        ]
        over = f"whole grants of {RESPONSE_S} s, each of another owner"
        yield _slope(key, cost, over, remote, points)


def _slope(key, cost, over, mechanism, points) -> slopes.Slope:
    return slopes.Slope(key, GROUP, cost, over, mechanism, tuple(points))


def _work(number: int) -> outcomes.Work:
    team = samplesite.team_name(number % 50)
    return outcomes.Work(f"b3f1c2d4e5a6{number:08d}.1", "model-0", team, 0, 200)


def _ignore(_settled: object) -> None:
    return None


def _apply_idle_report(
    schedulers: schedulerset.SchedulerSet, replicas: collections.abc.Iterable[str]
) -> None:
    """Apply load reports of idle replicas, without which schedulers grant nothing."""
    view = tokenledger.LoadView(1, 0.0, samplesite.MEMORY_TOKENS, 0, 0)
    for replica in replicas:
        schedulers.apply(replica, lambda scheduler, now: scheduler.apply_report(view, False, now))


def _schedulers(replicas: int, streams: int = _STREAMS_PER_SCHEDULER) -> schedulerset.SchedulerSet:
    schedulers = schedulerset.SchedulerSet(clocks.ManualClock(), _lengths(50))
    names = [samplesite.replica_name(number) for number in range(replicas)]
    schedulers.configure({name: samplesite.scheduler_spec() for name in names})
    _apply_idle_report(schedulers, names)
    for name in names:
        for number in range(streams):
            work = dataclasses.replace(_work(number), request_id=f"{name}/{number}")
            schedulers.request_grant(name, work, 1.0, 10.0, _ignore)
            schedulers.progress(name, work.request_id, 100 + number)
    return schedulers


def _local_us(streams: int) -> float:
    schedulers = _schedulers(1, streams)
    replica = samplesite.replica_name(0)
    work = _work(1_000_000)

    def serve() -> None:
        response = schedulers.request_grant(replica, work, 1.0, 10.0, _ignore)
        if not isinstance(response, replicascheduler.Granted):
            raise codederrors.InvariantError("capacity_not_granted", repr(response))
        for seconds in range(1, 8):
            schedulers.progress(replica, work.request_id, 38 * seconds)
        schedulers.finish(replica, work.request_id)
        schedulers.observe_length(work.service, work.team, 286, censored=False)

    return profiling.cpu_us(serve)


def _lengths(teams: int) -> lengthmodel.LengthModel:
    model = lengthmodel.LengthModel()
    for number in range(teams):
        team = samplesite.team_name(number)
        model.observe("model-0", team, 100 + number)
        model.table("model-0", team)
    return model


def _run_remote_grants(count: int) -> "list[_RemoteGrant]":
    _RemoteGrant(0).run()
    remote_grants = [_RemoteGrant(number) for number in range(count)]
    for grant in remote_grants:
        grant.run()
    return remote_grants


class _LoopbackTransport(transport.Transport):
    """Encodes, counts, decodes and delivers each message immediately."""

    def __init__(self, own_codec: codec.Codec, grant: "_RemoteGrant") -> None:
        self._codec = own_codec
        self._grant = grant
        self.peer_codec: codec.Codec | None = None
        self.handler: transport.MessageHandler | None = None

    def send(self, peer: transport.Peer, message: messages.Message) -> None:
        frame = self._codec.encode(peer.name, message)
        self._grant.bytes += len(frame)
        self._grant.frames += 1
        decoded = self.peer_codec.decode(frame)
        self.handler(decoded.message, decoded.sender, _ENDPOINT)


class _RemoteGrant:
    """One grant of a remote owner, from the grant request to the last repeated release."""

    def __init__(self, number: int) -> None:
        self.bytes = 0
        self.frames = 0
        self.cpu_us = 0.0
        self._work = _work(number)
        self._replica = samplesite.replica_name(number)
        self._clock = clocks.ManualClock()
        ring = codec.KeyRing(1, {1: _SECRET})
        nodes = (samplesite.node_name(0), samplesite.node_name(number + 1))
        requester, owner = (codec.Codec(name, _INCARNATION, ring, self._clock) for name in nodes)
        to_owner, to_requester = (
            _LoopbackTransport(requester, self),
            _LoopbackTransport(owner, self),
        )
        self._client = grantclient.GrantClient(_INCARNATION, to_owner, self._clock)
        scheduler = self._scheduler()
        self._server = grantserver.GrantServer(scheduler, to_requester, self._clock)
        scheduler.set_push(self._server.push)
        to_owner.peer_codec, to_owner.handler = owner, self._handle_at_owner
        to_requester.peer_codec, to_requester.handler = requester, self._client.on_response
        self._peer = transport.Peer(nodes[1], _ENDPOINT)

    def run(self) -> None:
        """Run the grant from request to release."""
        self.cpu_us = profiling.total_cpu_us(self._run)

    def _scheduler(self) -> remotescheduler.RemoteScheduler:
        schedulers = schedulerset.SchedulerSet(self._clock, lengthmodel.LengthModel())
        schedulers.configure({self._replica: samplesite.scheduler_spec()})
        _apply_idle_report(schedulers, (self._replica,))
        names = remotescheduler.ConfiguredNames()
        names.replicas.replace((self._replica,))
        names.services.replace((self._work.service,))
        names.teams.replace((self._work.team,))
        return remotescheduler.RemoteScheduler(schedulers, self._clock, names)

    def _run(self) -> None:
        number = self._request_grant()
        for produced in (190, 286):
            self._advance(RESPONSE_S / 2)
            self._client.record_progress(number, produced)
        self._client.close(number)
        for _ in range(_REPORTS_AFTER_END):
            self._advance(5.0)

    def _advance(self, seconds: float) -> None:
        self._clock.advance(seconds)
        self._client.tick()
        self._server.tick()

    def _request_grant(self) -> int:
        work = self._work
        grant_request = messages.GrantRequest(
            grant_id=0,
            replica=messages.key_hash(self._replica),
            service=messages.key_hash(work.service),
            team=messages.key_hash(work.team),
            priority=work.priority,
            prompt_tokens=work.prompt_tokens,
            max_tokens=None,
            weight=1.0,
            deadline_ms=3000,
        )
        response = self._client.request_grant(self._peer, grant_request)
        if getattr(response, "kind", None) is not messages.GrantKind.GRANTED:
            raise codederrors.InvariantError("capacity_not_granted", repr(response))
        return response.grant_id

    def _handle_at_owner(
        self, message: messages.Message, sender: codec.Sender, source: transport.Endpoint
    ) -> None:
        if isinstance(message, messages.GrantRequest):
            self._server.on_request(message, sender, source)
        else:
            self._server.on_progress(message, sender, source)
