"""Widens the margin when preemptions are seen and narrows it when they are not."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class MarginSettings:
    """The control of the margin.

    :param initial: deviations at first.
    :param minimum: lower bound.
    :param maximum: upper bound.
    :param target: preemptions for each finished request at which the margin rests.
    :param step: factor by which one preemption widens the margin.
    :param most_steps: bound on the steps taken for one report.
    """

    initial: float = 1.5
    minimum: float = 0.1
    maximum: float = 4.0
    target: float = 0.05
    step: float = 1.02
    most_steps: int = 3


class MarginController:
    """A multiplicative controller of the margin, in standard deviations.

    Explanation
    ===========

    The probability of overflow rests on lengths learned in the past. When
    lengths drift, it is wrong, and its error shows as preemptions. Each one
    multiplies the margin by ``step``, each request that finishes while others are
    held back divides it by ``step ** target``: the margin rests where preemptions
    per request meet the target. The step is small: with a step of 1.1 the margin
    swung, and the same goodput cost nearly twice the preemptions.

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
        """Widen for ``count`` preemptions seen since the last call."""
        settings = self._settings
        # One crowded moment preempts many at once; that is one error, not many.
        widened = self.deviations * math.pow(settings.step, min(count, settings.most_steps))
        self.deviations = min(settings.maximum, widened)

    def finished(self) -> None:
        """Narrow a little for a request that came to its end."""
        self.deviations = max(self._settings.minimum, self.deviations * self._decay)
