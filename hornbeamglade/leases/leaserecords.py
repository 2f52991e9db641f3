"""The lease's row in the table: a validated JSON document."""

import pydantic


class LeaseRecord(pydantic.BaseModel):
    """One lease. Its row is never deleted, so that fencing numbers only grow.

    :param holder: the holder that wrote the row last.
    :param fencing: grows with each acquisition, by one within an era of the store.
    :param nonce: unique for each write, so that the writer recognizes it.
    :param term_s: seconds from before the write for which the lease is held.
    :param released: whether the holder released it.

    Examples
    ========

    >>> LeaseRecord.parse("{}") is None
    True
    """

    model_config = pydantic.ConfigDict(frozen=True)

    holder: str
    fencing: int
    nonce: str
    term_s: float
    released: bool = False

    @classmethod
    def parse(cls, text: str) -> "LeaseRecord | None":
        """Return the record, or None if this release cannot parse it."""
        try:
            return cls.model_validate_json(text)
        except pydantic.ValidationError:
            return None

    def text(self) -> str:
        """Return the row's value."""
        return self.model_dump_json()
