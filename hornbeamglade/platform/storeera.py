"""Tracks the era of the platform's store, as stated in its responses."""

import dataclasses
import re
import threading

from hornbeamglade.observability import logs
from hornbeamglade.store import positions

HEADER = "Store-Era"

_DIGITS = re.compile(r"[0-9]{1,7}", re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class StaleResponse:
    """A response of an era that had ended when it arrived."""


class StoreEra:
    """The newest era stated in any response; thread-safe.

    Examples
    ========

    >>> known = StoreEra()
    >>> known.from_response("2", known_at_start=0)
    2
    >>> known.from_response("1", known_at_start=0)
    StaleResponse()
    >>> known.from_response("1", known_at_start=2), known.from_response(None, known_at_start=2)
    (2, 2)
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._era: int | None = None
        self._problem: str | None = None

    @property
    def known(self) -> int:
        """The newest era, or 0 before the first response."""
        return self._era or 0

    def from_response(self, header: str | None, known_at_start: int) -> int | StaleResponse:
        """Return the era of a response.

        :param header: the header's value, or None.
        :param known_at_start: the newest era known when the call began.
        """
        with self._lock:
            era, problem = self._parse(header)
            if era is not None and (self._era is None or era > self._era):
                self._advance_to(era)
            elif era is not None and era < self.known:
                if known_at_start < self.known:
                    return StaleResponse()
                problem = "store_era_lower"
            self._record_problem(problem)
            return self.known

    def _parse(self, header: str | None) -> tuple[int | None, str | None]:
        """Return the era in a header, or what is wrong with the header."""
        if header is None:
            # A store that has never stated an era has none.
            return None, None if self._era is None else "store_era_missing"
        is_number = _DIGITS.fullmatch(header.strip())
        if not is_number or int(header) > positions.MAX_ERA:
            return None, "store_era_invalid"
        return int(header), None

    def _advance_to(self, era: int) -> None:
        is_first = self._era is None
        before, self._era = self.known, era
        if not is_first:
            logs.state_changed("store_era", str(before), str(era), source="store")

    def _record_problem(self, problem: str | None) -> None:
        """Log what is wrong with the header whenever that changes."""
        before, self._problem = self._problem, problem
        logs.state_changed("store_era_header", before or "read", problem or "read")
