"""The kinds of faults, each injected from outside the affected process."""

import abc
import dataclasses
import itertools
import pathlib
import signal
import socket
import threading
import time

from hornbeamglade.localsite import routedsite, tcpproxy
from hornbeamglade.soak import faultyentry, oddrows, skewedentry, soaksite
from hornbeamglade.standins import routedcaller
from hornbeamglade.store import contract

EXIT_S = 12.0
"""A stopping instance has eight seconds, after which the platform would kill it."""

NOTICE_S = 1.5
"""How long a leaving engine continues to serve, as on the operators' platform."""

SHORT_NOTICE_S = 0.1
POLL_S = 0.05
REWRITTEN_S = 1.0
"""Time after which operators and servers write lost rows to the store again."""

LIMIT_PER_S = 1.5
BACKOFF_S = 2.0
STATED_S = 4.0
"""How long a server states that it is leaving before the list says so or it stops."""

FATAL_PAUSE_S = 0.4
TOLERATED = "3"
"""Refusals in a second that servers tolerate."""

SLOWDOWN = 2.5

LATE_S = 0.03
TAKEN_OVER_ROOM = 2
"""Requests that a server at a new address runs at once: some are refused with a marked 503."""

LINKS_OF = "links-of-"


class Fault(abc.ABC):
    """A failure, or a planned operation.

    :param component: the affected component of the site.
    """

    extra_duration_s = 0.0
    """Time added to the random duration."""

    begin_duration_s = 0.0
    """Time that the start itself takes, before the duration begins."""

    def __init__(self, component: str) -> None:
        self.component = component

    @property
    def name(self) -> str:
        """The name of the fault."""
        return type(self).__name__

    @abc.abstractmethod
    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Start the fault."""

    @abc.abstractmethod
    def end(self, soak_site: soaksite.SoakSite) -> None:
        """End the fault; afterwards the component works as before."""


class InstanceKilled(Fault):
    """An instance is killed and restarted."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Kill it."""
        self._former = soak_site.site.child_by_name[self.component]
        self._former.send(signal.SIGKILL)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Restart it."""
        soak_site.restart(self.component, self._former)


class InstanceStopped(Fault):
    """An instance is stopped with SIGTERM, and restarted once it has ended."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Send SIGTERM."""
        self._former = soak_site.site.child_by_name[self.component]
        self._former.send(signal.SIGTERM)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Wait for its end, as the platform does, and restart it."""
        until = time.monotonic() + EXIT_S
        while not self._former.ended() and time.monotonic() < until:
            time.sleep(POLL_S)
        soak_site.restart(self.component, self._former)


class InstancePaused(Fault):
    """An instance is paused for a while."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Pause it."""
        soak_site.site.child_by_name[self.component].send(signal.SIGSTOP)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Resume it."""
        soak_site.site.child_by_name[self.component].send(signal.SIGCONT)


class AllInstancesKilled(Fault):
    """All instances are killed at the same moment and restarted.

    :param component: ``instances``, which stands for all of them.
    """

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Kill them."""
        self._former_by_name = dict(soak_site.site.child_by_name)
        for name in soak_site.site.instance_names:
            soak_site.begin(InstanceKilled.__name__, name)
            self._former_by_name[name].send(signal.SIGKILL)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Restart them."""
        for name in soak_site.site.instance_names:
            soak_site.restart(name, self._former_by_name[name])
            soak_site.end(InstanceKilled.__name__, name)


class AllInstancesStopped(Fault):
    """All instances get SIGTERM at the same moment, and are restarted once they have ended.

    :param component: ``instances``, which stands for all of them.
    """

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Send SIGTERM to all."""
        self._stops = [InstanceStopped(name) for name in soak_site.site.instance_names]
        for stop in self._stops:
            soak_site.begin(stop.name, stop.component)
            stop.begin(soak_site)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Wait for their ends, and restart them."""
        for stop in self._stops:
            stop.end(soak_site)
            soak_site.end(stop.name, stop.component)


class InstanceReloaded(Fault):
    """An instance's settings file changes, and it gets SIGHUP."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Change its settings file and send SIGHUP."""
        settings = soak_site.site.settings(self.component)
        slack = settings["budget"]["slack"] + 1
        soak_site.site.write_settings(
            self.component, settings | {"budget": settings["budget"] | {"slack": slack}}
        )
        soak_site.site.child_by_name[self.component].send(signal.SIGHUP)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Send SIGHUP once more."""
        soak_site.site.child_by_name[self.component].send(signal.SIGHUP)


@dataclasses.dataclass
class ClockMoved(Fault):
    """An instance's wall clock jumps, and jumps back.

    :param component: the instance.
    :param seconds: the offset.
    """

    component: str
    seconds: float

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Shift the clock."""
        self._path(soak_site).write_text(str(self.seconds), encoding="ascii")

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Remove the offset."""
        self._path(soak_site).unlink(missing_ok=True)

    def _path(self, soak_site: soaksite.SoakSite):
        return skewedentry.path_for(soak_site.site.folder / f"{self.component}.yaml")


@dataclasses.dataclass
class InstancePartitioned(Fault):
    """An instance is partitioned from all backend servers, but from nothing else.

    :param component: the instance's links to the servers.
    :param how: how the partition shows to the instance.
    """

    component: str
    how: tcpproxy.Partition
    extra_duration_s = 6.0

    @property
    def instance(self) -> str:
        """The name of the instance."""
        return self.component.removeprefix(LINKS_OF)

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Cut the links."""
        servers = soak_site.site.server_by_place.values()
        lines = [self.how.value, *(server.address for server in servers)]
        path = self._path(soak_site)
        scratch = path.with_suffix(".new")
        scratch.write_text("\n".join(lines), encoding="ascii")
        scratch.replace(path)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Restore the links."""
        self._path(soak_site).unlink(missing_ok=True)

    def _path(self, soak_site: soaksite.SoakSite) -> pathlib.Path:
        return faultyentry.path_for(soak_site.site.folder / f"{self.instance}.yaml")


class ServerKilled(Fault):
    """A backend server crashes; its entry is removed some seconds later."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Kill it."""
        soak_site.site.child_by_name[self.component].send(signal.SIGKILL)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Remove its entry and start a replacement."""
        replace(soak_site, self.component)


class ServerStartsAgain(Fault):
    """A backend server crashes and restarts with its replica id; its state is lost."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Kill it."""
        soak_site.site.child_by_name[self.component].send(signal.SIGKILL)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Restart it with the same replica id."""
        soak_site.links.retarget(self.component)
        soak_site.site.start_server(self.component, keeps_name=True)


@dataclasses.dataclass
class EntryOverwritten(Fault):
    """Another program overwrites a server's entry and leaves odd rows in all tables.

    :param component: the server.
    :param value: the value that it writes.
    """

    component: str
    value: str

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Write them."""
        soak_site.site.write_entry(
            soak_site.site.server_by_place[self.component].replica_id, self.value
        )
        soak_site.site.write_entry(f"stray-{self.component}", self.value)
        soak_site.site.write(tuple(contract.Put(key, value) for key, value in oddrows.ROWS))

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Write the server's own entry again."""
        soak_site.site.list_server(soak_site.site.server_by_place[self.component])


