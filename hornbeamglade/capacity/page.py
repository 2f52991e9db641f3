"""Generates the capacity page for the target size from measured slopes."""

from hornbeamglade.capacity import (
    callermemory,
    checks,
    checkvalues,
    duties,
    dutyvalues,
    losses,
    pagetables,
    sharedstate,
    slopes,
    sweeppage,
    targetsize,
)
from hornbeamglade.platform import sweeptables

_SIZES = (targetsize.TODAY, targetsize.ONE_REGION, targetsize.TARGET)

_INTRODUCTION = """\
# Capacity at the target size

Made by `hornbeamglade capacity page --slopes docs/capacity-slopes.json --sweep
docs/capacity-sweep.txt`. Don't edit it by hand. The first section is about entry instances on
the operators' platform, from what their bench prints of one day at several sizes; all others
are about the nodes that serve the chat interface, from slopes measured by `hornbeamglade
capacity measure --out docs/capacity-slopes.json`.

"""

_SWEEP = """\
## Entry instances

One day, played whole at several numbers of instances and as many engines and callers for each.
Of each quantity the middle instance's figure and the busiest one's, the power of the number of
instances to which the busiest one's grows, and where that leads. A power near 0 does not grow.
"""

_SLOPES = """\
## Nodes of the chat interface

Every figure is a slope, measured here over at least four sizes, carried to the
target size. What was measured and how well its line holds (R²) stands at the end;
most sizes lie below the target, so the figures are extrapolations of that line and not
measurements of such a site. Processor time is that of one interpreter on this machine:
"""

_BUDGET = """\
For control a node may spend 4.8% of a core, 128 MB and 3 KB a second. The platform
takes "several hundred" writes a second, counted as 400, and about 2,000 reads. The
relay of tokens is the data path and no control; a node's caller threads count there too.
Bytes are those that a node sends in datagrams, and both directions of its HTTP to
the platform and to backend servers, without headers of IP, TCP and UDP.
"""

_ASSUMED = """\
Assumed, as no figure is given: 100 requests a second may not be repeated; at the worst
every request goes to a replica that another node owns; a rack holds 8 nodes.
"""

_LIMITATIONS = """\
## What the slopes don't show

Found by reading the code when the slopes were measured:

- **Team limits.** A node begins with a share of a quarter of the limit divided by the k nodes
  of the team's shard, and may raise it only while it hears the rest of the shard. Where it
  does not (see the bounds above), a team of a shard of three gets 25% of its limit in all.
- **Placing teams.** A member's change places all teams in the tick thread, a revision's
  in the follower's thread while the tick thread waits for the same lock. Each further change
  that comes in meanwhile begins another pass, so the loss of many nodes, whose word comes in
  over minutes (see below), keeps that thread busy for as long.
- **Placement.** The candidate for a pool's lease reads three engines back a second at rest,
  and up to fifty while they are changed; neither was measured.
- **Regions** are unknown to the code: a site is one mesh, and its heartbeats, grants and
  load polls cross regions as if they were one. Nothing prefers the own region but the
  failure domain's weight in the ownership of replicas.
- **Not measured:** the pass over all active grants each second, the memory at its peak while
  a change is put into force, callers asking for addresses, and anything above 24 real nodes.
"""

_LOSSES = """\
## When something goes

19 instances fail and 520 are restarted or replaced on a day, one in 160 s; each is a change of
members at every node: one ownership update over all replicas, and a pass over all teams for
each state that changes. The table adds the larger losses.
"""

_LOSSES_AFTER = """\
- **Detection.** Above 16 nodes a node asks two others a second, so its own question
  reaches a dead one only in minutes; in between it hears of it by rumours, eight in a
  heartbeat. With a rack these fit; with a failure domain, or a cut link, rumours queue
  for the time in the table, and what a node has not heard of it finds out by asks for
  grants that nobody answers, each of which adds {response_timeout} s to one first token.
- **A rack or a failure domain.** Streams through its nodes end with their connections;
  callers come back through the other addresses of their answer, which is spread over
  domains. Its replicas' digests end after {digest_ttl} s, and streams of other nodes from
  its replicas end with an event that says so, or are run again before their first token
  when they are repeatable. The rest carries {load_factor} of its former load for a domain.
- **A link between regions.** Nobody dies, but each side takes the other's nodes for gone and
  owns all replicas: it polls those beyond the link in vain (a second each, eight at once,
  `node/loadpoller.py`). An engine that never reported to its new owner looks empty there and
  is waited for; a request that asks for it goes on to look for room at others meanwhile
  (`grants/grantacquirer.py`). Requests that are not repeatable are refused as not run on the side
  without the platform; the configuration there stays at its revision, so a change is **not** in
  force everywhere within 3 s until the link is back. Streams over the link stall, then resume
  or end, and both owners of a replica admit to it as long as both reach it: that costs
  preemptions and no promise.
"""

