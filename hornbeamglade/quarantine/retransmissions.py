"""Scheduling of retransmissions, since datagrams may be lost."""

import collections
import dataclasses

RETRANSMIT_DELAYS_S = (0.3, 1.0, 2.0, 5.0)
"""Delays before the retransmissions. A recipient that is unreachable for the sum of them counts as
dead by then, and another one is used."""

MAX_PENDING = 1024


@dataclasses.dataclass(slots=True)
class _Pending:
    due_at: float
    sent: int = 0


class Retransmissions:
    """Keys of pending messages with the times at which they are due; not thread-safe.

    The number of keys is bounded: the oldest, which has been sent at least once, is dropped first.

    Examples
    ========

    >>> pending = Retransmissions()
    >>> pending.add(7, now=0.0)
    >>> [pending.due(now, limit=10) for now in (0.0, 0.1, 0.3, 1.3, 3.3, 8.3, 9.9)]
    [(7,), (), (7,), (7,), (7,), (7,), ()]
    """

    def __init__(self) -> None:
        self._pending_by_key: collections.OrderedDict[int, _Pending] = collections.OrderedDict()

    def add(self, key: int, now: float) -> None:
        """Schedule a key for sending, including one that has been sent before."""
        self._pending_by_key.pop(key, None)
        self._pending_by_key[key] = _Pending(now)
        if len(self._pending_by_key) > MAX_PENDING:
            self._pending_by_key.popitem(last=False)

    def due(self, now: float, limit: int) -> tuple[int, ...]:
        """Return the keys that are due, and count them as sent.

        :param limit: the maximum number of keys; any others remain due.
        """
        keys = [key for key, pending in self._pending_by_key.items() if pending.due_at <= now]
        for key in keys[:limit]:
            pending = self._pending_by_key[key]
            if pending.sent == len(RETRANSMIT_DELAYS_S):
                del self._pending_by_key[key]
                continue
            pending.due_at = now + RETRANSMIT_DELAYS_S[pending.sent]
            pending.sent += 1
        return tuple(keys[:limit])

    @property
    def is_empty(self) -> bool:
        """Whether no key is pending."""
        return not self._pending_by_key
