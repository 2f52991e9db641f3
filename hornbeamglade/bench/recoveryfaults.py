"""The faults of the recovery bench: what is hurt, for how long, and how it heals."""

import abc
import collections.abc
import random
import signal

from hornbeamglade.localsite import localsite, tcpproxy

FREEZE_S = 8.0
STALL_S = 8.0
OUTAGE_S = 10.0


class Fault(abc.ABC):
    """One fault on one victim.

    :cvar name: as on the command line.
    :cvar hold_s: seconds until it is healed; 0 for one that isn't, or that is over
        at once.
    :cvar reuses_site: whether the next trial may use the same site. It may not when a
        process has died, or when nodes keep a memory of the fault, as they do of an
        engine that failed: the later trials would not meet what the first one met.
    """

    name: str
    hold_s: float = 0.0
    reuses_site = False

    def links(self, shape: localsite.Shape) -> tuple[str, ...]:
        """Return the names of the processes before which a pass-through is needed."""
        return ()

    @abc.abstractmethod
    def choose_victim(self, site: localsite.LocalSite, rng: random.Random) -> str:
        """Return the name of the process or link that is hurt."""

    @abc.abstractmethod
    def inject(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        """Hurt the victim."""

    @abc.abstractmethod
    def repair(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        """End the fault; nothing for one that stays, or that is over at once."""


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
    """An entry node dies and stays dead."""

    name = "kill_node"


class FreezeNode(_Freeze, _OfNode):
    """An entry node is paused and goes on."""

    name = "freeze_node"
    reuses_site = True


class KillEngine(_Kill, _OfEngine):
    """An engine dies and stays dead."""

    name = "kill_engine"


class FreezeEngine(_Freeze, _OfEngine):
    """An engine is paused and goes on."""

    name = "freeze_engine"


class StallLink(_HoldResponses, _OfEngine):
    """Nothing comes back from an engine, on old and new connections."""

    name = "stall_link"
    hold_s = STALL_S

    def links(self, shape: localsite.Shape) -> tuple[str, ...]:
        """Every engine's link: any of them may be the victim."""
        return _engine_names(shape)


class CutLink(_NoRepair, _OfEngine):
    """The connections to an engine are reset once; new ones pass."""

    name = "cut_link"

    def links(self, shape: localsite.Shape) -> tuple[str, ...]:
        """Every engine's link: any of them may be the victim."""
        return _engine_names(shape)

    def inject(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        """Reset the connections that stand."""
        links[victim].reset_connections()


class PlatformOutage(_OfPlatform):
    """The platform answers 503 to everything."""

    name = "platform_outage"

    def inject(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        """Have the stand-in refuse."""
        site.faults(victim, down=True)

    def repair(self, site: localsite.LocalSite, links: tcpproxy.TcpProxies, victim: str) -> None:
        """Have the stand-in answer again."""
        site.faults(victim)


class PlatformStall(_HoldResponses, _OfPlatform):
    """Nothing comes back from the platform, though what it was sent takes effect."""

    name = "platform_stall"

    def links(self, shape: localsite.Shape) -> tuple[str, ...]:
        """The platform's link."""
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
