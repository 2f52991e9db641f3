"""One replica's entry in the platform's list, as an immutable value."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """One incarnation of a backend server.

    :param id: unique for each incarnation: the name, followed by the start time if known.
    :param service: the service that it belongs to.
    :param address: ``ip:port``; may be reused by another replica after this one is gone.
    :param failure_domain: the failure domain in which it runs.
    :param slots: the number of requests that it can run concurrently.
    :param is_leaving: whether it has announced its stop.
    :param version: the version of its software.
    :param warm_in_s: seconds for which it remains cold after its start, as of its entry.
    :param started_ms: the start time in Unix milliseconds, or 0 if unknown.
    :param name: the name of the server, which may be the same after a restart. Empty for the
        id.
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
        """Use the id as the name if no name is given."""
        if not self.name:
            object.__setattr__(self, "name", self.id)


def replica_id(name: str, started_ms: int) -> str:
    """Return the id of one incarnation of a server.

    Examples
    ========

    >>> replica_id("i-7", 0), replica_id("i-7", 1769769571006)
    ('i-7', 'i-7@1769769571006')
    """
    return f"{name}@{started_ms}" if started_ms else name
