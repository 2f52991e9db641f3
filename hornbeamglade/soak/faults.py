"""The kinds of faults, each inflicted from outside the process that it hits."""

import abc
import dataclasses
import itertools
import signal
import socket
import threading
import time

from hornbeamglade.localsite import routedsite, tcpproxy
from hornbeamglade.soak import skewedentry, soaksite
from hornbeamglade.standins import routedcaller

EXIT_S = 12.0
"""An instance that is told to stop has eight seconds; the platform would kill it then."""

NOTICE_S = 1.5
"""How long an engine serves on that was told to stop, as on the operators' platform."""

POLL_S = 0.05
REWRITTEN_S = 1.0
"""Operators and servers write again what a store has lost after about this."""

LIMIT_PER_S = 1.5
FATAL_PAUSE_S = 0.4


class Fault(abc.ABC):
    """One thing that goes wrong, or one piece of planned work.

    :param where: the part of the site that it hits.
    """

    lasts_more_s = 0.0
    """What it lasts longer than the others."""

    def __init__(self, where: str) -> None:
        self.where = where

    @property
    def what(self) -> str:
        """The fault's name."""
        return type(self).__name__

    @abc.abstractmethod
    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let it begin."""

    @abc.abstractmethod
    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let it be over; the part works as before afterwards."""


class InstanceKilled(Fault):
    """An instance is killed and started again."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Kill it."""
        soak_site.site.child_by_name[self.where].send(signal.SIGKILL)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Start it again."""
        soak_site.site.start_instance(self.where)


class InstanceStopped(Fault):
    """An instance is told to stop, and started again once it has."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Tell it to stop."""
        soak_site.site.child_by_name[self.where].send(signal.SIGTERM)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Wait for its end, as the platform does, and start it again."""
        child = soak_site.site.child_by_name[self.where]
        until = time.monotonic() + EXIT_S
        while not child.ended() and time.monotonic() < until:
            time.sleep(POLL_S)
        soak_site.site.start_instance(self.where)


class InstancePaused(Fault):
    """An instance stands still for a while."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Halt it."""
        soak_site.site.child_by_name[self.where].send(signal.SIGSTOP)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let it go on."""
        soak_site.site.child_by_name[self.where].send(signal.SIGCONT)


class InstanceReloaded(Fault):
    """An instance's settings change, and it is told so."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Change its settings."""
        settings = soak_site.site.settings(self.where)
        slack = settings["budget"]["slack"] + 1
        soak_site.site.write_settings(
            self.where, settings | {"budget": settings["budget"] | {"slack": slack}}
        )
        soak_site.site.child_by_name[self.where].send(signal.SIGHUP)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Tell it once more."""
        soak_site.site.child_by_name[self.where].send(signal.SIGHUP)


@dataclasses.dataclass
class ClockMoved(Fault):
    """An instance's wall clock steps, and steps back.

    :param where: the instance.
    :param seconds: how far.
    """

    where: str
    seconds: float

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Move it."""
        self._path(soak_site).write_text(str(self.seconds), encoding="ascii")

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Move it back."""
        self._path(soak_site).unlink(missing_ok=True)

    def _path(self, soak_site: soaksite.SoakSite):
        return skewedentry.path_for(soak_site.site.folder / f"{self.where}.yaml")


class ServerKilled(Fault):
    """A backend server dies without a word; its entry goes some seconds later."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Kill it."""
        soak_site.site.child_by_name[self.where].send(signal.SIGKILL)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Take its entry away, and start another in its place."""
        _replace(soak_site, self.where)


class ServerStartsAgain(Fault):
    """A backend server dies and starts again under its name; it holds nothing of before."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Kill it."""
        soak_site.site.child_by_name[self.where].send(signal.SIGKILL)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Start it again under its name."""
        soak_site.links.retarget(self.where)
        soak_site.site.start_server(self.where, keeps_name=True)


@dataclasses.dataclass
class EntryOverwritten(Fault):
    """Another program writes over a server's entry, and leaves one of its own.

    :param where: the server.
    :param value: what it writes.
    """

    where: str
    value: str

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Write both."""
        soak_site.site.write_entry(
            soak_site.site.server_by_place[self.where].replica_id, self.value
        )
        soak_site.site.write_entry(f"stray-{self.where}", self.value)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let the server write its entry again."""
        soak_site.site.list_server(soak_site.site.server_by_place[self.where])


class ServerLeaves(Fault):
    """A backend server is told to stop at short notice."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Have it say that it leaves, and be gone after its notice."""
        server = soak_site.site.server_by_place[self.where]
        soak_site.site.put_json(self.where, "/standin/leave", {})
        soak_site.site.list_server(server, is_leaving=True)
        time.sleep(NOTICE_S)
        soak_site.site.child_by_name[self.where].send(signal.SIGKILL)
        soak_site.site.unlist_server(server)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Start another in its place."""
        _replace(soak_site, self.where)


class ServerPaused(Fault):
    """A backend server stands still for a while."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Halt it."""
        soak_site.site.child_by_name[self.where].send(signal.SIGSTOP)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let it go on."""
        soak_site.site.child_by_name[self.where].send(signal.SIGCONT)


@dataclasses.dataclass
class ServerMisbehaves(Fault):
    """A backend server answers wrongly.

    :param where: the server.
    :param how: a member of its faults.
    """

    where: str
    how: str

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Have it do wrong."""
        soak_site.site.faults(self.where, **{self.how: True})

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Have it do right."""
        soak_site.site.faults(self.where)


@dataclasses.dataclass
class StoreFails(Fault):
    """The store is away, slow, or loses its answers.

    :param where: the store.
    :param how: a member of its faults.
    :param value: what that is set to.
    """

    where: str
    how: str
    value: bool | float

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let it fail."""
        soak_site.site.faults(self.where, **{self.how: self.value})

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let it work."""
        soak_site.site.faults(self.where)


class LinkFault(Fault):
    """A fault of the link before the store or a server."""

    def link(self, soak_site: soaksite.SoakSite) -> tcpproxy.TcpProxy:
        """Return the link that it hits."""
        return soak_site.links[self.where]

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let the link work as before."""
        self.link(soak_site).release()


