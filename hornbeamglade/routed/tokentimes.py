"""How long an engine's token takes, as this node's streams have shown it."""

DEFAULT_TOKEN_S = 0.012
"""A step takes 7 ms and 0.12 ms more for each request beside it; a full engine needs 11 ms."""

SMOOTHING = 0.1
"""Of a new stream: some ten streams, a few seconds, decide what is believed."""


class TokenTimes:
    """Seconds per token by service, smoothed over streams.

    Examples
    ========

    >>> pace = TokenTimes()
    >>> pace.observe("draft", tokens=100, seconds=2.2)
    >>> round(pace.seconds_per_token("draft"), 4)
    0.013
    >>> pace.seconds_per_token("other")
    0.012
    """

    def __init__(self) -> None:
        self._seconds_by_service: dict[str, float] = {}

    def observe(self, service: str, tokens: int, seconds: float) -> None:
        """Learn from a stream.

        :param tokens: made after its first event.
        :param seconds: from its first event to its last.
        """
        if tokens <= 0:
            return
        before = self.seconds_per_token(service)
        self._seconds_by_service[service] = before + SMOOTHING * (seconds / tokens - before)

    def seconds_per_token(self, service: str) -> float:
        """Return what is believed of a service."""
        return self._seconds_by_service.get(service, DEFAULT_TOKEN_S)
