"""Validated models of the bodies of the platform's metadata store."""

import base64
import binascii
import typing

import pydantic

from hornbeamglade.store import contract, positions


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class RowName(_Body):
    """Where a row lies: three texts of at most 200 bytes each."""

    table: str
    part: str = ""
    key: str

    @classmethod
    def from_key(cls, key: str) -> "RowName":
        """Return the place of one of our keys: its first segment is the table.

        Examples
        ========

        >>> RowName.from_key("leases/pool:drafts")
        RowName(table='leases', part='', key='pool:drafts')
        """
        table, _, rest = key.partition("/")
        return cls(table=table, key=rest)

    def full_key(self) -> str:
        """Return our key."""
        return f"{self.table}/{self.key}" if self.key else self.table


class Row(RowName):
    """A row as it is read."""

    # Absent in a feed's row that is marked as deleted.
    value: str = ""
    # The number of the transaction that wrote the row, from one counter for all tables.
    ver: int
    deleted: bool = False

    @classmethod
    def from_row(cls, row: contract.Row) -> "Row":
        """Return the body for a row of the contract."""
        version = positions.version(row.version)
        return cls(**dict(RowName.from_key(row.key)), value=encode_value(row.value), ver=version)

    def to_row(self, era: int) -> contract.Row:
        """Return the row as a value of the contract.

        :param era: of the answer that it came in.

        One whose value cannot be read says so: any program may write to a table, and a
        row of another one must not keep this one from reading the rest.
        """
        at = positions.position(era, self.ver)
        try:
            return contract.Row(self.full_key(), decode_value(self.value), at)
        except ValueError as error:
            return contract.Row(self.full_key(), "", at, str(error))


class Rows(_Body):
    """The answer of a read or of a feed."""

    rows: tuple[Row, ...]
    # The newest version of the whole store as of the answer.
    ver: int
    truncated: bool = False


class Expected(RowName):
    """A row that must be at a version; 0 means that it does not exist."""

    ver: int


class Write(RowName):
    """A row to write."""

    value: str


class Transaction(_Body):
    """A change that is made as a whole or not at all."""

    expected: tuple[Expected, ...]
    writes: tuple[Write, ...]
    remove: tuple[RowName, ...]

    @classmethod
    def from_writes(
        cls,
        conditions: tuple[contract.Condition, ...],
        writes: tuple[contract.Put | contract.Delete, ...],
    ) -> "Transaction":
        """Return the body for values of the contract."""
        puts = [write for write in writes if isinstance(write, contract.Put)]
        deletes = [write for write in writes if isinstance(write, contract.Delete)]
        return cls(
            expected=tuple(
                Expected(**dict(RowName.from_key(each.key)), ver=positions.version(each.version))
                for each in conditions
            ),
            writes=tuple(
                Write(**dict(RowName.from_key(put.key)), value=encode_value(put.value))
                for put in puts
            ),
            remove=tuple(RowName.from_key(delete.key) for delete in deletes),
        )


class Committed(_Body):
    """The answer to a change that was made."""

    ver: int


class Conflict(_Body):
    """The answer to a change whose condition did not hold: the rows as they are."""

    rows: tuple[Row, ...] = ()


def encode_value(value: str) -> str:
    """Return a text as the store keeps it."""
    return base64.b64encode(value.encode()).decode()


def decode_value(value: str) -> str:
    """Return a text that the store keeps.

    :raises ValueError: when it is not base64 of a text.
    """
    try:
        return base64.b64decode(value, validate=True).decode()
    except binascii.Error as error:
        raise ValueError(str(error)) from error


Body = typing.TypeVar("Body", bound=_Body)
