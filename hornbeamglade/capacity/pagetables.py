"""Tables of the capacity page."""

import collections.abc

from hornbeamglade.capacity import checkvalues, dutyvalues, losses, slopes

_MB = 1e6
_KB = 1e3
_MIN_R_SQUARED = 0.95


def table(
    headings: collections.abc.Sequence[str], rows: collections.abc.Iterable[tuple[str, ...]]
) -> list[str]:
    """Return the lines of a Markdown table.

    Examples
    ========

    >>> table(("a", "b"), [("1", "2")])
    ['| a | b |', '|---|---|', '| 1 | 2 |']
    """
    return [_row(headings), "|" + "---|" * len(headings), *map(_row, rows)]


def number(value: float) -> str:
    """Format a number with three significant digits; zero gives a dash.

    Examples
    ========

    >>> number(0.0), number(0.01234), number(12345.6)
    ('-', '0.0123', '12,346')
    """
    if not value:
        return "-"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}" if abs(value) >= 1e-4 else f"{value:.1e}"


COST_HEADINGS = (
    *("what", "CPU, % of a core", "memory, MB", "messages/s", "KB/s"),
    *("platform reads/s", "writes/s"),
)


def cost_cells(cost: dutyvalues.Cost) -> tuple[str, ...]:
    """Return the table cells of one cost."""
    return (
        number(100 * cost.cores),
        number(cost.memory_bytes / _MB),
        number(cost.messages_per_s),
        number(cost.bytes_per_s / _KB),
        number(cost.reads_per_s),
        number(cost.writes_per_s),
    )


def duty_table(duty: dutyvalues.Duty, measured: slopes.SlopeSet) -> list[str]:
    """Return the table of one duty, with the slopes and modules of each cost."""
    rows = [
        (
            f"{cost.description} (data path)" if cost.data_path else cost.description,
            *cost_cells(cost),
            "; ".join(dict.fromkeys(measured.slope_by_key[key].mechanism for key in cost.keys)),
            ", ".join(f"{key} ({_r_squared(measured.slope_by_key[key])})" for key in cost.keys),
        )
        for duty_cost in (duty.costs,)
        for cost in duty_cost
    ]
    return table((*COST_HEADINGS, "mechanism", "slopes (R²)"), rows)


def check_table(results: collections.abc.Iterable[checkvalues.Check]) -> list[str]:
    """Return the table of checks with their verdicts."""
    rows = [
        (
            check.verdict,
            check.description,
            f"{number(check.value)} {check.unit}",
            f"{number(check.bound)} {check.unit}",
            check.mechanism,
            check.remark,
        )
        for check in results
    ]
    return table(("", "what", "from the slopes", "bound", "mechanism", "remark"), rows)


def loss_table(results: collections.abc.Iterable[losses.Loss]) -> list[str]:
    """Return the table of losses."""
    rows = [
        (
            loss.description,
            f"{loss.nodes:,}",
            f"{loss.replicas:,}",
            f"{loss.streams_cut:,}",
            f"{loss.owners_moved:,}",
            number(loss.update_ms),
            number(loss.gossip_s),
            loss.mechanism,
        )
        for loss in results
    ]
    headings = (
        *("what goes", "nodes", "replicas", "streams cut", "owners moved"),
        *("new owners, ms of CPU a node", "all word passed on by one node, s", "mechanism"),
    )
    return table(headings, rows)


def slope_table(measured: slopes.SlopeSet) -> list[str]:
    """Return the table of all slopes with their points."""
    rows = [
        (
            slope.key,
            slope.cost,
            slope.over,
            "; ".join(f"{point.size:.6g}: {number(point.value)}" for point in slope.points),
            number(slope.fit.slope) + (" x²" if slope.fit.power == 2 else ""),
            number(slope.fit.intercept),
            _r_squared(slope),
        )
        for slope in measured.slope_by_key.values()
    ]
    return table(("slope", "cost", "over", "measured", "per one", "at none", "R²"), rows)


def poorly_fitted_slopes(measured: slopes.SlopeSet) -> list[str]:
    """Return the keys of slopes whose fit has a low R²."""
    return [
        slope.key
        for slope in measured.slope_by_key.values()
        if slope.fit.r_squared < _MIN_R_SQUARED
    ]


def _r_squared(slope: slopes.Slope) -> str:
    return f"{slope.fit.r_squared:.4f}"


def _row(cells: collections.abc.Iterable[str]) -> str:
    return "| " + " | ".join(cells) + " |"
