"""Keeps an instance registered in the list of instances and reads that list periodically."""

import collections.abc
import threading

from hornbeamglade.core import clocks
from hornbeamglade.membership import discovery, dissemination, registry
from hornbeamglade.store import contract

INITIAL_RETRY_S = 0.5
"""Pause between attempts until the instance is registered and has read the list once."""

SECOND_READ_S = 2.0
"""Pause before the list is read a second time: when a whole site starts, its instances write
their rows within a second or two of one another."""

LIST_INTERVAL_S = 5.0
LONG_LIST_INTERVAL_S = 60.0
"""The list is only for discovery: a new instance contacts the others itself. Each read has a
cost, and a long list is large."""

OnList = collections.abc.Callable[[tuple[contract.Instance, ...]], None]


class Registration:
    """Works on its own thread until :meth:`withdraw`.

    Explanation
    ===========

    At the first start of a site, every instance registers and then reads the list, so of any
    two at least one finds the other. An instance that starts later reads first: after a power
    failure its row is still there, like all others, so each instance makes one call instead
    of three. That matters at a site of hundreds, because the store serializes their writes.

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
        """Start the thread."""
        threading.Thread(target=self._run, name="registration", daemon=True).start()

    def withdraw(self) -> None:
        """Stop, and remove the row on a separate thread, as the store may be slow."""
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
            # The store was restored from a copy older than the row.
            self._register()
        if not self._is_registered and not self._has_current_row(listed):
            self._register()
            # Instances that registered after the list was read are not in it.
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
        """Record and return whether the row of an earlier incarnation is still correct."""
        self._is_registered = self._had_row_at_start = self._own in listed
        return self._had_row_at_start

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._stopping.wait(self.step())
