"""Periodic maintenance of a node: reads the list of instances, sweeps old claims."""

import random

from hornbeamglade.claims import claimsettings, claimsweep
from hornbeamglade.configuration import follower
from hornbeamglade.core import clocks
from hornbeamglade.membership import dissemination, heartbeats
from hornbeamglade.store import contract, countedstore

LIST_INTERVAL_S = 1.0
LONG_LIST_INTERVAL_S = 30.0
SWEEP_INTERVAL_S = 60.0
SWEEP_NODES = 6
CLAIM_SETTINGS = claimsettings.ClaimSettings(dispatch_within_s=60.0)


class Upkeep:
    """Calls to the platform whose rate decreases with the number of nodes.

    :param platform: the operator's platform.
    :param instances: the list of instances, maintained by the nodes themselves.
    :param clock: monotonic and wall time.
    :param rng: chooses the part of the claims to sweep.
    :param beats: receives the list; provides the number of nodes.
    :param config: receives the names of the nodes.
    """

    def __init__(
        self,
        platform: countedstore.CountedStore,
        instances: contract.InstanceList,
        clock: clocks.Clock,
        rng: random.Random,
        beats: heartbeats.Heartbeats,
        config: follower.Follower,
    ) -> None:
        self._platform = platform
        self._instances = instances
        self._clock = clock
        self._rng = rng
        self._beats = beats
        self._config = config
        self._list_due_at = clock.now()
        self._sweep_due_at = clock.now() + SWEEP_INTERVAL_S

    def read_instances(self) -> None:
        """Read the platform's list, less often if it is long.

        At 360 nodes, reading the list each second would be fourteen times a node's budget
        of bytes, and membership does not depend on it.
        """
        now = self._clock.now()
        if now < self._list_due_at:
            return
        is_mesh = len(self._beats.members()) <= dissemination.FULL_MESH_MAX_NODES
        self._list_due_at = now + (LIST_INTERVAL_S if is_mesh else LONG_LIST_INTERVAL_S)
        listed = self._instances.list()
        if isinstance(listed, contract.Unavailable):
            return
        self._beats.apply_list(listed)
        self._config.set_listed_nodes(frozenset(instance.name for instance in listed))

    def sweep_claims(self) -> None:
        """Delete expired claims of one part of all digests.

        Each of 4,096 parts is swept about twice a day, whatever the number of nodes.
        """
        now = self._clock.now()
        if now < self._sweep_due_at:
            return
        nodes = len(self._beats.members())
        self._sweep_due_at = now + SWEEP_INTERVAL_S * max(1.0, nodes / SWEEP_NODES)
        part = claimsweep.random_digest_prefix(self._rng)
        claimsweep.sweep(self._platform, self._clock.wall(), CLAIM_SETTINGS, part)
