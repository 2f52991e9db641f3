"""Roles of instances in following the store, in virtual time."""

import random

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.entry import followerrole
from hornbeamglade.membership import followers
from hornbeamglade.replicas import evacuations

TICK_S = 0.05
CONFIG_BOUND_S = 3.0


class Site:
    """Roles of many instances: followers see each change, the others only announcements."""

    def __init__(self, count, loss_rate=0.0):
        self.clock = clocks.ManualClock(100.0)
        self.names = tuple(f"entry-{number:02}" for number in range(count))
        self.dead = set()
        self.unreached = set()
        self.loss_rate = loss_rate
        self.store = (1, 1)
        self.held = dict.fromkeys(self.names, (1, 1))
        self.followed_at = {}
        self.rng = random.Random(7)
        self.role_by_name = {name: self._make_role(name) for name in self.names}
        for role in self.role_by_name.values():
            role.on_instance_list()

    def _make_role(self, name):
        return followerrole.FollowerRole(
            name,
            lambda: self.held[name],
            evacuations.Evacuations,
            lambda: name not in self.unreached,
            self.clock,
        )

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            for name in self.names:
                if name not in self.dead:
                    self._step(name)

    def _step(self, name):
        role = self.role_by_name[name]
        if role.is_following and name not in self.unreached:
            self.held[name] = self.store
        for announcement in role.tick(self.names):
            if announcement.node not in self.dead and self.rng.random() >= self.loss_rate:
                self.role_by_name[announcement.node].on_announcement(announcement.message)
                announced = (announcement.message.revision, announcement.message.list_version)
                self.held[announcement.node] = max(self.held[announcement.node], announced)

    def following(self):
        return {name for name in self.names if self.role_by_name[name].is_following}


def test_few_instances_follow_at_a_large_site_and_all_at_a_small_one():
    large, small = Site(40), Site(6)
    large.run(10)
    small.run(10)
    assert large.following() == set(followers.select(large.names))
    assert small.following() == set(small.names)


@pytest.mark.parametrize("loss_rate", [0.0, 0.05])
def test_change_reaches_all_instances_in_time(loss_rate):
    """A key is revoked while a link loses one datagram in twenty."""
    site = Site(40, loss_rate)
    site.run(10)
    site.store = (2, 1)
    site.run(CONFIG_BOUND_S / 2)
    assert set(site.held.values()) == {(2, 1)}


def test_instance_whose_followers_die_falls_back_in_time():
    """All followers are killed at the moment of a change.

    No one announces the change to the other instances, nor that the followers are gone.
    """
    site = Site(40)
    site.run(10)
    site.dead = site.following()
    site.store = (2, 1)
    site.run(CONFIG_BOUND_S)
    alive = [name for name in site.names if name not in site.dead]
    assert {site.held[name] for name in alive} == {(2, 1)}


def test_followers_refused_by_the_store_are_not_relied_on():
    site = Site(40)
    site.run(10)
    site.unreached = site.following()
    site.run(CONFIG_BOUND_S)
    assert site.following() == set(site.names)


def test_fallback_ends_when_followers_reach_the_store_again():
    site = Site(40)
    site.run(10)
    chosen = site.following()
    site.unreached = set(chosen)
    site.run(5)
    site.unreached = set()
    site.run(2 * followerrole.MIN_FALLBACK_S)
    assert site.following() == chosen


def test_few_instances_follow_again_seconds_after_a_store_outage():
    """The store is down for eight seconds, and every instance falls back to following it.

    At 195 instances, all of them then polled each change of the list for five more seconds,
    and those calls cost more than anything but the machines.
    """
    site = Site(195)
    site.run(10)
    chosen = site.following()
    site.unreached = set(site.names)
    site.run(8)
    assert site.following() == set(site.names)
    site.unreached = set()
    site.run(followerrole.MIN_FALLBACK_S + 1.5 * followerrole.ANNOUNCE_INTERVAL_S)
    assert site.following() == chosen
    assert followerrole.MIN_FALLBACK_S <= followerrole.ANNOUNCE_INTERVAL_S


def test_instance_waits_for_the_instance_list_before_following():
    """82 instances start at once, and each would read all tables before it knows the others."""
    clock = clocks.ManualClock()
    role = followerrole.FollowerRole(
        "a", lambda: (0, 0), evacuations.Evacuations, lambda: False, clock
    )
    role.tick(("a",))
    assert not role.is_following
    clock.advance(followerrole.INSTANCE_LIST_TIMEOUT_S)
    role.tick(("a",))
    assert role.is_following


@pytest.mark.parametrize("count", [6, 40])
def test_leaving_instance_keeps_following(count):
    """An instance drains and serves its callers for some more seconds.

    The others no longer count it as live, so it receives no announcements. It also stopped
    following the store, and for two seconds kept sending requests to a replica that had
    announced its stop.
    """
    site = Site(count)
    site.run(10)
    leaving = site.names[3]
    role = site.role_by_name[leaving]
    others = tuple(name for name in site.names if name != leaving)
    role.tick(others)
    assert role.is_following
    assert role.tick(others) == ()
