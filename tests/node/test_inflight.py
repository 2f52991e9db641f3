from hornbeamglade.core import outcomes
from hornbeamglade.node import inflight
from hornbeamglade.teams import limits, shares, teamlimits


def _in_flight(threads):
    team_limits = limits.TeamLimits("n1", shares.ShareSettings())
    team_limits.configure([teamlimits.TeamLimit("clerks", 1.0, 0, 1000, 10**9)])
    team_limits.set_shard("clerks", ("n1",))
    return inflight.InFlight(team_limits, threads)


def test_threads_are_reserved_for_refusals():
    """An operator allows more streams than the node has threads.

    If every thread carried a stream, the next caller would wait unobserved until a
    stream ends instead of being refused at once.
    """
    node = _in_flight(threads=16)
    admissions = [node.enter("clerks", 1, max_streams=400) for _ in range(15)]
    refused = [each for each in admissions if isinstance(each, outcomes.Refusal)]
    assert [each.code for each in refused] == ["node_full"]
    assert refused[0].retry_after_s


def test_a_request_that_ends_makes_room():
    node = _in_flight(threads=16)
    admissions = [node.enter("clerks", 1, max_streams=2) for _ in range(2)]
    assert node.enter("clerks", 1, max_streams=2).code == "node_full"
    node.leave(admissions[0])
    assert isinstance(node.enter("clerks", 1, max_streams=2), limits.Admission)
