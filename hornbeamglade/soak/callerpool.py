"""The callers of a soak test, each in its own thread, until they are stopped."""

import dataclasses
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

ROUTES = ("list", "hold", "list", "hold", "list", "draft", "tag", "rush")
ADDRESS_TTL_S = 2.0
PAUSE_S = (0.01, 0.15)
MAX_RESUMPTIONS = 6
"""Some of them are spent while all instances are down."""

DOWN_PAUSE_S = 0.5
MAX_PAUSE_S = 0.5
"""A refused caller waits for the given delay, but no longer than this, as a soak is short."""


@dataclasses.dataclass(frozen=True, slots=True)
class Habits:
    """How many callers there are and what they do.

    :param callers: number of callers, each with its own thread.
    :param routes: the routes that they choose from.
    :param prefix: the beginning of their requests' ids.
    :param unread_s: seconds in which they read nothing of a response.
    :param pause_s: seconds between two reads of some kilobytes.
    """

    callers: int = CALLERS
    routes: tuple[str, ...] = ROUTES
    prefix: str = "s"
    unread_s: float = 0.0
    pause_s: float = 0.0


class CallerPool:
    """The callers of one run, or of one fault.

    :param soak_site: the site that they send requests to.
    :param habits: what they do.
    """

    def __init__(self, soak_site: soaksite.SoakSite, habits: Habits | None = None) -> None:
        self._soak_site = soak_site
        self._habits = habits or Habits()
        self._id_prefix = f"{self._habits.prefix}{soak_site.seed}.{soak_site.next_pool_number()}"
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._results: list[routedcaller.CallerResult] = []
        self._threads = [
            threading.Thread(target=self._call, args=(number,), daemon=True)
            for number in range(self._habits.callers)
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
        habits = self._habits
        caller = routedcaller.RoutedCaller(
            keep=number % 4 != 0, unread_s=habits.unread_s, pause_s=habits.pause_s
        )
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
                rng.choice(habits.routes),
                f"{self._id_prefix}-{number}-{count}",
                rng.choice(self._soak_site.keys()),
            )
            with self._lock:
                self._results.append(result)
            result = self._take_up(caller, rng, result)
            if result.status is None:
                address = ""
            pause_s = result.retry_after_s or rng.uniform(*PAUSE_S)
            self._stopping.wait(min(pause_s, MAX_PAUSE_S))

    def _take_up(
        self,
        caller: routedcaller.RoutedCaller,
        rng: random.Random,
        result: routedcaller.CallerResult,
    ) -> routedcaller.CallerResult:
        """Take a broken stream up at other instances; return the last result."""
        first = result
        for number in range(MAX_RESUMPTIONS):
            resumption = result.next_resumption
            if result.is_whole and result.status == 200 or resumption is None:
                break
            if self._stopping.is_set() or not first.is_resumable:
                break
            is_down = result.status is None
            pause_s = result.retry_after_s or (DOWN_PAUSE_S if is_down else PAUSE_S[0])
            self._stopping.wait(min(pause_s, MAX_PAUSE_S))
            address = self._address(caller, rng) or result.address
            request_id = f"{first.request_id}-{number}"
            result = caller.send(
                address, first.route, request_id, first.key, resumption=resumption
            )
            with self._lock:
                self._results.append(result)
        return result

    def _address(self, caller: routedcaller.RoutedCaller, rng: random.Random) -> str:
        site = self._soak_site.site
        directory = site.directory_address(rng.choice(site.instance_names))
        found = caller.addresses(directory, rng.choice(routedsite.DOMAINS))
        return rng.choice(found) if found else ""
