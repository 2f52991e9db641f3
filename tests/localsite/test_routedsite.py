"""Ports that a local site allocates to its processes."""

import random
import subprocess
import sys

from hornbeamglade.localsite import routedsite


def test_no_port_is_allocated_twice(monkeypatch):
    """Two instances got the same port, and the second one failed to start."""
    drawn = iter([21_001, 21_001, 21_002, 21_001, 21_003])
    monkeypatch.setattr(random, "randrange", lambda *_: next(drawn))
    monkeypatch.setattr(routedsite, "_is_free", lambda *_: True)
    monkeypatch.setattr(routedsite, "_reserve", lambda _: True)
    ports = routedsite.PortAllocator()
    assert [ports.allocate() for _ in range(3)] == [21_001, 21_002, 21_003]


def test_no_other_process_allocates_a_port_until_this_one_ends():
    """An instance failed to start, as another run of the tests had taken its port before."""
    port = routedsite.PortAllocator().allocate()
    program = f"from hornbeamglade.localsite import routedsite; print(routedsite._reserve({port}))"
    reserve = [sys.executable, "-c", program]
    answer = subprocess.run(reserve, capture_output=True, text=True, check=True).stdout
    assert answer == "False\n"