class ServerLeaves(Fault):
    """A backend server is stopped at short notice."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Mark it as leaving, and kill it after the notice period."""
        server = soak_site.site.server_by_place[self.component]
        soak_site.site.put_json(self.component, "/standin/leave", {})
        soak_site.site.list_server(server, is_leaving=True)
        time.sleep(NOTICE_S)
        soak_site.site.child_by_name[self.component].send(signal.SIGKILL)
        soak_site.site.unlist_server(server)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Start a replacement."""
        replace(soak_site, self.component)


class ServerStopsInOrder(ServerLeaves):
    """A backend server closes its port while it completes its runs, some time after its notice."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Mark it as leaving, and stop it before its runs are complete."""
        server = soak_site.site.server_by_place[self.component]
        soak_site.site.faults(self.component, stops_in_order=True)
        soak_site.site.put_json(self.component, "/standin/leave", {})
        soak_site.site.list_server(server, is_leaving=True)
        time.sleep(SHORT_NOTICE_S)
        soak_site.site.child_by_name[self.component].send(signal.SIGTERM)
        soak_site.site.unlist_server(server)


@dataclasses.dataclass
class ServerReplaced(ServerLeaves):
    """An engine is replaced by one of another software version, as in a release.

    :param component: the engine.
    :param version: the software version of its replacement.
    """

    component: str
    version: str

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Start the replacement."""
        replace(soak_site, self.component, self.version)


@dataclasses.dataclass
class AddressTakenOver(Fault):
    """A server ends, and another one starts at its address; the entry of the first one stays.

    The refusals of both arrive a second time, late, on their connections.

    :param component: the server.
    :param ended_by: the signal that ends the first one.
    """

    component: str
    ended_by: signal.Signals
    extra_duration_s = 0.5

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Replace it; the new one refuses what it has no room for."""
        site = soak_site.site
        self._server = site.server_by_place[self.component]
        site.faults(self.component, repeats_refusals=True, room=TAKEN_OVER_ROOM)
        time.sleep(SHORT_NOTICE_S)
        site.child_by_name[self.component].send(self.ended_by)
        site.start_server(self.component, keeps_address=True)
        site.faults(self.component, repeats_refusals=True, room=TAKEN_OVER_ROOM)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Remove the entry of the first one, and let the new one work normally."""
        soak_site.site.unlist_server(self._server)
        soak_site.site.faults(self.component)


class ServerStatesLeaving(Fault):
    """A server states in its responses that it is leaving; its entry keeps saying it is ready."""

    extra_duration_s = STATED_S

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let it state this from now on."""
        soak_site.site.put_json(self.component, "/standin/leave", {})

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Kill it and start a replacement."""
        soak_site.site.child_by_name[self.component].send(signal.SIGKILL)
        replace(soak_site, self.component)


class ServerRefuses(Fault):
    """A server refuses requests and names a time in which it accepts no more."""

    extra_duration_s = 4.0

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let it refuse from now on."""
        soak_site.site.faults(self.component, retry_after=f"{BACKOFF_S:g}")

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let it run requests again."""
        soak_site.site.faults(self.component)


class ServersTolerateFew(Fault):
    """All plain servers state that they tolerate few refusals, and then have little room.

    :param component: ``services``, which stands for all plain servers.
    """

    extra_duration_s = 4.0
    begin_duration_s = STATED_S

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let them state it, and take their room away when all instances may know."""
        set_services(soak_site, brittle=TOLERATED)
        time.sleep(STATED_S)
        set_services(soak_site, brittle=TOLERATED, room=1)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Give their room back."""
        set_services(soak_site)


class ServerPaused(Fault):
    """A backend server is paused for a while."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Pause it."""
        soak_site.site.child_by_name[self.component].send(signal.SIGSTOP)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Resume it."""
        soak_site.site.child_by_name[self.component].send(signal.SIGCONT)


@dataclasses.dataclass
class ServerMisbehaves(Fault):
    """A backend server sends wrong responses.

    :param component: the server.
    :param field: a field of the stand-in's faults.
    """

    component: str
    field: str

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Switch the fault on."""
        soak_site.site.faults(self.component, **{self.field: True})

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Switch the fault off."""
        soak_site.site.faults(self.component)


class ServerRefusesLate(Fault):
    """Each response of a server is followed by a refusal that belongs to no request."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Switch it on; responses take long enough for a refusal to arrive before the next one."""
        soak_site.site.faults(self.component, late_refusal_s=LATE_S, delay_s=2 * LATE_S)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Switch it off."""
        soak_site.site.faults(self.component)


@dataclasses.dataclass
class ServerSendsWithoutEnd(Fault):
    """Responses of a server never end, in one of their parts.

    :param component: the server.
    :param part: the part that never ends.
    """

    component: str
    part: str

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Switch it on."""
        soak_site.site.faults(self.component, endless=self.part)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Switch it off."""
        soak_site.site.faults(self.component)


@dataclasses.dataclass
class ResponsesBreakOff(Fault):
    """A server's responses break off at one of their bytes, and may run into another response.

    :param component: the server.
    :param broken_at: bytes that are sent before.
    :param followed_by: the response that follows on the connection, or empty for its close.
    """

    component: str
    broken_at: int
    followed_by: str

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let responses break off."""
        soak_site.site.faults(
            self.component, broken_at=self.broken_at, followed_by=self.followed_by
        )

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let it respond normally again."""
        soak_site.site.faults(self.component)


@dataclasses.dataclass
class StoreFails(Fault):
    """The store is down, slow, or loses its responses.

    :param component: the store.
    :param field: a field of the stand-in's faults.
    :param value: the value of this field.
    """

    component: str
    field: str
    value: bool | float

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Switch the fault on at the store."""
        soak_site.site.faults(self.component, **{self.field: self.value})

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Switch the store's faults off."""
        soak_site.site.faults(self.component)


