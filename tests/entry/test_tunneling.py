"""Which replica an instance names to those that relay connections."""

import random
import types

from hornbeamglade.core import clocks
from hornbeamglade.entry import tunneling
from hornbeamglade.membership import view
from hornbeamglade.replicas import models, replicalist

ADDRESS = "10.0.0.1:8080"


def test_relays_are_asked_for_the_newest_replica_at_an_address():
    """An instance that does not know the former replica at an address opens no tunnel to it."""
    replicas = replicalist.ReplicaList()
    for started_ms in (1, 2):
        replica_id = models.replica_id(f"e{started_ms}", started_ms)
        started = models.Replica(replica_id, "llm", ADDRESS, "a", 8, started_ms=started_ms)
        replicas.update((started,), (), started_ms)
    tunnels = tunneling.Tunneling(
        view.Identity("n0", "a", "", ""),
        replicas,
        types.SimpleNamespace(codec=None),
        {},
        random.Random(1),
        clocks.ManualClock(),
    )
    assert tunnels.replica_at(ADDRESS).id == "e2@2"
    replicas.update((), ("e1@1", "e2@2"), 3)
    assert tunnels.replica_at(ADDRESS).id == "e2@2"
