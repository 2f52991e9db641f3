"""The nodes' registrations in the platform's store.

Explanation
===========

Nodes discover one another by rows that each node writes when it starts and deletes at
the end of a planned stop. The list serves discovery only: whether a node is live is
determined by heartbeats. The row of a node that was killed remains until another
incarnation with the same name replaces it, or until a node that has not heard from it
for a long time deletes it.

The table also holds other kinds of rows that the nodes share. They are read together
with the list, so they need no additional calls.
"""

import collections.abc
import typing

import pydantic

from hornbeamglade.configuration import models
from hornbeamglade.exchange import wireformat
from hornbeamglade.store import contract

TABLE = "instances"

OnRows = collections.abc.Callable[[tuple[contract.Row, ...]], None]


# Messages carry names of instances and of failure domains.
Name = typing.Annotated[str, pydantic.AfterValidator(wireformat.checked_name)]


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    failure_domain: Name
    address: models.Address
    exchange: models.Address
    leaving: bool = False


class Registry(contract.InstanceList):
    """Reads and writes the rows of nodes.

    :param table: the platform's table.
    :param on_rows: called with all rows of the table each time the list is read.

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
        """Read all rows; malformed rows are skipped."""
        rows = self._table.scan(f"{TABLE}/")
        if isinstance(rows, contract.Unavailable):
            return rows
        self._on_rows(rows)
        return parse_instances(rows)

    def register(self, instance: contract.Instance) -> contract.WriteOutcome:
        """Write a node's row, replacing any existing one."""
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
        """Delete a node's row."""
        return self._table.transact((), (contract.Delete(_key(name)),))


def parse_instances(rows: collections.abc.Iterable[contract.Row]) -> tuple[contract.Instance, ...]:
    """Parse the rows of nodes; malformed rows are skipped."""
    parsed = (_parse_instance(row) for row in rows)
    return tuple(instance for instance in parsed if instance is not None)


def _key(name: str) -> str:
    return f"{TABLE}/{name}"


def _parse_instance(row: contract.Row) -> contract.Instance | None:
    name = row.key.removeprefix(f"{TABLE}/")
    try:
        wireformat.checked_name(name)
        body = _Body.model_validate_json(row.value)
    except ValueError:
        return None
    return contract.Instance(name, body.failure_domain, body.address, body.exchange, body.leaving)
