"""What is to be sent a few times, since a datagram may be lost."""

import collections
import dataclasses

REPEAT_AFTER_S = (0.3, 1.0, 2.0, 5.0)
"""Pauses before the repeats. A recipient that is cut off for as long as all of them is held for
dead by then, and another one is sent to."""

MOST_PENDING = 1024


@dataclasses.dataclass(slots=True)
class _Pending:
    due_at: float
    sent: int = 0


class Retransmissions:
    """Keys with the times at which they are due; not thread-safe.

    Bounded: when too many are pending the oldest goes, which has been sent at least once.

    Examples
    ========

    >>> retransmissions = Retransmissions()
    >>> retransmissions.add(7, now=0.0)
    >>> [retransmissions.due(now, most=10) for now in (0.0, 0.1, 0.3, 1.3, 3.3, 8.3, 9.9)]
    [(7,), (), (7,), (7,), (7,), (7,), ()]
    """

    def __init__(self) -> None:
        self._pending_by_key: collections.OrderedDict[int, _Pending] = collections.OrderedDict()

    def add(self, key: int, now: float) -> None:
        """Begin to send a key, also one that has been sent before."""
        self._pending_by_key.pop(key, None)
        self._pending_by_key[key] = _Pending(now)
        if len(self._pending_by_key) > MOST_PENDING:
            self._pending_by_key.popitem(last=False)

    def due(self, now: float, most: int) -> tuple[int, ...]:
        """Return the keys that are due, and count them as sent.

        :param most: the rest stays due.
        """
        keys = [key for key, pending in self._pending_by_key.items() if pending.due_at <= now]
        for key in keys[:most]:
            pending = self._pending_by_key[key]
            if pending.sent == len(REPEAT_AFTER_S):
                del self._pending_by_key[key]
                continue
            pending.due_at = now + REPEAT_AFTER_S[pending.sent]
            pending.sent += 1
        return tuple(keys[:most])

    @property
    def is_empty(self) -> bool:
        """Whether nothing is to be sent any more."""
        return not self._pending_by_key
