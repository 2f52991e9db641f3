"""What this instance believes about its own paths to the replicas.

Explanation
===========

A connection that cannot be opened has one of two causes: the replica is down, or only this
instance is partitioned from it. One instance cannot tell them apart; a connection that another
instance opens to the same replica can. A path is therefore *detoured* from the moment at which
another instance reached the replica while this one did not, until a connection of this instance's
own succeeds. It is tried at once, since a silent replica may have gone on between the attempts of
the two instances. After that it is tried once a second, together with a tunnel, so no request
waits for the trial.

While any path is detoured, idle connections that were last used before that are not reused: a
partition rarely affects a single replica, and a request that is sent on a dead connection cannot
be sent again if it may run only once.

If other instances do not reach the replica either, they are not asked again for
:data:`CONFIRMED_S`.
"""

import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.observability import logs

HEAD_START_S = 0.1
"""How long an own connection may take before other instances are asked. Most take a few
milliseconds; a lost packet is sent again only after a second."""

SUSPICIOUS_HEAD_START_S = 0.02
TRIAL_INTERVAL_S = 1.0
CONFIRMED_S = 1.0
RETENTION_S = 30.0
"""Paths that were not used for this long are forgotten: their replicas may be gone."""

NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class _Path:
    used_at: float
    detoured_since: float | None = None
    trial_at: float = NEVER
    confirmed_down_at: float = NEVER


class ServerPaths:
    """The paths to replicas by address; those that work are not stored.

    :param clock: monotonic time.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> paths = ServerPaths(clock)
    >>> paths.head_start_s("10.0.0.1:80")
    0.1
    >>> paths.reached_by("10.0.0.1:80", "entry-2")
    >>> paths.head_start_s("10.0.0.1:80"), paths.is_trial_due("10.0.0.1:80")
    (0.0, True)
    >>> paths.connected("10.0.0.1:80")
    >>> paths.detoured_count
    0
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._path_by_address: dict[str, _Path] = {}
        self._last_detour_at = NEVER

    @property
    def detoured_count(self) -> int:
        """The number of replicas that only other instances reach."""
        return sum(each.detoured_since is not None for each in self._path_by_address.values())

    def is_detoured(self, address: str) -> bool:
        """Return whether only other instances are known to reach a replica."""
        path = self._path_by_address.get(address)
        return path is not None and path.detoured_since is not None

    def head_start_s(self, address: str) -> float:
        """Return how long an own connection may take before other instances are asked."""
        if self.is_detoured(address):
            return 0.0
        return SUSPICIOUS_HEAD_START_S if self.detoured_count else HEAD_START_S

    def is_trial_due(self, address: str) -> bool:
        """Return whether an own connection is to be tried now."""
        path = self._path_by_address.get(address)
        if path is None or path.detoured_since is None:
            return True
        return self._clock.now() - path.trial_at >= TRIAL_INTERVAL_S

    def trial_started(self, address: str) -> None:
        """Record that an own connection is being opened."""
        path = self._path_by_address.get(address)
        if path is not None:
            path.trial_at = self._clock.now()

    def may_ask_peers(self, address: str) -> bool:
        """Return whether other instances may be asked to reach a replica."""
        path = self._path_by_address.get(address)
        return path is None or self._clock.now() - path.confirmed_down_at >= CONFIRMED_S

    def is_older_than_detour(self, last_used_at: float) -> bool:
        """Return whether a connection was last used before a path was found to be detoured."""
        return bool(self.detoured_count) and last_used_at <= self._last_detour_at

    def connected(self, address: str) -> None:
        """Record that an own connection was opened."""
        path = self._path_by_address.pop(address, None)
        if path is not None and path.detoured_since is not None:
            logs.state_changed(
                "server_path",
                "tunneled",
                "direct",
                address=address,
                age_s=round(self._clock.now() - path.detoured_since, 3),
                count=self.detoured_count,
            )

    def reached_by(self, address: str, node: str) -> None:
        """Record that another instance reached a replica that this one did not reach."""
        now = self._clock.now()
        path = self._path_by_address.setdefault(address, _Path(now))
        path.used_at = now
        path.confirmed_down_at = NEVER
        if path.detoured_since is None:
            path.detoured_since = now
            self._last_detour_at = now
            logs.state_changed(
                "server_path",
                "direct",
                "tunneled",
                address=address,
                node=node,
                count=self.detoured_count,
            )

    def reached_by_none(self, address: str) -> None:
        """Record that the other instances that were asked do not reach a replica either."""
        now = self._clock.now()
        path = self._path_by_address.setdefault(address, _Path(now))
        path.used_at = path.confirmed_down_at = now
        if path.detoured_since is not None:
            path.detoured_since = None
            logs.state_changed("server_path", "tunneled", "unreached", address=address)

    def forget_unused(self) -> None:
        """Forget paths that were not used lately."""
        before = self._clock.now() - RETENTION_S
        for address, path in tuple(self._path_by_address.items()):
            if path.used_at < before:
                del self._path_by_address[address]
