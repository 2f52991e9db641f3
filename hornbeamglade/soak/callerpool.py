"""Callers of a soak, each on a thread of its own, until they are told to stop."""

import itertools
import random
import threading
import time

from hornbeamglade.localsite import routedsite
from hornbeamglade.soak import soaksite
from hornbeamglade.standins import routedcaller

CALLERS = 9
STEADY_SHARE = 3
"""Each third caller keeps to an instance, whatever the directory says, until that is gone."""

ROUTES = ("list", "hold", "list", "hold", "list", "draft", "tag")
ADDRESS_LIFE_S = 2.0
PAUSE_S = (0.01, 0.15)
LONGEST_WAIT_S = 0.5
"""A refused caller waits for what it was told, but no longer than this: a soak is short."""


class CallerPool:
    """The callers of one run.

    :param hit: the stage that they call at.
    """

    def __init__(self, soak_site: soaksite.SoakSite) -> None:
        self._soak_site = soak_site
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._seen: list[routedcaller.CallerResult] = []
        self._threads = [
            threading.Thread(target=self._call, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Let them begin."""
        for thread in self._threads:
            thread.start()

    def stop(self, timeout_s: float) -> bool:
        """Have each finish the request that it has; return whether all did in time."""
        self._stopping.set()
        until = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, until - time.monotonic()))
        return not any(thread.is_alive() for thread in self._threads)

    def seen(self) -> tuple[routedcaller.CallerResult, ...]:
        """Return what they have seen so far."""
        with self._lock:
            return tuple(self._seen)

    def _call(self, number: int) -> None:
        rng = random.Random(self._soak_site.seed * 1000 + number)
        caller = routedcaller.RoutedCaller(keep=number % 4 != 0)
        address = ""
        asked_at = 0.0
        for count in itertools.count():
            if self._stopping.is_set():
                return
            is_old = time.monotonic() - asked_at > ADDRESS_LIFE_S
            if not address or (is_old and number % STEADY_SHARE):
                address = self._address(caller, rng) or address
                asked_at = time.monotonic()
            if not address:
                self._stopping.wait(PAUSE_S[1])
                continue
            seen = caller.send(
                address,
                rng.choice(ROUTES),
                f"s{self._soak_site.seed}-{number}-{count}",
                rng.choice(self._soak_site.keys()),
            )
            with self._lock:
                self._seen.append(seen)
            if seen.status is None:
                address = ""
            pause_s = seen.retry_after_s or rng.uniform(*PAUSE_S)
            self._stopping.wait(min(pause_s, LONGEST_WAIT_S))

    def _address(self, caller: routedcaller.RoutedCaller, rng: random.Random) -> str:
        site = self._soak_site.site
        directory = site.directory_address(rng.choice(site.instance_names))
        found = caller.addresses(directory, rng.choice(routedsite.DOMAINS))
        return rng.choice(found) if found else ""
