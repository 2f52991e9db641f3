"""One replica's entry in the platform's list, as an immutable value."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """One start of a backend server.

    :param id: unique for each start: the name, with the time of the start where it is told.
    :param service: the service that it belongs to.
    :param address: ``ip:port``; used again by another replica after this one is gone.
    :param failure_domain: where it stands.
    :param slots: requests that it runs at once.
    :param is_leaving: whether it has announced its stop.
    :param version: of its software.
    :param warm_in_s: seconds for which it stays slow after its start, as of its entry.
    :param started_ms: Unix milliseconds of its start, or 0 where nobody tells.
    :param name: what the server is called; one that starts anew may keep it. Empty: its id.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool = False
    version: str = ""
    warm_in_s: float = 0.0
    started_ms: int = 0
    name: str = ""

    def __post_init__(self) -> None:
        """Give a replica that is only known by its id that name."""
        if not self.name:
            object.__setattr__(self, "name", self.id)


def replica_id(name: str, started_ms: int) -> str:
    """Return the id of one start of a server.

    Examples
    ========

    >>> replica_id("i-7", 0), replica_id("i-7", 1769769571006)
    ('i-7', 'i-7@1769769571006')
    """
    return f"{name}@{started_ms}" if started_ms else name
