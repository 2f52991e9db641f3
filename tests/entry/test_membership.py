"""Instances that lose and rediscover one another."""

from hornbeamglade.core import clocks
from hornbeamglade.membership import registry
from hornbeamglade.store import contract
from tests import eventloop
from tests.entry import site as entrysite

CLOCK_OFFSET_S = 5.0


class SetBackClock(clocks.SystemClock):
    """A clock whose wall time was set back."""

    def wall(self):
        return super().wall() - CLOCK_OFFSET_S


async def test_instance_restarted_with_its_clock_set_back_is_accepted():
    """The wall clock jumps ahead, an instance starts and is killed, and the clock jumps back.

    The restarted instance has a lower incarnation than the others remember. They dropped all
    its messages for a minute and a half: it got no grants from other owners, and considered
    itself the sole owner of its engines.
    """
    async with entrysite.started(nodes=2) as site:
        first, former = site.nodes
        known = former.instance.incarnation
        await former.stop()
        again = site.nodes[1] = entrysite.Node(1, SetBackClock())
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
            node.instance.on_instance_list(listed.list())
        site.read_store()

        def members():
            return first.instance.peering.heartbeats.members()

        def is_known():
            return any(
                each.identity == again.instance.identity and each.incarnation > known
                for each in members()
            )

        await eventloop.until(is_known)
        assert again.instance.incarnation < known
