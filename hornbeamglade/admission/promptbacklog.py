"""A fluid estimate of how long an engine takes to process (prefill) its queued prompts."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSettings:
    """The rate at which an engine processes prompts.

    :param tokens_per_s: the prefill rate while it also decodes.
    """

    tokens_per_s: float = 7000.0
    """Engines prefill 14 tokens in a millisecond, in chunks between the decode steps of running
    requests. The decode steps take about as much time as the chunks."""


class PromptBacklog:
    """Prompt tokens that wait to be processed by one engine.

    Explanation
    ===========

    Free memory does not show how soon a request starts: an engine may have headroom and
    still process ten prompts before this one. Load reports show the backlog half a second
    late, when all prompts of that time have been sent to the engine that seemed free. So
    each prompt is added when it is granted, and the backlog drains at the engine's rate.

    :param settings: the engine's rate.

    Examples
    ========

    >>> backlog = PromptBacklog(PromptSettings(tokens_per_s=1000.0))
    >>> backlog.add(500, now=0.0)
    >>> backlog.add(500, now=0.0)
    >>> backlog.wait_s(now=0.25)
    0.75
    >>> backlog.wait_s(now=2.0)
    0.0
    """

    def __init__(self, settings: PromptSettings | None = None) -> None:
        self._settings = settings or PromptSettings()
        self._tokens_per_s = self._settings.tokens_per_s
        self._tokens = 0.0
        self._updated_at = 0.0

    def set_slow_factor(self, slow_factor: float, now: float) -> None:
        """Set the engine's time per token relative to the median; 1 is normal."""
        self._drain(now)
        self._tokens_per_s = self._settings.tokens_per_s / slow_factor

    def add(self, tokens: int, now: float) -> None:
        """Add the prompt of a request that was just granted."""
        self._drain(now)
        self._tokens += tokens

    def wait_s(self, now: float) -> float:
        """Return the seconds until all prompts so far are processed."""
        self._drain(now)
        return self._tokens / self._tokens_per_s

    def _drain(self, now: float) -> None:
        processed = (now - self._updated_at) * self._tokens_per_s
        self._tokens = max(0.0, self._tokens - processed)
        self._updated_at = now
