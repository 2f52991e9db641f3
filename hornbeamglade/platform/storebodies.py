"""Validated models of the request and response bodies of the platform's metadata store."""

import base64
import binascii
import typing

import pydantic

from hornbeamglade.store import contract, positions


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class RowName(_Body):
    """The location of a row: three strings of at most 200 bytes each."""

    table: str
    part: str = ""
    key: str

    @classmethod
    def from_key(cls, key: str) -> "RowName":
        """Return the location for a key of this project, whose first segment is the table.

        Examples
        ========

        >>> RowName.from_key("leases/pool:drafts")
        RowName(table='leases', part='', key='pool:drafts')
        """
        table, _, rest = key.partition("/")
        return cls(table=table, key=rest)

    def full_key(self) -> str:
        """Return the key that this project uses for the row."""
        return f"{self.table}/{self.key}" if self.key else self.table


class Row(RowName):
    """A row in a response."""

    # Absent in a feed's row that is marked as deleted.
    value: str = ""
    # Number of the transaction that wrote the row, from one counter for all tables.
    ver: int
    deleted: bool = False

    @classmethod
    def from_row(cls, row: contract.Row) -> "Row":
        """Return the body for a contract row."""
        version = positions.version(row.version)
        return cls(**dict(RowName.from_key(row.key)), value=encode_value(row.value), ver=version)

    def to_row(self, era: int) -> contract.Row:
        """Return the contract row.

        :param era: the era of the response.

        If the value cannot be decoded, the row carries the problem instead: any program may
        write to a table, and another program's row must not prevent reading the rest.
        """
        at = positions.position(era, self.ver)
        try:
            return contract.Row(self.full_key(), decode_value(self.value), at)
        except ValueError as error:
            return contract.Row(self.full_key(), "", at, str(error))


class Rows(_Body):
    """The response to a read or a feed."""

    rows: tuple[Row, ...]
    # The newest version of the whole store at the time of the response.
    ver: int
    truncated: bool = False


class Expected(RowName):
    """A row's expected version; 0 means that the row must not exist."""

    ver: int


class Write(RowName):
    """A row to write."""

    value: str


class Transaction(_Body):
    """An atomic set of writes and deletions."""

    expected: tuple[Expected, ...]
    writes: tuple[Write, ...]
    remove: tuple[RowName, ...]

    @classmethod
    def from_writes(
        cls,
        conditions: tuple[contract.Condition, ...],
        writes: tuple[contract.Put | contract.Delete, ...],
    ) -> "Transaction":
        """Return the body for contract conditions and writes."""
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
    """The response to a committed transaction."""

    ver: int


class Conflict(_Body):
    """The response to a failed condition, with the current rows."""

    rows: tuple[Row, ...] = ()


def encode_value(value: str) -> str:
    """Encode a string as the store keeps it."""
    return base64.b64encode(value.encode()).decode()


def decode_value(value: str) -> str:
    """Decode a string that the store keeps.

    :raises ValueError: if it is not base64 of UTF-8 text.
    """
    try:
        return base64.b64decode(value, validate=True).decode()
    except binascii.Error as error:
        raise ValueError(str(error)) from error


Body = typing.TypeVar("Body", bound=_Body)
