"""Checks of the bounds on routing, membership and the status page."""

from hornbeamglade.capacity import checkvalues, dutyvalues, slopes, targetsize
from hornbeamglade.exchange import grantrequests
from hornbeamglade.node import replicacatalog
from hornbeamglade.routing import candidates

SMALL_POOL = 6


def routing_checks(
    measured: slopes.SlopeSet, size: targetsize.SiteSize
) -> tuple[checkvalues.Check, ...]:
    """Return the checks of replica selection and of the knowledge of replicas."""
    heard_fraction = checkvalues.heard_fraction(size.nodes, replicacatalog.REPORT_LIFE_S)
    routing = candidates.RoutingSettings()
    usable_fraction = checkvalues.heard_fraction(size.nodes, routing.usable_s)
    sampled = min(replicacatalog.MAX_REMOTE_CANDIDATES, round(size.replicas_per_pool))
    lost_us = measured.at("membership.domain_lost_us", size.nodes)
    tick_ms = measured.at("membership.tick_us", size.nodes) / checkvalues.MS
    return (
        checkvalues.Check(
            "choosing a replica for one request",
            dutyvalues.choice_s(measured, size) * checkvalues.MS,
            1.0,
            "ms",
            "node/replicacatalog.py (candidates), routing/choice.py",
            f"{replicacatalog.MAX_REMOTE_CANDIDATES} "
            "of others are costed; the names of the whole pool are "
            "still gone through",
        ),
        checkvalues.Check(
            f"choices that see fewer than {routing.samples} of the {sampled} replicas looked "
            "at by a usable word",
            100 * checkvalues.probability_of_fewer_than(routing.samples, sampled, usable_fraction),
            5.0,
            "%",
            "node/replicacatalog.py (candidates) over membership/dissemination.py",
            f"the one that was heard of within {routing.usable_s:.0f} s, or one of the node's "
            "own, is then asked first, however many others are emptier; with none, any",
        ),
        checkvalues.Check(
            "replicas of others of which a node has no fresh word, all in service",
            100 * (1 - heard_fraction),
            5.0,
            "%",
            "node/replicacatalog.py (takes_new_work) over membership/dissemination.py",
            "an owner's digest comes by chance only; engines get work all the same, plain "
            "services don't, and status pages show these as leaving",
        ),
        checkvalues.Check(
            "requests to a plain service refused (no_replica) by a node that owns none of its "
            f"{SMALL_POOL} replicas",
            100 * (1 - heard_fraction) ** SMALL_POOL,
            0.1,
            "%",
            "node/plainhandler.py (_choose) over the same",
            "a truthful but needless refusal while all replicas serve",
        ),
        checkvalues.Check(
            "one tick of the peering",
            tick_ms,
            1.0,
            "ms",
            "node/peering.py (tick), membership/view.py (members)",
            "members are looked at anew when something came in of them, and the newest revision "
            "is sought each half second",
        ),
        checkvalues.Check(
            "new owners after the loss of a failure domain",
            lost_us / checkvalues.MS,
            checkvalues.TOKEN_MS,
            "ms",
            "membership/ownership.py",
            "in one piece, with the interpreter's lock passed on each 5 ms",
        ),
        checkvalues.Check(
            "one /status, a row a replica",
            measured.at("status.page_us", size.replicas) / 1e6,
            0.05,
            "s of processor",
            "node/statuses.py",
            "a reading each few seconds from all nodes",
        ),
        checkvalues.Check(
            "first token's wait for each owner that has just died",
            grantrequests.RESPONSE_TIMEOUT_S,
            1.1 / 2,
            "s",
            "exchange/grantrequests.py (RESPONSE_TIMEOUT_S)",
            "two in a row leave half of the 1.1 s",
        ),
    )
