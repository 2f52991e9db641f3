"""The era of the platform's store, as its answers tell it."""

import dataclasses
import re
import threading

from hornbeamglade.observability import logs
from hornbeamglade.store import positions

HEADER = "Store-Era"

_DIGITS = re.compile(r"[0-9]{1,7}", re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class Late:
    """An answer of an era that was over when it came."""


class StoreEra:
    """The newest era that any answer has told; thread-safe.

    Examples
    ========

    >>> known = StoreEra()
    >>> known.of_answer("2", known_before=0)
    2
    >>> known.of_answer("1", known_before=0)
    Late()
    >>> known.of_answer("1", known_before=2), known.of_answer(None, known_before=2)
    (2, 2)
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._era: int | None = None
        self._problem: str | None = None

    @property
    def known(self) -> int:
        """The newest era, 0 before the first answer."""
        return self._era or 0

    def of_answer(self, told: str | None, known_before: int) -> int | Late:
        """Return the era of an answer.

        :param told: the header's value, or None.
        :param known_before: the newest era when the call was begun.
        """
        with self._lock:
            era, problem = self._read(told)
            if era is not None and (self._era is None or era > self._era):
                self._rise_to(era)
            elif era is not None and era < self.known:
                if known_before < self.known:
                    return Late()
                problem = "store_era_lower"
            self._note(problem)
            return self.known

    def _read(self, told: str | None) -> tuple[int | None, str | None]:
        """Return the era that a header names, or what is wrong with it."""
        if told is None:
            # A store that has never told an era has none.
            return None, None if self._era is None else "store_era_missing"
        is_number = _DIGITS.fullmatch(told.strip())
        if not is_number or int(told) > positions.MAX_ERA:
            return None, "store_era_invalid"
        return int(told), None

    def _rise_to(self, era: int) -> None:
        is_first = self._era is None
        before, self._era = self.known, era
        if not is_first:
            logs.state_changed("store_era", str(before), str(era), source="store")

    def _note(self, problem: str | None) -> None:
        """Write a line when what is wrong with the header changes."""
        before, self._problem = self._problem, problem
        logs.state_changed("store_era_header", before or "read", problem or "read")
