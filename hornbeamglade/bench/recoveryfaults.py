"""The faults of the recovery benchmark: their victims, durations and repair."""

import abc
import collections.abc
import random
import signal

from hornbeamglade.localsite import localsite, tcpproxy

FREEZE_S = 8.0
STALL_S = 8.0
OUTAGE_S = 10.0


class Fault(abc.ABC):
    """One fault of one victim.

    :cvar name: name on the command line.
    :cvar hold_s: seconds until it is repaired; 0 for a permanent or momentary fault.
    :cvar reuses_site: whether the next trial may use the same site. It may not if a process
        was killed, or if nodes keep state about the fault, as they do about a failed engine:
        later trials would then start under different conditions than the first one.
    """

    name: str
    hold_s: float = 0.0
    reuses_site = False

    def links(self, shape: localsite.Shape) -> tuple[str, ...]:
        """Return the names of the processes that need a proxy in front of them."""
        return ()

    @abc.abstractmethod
    def choose_victim(self, site: localsite.LocalSite, rng: random.Random) -> str:
        """Return the name of the process or link that the fault affects."""

    @abc.abstractmethod
    def inject(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        """Inject the fault."""

    @abc.abstractmethod
    def repair(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        """End the fault; does nothing for a permanent or momentary fault."""


class _NoRepair(Fault):
    def repair(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        pass


class _OfNode(Fault):
    def choose_victim(self, site: localsite.LocalSite, rng: random.Random) -> str:
        return rng.choice(site.node_names)


class _OfEngine(Fault):
    def choose_victim(self, site: localsite.LocalSite, rng: random.Random) -> str:
        return rng.choice(_engine_names(site.shape))


class _OfPlatform(Fault):
    reuses_site = True
    hold_s = OUTAGE_S

    def choose_victim(self, site: localsite.LocalSite, rng: random.Random) -> str:
        return localsite.PLATFORM


class _Kill(_NoRepair):
    def inject(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        site.signal(victim, signal.SIGKILL)


class _Freeze(Fault):
    hold_s = FREEZE_S

    def inject(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        site.signal(victim, signal.SIGSTOP)

    def repair(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        site.signal(victim, signal.SIGCONT)


class _HoldResponses(Fault):
    def inject(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        links[victim].hold_responses()

    def repair(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        links[victim].release()


class KillNode(_Kill, _OfNode):
    """An entry node is killed and not restarted."""

    name = "kill_node"


class FreezeNode(_Freeze, _OfNode):
    """An entry node is paused and resumed."""

    name = "freeze_node"
    reuses_site = True


class KillEngine(_Kill, _OfEngine):
    """An engine is killed and not restarted."""

    name = "kill_engine"


class FreezeEngine(_Freeze, _OfEngine):
    """An engine is paused and resumed."""

    name = "freeze_engine"


class StallLink(_HoldResponses, _OfEngine):
    """No data comes back from an engine, on existing and new connections."""

    name = "stall_link"
    hold_s = STALL_S

    def links(self, shape: localsite.Shape) -> tuple[str, ...]:
        """Return the links of all engines, since any engine may be the victim."""
        return _engine_names(shape)


class CutLink(_NoRepair, _OfEngine):
    """The connections to an engine are reset once; new ones work."""

    name = "cut_link"

    def links(self, shape: localsite.Shape) -> tuple[str, ...]:
        """Return the links of all engines, since any engine may be the victim."""
        return _engine_names(shape)

    def inject(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        """Reset the open connections."""
        links[victim].reset_connections()


class PlatformOutage(_OfPlatform):
    """The platform responds 503 to every request."""

    name = "platform_outage"

    def inject(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        """Make the stand-in refuse all requests."""
        site.faults(victim, down=True)

    def repair(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        """Make the stand-in respond again."""
        site.faults(victim)


class PlatformStall(_HoldResponses, _OfPlatform):
    """No data comes back from the platform, although requests to it take effect."""

    name = "platform_stall"

    def links(self, shape: localsite.Shape) -> tuple[str, ...]:
        """Return the link of the platform."""
        return (localsite.PLATFORM,)


_FAULTS = (
    KillNode(),
    FreezeNode(),
    KillEngine(),
    FreezeEngine(),
    StallLink(),
    CutLink(),
    PlatformOutage(),
    PlatformStall(),
)
FAULT_BY_NAME: collections.abc.Mapping[str, Fault] = {fault.name: fault for fault in _FAULTS}


def _engine_names(shape: localsite.Shape) -> tuple[str, ...]:
    return tuple(f"engine-{number}" for number in range(shape.engines))
