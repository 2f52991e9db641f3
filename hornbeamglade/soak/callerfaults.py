"""The kinds of faults that are due to callers."""

import abc
import threading

from hornbeamglade.soak import callerpool, faults, soaksite
from hornbeamglade.standins import crowds

LARGE_BYTES = 1_000_000
"""More than an instance holds for one caller."""

UNREAD_S = 2.0
"""After this time, servers cut off a response that is not read."""

SLOW_PREFIX = "slow"
SURGE_PREFIX = "surge"
UNREADING = callerpool.Habits(3, ("list", "hold"), SLOW_PREFIX, unread_s=2.5 * UNREAD_S)
SLOWLY_READING = callerpool.Habits(3, ("list", "hold"), SLOW_PREFIX + "er", pause_s=0.05)
SURGE = callerpool.Habits(30, ("draft", "tag", "rush"), SURGE_PREFIX)
STOP_TIMEOUT_S = 25.0
CROWD_AT = "crowd-at-"


class ExtraCallers(faults.Fault):
    """Further callers send requests for a while."""

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Start the callers."""
        self._pools = [callerpool.CallerPool(soak_site, each) for each in self.habits()]
        for pool in self._pools:
            pool.start()

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Stop the callers and keep their results."""
        for pool in self._pools:
            pool.stop(STOP_TIMEOUT_S)
            soak_site.extra_results += pool.results()

    @abc.abstractmethod
    def habits(self) -> tuple[callerpool.Habits, ...]:
        """Return what the callers do."""


class CallersSurge(ExtraCallers):
    """Many callers ask for streams at the same time, more than the engines can run.

    :param component: ``callers``, which stands for them.
    """

    extra_duration_s = 2.0

    def habits(self) -> tuple[callerpool.Habits, ...]:
        """Return what the callers do."""
        return (SURGE,)


class CallersReadSlowly(ExtraCallers):
    """Some callers read large responses slowly or not at all; servers cut off what is unread.

    :param component: ``services``, which stands for all plain servers.
    """

    extra_duration_s = 6.0

    def habits(self) -> tuple[callerpool.Habits, ...]:
        """Return what the callers do."""
        return (UNREADING, SLOWLY_READING)

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Let servers send large responses, and start the callers."""
        faults.set_services(soak_site, response_bytes=LARGE_BYTES, unread_s=UNREAD_S)
        super().begin(soak_site)

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Stop the callers, and let servers respond normally."""
        super().end(soak_site)
        faults.set_services(soak_site)


class CrowdPresses(faults.Fault):
    """A crowd of misbehaving callers presses one address of an instance.

    :param component: the crowd of that instance; faults of the instance may overlap with it.
    :param listener: the address.
    :param crowd: what the crowd sends; none of its requests may reach a server.
    """

    extra_duration_s = 3.0

    def __init__(self, component: str, listener: str, crowd: crowds.Crowd) -> None:
        super().__init__(component)
        self.listener = listener
        self.crowd = crowd

    def begin(self, soak_site: soaksite.SoakSite) -> None:
        """Open the connections, and send what the instance accepts."""
        instance = self.component.removeprefix(CROWD_AT)
        address = soak_site.site.settings(instance)["listen"][self.listener]
        self._run = crowds.CrowdRun(self.crowd, address)
        self._run.__enter__()
        self._pressing = threading.Thread(target=self._run.press, daemon=True)
        self._pressing.start()

    def end(self, soak_site: soaksite.SoakSite) -> None:
        """Close the connections."""
        self._run.stop()
        self._pressing.join()
        self._run.__exit__(None, None, None)
