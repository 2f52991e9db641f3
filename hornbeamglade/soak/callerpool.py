"""The callers of a soak test, each in its own thread, until they are stopped."""

import itertools
import random
import threading
import time

from hornbeamglade.localsite import routedsite
from hornbeamglade.soak import soaksite
from hornbeamglade.standins import routedcaller

CALLERS = 9
STICKY_SHARE = 3
"""Every third caller ignores the directory and keeps its instance until that is gone."""

ROUTES = ("list", "hold", "list", "hold", "list", "draft", "tag")
ADDRESS_TTL_S = 2.0
PAUSE_S = (0.01, 0.15)
MAX_PAUSE_S = 0.5
"""A refused caller waits for the given delay, but no longer than this, as a soak is short."""


class CallerPool:
    """The callers of one run.

    :param soak_site: the site that they send requests to.
    """

    def __init__(self, soak_site: soaksite.SoakSite) -> None:
        self._soak_site = soak_site
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._results: list[routedcaller.CallerResult] = []
        self._threads = [
            threading.Thread(target=self._call, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self, timeout_s: float) -> bool:
        """Let each caller finish its current request; return whether all did in time."""
        self._stopping.set()
        until = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, until - time.monotonic()))
        return not any(thread.is_alive() for thread in self._threads)

    def results(self) -> tuple[routedcaller.CallerResult, ...]:
        """Return the results so far."""
        with self._lock:
            return tuple(self._results)

    def _call(self, number: int) -> None:
        rng = random.Random(self._soak_site.seed * 1000 + number)
        caller = routedcaller.RoutedCaller(keep=number % 4 != 0)
        address = ""
        resolved_at = 0.0
        for count in itertools.count():
            if self._stopping.is_set():
                return
            is_expired = time.monotonic() - resolved_at > ADDRESS_TTL_S
            if not address or (is_expired and number % STICKY_SHARE):
                address = self._address(caller, rng) or address
                resolved_at = time.monotonic()
            if not address:
                self._stopping.wait(PAUSE_S[1])
                continue
            result = caller.send(
                address,
                rng.choice(ROUTES),
                f"s{self._soak_site.seed}-{number}-{count}",
                rng.choice(self._soak_site.keys()),
            )
            with self._lock:
                self._results.append(result)
            if result.status is None:
                address = ""
            pause_s = result.retry_after_s or rng.uniform(*PAUSE_S)
            self._stopping.wait(min(pause_s, MAX_PAUSE_S))

    def _address(self, caller: routedcaller.RoutedCaller, rng: random.Random) -> str:
        site = self._soak_site.site
        directory = site.directory_address(rng.choice(site.instance_names))
        found = caller.addresses(directory, rng.choice(routedsite.DOMAINS))
        return rng.choice(found) if found else ""
