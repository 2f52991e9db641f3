"""Seeds that have failed, kept as regression cases."""

CAUSE_BY_SEED: dict[int, str] = {}
"""The cause of each failure, by seed; ``--kept`` runs these seeds again."""

SHORT_SEED = 7
"""The seed of the short run that is part of the test suite."""

STATEMENT_SEEDS = (8, 31, 48, 57)
"""Seeds in whose plans servers state that they are leaving, and refuse requests for a time."""

REACHABILITY_SEEDS = (4, 6, 7)
"""Seeds of :data:`plan.REACHABILITY_KINDS <hornbeamglade.soak.plan.REACHABILITY_KINDS>` that draw
partitions of instances and servers that tolerate few refusals."""

LOAD_SEEDS = (5, 7)
"""Seeds of :data:`plan.LOAD_KINDS <hornbeamglade.soak.plan.LOAD_KINDS>` that draw all of them."""

VERSION_SEEDS = (1, 28)
"""Seeds of :data:`plan.VERSION_KINDS <hornbeamglade.soak.plan.VERSION_KINDS>` that draw
replacements by other versions, crashes of engines and lost instances."""

PART_SEEDS = (19, 23)
"""Seeds of :data:`plan.PART_KINDS <hornbeamglade.soak.plan.PART_KINDS>` that draw a crashing part
of prompts twice."""

STRAY_SEEDS = (1, 4)
"""Seeds of :data:`plan.STRAY_KINDS <hornbeamglade.soak.plan.STRAY_KINDS>` that draw late refusals,
responses without end, and engines that do not stop runs."""

BROKEN_SEEDS = (4, 5)
"""Seeds of :data:`plan.BROKEN_KINDS <hornbeamglade.soak.plan.BROKEN_KINDS>` that draw responses
that run into another one, of plain services and of engines."""

OUTAGE_SEEDS = (4, 9)
"""Seeds of :data:`plan.OUTAGE_KINDS <hornbeamglade.soak.plan.OUTAGE_KINDS>` that draw the loss of
all instances beside replacements by other versions."""

TAKEOVER_SEEDS = (2, 12)
"""Seeds of :data:`plan.TAKEOVER_KINDS <hornbeamglade.soak.plan.TAKEOVER_KINDS>` that draw servers
that take over an address of a service and of an engine, beside paused instances."""

CROWD_SEEDS = (14, 31)
"""Seeds of :data:`plan.CROWD_KINDS <hornbeamglade.soak.plan.CROWD_KINDS>` that draw crowds at
several addresses, beside a stop of an instance and an outage of the store."""

ENDS_SEEDS = (6, 10)
"""Seeds of :data:`plan.ENDS_KINDS <hornbeamglade.soak.plan.ENDS_KINDS>` that together draw all
ways in which an engine closes streams, beside instances that are stopped and paused."""

CROSSING_SEEDS = (21, 40)
"""Seeds of :data:`plan.CROSSING_KINDS <hornbeamglade.soak.plan.CROSSING_KINDS>` that draw stops of
one and of all instances, outages of the store, and each fault of engines and services there."""

REFUSAL_SEEDS = (6, 10)
"""Seeds of :data:`plan.REFUSAL_KINDS <hornbeamglade.soak.plan.REFUSAL_KINDS>` in whose plans
servers respond to requests that they ran with a status that says that they did not."""
