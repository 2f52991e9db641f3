"""The tick interval of an instance."""

import math

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.entry import componentsettings, followerrole, instance, policysettings
from hornbeamglade.exchange import messages
from hornbeamglade.grants import replicascheduler
from hornbeamglade.membership import followers
from hornbeamglade.replicas import evacuations
from tests.entry import site as entrysite


def started_node():
    node = entrysite.Node(0)
    node.instance._startup.open()
    return node


def test_instance_without_configuration_ticks_fast():
    """Callers wait for the first configuration, and a slow tick would prolong that."""
    assert entrysite.Node(0).instance.tick_s == instance.TICK_S


def test_idle_instance_ticks_slowly_and_one_with_a_queue_fast():
    """Hundreds of instances are idle between requests, and all of them pay for each tick.

    A request queued at a scheduler must still be refused or granted within a tick of its due time.
    """
    node = started_node()
    schedulers = node.instance._schedulers
    schedulers.configure({"e1": componentsettings.scheduler(_Engine(), policysettings.Policy())})
    schedulers.set_owned(frozenset(("e1",)))
    assert node.instance.tick_s == instance.IDLE_TICK_S
    deadline = clocks.SystemClock().now() + 60
    answered = []
    # More requests than the engine runs at a time.
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


def test_instance_that_fetches_a_document_ticks_fast():
    """A lost chunk of a document must be requested again within a tick of its due time."""
    node = started_node()
    announcement = messages.VersionAnnouncement(5, 9, True)
    assert node.instance.tick_s == instance.IDLE_TICK_S
    node.instance.peering._document_sync.on_announcement("entry-1", announcement)
    assert node.instance.tick_s == instance.TICK_S


def test_instance_that_announces_to_nobody_is_idle_after_a_change():
    """Nearly all instances of a large site receive announcements of changes and send none.

    They were considered to have pending announcements and kept ticking at the fast interval.
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


def test_idle_tick_divides_the_heartbeat_intervals():
    """A heartbeat that is always sent a tick late would look like a lost one."""
    for period_s in (0.5, 1.0):
        assert math.isclose(period_s % instance.IDLE_TICK_S, 0.0)
