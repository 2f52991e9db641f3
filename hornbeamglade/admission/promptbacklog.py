"""How long an engine takes to read the prompts that it was given, by a fluid estimate."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSettings:
    """The speed at which an engine reads prompts.

    :param tokens_per_s: while it also decodes.
    """

    tokens_per_s: float = 7000.0
    """Engines read 14 tokens of a prompt in a millisecond, in pieces between the steps of
    running requests, which take about as long."""


class PromptBacklog:
    """Prompt tokens that wait to be read at one engine.

    Explanation
    ===========

    Memory says little of how soon a request starts: an engine may have room and still
    ten prompts to read before this one. Reports show that half a second late, when the
    prompts of that half second have all gone to the engine that looked free. So each
    prompt is counted as it is granted, and runs off at the engine's speed.

    :param settings: the engine's speed.

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
        self._tokens = 0.0
        self._at = 0.0

    def add(self, tokens: int, now: float) -> None:
        """Count a prompt that was just granted."""
        self._run_off(now)
        self._tokens += tokens

    def wait_s(self, now: float) -> float:
        """Return the seconds until all prompts so far are read."""
        self._run_off(now)
        return self._tokens / self._settings.tokens_per_s

    def _run_off(self, now: float) -> None:
        read = (now - self._at) * self._settings.tokens_per_s
        self._tokens = max(0.0, self._tokens - read)
        self._at = now
