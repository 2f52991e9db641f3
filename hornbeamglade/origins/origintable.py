"""Known origins of streams, bounded in number and time."""

import collections
import dataclasses

MAX_ENTRIES = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The origin of one stream.

    :param version: key of the software version that began it; :data:`UNCERTAIN` if no stream may
        be continued from it.
    :param service: the stream's service, or an empty string if another instance served it.
    :param ends_at: monotonic seconds until which the entry is kept.
    """

    version: int
    service: str
    ends_at: float


UNCERTAIN = 0


class OriginTable:
    """Origins by stream key; the oldest entry is dropped when there are too many.

    Examples
    ========

    >>> table = OriginTable()
    >>> table.put(7, Entry(1, "llm", ends_at=60.0))
    >>> table.get(7, now=10.0).version, table.get(7, now=60.0), table.get(8, now=10.0)
    (1, None, None)
    """

    def __init__(self) -> None:
        self._entry_by_stream: collections.OrderedDict[int, Entry] = collections.OrderedDict()

    def put(self, stream: int, entry: Entry) -> None:
        """Add or replace the origin of a stream."""
        self._entry_by_stream[stream] = entry
        self._entry_by_stream.move_to_end(stream)
        if len(self._entry_by_stream) > MAX_ENTRIES:
            self._entry_by_stream.popitem(last=False)

    def get(self, stream: int, now: float) -> Entry | None:
        """Return the origin of a stream, or None if it is unknown or no longer kept."""
        entry = self._entry_by_stream.get(stream)
        return entry if entry is not None and now < entry.ends_at else None

    def of_services(self, services: frozenset[str], now: float) -> tuple[int, ...]:
        """Return the streams of some services that are still kept, oldest first."""
        return tuple(
            stream
            for stream, entry in self._entry_by_stream.items()
            if entry.service in services and now < entry.ends_at
        )

    def expire(self, now: float) -> None:
        """Remove the entries that are no longer kept."""
        ended = [key for key, entry in self._entry_by_stream.items() if entry.ends_at <= now]
        for stream in ended:
            del self._entry_by_stream[stream]

    def __len__(self) -> int:
        return len(self._entry_by_stream)