class LinkFault(Fault):
    """A fault of the link to the store or to a server, injected at its proxy."""

    def link(self, soak_site: soaksite.SoakSite) -> tcpproxy.TcpProxy:
        """Return the affected proxy."""
        return soak_site.links[self.component]

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Remove the fault from the proxy."""
        self.link(soak_site).release()


class LinkReset(LinkFault):
    """The connections through a proxy are reset."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Reset the connections."""
        self.link(soak_site).reset_connections()


class LinkDelayed(LinkFault):
    """All data on a link is delayed."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Set the delay."""
        self.link(soak_site).delay_s = 0.15


class AnswersHeld(LinkFault):
    """Only one direction of a link works: requests pass, responses do not."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Hold responses back."""
        self.link(soak_site).hold_responses()


class RequestsHeld(LinkFault):
    """Only one direction of a link works: responses pass, requests do not."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Hold requests back."""
        self.link(soak_site).hold_requests()


class LinkSilent(LinkFault):
    """Open connections stall without a reset; new ones work."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Stall the open connections."""
        self.link(soak_site).stall()


class KeyTaken(Fault):
    """A team's key is revoked."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Revoke the key."""
        soak_site.revoke_key(self.component)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Do nothing: no key is issued twice."""


class KeyGiven(Fault):
    """A team gets a new key."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Issue the key."""
        soak_site.issue_key(self.component)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Do nothing: the key stays valid."""


class StoreComesBack(Fault):
    """The store is restored from a backup some seconds old; lost rows are written again."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Make the backup."""
        soak_site.site.put_json(self.component, "/standin/copy", {})

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Restore the backup and write the lost rows again."""
        soak_site.site.put_json(self.component, "/standin/restore", {})
        time.sleep(REWRITTEN_S)
        soak_site.rewrite()


class ServerLimited(Fault):
    """A backend server announces a rate limit for a while."""

    extra_duration_s = 8.0

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Announce the limit."""
        soak_site.site.faults(self.component, limit=str(LIMIT_PER_S))
        self._began_at = time.monotonic()

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Stop announcing the limit."""
        replica_id = soak_site.site.server_by_place[self.component].replica_id
        soak_site.limited.append(
            soaksite.Limited(replica_id, LIMIT_PER_S, self._began_at, time.monotonic())
        )
        soak_site.site.faults(self.component)


class RequestCrashesServers(Fault):
    """A caller repeats a request that crashes every plain server that runs it.

    :param component: ``services``, which stands for all plain servers.
    """

    extra_duration_s = 8.0

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Start the caller."""
        self._stopped = threading.Event()
        self._caller = threading.Thread(
            target=self._send_repeatedly, args=(soak_site,), daemon=True
        )
        self._caller.start()

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Stop the caller and restart the crashed servers."""
        self._stopped.set()
        self._caller.join()
        self._restart_crashed(soak_site)

    def _send_repeatedly(self, soak_site: soaksite.SoakSite) -> None:
        caller = routedcaller.RoutedCaller(keep=False)
        names = itertools.cycle(soak_site.site.instance_names)
        key = soak_site.keys_by_team[soaksite.TEAMS[0]][0]
        for number in itertools.count():
            address = soak_site.site.callers_address(next(names))
            request_id = f"fatal-{soak_site.seed}-{number}"
            caller.send(address, "hold", request_id, key, routedsite.FATAL_BODY.encode())
            if self._stopped.wait(FATAL_PAUSE_S):
                return
            self._restart_crashed(soak_site)

    def _restart_crashed(self, soak_site: soaksite.SoakSite) -> None:
        for place in soak_site.site.server_by_place:
            if place.startswith("service") and not listens(soak_site.site.address_by_name[place]):
                replace(soak_site, place)


class MachineBusy(Fault):
    """Work on a server's machine takes longer for a while, which its load figures state."""

    extra_duration_s = 2.0

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Slow it down."""
        soak_site.site.faults(self.component, slowdown=SLOWDOWN)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Give its speed back."""
        soak_site.site.faults(self.component)


