"""Lookup of names by the hashes that messages carry."""

import collections.abc

from hornbeamglade.exchange import messages


class HashedNames:
    """Finds the name for a hash among the currently configured names.

    Explanation
    ===========

    The receiver thread reads while another thread replaces the names, so the mapping
    is replaced as a whole and never modified.

    Examples
    ========

    >>> names = HashedNames()
    >>> names.replace(["engine-1", "engine-2"])
    >>> names.find(messages.key_hash("engine-2"))
    'engine-2'
    >>> names.find(messages.key_hash("engine-3")) is None
    True
    """

    def __init__(self) -> None:
        self._name_by_hash: dict[int, str] = {}

    def replace(self, names: collections.abc.Iterable[str]) -> None:
        """Set the names of a new revision."""
        self._name_by_hash = {messages.key_hash(name): name for name in names}

    def find(self, name_hash: int) -> str | None:
        """Return the name with this hash, or None if it is not configured.

        :param name_hash: as returned by :func:`messages.key_hash
            <hornbeamglade.exchange.messages.key_hash>`.
        """
        return self._name_by_hash.get(name_hash)
