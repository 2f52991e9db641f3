import threading

import pytest

from hornbeamglade.configuration import documentdelta, follower, following, head, headrecords
from hornbeamglade.core import clocks
from hornbeamglade.store import contract, memory
from tests.configuration import samples

TIMEOUT_S = 10.0


@pytest.fixture
def platform():
    platform = memory.MemoryPlatform(clocks.ManualClock())
    apply_number(platform, 1)
    return platform


def apply_number(platform: memory.MemoryPlatform, number: int) -> None:
    config = head.ConfigurationHead(platform, platform, clocks.ManualClock())
    change = head.Change(samples.numbered(number), number - 1, f"c{number}", "ada", "a reason")
    assert config.apply(change) == head.Applied(number)


def follower_of(platform, poll_s: float = 3600.0) -> follower.Follower:
    clock = clocks.ManualClock()
    return follower.Follower(platform, platform, clock, "krakow", "n1", poll_s)


@pytest.fixture
def node(platform):
    """Return a follower that has read revision 1."""
    node = follower_of(platform)
    node.poll()
    return node


def test_a_version_announcement_triggers_a_poll_at_once(platform):
    node = follower_of(platform)
    adopted = threading.Event()
    node.on_adopted = adopted.set
    node.start()
    assert adopted.wait(TIMEOUT_S)
    adopted.clear()
    apply_number(platform, 2)
    node.on_version_announcement(2)
    assert adopted.wait(TIMEOUT_S)
    node.stop()
    assert node.active().site.node.max_streams == 2


def test_the_revision_stays_active_during_an_outage(platform, node):
    platform.set_faults(memory.Faults(down=True))
    node.poll()
    assert (node.current().number, node.counts.failed_polls) == (1, 1)


def test_a_slow_store_does_not_start_a_node(platform):
    # The two reads of the store together take longer than announcements stay fresh, as for
    # a process that is paused.
    clock = clocks.ManualClock()
    slow = memory.MemoryPlatform(clock)
    apply_number(slow, 1)
    slow.set_faults(memory.Faults(delay_s=following.ANNOUNCEMENT_FRESH_S * 2 / 3))
    node = follower.Follower(slow, slow, clock, "krakow", "n1")
    node.poll()
    assert (node.current(), node.problem) == (None, "config_read_late")


def test_damaged_content_does_not_stop_the_node(platform, node):
    # A damaged object in the store must not stop all nodes of a site at once.
    apply_number(platform, 2)
    digest = samples.numbered(2).digest
    platform.put(headrecords.content_key(digest), samples.numbered(3).text)
    platform.put(headrecords.delta_key(digest), "damaged")
    node.poll()
    assert (node.current().number, node.problem) == (1, "config_digest_differs")


def test_a_node_with_the_previous_revision_reads_only_the_delta(platform, node):
    apply_number(platform, 2)
    platform.put(headrecords.content_key(samples.numbered(2).digest), "unread")
    node.poll()
    assert node.current().document == samples.numbered(2).text


@pytest.mark.parametrize("delta", ["damaged", '{"before":"","settings":[]}', None])
def test_a_node_reads_the_whole_document_when_the_delta_does_not_apply(platform, node, delta):
    # A node that missed a revision, or reads a damaged delta, must still get the newest
    # revision.
    apply_number(platform, 2)
    if delta is None:
        apply_number(platform, 3)
    else:
        platform.put(headrecords.delta_key(samples.numbered(2).digest), delta)
    node.poll()
    assert node.current().number == (2 if delta else 3)


def test_a_delta_to_another_document_is_not_used(platform, node):
    # With a wrong delta, a node would serve a configuration that was never accepted.
    apply_number(platform, 2)
    other = documentdelta.make(samples.numbered(1).text, samples.numbered(9).text)
    platform.put(headrecords.delta_key(samples.numbered(2).digest), other)
    node.poll()
    assert node.current().document == samples.numbered(2).text


def test_missing_content_is_reported(platform):
    node = follower_of(platform)
    text = headrecords.encode(headrecords.Head(1, "sha256-00", "c1"))
    platform.transact((), (contract.Put(headrecords.HEAD_KEY, text),))
    node.poll()
    assert (node.current(), node.problem) == (None, "config_content_missing")


def test_a_damaged_head_does_not_stop_the_node(platform, node):
    platform.transact((), (contract.Put(headrecords.HEAD_KEY, "{}"),))
    node.poll()
    assert (node.current().number, node.problem) == (1, "config_head_malformed")


def test_a_node_sends_its_revision_to_a_peer_that_starts_during_an_outage(platform):
    holders = [follower_of(platform), follower_of(platform)]
    for holder in holders:
        holder.poll()
    platform.set_faults(memory.Faults(down=True))
    late = follower_of(platform)
    late.set_listed_nodes(frozenset({"n1", "n2", "n3"}))
    late.poll()
    assert late.readiness.value == "config_not_read"
    for name, holder in zip(("n2", "n3"), holders, strict=True):
        late.on_version_announcement(holder.current().number, name)
        late.consider(holder.revision_for_peers())
    assert (late.current(), late.provisional) == (holders[0].current(), True)
    platform.set_faults(memory.Faults())
    late.poll()
    assert not late.provisional
