"""Questions to the other instances about one stream that is taken up."""

import asyncio
import collections
import collections.abc

from hornbeamglade.exchange import messages


class Inquiry:
    """What the other instances have answered about a stream since it was taken up.

    :param stream: key of the stream, or None if the caller did not name it.
    :param others: names of the instances that may answer.
    """

    def __init__(self, stream: int | None, others: collections.abc.Iterable[str]) -> None:
        self.stream = stream
        self.origin: int | None = None
        self.newest_list = 0
        self.tokens: list[int] = []
        self._others = frozenset(others)
        self._version_by_node: dict[str, int] = {}
        self._answers_by_node: collections.Counter[str] = collections.Counter()
        self._has_news = asyncio.Event()

    def on_origin(self, version: int) -> None:
        """Record the origin, as an instance that knows it has answered."""
        self.origin = version
        self._has_news.set()

    def on_statement(self, sender: str, statement: messages.VersionStatement) -> None:
        """Record which versions another instance has seen listed."""
        self._version_by_node[sender] = statement.version
        self._answers_by_node[sender] += 1
        self.newest_list = max(self.newest_list, statement.list_version)
        self._has_news.set()

    def on_other_news(self, _done: object = None) -> None:
        """Wake up who waits, as something else has changed."""
        self._has_news.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait for an answer, or for the end of the time."""
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._has_news.wait()
        except TimeoutError:
            return
        self._has_news.clear()

    @property
    def is_answered_by_all(self) -> bool:
        """Whether every instance that may answer has."""
        return self._others <= self._version_by_node.keys()

    @property
    def is_answered_twice_by_all(self) -> bool:
        """Whether every instance has answered again, as one of its answers may have been lost."""
        return all(self._answers_by_node[each] > 1 for each in self._others)

    def contradicts(self, version: int) -> bool:
        """Return whether some instance has seen another version, or several."""
        return any(each != version for each in self._version_by_node.values())

    def has_quorum(self, keeper_count: int) -> bool:
        """Return whether some keeper of each instance has answered, and most instances have.

        :param keeper_count: to how many others each instance tells that versions differ.
        """
        answers = len(self._version_by_node.keys() & self._others)
        missing = len(self._others) - answers
        is_majority = 2 * (answers + 1) > len(self._others)
        return answers > 0 and missing <= keeper_count and is_majority
