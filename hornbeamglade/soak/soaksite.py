"""The site that a soak plays on, and a record of what was done to it."""

import collections
import dataclasses
import pathlib
import threading
import time

from hornbeamglade.localsite import routedsite, tcpproxy

KEYS_A_TEAM = 3
TRY_AGAIN_S = 0.2
TEAMS = ("clinic", "court", "office")
MODULE = ("hornbeamglade.soak.skewedentry",)


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRecord:
    """Something that was done to a part of the site.

    :param what: the fault's name.
    :param where: the part's name.
    :param began_at: seconds of the machine's steady clock.
    :param ended_at: the same; infinite while it lasts.
    """

    what: str
    where: str
    began_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(slots=True)
class Evacuated:
    """A failure domain that got nothing new for a while.

    :param domain: its name.
    :param taken_at: seconds of the machine's steady clock at which the store had taken it.
    :param taken_back_at: when its end was about to be written; infinite while it lasts.
    """

    domain: str
    accepted_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """A server that named a limit for a while.

    :param replica_id: the server.
    :param requests_per_s: what it named.
    :param began_at: seconds of the machine's steady clock.
    :param ended_at: the same.
    """

    replica_id: str
    requests_per_s: float
    began_at: float
    ended_at: float


class SoakSite:
    """The site, its links, its keys and its history; safe to use from several threads.

    :param seed: names the run.
    :param folder: for the processes' files.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.seed = seed
        self._lock = threading.Lock()
        self._operator = threading.Lock()
        names = ("store", *(f"engine-{n}" for n in range(3)), *(f"service-{n}" for n in range(2)))
        self.links = tcpproxy.TcpProxies(*names)
        shape = routedsite.Shape(route=self.links.route, entry_module=MODULE)
        self.site = routedsite.RoutedSite(shape, folder)
        self.keys_by_team = {
            team: [f"{team}-{number}" for number in range(KEYS_A_TEAM)] for team in TEAMS
        }
        self.revoked_at_by_key: dict[str, float] = {}
        self.issued_at_by_key: dict[str, float] = {}
        self.evacuated: list[Evacuated] = []
        self.limited: list[Limited] = []
        self._done: list[FaultRecord] = []

    def begin(self, what: str, where: str) -> None:
        """Note that something begins."""
        with self._lock:
            self._done.append(FaultRecord(what, where, time.monotonic()))

    def end(self, what: str, where: str) -> None:
        """Note that it ends."""
        now = time.monotonic()
        with self._lock:
            self._done = [
                dataclasses.replace(each, ended_at=now)
                if (each.what, each.where) == (what, where) and each.ended_at == float("inf")
                else each
                for each in self._done
            ]

    def history(self) -> tuple[FaultRecord, ...]:
        """Return all that was done, in order."""
        with self._lock:
            return tuple(self._done)

    def revoke_key(self, key: str) -> None:
        """Take a key from its team."""
        team = team_of(key)
        with self._operator:
            self.keys_by_team[team] = [each for each in self.keys_by_team[team] if each != key]
            self._configure()
            self.revoked_at_by_key[key] = time.monotonic()

    def issue_key(self, key: str) -> None:
        """Give a new key to its team; callers have it once the store has taken it."""
        team = team_of(key)
        with self._operator:
            self._configure({team: [*self.keys_by_team[team], key]})
            self.keys_by_team[team].append(key)
            self.issued_at_by_key[key] = time.monotonic()

    def _configure(self, changed: dict[str, list[str]] | None = None) -> None:
        """Write the manifest, as soon as the store takes it.

        :param changed: keys of teams that differ from those held.
        """
        while not self.site.configure(self.keys_by_team | (changed or {})):
            time.sleep(TRY_AGAIN_S)

    def evacuate(self, domain: str) -> None:
        """Evacuate a failure domain."""
        if self.site.evacuate(domain):
            self.evacuated.append(Evacuated(domain, time.monotonic()))

    def end_evacuation(self, domain: str) -> None:
        """End a failure domain's evacuation, as soon as the store takes it."""
        for each in self.evacuated:
            if each.domain == domain:
                each.ended_at = min(each.ended_at, time.monotonic())
        while not self.site.end_evacuation(domain):
            time.sleep(TRY_AGAIN_S)

    def rewrite(self) -> None:
        """Write again what the store may have lost, as operators and servers do."""
        for each in self.evacuated:
            is_ended = each.ended_at != float("inf")
            (self.site.end_evacuation if is_ended else self.site.evacuate)(each.domain)
        with self._operator:
            self._configure()
        self.site.rewrite_servers()

    def keys(self) -> tuple[str, ...]:
        """Return every key that was ever given out."""
        held = collections.ChainMap(self.revoked_at_by_key, self.issued_at_by_key)
        all_held = {key for keys in self.keys_by_team.values() for key in keys}
        return tuple(sorted(all_held | set(held)))


def team_of(key: str) -> str:
    """Return the team that holds a key."""
    return key.rpartition("-")[0]
