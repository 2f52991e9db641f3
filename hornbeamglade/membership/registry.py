"""The nodes' own list of themselves, in the platform's store.

Explanation
===========

A node finds the others by rows that each writes at its start and takes away at the end
of a planned stop. The list only introduces: whether a node lives is known from
heartbeats. The row of a node that was killed stays until another run of the same name
replaces it, or until a node that has not heard of it for long takes it away.

The table also holds rows of other kinds that the nodes keep for one another. They come with
each reading of the list, so they cost no call of their own.
"""

import collections.abc

import pydantic

from hornbeamglade.store import contract

TABLE = "instances"

OnRows = collections.abc.Callable[[tuple[contract.Row, ...]], None]


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    failure_domain: str
    address: str
    exchange: str
    leaving: bool = False


class Registry(contract.InstanceList):
    """Reads and writes the rows of nodes.

    :param table: the platform's table.
    :param on_rows: called with all rows of each list that was read.

    Examples
    ========

    >>> from hornbeamglade.store import memory
    >>> registry = Registry(memory.MemoryPlatform())
    >>> own = contract.Instance("n1", "d1", "10.0.0.1:80", "10.0.0.1:7200", False)
    >>> registry.register(own)
    Committed(version_by_key={'instances/n1': 1})
    >>> registry.list() == (own,)
    True
    """

    def __init__(self, table: contract.Table, on_rows: OnRows = lambda _rows: None) -> None:
        self._table = table
        self._on_rows = on_rows

    def list(self) -> tuple[contract.Instance, ...] | contract.Unavailable:
        """Read all rows; one that cannot be read is left out."""
        rows = self._table.scan(f"{TABLE}/")
        if isinstance(rows, contract.Unavailable):
            return rows
        self._on_rows(rows)
        return parse_instances(rows)

    def register(self, instance: contract.Instance) -> contract.WriteOutcome:
        """Write a node's row, whatever was there."""
        body = _Body(
            failure_domain=instance.failure_domain,
            address=instance.address,
            exchange=instance.exchange,
            leaving=instance.leaving,
        )
        return self._table.transact(
            (), (contract.Put(_key(instance.name), body.model_dump_json()),)
        )

    def deregister(self, name: str) -> contract.WriteOutcome:
        """Take a node's row away."""
        return self._table.transact((), (contract.Delete(_key(name)),))


def parse_instances(rows: collections.abc.Iterable[contract.Row]) -> tuple[contract.Instance, ...]:
    """Read the rows of nodes; one that cannot be read is left out."""
    found = (_parse_instance(row) for row in rows)
    return tuple(instance for instance in found if instance is not None)


def _key(name: str) -> str:
    return f"{TABLE}/{name}"


def _parse_instance(row: contract.Row) -> contract.Instance | None:
    try:
        body = _Body.model_validate_json(row.value)
    except pydantic.ValidationError:
        return None
    name = row.key.removeprefix(f"{TABLE}/")
    return contract.Instance(name, body.failure_domain, body.address, body.exchange, body.leaving)