_METHOD = """\
## How the slopes were measured

The groups `routing` to `status` run the modules themselves in one process, with
fakes at the border and hand-turned clocks; processor time is that of the thread, memory
what the allocator gave out. `processes` starts real nodes with a stand-in platform and
engines; links that count the bytes run between them. `relay` is the bench of the
data path at up to 72 streams. The machine was shared and busy: times differed by up to
a factor of two between runs, bytes and counts don't. {weak}

Replicas without a fresh word are worked out from the chance that an owner is heard in time,
as its curve has a step at the bound of the mesh. At {nodes:.0f} real nodes that gives
{chance:.0%}, and their status pages showed {seen:.0%}.
"""


def markdown(measured: slopes.SlopeSet, sweep: sweeptables.Sweep) -> str:
    """Return the page as Markdown.

    :param measured: all slopes.
    :param sweep: results of one day at several sizes.
    :raises CodedError: ``capacity_slope_missing`` when a slope was not measured.
    """
    size = targetsize.TARGET
    results = checks.all_checks(measured, size)
    lines = [
        *_INTRODUCTION.splitlines(),
        *_SWEEP.splitlines(),
        "",
        *sweeppage.markdown(sweep).splitlines(),
        "",
        *sharedstate.markdown(size).splitlines(),
        "",
        *callermemory.markdown().splitlines(),
        "",
        *_SLOPES.splitlines(),
        f"{measured.machine}.",
        "",
        *_BUDGET.splitlines(),
        "",
        *_ASSUMED.splitlines(),
        "",
        "## What today's code carries",
        "",
        f"{sum(check.is_met for check in results)} of {len(results)} bounds hold at the target "
        "size.",
        "",
        *pagetables.check_table(results),
        "",
        "## Control, in all",
        "",
        *_totals(measured),
        "",
        *_roles(measured, size),
        *_LIMITATIONS.splitlines(),
        "",
        *_losses(measured, size),
        *_method(measured),
        "",
        *pagetables.slope_table(measured),
    ]
    return "\n".join(lines) + "\n"


def _totals(measured: slopes.SlopeSet) -> list[str]:
    rows = []
    for size in _SIZES:
        total = dutyvalues.control_total(duties.all_duties(measured, size))
        scale = (
            f"{size.name}: {size.nodes} nodes, {size.replicas:,} replicas, {size.teams:,} teams"
        )
        rows.append((scale, *pagetables.cost_cells(total)))
    return pagetables.table(("size", *pagetables.COST_HEADINGS[1:]), rows)


def _roles(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> list[str]:
    lines = [
        "## Roles and duties",
        "",
        f"At {size.nodes} nodes, {size.replicas:,} replicas, {size.teams:,} teams, "
        f"{size.requests_per_s:,.0f} requests and {size.tokens_per_s / 1e6:.0f} million tokens a "
        f"second, {size.regions} regions, {size.failure_domains} failure domains and "
        f"{size.changes_per_day:,.0f} changes a day. "
        "Every node has every duty; figures are of one node, those of the platform of all.",
        "",
    ]
    for duty in duties.all_duties(measured, size):
        lines += [f"### {duty.name}", "", f"State: {duty.state}.", ""]
        lines += [*pagetables.duty_table(duty, measured), ""]
    relay = measured.at("relay.bare_cores", size.tokens_per_node)
    lines += [
        f"A bare relay, which checks nothing, would take {pagetables.number(100 * relay)}% of a "
        "core for the same tokens. (A trial outside the project saw 0.44 core for 5,355 tokens a "
        "second through a bare relay on another day.)",
        "",
    ]
    return lines


def _losses(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> list[str]:
    load_factor = size.failure_domains / (size.failure_domains - 1)
    after = _LOSSES_AFTER.format(
        response_timeout=losses.GRANT_RESPONSE_TIMEOUT_S,
        digest_ttl=losses.DIGEST_TTL_S,
        load_factor=f"{load_factor:.2f} times",
    )
    table = pagetables.loss_table(losses.all_losses(measured, size))
    return [*_LOSSES.splitlines(), "", *table, "", *after.splitlines(), ""]


def _method(measured: slopes.SlopeSet) -> list[str]:
    weak = pagetables.poorly_fitted_slopes(measured)
    text = f"Lines that explain less than 95%: {', '.join(weak)}." if weak else ""
    largest = measured.slope_by_key["processes.unseen.nodes"].points[-1]
    chance = 1 - checkvalues.heard_fraction(round(largest.size), losses.DIGEST_TTL_S)
    return _METHOD.format(
        weak=text, nodes=largest.size, chance=chance, seen=largest.value
    ).splitlines()
