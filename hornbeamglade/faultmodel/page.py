"""The page of the fault model, made from its records."""

import collections.abc

from hornbeamglade.faultmodel import records

_TITLE_BY_PARTY = {
    records.Party.REPLICA: "Replicas",
    records.Party.CALLER: "Callers",
    records.Party.STORE: "The store",
    records.Party.NETWORK: "The network",
    records.Party.MACHINE: "Machines",
    records.Party.OPERATOR: "The operator",
}
_TITLE_BY_MOMENT = {
    records.Moment.STOP: "a planned stop of the instance",
    records.Moment.MOVE: "a move of the run",
    records.Moment.OUT_OF_STEP: "an instance out of step",
    records.Moment.STORE_AWAY: "the store away",
}
_HEAD = """# The fault model

What every party may do by the operators' pages, in our words and with the bound that they state;
what plays it; the modules that hold against it; and the promise at stake. Made by
`hornbeamglade faultmodel` from `hornbeamglade/faultmodel/*.yaml`; a test fails if a row names
something that does not exist, or if this page is not the one that the records make.

`option` is a fault of the routed stand-in, `store` one of the platform's, `soak` a fault of
[the soak](SOAK.md), `sweep` a kind of exchange or a disturbance of the sweep, `crowd` a crowd of
callers, `test` a test or a file of them. `bench` means that only the operators' bench plays it; a
dash, nothing.
"""
_CROSSINGS = """
## Replicas at the moments that have cost most

What plays each freedom of a replica in {moments}.
Any two faults of the soak may overlap by chance; a cell names only what sets out to play both.
"""


def render(model: records.FaultModel) -> str:
    """Return the page."""
    sections = [_HEAD]
    for party, freedoms in model.freedoms_by_party.items():
        rows = (
            (each.may, each.bound, _cell(each.played_by), _cell(each.held_by), each.promise)
            for each in freedoms
        )
        table = _table(("it may", "bound", "played by", "held by", "promise"), rows)
        sections.append(f"\n## {_TITLE_BY_PARTY[party]}\n\n{table}")
    return "".join((*sections, _crossings(model), _gaps(model)))


def _crossings(model: records.FaultModel) -> str:
    freedoms = model.freedoms_by_party[records.Party.REPLICA]
    rows = (
        (
            each.may,
            *(_cell(model.played_by_crossing.get((each.id, at), ())) for at in records.Moment),
        )
        for each in freedoms
    )
    moments = ", ".join(_TITLE_BY_MOMENT.values())
    table = _table(("a replica may", *_TITLE_BY_MOMENT.values()), rows)
    return f"{_CROSSINGS.format(moments=moments)}\n{table}"


def _gaps(model: records.FaultModel) -> str:
    gaps = model.gaps()
    rows = ((freedom.promise, freedom.may, _TITLE_BY_MOMENT[at]) for freedom, at in gaps)
    table = _table(("promise", "a replica may", "moment"), rows)
    return (
        f"\n## What nothing sets out to play\n\n{len(gaps)} cells, the gravest first.\n\n{table}"
    )


def _cell(names: collections.abc.Iterable[str]) -> str:
    return ", ".join(f"`{name}`" for name in names) or "—"


def _table(
    head: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[str]],
) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)
