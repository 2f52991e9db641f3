"""The claim's row in the table: a validated JSON document."""

import base64
import enum

import pydantic

from hornbeamglade.claims import claimvalues


class ClaimState(enum.StrEnum):
    """The state of a claim.

    ``RELEASED`` is written as a row rather than by deleting the row, so that versions keep
    growing. A late write that is conditional on an older version, or on the absence of the
    row, can then never take effect.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class AnswerRecord(pydantic.BaseModel):
    """A recorded answer, stored inline or in the object store.

    :param body: the base64 body if it is small.
    :param object_key: the key of the object with the base64 body otherwise.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    http_status: int
    content_type: str
    body: str | None = None
    object_key: str | None = None


class ClaimRecord(pydantic.BaseModel):
    """One claim.

    :param wall_s: time of the write, in seconds since the epoch.

    Examples
    ========

    >>> ClaimRecord.parse('{"state":"taken"}') is None
    True
    """

    model_config = pydantic.ConfigDict(frozen=True)

    state: ClaimState
    attempt: str
    node: str
    fingerprint: str
    wall_s: float
    answer: AnswerRecord | None = None

    @classmethod
    def parse(cls, text: str) -> "ClaimRecord | None":
        """Return the record, or None if this release cannot parse it."""
        try:
            return cls.model_validate_json(text)
        except pydantic.ValidationError:
            return None

    def text(self) -> str:
        """Return the row's value."""
        return self.model_dump_json(exclude_none=True)


def encode_body(body: bytes) -> str:
    """Return the body as text for a row or an object."""
    return base64.b64encode(body).decode("ascii")


def decode_answer(record: AnswerRecord, body: str) -> claimvalues.RecordedAnswer | None:
    """Return the answer with its body, or None if the body is not base64."""
    try:
        decoded = base64.b64decode(body, validate=True)
    except ValueError:
        return None
    return claimvalues.RecordedAnswer(record.http_status, record.content_type, decoded)
