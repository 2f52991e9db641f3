"""The site of a soak test, and the history of the faults injected into it."""

import collections
import dataclasses
import pathlib
import random
import threading
import time

from hornbeamglade.bench import loadprocesses
from hornbeamglade.localsite import routedsite, tcpproxy
from hornbeamglade.standins import platform as platformstandin
from hornbeamglade.standins import routedcaller

KEYS_PER_TEAM = 3
RETRY_DELAY_S = 0.2
TEAMS = ("clinic", "court", "office")
MODULE = ("hornbeamglade.soak.faultyentry",)
MEMORY_MB = 150
PAGE_ROWS = (1, 2, 3, platformstandin.MAX_ROWS)
"""Most rows in one response of the store; the list of replicas has more than the first ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRecord:
    """A fault injected into a component of the site.

    :param name: the name of the fault.
    :param component: the name of the component.
    :param began_at: start time, in seconds of the machine's monotonic clock.
    :param ended_at: end time, by the same clock; infinite while the fault lasts.
    """

    name: str
    component: str
    began_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(slots=True)
class Evacuated:
    """An evacuation of a failure domain.

    :param domain: the name of the failure domain.
    :param accepted_at: when the store had accepted it, in seconds of the monotonic clock.
    :param ended_at: when its end was about to be written; infinite while it lasts.
    """

    domain: str
    accepted_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """A period in which a server announced a rate limit.

    :param replica_id: the server.
    :param requests_per_s: the announced limit.
    :param began_at: start time, in seconds of the machine's monotonic clock.
    :param ended_at: end time, by the same clock.
    """

    replica_id: str
    requests_per_s: float
    began_at: float
    ended_at: float


class SoakSite:
    """The site, its proxies, its keys and its fault history; thread-safe.

    :param seed: the seed of the run.
    :param folder: directory for the processes' files.
    :param instances: number of entry instances; faults affect the first three of them.
    """

    def __init__(self, seed: int, folder: pathlib.Path, instances: int = 3) -> None:
        self.seed = seed
        self._lock = threading.Lock()
        self._manifest_lock = threading.Lock()
        self._start_lock = threading.Lock()
        names = ("store", *(f"engine-{n}" for n in range(3)), *(f"service-{n}" for n in range(2)))
        self.links = tcpproxy.TcpProxies(*names)
        shape = routedsite.Shape(
            instances=instances,
            route=self.links.route,
            entry_module=MODULE,
            page_rows=random.Random(seed).choice(PAGE_ROWS),
            memory_mb=MEMORY_MB,
        )
        self.site = routedsite.RoutedSite(shape, folder)
        self.keys_by_team = {
            team: [f"{team}-{number}" for number in range(KEYS_PER_TEAM)] for team in TEAMS
        }
        self.revoked_at_by_key: dict[str, float] = {}
        self.issued_at_by_key: dict[str, float] = {}
        self.evacuated: list[Evacuated] = []
        self.limited: list[Limited] = []
        self.extra_results: list[routedcaller.CallerResult] = []
        self._pools = 0
        self._fault_records: list[FaultRecord] = []

    def begin(self, name: str, component: str) -> None:
        """Record the start of a fault."""
        with self._lock:
            self._fault_records.append(FaultRecord(name, component, time.monotonic()))

    def end(self, name: str, component: str) -> None:
        """Record the end of a fault."""
        now = time.monotonic()
        with self._lock:
            self._fault_records = [
                dataclasses.replace(each, ended_at=now)
                if (each.name, each.component) == (name, component)
                and each.ended_at == float("inf")
                else each
                for each in self._fault_records
            ]

    def restart(self, name: str, former: loadprocesses.Child) -> None:
        """Start an instance again, unless a fault that overlaps has done so.

        :param former: the process that has ended.
        """
        with self._start_lock:
            if self.site.child_by_name[name] is former:
                self.site.start_instance(name)

    def next_pool_number(self) -> int:
        """Return a number that no other pool of callers has: request ids must be unique."""
        with self._lock:
            self._pools += 1
            return self._pools

    def history(self) -> tuple[FaultRecord, ...]:
        """Return all faults, in order of their starts."""
        with self._lock:
            return tuple(self._fault_records)

    def revoke_key(self, key: str) -> None:
        """Revoke a key of a team."""
        team = team_of(key)
        with self._manifest_lock:
            self.keys_by_team[team] = [each for each in self.keys_by_team[team] if each != key]
            self._configure()
            self.revoked_at_by_key[key] = time.monotonic()

    def issue_key(self, key: str) -> None:
        """Issue a new key to its team; callers use it once the store has accepted it."""
        team = team_of(key)
        with self._manifest_lock:
            self._configure({team: [*self.keys_by_team[team], key]})
            self.keys_by_team[team].append(key)
            self.issued_at_by_key[key] = time.monotonic()

    def _configure(self, changed: dict[str, list[str]] | None = None) -> None:
        """Write the manifest; retry until the store accepts it.

        :param changed: keys by team, for teams whose keys differ from the current ones.
        """
        while not self.site.configure(self.keys_by_team | (changed or {})):
            time.sleep(RETRY_DELAY_S)

    def evacuate(self, domain: str) -> None:
        """Evacuate a failure domain."""
        if self.site.evacuate(domain):
            self.evacuated.append(Evacuated(domain, time.monotonic()))

    def end_evacuation(self, domain: str) -> None:
        """End a failure domain's evacuation; retry until the store accepts it."""
        for each in self.evacuated:
            if each.domain == domain:
                each.ended_at = min(each.ended_at, time.monotonic())
        while not self.site.end_evacuation(domain):
            time.sleep(RETRY_DELAY_S)

    def rewrite(self) -> None:
        """Write again everything that the store may have lost, as operators and servers do."""
        for each in self.evacuated:
            is_ended = each.ended_at != float("inf")
            (self.site.end_evacuation if is_ended else self.site.evacuate)(each.domain)
        with self._manifest_lock:
            self._configure()
        self.site.rewrite_servers()

    def keys(self) -> tuple[str, ...]:
        """Return every key that was ever issued."""
        used_keys = collections.ChainMap(self.revoked_at_by_key, self.issued_at_by_key)
        current_keys = {key for keys in self.keys_by_team.values() for key in keys}
        return tuple(sorted(current_keys | set(used_keys)))


def team_of(key: str) -> str:
    """Return the team that holds a key."""
    return key.rpartition("-")[0]
