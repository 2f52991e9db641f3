"""Keeps an instance in the instances' own list, and reads the list now and then."""

import collections.abc
import threading

from hornbeamglade.core import clocks
from hornbeamglade.membership import discovery, dissemination, registry
from hornbeamglade.store import contract

INITIAL_RETRY_S = 0.5
"""Pause between tries until the instance is in the list and has read it once."""

SECOND_READ_S = 2.0
"""Instances of a site that starts as a whole write their rows within a second or two of
one another."""

LIST_INTERVAL_S = 5.0
LONG_LIST_INTERVAL_S = 60.0
"""The list only introduces: an instance that comes tells the others itself. Each reading
is paid for, and a long list is many bytes."""

OnList = collections.abc.Callable[[tuple[contract.Instance, ...]], None]


class Registration:
    """Works on a thread of its own until :meth:`withdraw`.

    Explanation
    ===========

    At the first start of a site all register and then read the list, so of any two at least
    one finds the other. An instance that starts later reads first: after a loss of power its
    row is still there, like those of all others, and one call in place of three is what a
    site of hundreds then makes for each; the store takes their writes one after another.

    :param own: this instance's row.
    :param rows: the list in the store.
    :param seeds: addresses of instances that may be up.
    :param on_list: called on that thread with each list.
    :param clock: monotonic time.
    :param is_first_start: whether the whole site starts for the first time.
    """

    def __init__(
        self,
        own: contract.Instance,
        rows: registry.Registry,
        seeds: tuple[str, ...],
        on_list: OnList,
        clock: clocks.Clock,
        is_first_start: bool = False,
    ) -> None:
        self._own = own
        self._rows = rows
        self._seeds = discovery.Seeds(seeds)
        self._registers_first = is_first_start
        self._on_list = on_list
        self._clock = clock
        self._is_registered = False
        self._had_row_at_start = False
        self._lists_read = 0
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begin."""
        threading.Thread(target=self._run, name="registration", daemon=True).start()

    def withdraw(self) -> None:
        """Stop, and take the row away; on a thread of its own, as the store may be slow."""
        self._stopping.set()
        threading.Thread(
            target=self._rows.deregister, args=(self._own.name,), name="withdrawal", daemon=True
        ).start()

    def step(self) -> float:
        """Do what is due; return the seconds until the next step."""
        if not self._is_registered and self._registers_first:
            self._register()
        listed = self._rows.list()
        if isinstance(listed, contract.Unavailable):
            self._registers_first = False
            known = self._seeds.fetch()
            if known:
                self._on_list(known)
            return LIST_INTERVAL_S if self._is_registered and self._lists_read else INITIAL_RETRY_S
        self._lists_read += 1
        self._on_list(listed)
        if self._is_registered and self._own not in listed:
            # The store has come back from a copy older than the row.
            self._register()
        if not self._is_registered and not self._has_current_row(listed):
            self._register()
            # Whoever registered since the list was read is not in it.
            return 0.0 if self._is_registered else INITIAL_RETRY_S
        if self._lists_read == 1 and not self._had_row_at_start:
            return SECOND_READ_S
        return (
            LONG_LIST_INTERVAL_S
            if len(listed) > dissemination.FULL_MESH_MAX_NODES
            else LIST_INTERVAL_S
        )

    def _register(self) -> None:
        outcome = self._rows.register(self._own)
        self._is_registered = isinstance(outcome, contract.Committed)

    def _has_current_row(self, listed: tuple[contract.Instance, ...]) -> bool:
        """Note whether the row of a former run stands as it should."""
        self._is_registered = self._had_row_at_start = self._own in listed
        return self._had_row_at_start

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._stopping.wait(self.step())
