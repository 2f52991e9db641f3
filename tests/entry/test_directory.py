"""Selection of the instances that callers should connect to."""

from hornbeamglade.entry import directory
from hornbeamglade.exchange import messages
from hornbeamglade.membership import view

REGIONS = {"a": "north", "b": "north", "c": "south"}


def member(
    name, domain, state=messages.NodeState.LIVE, revision=3, listed=5, *, has_heartbeat=True
):
    identity = view.Identity(name, domain, f"{name}:80", f"{name}:72")
    live = messages.NodeState.LIVE
    heartbeat = messages.Heartbeat(live, 1, revision, domain, "", "", list_version=listed)
    return view.Member(identity, 1, 1, 0, state, 0.0, heartbeat if has_heartbeat else None)


def addresses(members, domain="a", region="north", own="n0", *, ready=True):
    return directory.addresses(tuple(members), own, ready, domain, region, REGIONS)


def test_own_failure_domain_suffices_with_two_instances():
    members = [member("n0", "a"), member("n1", "a"), member("n2", "b")]
    assert addresses(members) == ("n0:80", "n1:80")


def test_single_nearby_instance_is_complemented_from_the_region():
    """The only instance of a failure domain hangs.

    Without an alternative, its callers could not connect until their next lookup.
    """
    members = [member("n0", "a"), member("n1", "b"), member("n2", "c")]
    assert addresses(members) == ("n0:80", "n1:80")


def test_callers_of_an_empty_domain_get_all_instances():
    members = [member("n0", "c"), member("n1", "c")]
    assert addresses(members) == ("n0:80", "n1:80")
    assert addresses(members, "x", "") == ("n0:80", "n1:80")


def test_only_instances_that_can_serve_are_returned():
    gone, leaving = messages.NodeState.GONE, messages.NodeState.LEAVING
    members = [
        member("n0", "a"),
        member("n1", "a", gone),
        member("n2", "a", leaving),
        member("n3", "a", messages.NodeState.SUSPECT),
        member("n4", "a", revision=0),
        member("n5", "a", has_heartbeat=False),
        member("n6", "a", listed=0),
    ]
    assert addresses(members) == ("n0:80",)


def test_leaving_instance_does_not_return_itself():
    members = [member("n0", "a"), member("n1", "a")]
    assert addresses(members, ready=False) == ("n1:80",)


def test_instance_without_peers_returns_itself():
    assert addresses([member("n0", "a", has_heartbeat=False)]) == ("n0:80",)
