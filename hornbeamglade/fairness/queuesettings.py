"""Settings of a request queue."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSettings:
    """Limits and trade-offs of one request queue.

    :param max_waiting: maximum number of queued requests.
    :param team_share: fraction of ``max_waiting`` that one team may hold, 0 to 1.
    :param ageing_s: seconds without service after which a starved class rises by one priority.
    :param max_passes: how often smaller requests may pass one head that does not fit.
    :param optimism: factor by which the queue is assumed to be served faster than measured
        when deciding that a request cannot start in time.
    :param min_retry_s: minimum seconds until a refused caller may retry.
    :param max_retry_s: maximum seconds until a retry, before the jitter is added.
    :param has_mixed_objectives: whether the requests' objectives differ so much that requests
        with slack let more urgent ones pass.
    """

    max_waiting: int = 200
    team_share: float = 0.5
    ageing_s: float = 5.0
    max_passes: int = 8
    optimism: float = 2.0
    min_retry_s: float = 1.0
    max_retry_s: float = 60.0
    has_mixed_objectives: bool = False

    @property
    def max_per_team(self) -> int:
        """Return the maximum number of queued requests of one team."""
        return max(1, int(self.max_waiting * self.team_share))
