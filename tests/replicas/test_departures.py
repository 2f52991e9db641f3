"""The share of a service's engines that departs together."""

from hornbeamglade.replicas import departures


def depart(target, names, now, present=23):
    for name in names:
        target.record("chat", name, present, now)


def test_groups_are_averaged_and_one_departure_counts_once():
    """An engine is listed as leaving and then as gone; both would double the share."""
    target = departures.Departures()
    depart(target, ("e1", "e2", "e3", "e4"), 10.0)
    depart(target, ("e1", "e2", "e3", "e4"), 12.0)
    depart(target, ("e5", "e6"), 13.3)
    assert target.share("chat", 14.0) == (4 / 23 + 2 / 23) / 2
    assert target.share("other", 14.0) == 0.0


def test_a_single_departure_reserves_nothing():
    """A rolling restart must not take memory from new requests."""
    target = departures.Departures()
    depart(target, ("e1",), 10.0)
    assert target.share("chat", 10.5) == 0.0
    depart(target, ("e2",), 21.0)
    assert target.share("chat", 21.0) == 0.0


def test_the_share_is_bounded():
    """Most engines of a small service may depart at once; the others must still get requests."""
    target = departures.Departures()
    depart(target, ("e1", "e2", "e3"), 10.0, present=4)
    assert target.share("chat", 10.0) == departures.MAX_SHARE


def test_state_is_bounded():
    target = departures.Departures()
    for number in range(100):
        depart(target, (f"e{number}",), 2.0 * number)
    assert len(target._groups_by_service["chat"]) <= departures.MAX_GROUPS
    target.keep_services(frozenset())
    assert not target._groups_by_service
