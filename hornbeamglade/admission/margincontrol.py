"""Control of the safety margin: preemptions widen it, and their absence narrows it."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class MarginSettings:
    """Parameters of the margin control.

    :param initial: margin at the start, in standard deviations.
    :param minimum: lower bound.
    :param maximum: upper bound.
    :param target: preemptions per finished request at which the margin stays constant.
    :param step: factor by which one preemption widens the margin.
    :param max_steps: limit on the steps taken for one report.
    """

    initial: float = 1.5
    minimum: float = 0.1
    maximum: float = 4.0
    target: float = 0.05
    step: float = 1.02
    max_steps: int = 3


class MarginController:
    """A multiplicative controller of the margin, in standard deviations.

    Explanation
    ===========

    The overflow probability is computed from lengths learned in the past. When the
    lengths drift, it is wrong, and the error becomes visible as preemptions. Each
    preemption multiplies the margin by ``step``, and each request that finishes while
    others are held back divides it by ``step ** target``. The margin thus converges to the
    point where the preemptions per request equal the target. The step is small: with a
    step of 1.1 the margin oscillated, and the same goodput cost nearly twice as many
    preemptions.

    Examples
    ========

    >>> controller = MarginController(MarginSettings(initial=1.0, step=1.1))
    >>> controller.preempted(1)
    >>> round(controller.deviations, 2)
    1.1
    """

    def __init__(self, settings: MarginSettings | None = None) -> None:
        self._settings = settings or MarginSettings()
        self._decay = self._settings.step**-self._settings.target
        self.deviations = self._settings.initial

    def preempted(self, count: int) -> None:
        """Widen the margin for ``count`` preemptions since the last call."""
        settings = self._settings
        # A single overflow preempts many requests at once; that is one error, not many.
        widened = self.deviations * math.pow(settings.step, min(count, settings.max_steps))
        self.deviations = min(settings.maximum, widened)

    def finished(self) -> None:
        """Narrow the margin slightly for a finished request."""
        self.deviations = max(self._settings.minimum, self.deviations * self._decay)