class LinkReset(LinkFault):
    """The connections over a link are reset."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Reset them."""
        self.link(soak_site).reset_connections()


class LinkDelayed(LinkFault):
    """All that goes over a link comes later."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Delay it."""
        self.link(soak_site).delay_s = 0.15


class AnswersHeld(LinkFault):
    """Only one way of a link works: requests pass, answers do not."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Hold answers."""
        self.link(soak_site).hold_responses()


class RequestsHeld(LinkFault):
    """Only the other way of a link works."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Hold requests."""
        self.link(soak_site).hold_requests()


class LinkSilent(LinkFault):
    """The connections that stand go silent without a reset; new ones work."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Silence them."""
        self.link(soak_site).stall()


class KeyTaken(Fault):
    """A key is taken from its team."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Take it."""
        soak_site.revoke_key(self.where)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Leave it so: no key is given twice."""


class KeyGiven(Fault):
    """A team gets another key."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Give it."""
        soak_site.issue_key(self.where)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Leave it so."""


class StoreComesBack(Fault):
    """The store comes back from a copy some seconds old; what was lost is written again."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Have it make the copy."""
        soak_site.site.put_json(self.where, "/standin/copy", {})

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Have it come back from the copy."""
        soak_site.site.put_json(self.where, "/standin/restore", {})
        time.sleep(REWRITTEN_S)
        soak_site.rewrite()


class ServerLimited(Fault):
    """A backend server names a limit for a while."""

    lasts_more_s = 8.0

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Have it name the limit."""
        soak_site.site.faults(self.where, limit=str(LIMIT_PER_S))
        self._began_at = time.monotonic()

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Have it name none."""
        replica_id = soak_site.site.server_by_place[self.where].replica_id
        soak_site.limited.append(
            soaksite.Limited(replica_id, LIMIT_PER_S, self._began_at, time.monotonic())
        )
        soak_site.site.faults(self.where)


class RequestCrashesServers(Fault):
    """A caller asks again and again for what crashes each plain server that runs it.

    :param where: ``services``: all of them.
    """

    lasts_more_s = 8.0

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let the caller begin."""
        self._is_over = threading.Event()
        self._caller = threading.Thread(target=self._ask_again, args=(soak_site,), daemon=True)
        self._caller.start()

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let the caller end, and start the servers that are gone."""
        self._is_over.set()
        self._caller.join()
        self._revive(soak_site)

    def _ask_again(self, soak_site: soaksite.SoakSite) -> None:
        caller = routedcaller.RoutedCaller(keep=False)
        names = itertools.cycle(soak_site.site.instance_names)
        key = soak_site.keys_by_team[soaksite.TEAMS[0]][0]
        for number in itertools.count():
            address = soak_site.site.callers_address(next(names))
            request_id = f"fatal-{soak_site.seed}-{number}"
            caller.send(address, "hold", request_id, key, routedsite.FATAL_BODY.encode())
            if self._is_over.wait(FATAL_PAUSE_S):
                return
            self._revive(soak_site)

    def _revive(self, soak_site: soaksite.SoakSite) -> None:
        for place in soak_site.site.server_by_place:
            if place.startswith("service") and not _listens(soak_site.site.address_by_name[place]):
                _replace(soak_site, place)


class DomainEvacuated(Fault):
    """The operator keeps new work from a failure domain for a while."""

    lasts_more_s = 5.0

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Evacuate it."""
        soak_site.evacuate(self.where)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Take it back."""
        soak_site.end_evacuation(self.where)


def _replace(soak_site: soaksite.SoakSite, place: str) -> routedsite.Server:
    """Take a server's entry away, which may be gone already, and start another run of it."""
    soak_site.site.unlist_server(soak_site.site.server_by_place[place])
    soak_site.links.retarget(place)
    return soak_site.site.start_server(place)


def _listens(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1.0).close()
    except OSError:
        return False
    return True
