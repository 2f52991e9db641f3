"""What happens to the bytes of one response, and at which of them."""

import dataclasses
import enum

OTHER_ID = "ffffffffffffffff"
"""Id of a request that nobody has sent."""


class Action(enum.Enum):
    """What a server, or the link to it, does in the middle of a response."""

    CLOSE = "close"
    """The connection ends in order."""

    RESET = "reset"
    """The connection is reset."""

    STALL = "stall"
    """Nothing is sent until the deadline of the request is over; then the rest."""

    INSERT = "insert"
    """A response that belongs to no request, or an interim one, is sent in between."""

    INSERT_APART = "insert_apart"
    """The same, once the bytes before have arrived on their own; so does the rest."""

    CALLER_LEAVES = "caller_leaves"
    """The caller closes its connection."""

    PAUSE = "pause"
    """The process of the instance stands still while the rest arrives."""


INSERTIONS = frozenset((Action.INSERT, Action.INSERT_APART))


class Stray(enum.Enum):
    """A response that a server sends beside the one that is due."""

    REFUSAL = "refusal"
    REFUSAL_OTHER = "refusal_other"
    REFUSAL_OWN = "refusal_own"
    MISDIRECTED = "misdirected"
    MISDIRECTED_OTHER = "misdirected_other"
    MISDIRECTED_OWN = "misdirected_own"
    ANSWER_OTHER = "answer_other"
    ANSWER_OWN = "answer_own"
    INTERIM = "interim"


UNNAMED = frozenset((Stray.REFUSAL, Stray.MISDIRECTED))
OWN = frozenset((Stray.REFUSAL_OWN, Stray.MISDIRECTED_OWN, Stray.ANSWER_OWN))


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """A disturbance of one response.

    :param action: what happens.
    :param at: how many bytes of the response are sent before.
    :param stray: what is inserted, or None.
    """

    action: Action
    at: int
    stray: Stray | None = None

    @property
    def name(self) -> str:
        """Its name in tables.

        Examples
        ========

        >>> Disturbance(Action.INSERT, 7, Stray.INTERIM).name
        'insert interim'
        """
        action = self.action.value
        return action if self.stray is None else f"{action} {self.stray.value}"


def stray_bytes(stray: Stray, request_id: str) -> bytes:
    r"""Return the bytes of a stray response.

    :param request_id: id of the request whose response is due.

    Examples
    ========

    >>> stray_bytes(Stray.REFUSAL, "r1")
    b'HTTP/1.1 503 Stray\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    """
    is_own = stray in OWN
    id_line = "" if stray in UNNAMED else f"Attempt-Id: {request_id if is_own else OTHER_ID}\r\n"
    if stray is Stray.INTERIM:
        return f"HTTP/1.1 103 Stray\r\nNot-Executed: 1\r\n{id_line}\r\n".encode()
    if stray in (Stray.ANSWER_OTHER, Stray.ANSWER_OWN):
        head = f"HTTP/1.1 200 Stray\r\n{id_line}Response-Seal: s9.{OTHER_ID}\r\n"
        return f"{head}Content-Length: 9\r\n\r\nnot yours".encode()
    if stray in (Stray.MISDIRECTED, Stray.MISDIRECTED_OTHER, Stray.MISDIRECTED_OWN):
        return f"HTTP/1.1 421 Stray\r\n{id_line}Content-Length: 0\r\n\r\n".encode()
    return f"HTTP/1.1 503 Stray\r\nNot-Executed: 1\r\n{id_line}Content-Length: 0\r\n\r\n".encode()
