"""Time per generated token, estimated from the streams of this node."""

DEFAULT_TOKEN_S = 0.012
"""Estimate before the first stream. A decoding step takes 7 ms plus 0.12 ms for each other
request of the batch; a full engine needs 11 ms."""

SMOOTHING = 0.1
"""Weight of a new stream: the estimate follows about the last ten streams, a few seconds."""


class TokenTimes:
    """Seconds per token by service, exponentially smoothed over streams.

    Examples
    ========

    >>> token_times = TokenTimes()
    >>> token_times.observe("draft", tokens=100, seconds=2.2)
    >>> round(token_times.seconds_per_token("draft"), 4)
    0.013
    >>> token_times.seconds_per_token("other")
    0.012
    """

    def __init__(self) -> None:
        self._seconds_by_service: dict[str, float] = {}

    def observe(self, service: str, tokens: int, seconds: float) -> None:
        """Update the estimate from a finished stream.

        :param tokens: tokens generated after the first event.
        :param seconds: time from the first event to the last.
        """
        if tokens <= 0:
            return
        previous = self.seconds_per_token(service)
        self._seconds_by_service[service] = previous + SMOOTHING * (seconds / tokens - previous)

    def seconds_per_token(self, service: str) -> float:
        """Return the current estimate for a service."""
        return self._seconds_by_service.get(service, DEFAULT_TOKEN_S)
