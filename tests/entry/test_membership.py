"""Instances that lose and find one another."""

from hornbeamglade.core import clocks
from hornbeamglade.membership import registry
from hornbeamglade.store import contract
from tests import eventloop
from tests.entry import site as entrysite

BEHIND_S = 5.0


class BehindClock(clocks.SystemClock):
    """A clock whose time of day was set back."""

    def wall(self):
        return super().wall() - BEHIND_S


def test_instance_that_starts_again_with_its_clock_set_back_is_heard():
    """The time of day jumps ahead, an instance starts, is killed, and the time jumps back.

    Started again, it has a lower incarnation than the others remember. They dropped all that
    it sent for a minute and a half: it got no leave of any owner, and took its own engines
    for its alone.
    """

    async def test(site):
        first, former = site.nodes
        known = former.instance.incarnation
        await former.stop()
        again = site.nodes[1] = entrysite.Node(1, BehindClock())
        await again.start()
        listed = registry.Registry(site.store)
        for node in site.nodes:
            each = node.instance.identity
            listed.register(
                contract.Instance(
                    each.name, each.failure_domain, each.address, each.exchange, False
                )
            )
        for node in site.nodes:
            node.instance.on_introduction(listed.list())
        site.read_store()

        def members():
            return first.instance.peering.heartbeats.members()

        def is_heard():
            return any(
                each.identity == again.instance.identity and each.incarnation > known
                for each in members()
            )

        await eventloop.until(is_heard)
        return again.instance.incarnation < known

    assert entrysite.run(test, nodes=2)
