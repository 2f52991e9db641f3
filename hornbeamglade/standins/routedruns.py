"""Generations of a routed stand-in engine, and copies of their KV cache."""

import dataclasses


@dataclasses.dataclass(slots=True)
class StandinRun:
    """One generation.

    :param request_id: the request that it belongs to.
    :param events: number of events of the complete response.
    :param prompt_tokens: tokens of its prompt.
    :param made: number of events produced so far.
    :param is_stopped: whether it was stopped to migrate to another engine.
    :param is_alive: whether its response is still being read.
    :param version: the software version of its engine, which its events contain; empty for none.
    :param event_bytes: least size of an event.
    """

    request_id: str
    events: int
    prompt_tokens: int = 100
    made: int = 0
    is_stopped: bool = False
    is_alive: bool = True
    version: str = ""
    event_bytes: int = 0

    def event(self, number: int) -> bytes:
        """Return one event."""
        return event(self.request_id, number, self.version, self.event_bytes)


@dataclasses.dataclass(frozen=True, slots=True)
class StandinCopy:
    """A copy of a run's KV cache at another engine.

    :param name: the name of the copy.
    :param request_id: the run's request.
    :param made: number of events produced when it was copied.
    """

    name: str
    request_id: str
    made: int


def event(request_id: str, number: int, version: str = "", size: int = 0) -> bytes:
    r"""Return one event of a run; it is the same at every engine of a software version.

    :param size: its least size in bytes.

    Examples
    ========

    >>> event("r1", 3)
    b'id: 3\ndata: r1.3\n\n'
    >>> event("r1", 3, "v2")
    b'id: 3\ndata: r1.3 v2\n\n'
    >>> event("r1", 3, size=24)
    b'id: 3\ndata: r1.3......\n\n'
    """
    text = f"{request_id}.{number} {version}".rstrip()
    missing = size - len(f"id: {number}\ndata: {text}\n\n")
    return f"id: {number}\ndata: {text}{'.' * missing}\n\n".encode()
