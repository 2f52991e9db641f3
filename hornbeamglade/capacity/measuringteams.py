"""Measures the cost of enforcing team limits."""

import collections.abc

from hornbeamglade.capacity import fits, profiling, samplesite, slopes
from hornbeamglade.configuration import follower
from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages
from hornbeamglade.grants import schedulerset
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.membership import view as membershipview
from hornbeamglade.node import applying, digestcache, inflight, replicacatalog, runtime, siteview
from hornbeamglade.store import memory
from hornbeamglade.teams import limits, shares

GROUP = "teams"
_NODES = 360
_TEAM_COUNTS = (100, 200, 400, 800)
_NODE_COUNTS = (45, 90, 180, 360)


def measure() -> collections.abc.Iterator[slopes.Slope]:
    """Measure the group."""
    yield _slope(
        "teams.place_us",
        f"processor us to place every team on its nodes of {_NODES}, after a change",
        "node/applying.py (_place_teams), membership/addresses.py",
        [fits.Point(size, _place_us(size)) for size in _TEAM_COUNTS],
    )
    yield _slope(
        "teams.handover_us",
        "processor us of that under the lock that each request takes",
        "node/applying.py (_place_teams), teams/limits.py",
        [fits.Point(size, _handover_us(size)) for size in _TEAM_COUNTS],
    )
    yield _slope(
        "teams.unchanged_us",
        "processor us of a tick that finds the members and the revision unchanged",
        "node/applying.py (follow_members)",
        [fits.Point(size, _unchanged_us(size)) for size in _NODE_COUNTS],
        "nodes",
    )
    yield _slope(
        "teams.adjust_us",
        f"processor us to move and tell the shares of {messages.MAX_DEMANDS} teams",
        "teams/limits.py, teams/shares.py",
        [fits.Point(size, _adjust_us(size)) for size in _TEAM_COUNTS],
    )
    yield _slope(
        "teams.limit_bytes",
        "bytes of the limits and the shares",
        "teams/limits.py, teams/shares.py",
        [fits.Point(n, profiling.held_bytes(lambda n=n: _limits(n))) for n in _TEAM_COUNTS],
    )


def _slope(key, cost, mechanism, points, over="configured teams") -> slopes.Slope:
    return slopes.Slope(key, GROUP, cost, over, mechanism, tuple(points))


class _FakeHeartbeats:
    """Replaces the heartbeats, of which the applier uses only the list of members."""

    def __init__(self, members: tuple[membershipview.Member, ...]) -> None:
        self.current_members = members

    def members(self) -> tuple[membershipview.Member, ...]:
        return self.current_members


def _members(nodes: int) -> tuple[membershipview.Member, ...]:
    own, *_ = samplesite.instances(1)
    identity = membershipview.Identity(own.name, own.failure_domain, own.address, own.exchange)
    view = membershipview.MembershipView(identity, 1)
    view.apply_list(samplesite.instances(nodes))
    return view.members(0.0)


def _applier(teams: int, heartbeats: _FakeHeartbeats) -> applying.Applier:
    """Return an applier that has already placed the teams."""
    clock = clocks.ManualClock()
    platform = memory.MemoryPlatform(clock)
    own = samplesite.node_name(0)
    views = runtime.Views(follower.Follower(platform, platform, clock, samplesite.SITE, own))
    view = siteview.derive(samplesite.active_revision(samplesite.Counts(teams=teams)))
    views.publish(view)
    team_limits = limits.TeamLimits(own, shares.ShareSettings())
    team_limits.configure(view.team_limits())
    applier = applying.Applier(
        views,
        replicacatalog.ReplicaCatalog(clock, digestcache.DigestCache(clock)),
        schedulerset.SchedulerSet(clock, lengthmodel.LengthModel()),
        inflight.InFlight(team_limits),
        heartbeats,
    )
    applier.follow_members()
    return applier


def _place_us(teams: int) -> float:
    members = _members(_NODES)
    heartbeats = _FakeHeartbeats(members)
    applier = _applier(teams, heartbeats)
    heartbeats.current_members = members[:-1]
    return profiling.total_cpu_us(applier.follow_members)


def _handover_us(teams: int) -> float:
    team_limits = _limits(teams)
    names = tuple(samplesite.node_name(number) for number in range(samplesite.NODES_PER_TEAM))

    def set_shards() -> None:
        for number in range(teams):
            team_limits.set_shard(samplesite.team_name(number), names)

    return profiling.cpu_us(set_shards)


def _unchanged_us(nodes: int) -> float:
    applier = _applier(samplesite.Counts().teams, _FakeHeartbeats(_members(nodes)))
    return profiling.cpu_us(applier.follow_members)


def _adjust_us(teams: int) -> float:
    team_limits = _limits(teams)
    return profiling.cpu_us(lambda: team_limits.heartbeat(messages.MAX_DEMANDS))


def _limits(teams: int) -> limits.TeamLimits:
    own = samplesite.node_name(0)
    team_limits = limits.TeamLimits(own, shares.ShareSettings())
    view = siteview.derive(samplesite.active_revision(samplesite.Counts(teams=teams)))
    team_limits.configure(view.team_limits())
    for team in view.site.team_by_name:
        team_limits.set_shard(team, (own, samplesite.node_name(1), samplesite.node_name(2)))
    return team_limits