@dataclasses.dataclass
class StatusAfterRun(Fault):
    """A server runs requests and responds with a status that says that it did not.

    :param component: the server.
    :param status: 408, 429 or 503, without the header that states a refusal.
    """

    component: str
    status: int

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let it respond so."""
        soak_site.site.faults(self.component, status=self.status)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Let it respond normally again."""
        soak_site.site.faults(self.component)


class DomainEvacuated(Fault):
    """The operator evacuates a failure domain for a while."""

    extra_duration_s = 5.0

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Evacuate the failure domain."""
        soak_site.evacuate(self.component)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """End the evacuation."""
        soak_site.end_evacuation(self.component)


def replace(
    soak_site: soaksite.SoakSite, place: str, version: str | None = None
) -> routedsite.Server:
    """Remove a server's entry, which may be gone already, and start a new incarnation."""
    soak_site.site.unlist_server(soak_site.site.server_by_place[place])
    soak_site.links.retarget(place)
    return soak_site.site.start_server(place, version=version)


def set_services(soak_site: soaksite.SoakSite, **faults: object) -> None:
    """Set the faults of all plain servers."""
    for place in soak_site.site.server_by_place:
        if place.startswith("service"):
            soak_site.site.faults(place, **faults)


def listens(address: str) -> bool:
    """Return whether a server accepts connections."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1.0).close()
    except OSError:
        return False
    return True
