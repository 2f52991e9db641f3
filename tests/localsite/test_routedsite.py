"""Ports that a local site allocates to its processes."""

import random

from hornbeamglade.localsite import routedsite


def test_no_port_is_allocated_twice(monkeypatch):
    """Two instances got the same port, and the second one failed to start."""
    drawn = iter([21_001, 21_001, 21_002, 21_001, 21_003])
    monkeypatch.setattr(random, "randrange", lambda *_: next(drawn))
    monkeypatch.setattr(routedsite, "_is_free", lambda *_: True)
    ports = routedsite.PortAllocator()
    assert [ports.allocate() for _ in range(3)] == [21_001, 21_002, 21_003]
