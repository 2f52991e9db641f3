"""How often an instance ticks."""

import math

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.entry import componentsettings, followerrole, instance, policysettings
from hornbeamglade.exchange import messages
from hornbeamglade.grants import replicascheduler
from hornbeamglade.membership import followers
from hornbeamglade.replicas import evacuations
from tests.entry import site as entrysite


def begun_node():
    node = entrysite.Node(0)
    node.instance._startup.open()
    return node


def test_an_instance_that_knows_nothing_yet_ticks_often():
    """Callers wait for the first configuration; a slow tick would have them wait longer."""
    assert entrysite.Node(0).instance.tick_s == instance.TICK_S


def test_an_idle_instance_ticks_seldom_and_one_with_a_queue_often():
    """Hundreds of instances idle between requests, and each tick costs all of them.

    A request that waits at a scheduler must still be refused or granted within a tick of its time.
    """
    node = begun_node()
    schedulers = node.instance._schedulers
    schedulers.configure({"e1": componentsettings.scheduler(_Engine(), policysettings.Policy())})
    schedulers.set_owned(frozenset(("e1",)))
    assert node.instance.tick_s == instance.IDLE_TICK_S
    deadline = clocks.SystemClock().now() + 60
    answered = []
    # More of them than the engine takes at a time.
    answers = [
        schedulers.request_grant("e1", _work(number), 1.0, deadline, answered.append)
        for number in range(12)
    ]
    waiting = [one.request_id for one in answers if isinstance(one, replicascheduler.Queued)]
    assert waiting
    assert node.instance.tick_s == instance.TICK_S
    for number in range(12):
        schedulers.finish("e1", f"r{number}")
    assert node.instance.tick_s == instance.IDLE_TICK_S


def test_an_instance_that_wants_a_newer_document_ticks_often():
    """A chunk of a document is lost: it must be asked for again within a tick of its time."""
    node = begun_node()
    announcement = messages.VersionAnnouncement(5, 9, True)
    assert node.instance.tick_s == instance.IDLE_TICK_S
    node.instance.peering._document_sync.on_announcement("entry-1", announcement)
    assert node.instance.tick_s == instance.TICK_S


def test_an_instance_that_tells_nobody_of_changes_idles_after_one():
    """Nearly all instances of a large site are told of changes and tell nobody.

    Counted as having hints to send, all of them ticked at the fast pace for good.
    """
    clock = clocks.ManualClock()
    versions = [(0, 0)]
    nodes = tuple(f"n{number:02}" for number in range(60))
    chosen = followers.select(nodes)
    listener = next(node for node in nodes if node not in chosen)
    role = followerrole.FollowerRole(
        listener, lambda: versions[0], evacuations.Evacuations, lambda: True, clock
    )
    role.tick(nodes)
    versions[0] = (4, 9)
    role.tick(nodes)
    assert not role.has_pending_announcements


class _Engine:
    memory_tokens = 1_000_000
    slots = 4


def _work(number):
    return outcomes.Work(f"r{number}", "llm", "t", priority=1, prompt_tokens=10, max_tokens=10)


def test_idle_ticks_meet_the_periods_of_heartbeats():
    """A heartbeat sent a tick late each time would look like one that was lost."""
    for period_s in (0.5, 1.0):
        assert math.isclose(period_s % instance.IDLE_TICK_S, 0.0)
