"""The machine of a routed stand-in: its speed, its slowdowns and its memory."""

import dataclasses

from hornbeamglade.emulator import machineslowdowns
from hornbeamglade.standins import routedfaults

SLOTS = 8
SEND_BUFFER_BYTES = 65_536
"""Send buffer of a stand-in that cuts off unread responses: the system's buffers would otherwise
hide for some megabytes that nothing is read."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedTraits:
    """Lasting properties of a stand-in; by default it is fast and has unlimited memory.

    :param shares_machine: whether ``Replica-Load`` has a fourth figure, the current slowdown.
    :param time_factor: multiplies all its times.
    :param slowdowns: busy windows of its machine, or None.
    :param seed: seed of these windows.
    :param slots: requests of a plain service that are processed at once; others wait.
    :param plain_s: seconds that a plain service takes for a request.
    :param unread_s: a response of which nothing is read for this long is cut off; None for never.
    :param memory_tokens: an engine that holds more tokens crashes; None for no bound.
    """

    shares_machine: bool = False
    time_factor: float = 1.0
    slowdowns: machineslowdowns.Slowdowns | None = None
    seed: int = 0
    slots: int = SLOTS
    plain_s: float = 0.0
    unread_s: float | None = None
    memory_tokens: int | None = None


class RoutedMachine:
    """Times, load figures and bounds of a stand-in, under its traits and current faults.

    :param traits: lasting properties.

    Examples
    ========

    >>> machine = RoutedMachine(RoutedTraits(shares_machine=True, time_factor=1.7))
    >>> machine.factor(0.0)
    1.7
    >>> machine.load_figures(10, 0.0)
    '8,2,8,100'
    """

    def __init__(self, traits: RoutedTraits) -> None:
        self.traits = traits
        self.faults = routedfaults.RoutedFaults()
        slowdowns = traits.slowdowns or machineslowdowns.Slowdowns(share=0.0)
        self._windows = machineslowdowns.Machine(slowdowns, traits.seed)

    @property
    def unread_s(self) -> float | None:
        """Seconds after which a response that is not read is cut off, or None."""
        return self.traits.unread_s if self.faults.unread_s is None else self.faults.unread_s

    @property
    def memory_tokens(self) -> int | None:
        """The tokens beyond which an engine crashes, or None."""
        lasting = self.traits.memory_tokens
        return lasting if self.faults.memory_tokens is None else self.faults.memory_tokens

    def slowdown(self, now: float) -> float:
        """Return how many times as long work on the machine takes now."""
        return self.faults.slowdown or self._windows.factor_at(now)

    def factor(self, now: float) -> float:
        """Return how many times as long the stand-in's own work takes now."""
        return self.traits.time_factor * self.slowdown(now)

    def load_figures(self, requests: int, now: float) -> str:
        """Return the value of ``Replica-Load``.

        :param requests: requests that it holds, the waiting ones included.
        """
        if not self.traits.shares_machine and not self.faults.slowdown:
            return f"1,0,{SLOTS}"
        slots = self.traits.slots
        percent = round(100 * self.slowdown(now))
        return f"{min(requests, slots)},{max(0, requests - slots)},{slots},{percent}"
