"""Section of the capacity page on entry instances, from one day run at several sizes."""

import dataclasses

from hornbeamglade.platform import sweeptables


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """Upper bound of a quantity at the target size.

    :param quantity: name of the quantity in the table.
    :param limit: the bound, in the unit of the quantity.
    :param remark: source of the bound and what else the quantity includes.
    """

    quantity: str
    limit: float
    remark: str


BOUNDS = (
    Bound("entry: processor %", 4.8, "control alone may take 4.8% of a core; relaying is in it"),
    Bound("entry: memory MB", 128.0, "of an instance; interpreter and libraries are in it"),
    Bound("config acked, ms", 3000.0, "a change is in force within 3 s"),
)


def markdown(sweep: sweeptables.Sweep) -> str:
    """Return the section as Markdown.

    Examples
    ========

    >>> figures = {30: sweeptables.Figures(2.0, 3.0), 100: sweeptables.Figures(2.0, 4.0)}
    >>> quantity = sweeptables.Quantity("entry: processor %", figures, 0.24, 5.4)
    >>> text = markdown(sweeptables.Sweep(360, (quantity,)))
    >>> "| **not carried** | entry: processor % | 5.4 | 4.8 |" in text
    True
    """
    sizes = sorted({size for each in sweep.quantities for size in each.by_size})
    headings = [
        "quantity",
        *(f"{size} instances" for size in sizes),
        "power",
        f"at {sweep.target}",
    ]
    rows = [_row(headings), _row("---" for _ in headings)]
    rows += [_row(_cells(each, sizes)) for each in sweep.quantities]
    quantity_by_name = {each.name: each for each in sweep.quantities}
    bounds = [
        _row(("", "what", f"busiest at {sweep.target}", "bound", "remark")),
        _row("---" for _ in range(5)),
    ]
    bounds += [
        _row(_bound_cells(bound, quantity_by_name[bound.quantity]))
        for bound in BOUNDS
        if bound.quantity in quantity_by_name
    ]
    return "\n".join((*bounds, "", *rows)) + "\n"


def _row(cells) -> str:
    return f"| {' | '.join(cells)} |"


def _cells(quantity: sweeptables.Quantity, sizes: list[int]) -> list[str]:
    figures = (quantity.by_size[size] for size in sizes)
    shown = [f"{each.median:g} / {each.maximum:g}" for each in figures]
    return [quantity.name, *shown, f"{quantity.power:g}", f"{quantity.extrapolated:g}"]


def _bound_cells(bound: Bound, quantity: sweeptables.Quantity) -> tuple[str, ...]:
    verdict = "carried" if quantity.extrapolated <= bound.limit else "**not carried**"
    return (verdict, quantity.name, f"{quantity.extrapolated:g}", f"{bound.limit:g}", bound.remark)
