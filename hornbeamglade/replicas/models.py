"""One replica's entry in the platform's list, as an immutable value."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """One run of a backend server.

    :param id: unique for each run of a server.
    :param service: the service that it belongs to.
    :param address: ``ip:port``; used again by another replica after this one is gone.
    :param failure_domain: where it stands.
    :param slots: requests that it runs at once.
    :param is_leaving: whether it has announced its stop.
    :param version: of its software.
    :param warm_in_s: seconds for which it stays slow after its start, as of its entry.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool = False
    version: str = ""
    warm_in_s: float = 0.0
