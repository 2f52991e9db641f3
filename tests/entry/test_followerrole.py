"""Following the store by few instances, in virtual time."""

import random

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.entry import followerrole
from hornbeamglade.membership import followers
from hornbeamglade.replicas import evacuations

TICK_S = 0.05
CONFIG_BOUND_S = 3.0


class Site:
    """Watches of many instances; followers see each change, the others what they are announced."""

    def __init__(self, count, lose=0.0):
        self.clock = clocks.ManualClock(100.0)
        self.names = tuple(f"entry-{number:02}" for number in range(count))
        self.dead = set()
        self.unreached = set()
        self.lose = lose
        self.store = (1, 1)
        self.held = dict.fromkeys(self.names, (1, 1))
        self.followed_at = {}
        self.rng = random.Random(7)
        self.role_by_name = {name: self._make_role(name) for name in self.names}
        for role in self.role_by_name.values():
            role.on_introduction()

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
            if announcement.node not in self.dead and self.rng.random() >= self.lose:
                self.role_by_name[announcement.node].on_announcement(announcement.message)
                announced = (announcement.message.revision, announcement.message.list_version)
                self.held[announcement.node] = max(self.held[announcement.node], announced)

    def following(self):
        return {name for name in self.names if self.role_by_name[name].is_following}


def test_few_follow_at_a_large_site_and_all_at_a_small_one():
    large, small = Site(40), Site(6)
    large.run(10)
    small.run(10)
    assert large.following() == set(followers.select(large.names))
    assert small.following() == set(small.names)


@pytest.mark.parametrize("lose", [0.0, 0.05])
def test_a_change_is_everywhere_within_its_bound(lose):
    """A key is taken away while a link loses one datagram in twenty."""
    site = Site(40, lose)
    site.run(10)
    site.store = (2, 1)
    site.run(CONFIG_BOUND_S / 2)
    assert set(site.held.values()) == {(2, 1)}


def test_an_instance_whose_followers_die_follows_itself_in_time():
    """All followers are killed at the moment of a change.

    Nobody tells the others of it, and nobody tells them that nobody does.
    """
    site = Site(40)
    site.run(10)
    site.dead = site.following()
    site.store = (2, 1)
    site.run(CONFIG_BOUND_S)
    alive = [name for name in site.names if name not in site.dead]
    assert {site.held[name] for name in alive} == {(2, 1)}


def test_followers_that_the_store_turns_away_are_not_relied_on():
    site = Site(40)
    site.run(10)
    site.unreached = site.following()
    site.run(CONFIG_BOUND_S)
    assert site.following() == set(site.names)


def test_an_instance_on_its_own_leaves_it_to_followers_again():
    site = Site(40)
    site.run(10)
    chosen = site.following()
    site.unreached = set(chosen)
    site.run(5)
    site.unreached = set()
    site.run(2 * followerrole.MIN_FALLBACK_S)
    assert site.following() == chosen


def test_after_an_outage_of_the_store_few_follow_it_again_within_seconds():
    """The store is away for eight seconds, and every instance is on its own.

    At 195 instances each change of the list was then read by all of them for five seconds
    more, and those calls were dearer than anything but the machines.
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


def test_an_instance_waits_for_the_list_of_the_others_before_it_follows():
    """82 instances start at once; each would read the whole tables before it knows them."""
    clock = clocks.ManualClock()
    role = followerrole.FollowerRole(
        "a", lambda: (0, 0), evacuations.Evacuations, lambda: False, clock
    )
    role.tick(("a",))
    assert not role.is_following
    clock.advance(followerrole.INTRODUCTION_TIMEOUT_S)
    role.tick(("a",))
    assert role.is_following


@pytest.mark.parametrize("count", [6, 40])
def test_an_instance_that_leaves_goes_on_following(count):
    """An instance stops as planned and serves its callers for some seconds more.

    The others no longer count it among those that live, so nobody tells it anything. It
    stopped following the store as well, and for two seconds went on sending requests to
    a replica that had announced its stop.
    """
    site = Site(count)
    site.run(10)
    leaver = site.names[3]
    role = site.role_by_name[leaver]
    others = tuple(name for name in site.names if name != leaver)
    role.tick(others)
    assert role.is_following
    assert role.tick(others) == ()
