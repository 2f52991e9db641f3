"""Settings of a waiting queue."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSettings:
    """Bounds and trade-offs of one waiting queue.

    :param max_waiting: requests that may wait in all.
    :param team_share: the part of ``max_waiting`` that one team may hold, 0 to 1.
    :param ageing_s: seconds without service that raise a starved class by one priority.
    :param max_passes: how often smaller work may pass one head that does not fit.
    :param optimism: how much faster than measured the queue may turn out to be before
        a request counts as unable to start in time.
    :param min_retry_s: the least seconds until a refused caller may come back.
    :param max_retry_s: the most, before the jitter.
    """

    max_waiting: int = 200
    team_share: float = 0.5
    ageing_s: float = 5.0
    max_passes: int = 8
    optimism: float = 2.0
    min_retry_s: float = 1.0
    max_retry_s: float = 60.0

    @property
    def max_per_team(self) -> int:
        """Return how many requests of one team may wait."""
        return max(1, int(self.max_waiting * self.team_share))
