"""Generations of a routed stand-in engine, and copies of their memory."""

import dataclasses


@dataclasses.dataclass(slots=True)
class StandinRun:
    """One generation.

    :param request_id: the request that it answers.
    :param events: events of the whole answer.
    :param made: events made so far.
    :param is_stopped: whether it was stopped to go on elsewhere.
    :param is_alive: whether anyone reads it.
    """

    request_id: str
    events: int
    made: int = 0
    is_stopped: bool = False
    is_alive: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class StandinCopy:
    """A run's memory at another engine.

    :param name: what it is called.
    :param request_id: the run.
    :param made: events made when it was copied.
    """

    name: str
    request_id: str
    made: int


def event(request_id: str, number: int) -> bytes:
    r"""Return one event of a run; the same for every engine that makes it.

    Examples
    ========

    >>> event("r1", 3)
    b'id: 3\ndata: r1.3\n\n'
    """
    return f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
