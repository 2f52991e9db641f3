"""Opens connections to replicas on the path that works: this instance's own, or a tunnel."""

import abc
import asyncio
import collections
import collections.abc
import dataclasses
import random

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.http1 import clientpool, clientside, connectors
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.tunnels import serverpaths, tunnelclient

STAGGER_S = 0.1
"""Pause before the next instance is asked while another has not responded."""

MAX_PEERS_ASKED = 4
PENALTY_S = 2.0
"""How long an instance that did not reach a replica is asked after the others."""

MIN_CONFIRMATIONS = 2
"""Instances that must fail to reach a replica before it counts as down. One of them may be
partitioned too."""


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """An instance that may relay connections.

    :param name: its name.
    :param failure_domain: its failure domain.
    """

    name: str
    failure_domain: str


class Surroundings(abc.ABC):
    """What the connector needs to know of replicas and other instances."""

    @abc.abstractmethod
    def replica_at(self, address: str) -> replicamodels.Replica | None:
        """Return the newest replica that is or was listed with an address, or None."""

    @abc.abstractmethod
    def relays(self, replica: replicamodels.Replica) -> collections.abc.Iterable[Relay]:
        """Return the instances that may relay connections to a replica."""

    @abc.abstractmethod
    def peer(self, name: str) -> transport.Peer | None:
        """Return the endpoint of an instance, or None if it is not known."""


Connection = clientside.ServerConnection | clientside.ResponseLost


class PathConnector(connectors.Connector):
    """Opens an own connection, and a tunnel if that does not succeed soon.

    :param paths: beliefs about this instance's own paths.
    :param surroundings: the replicas and the other instances.
    :param failure_domain: this instance's failure domain. Its other instances are asked last,
        since a partition may affect the whole failure domain.
    :param frame_codec: encodes requests for tunnels and decodes the responses.
    :param rng: distributes tunnels over the instances.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        paths: serverpaths.ServerPaths,
        surroundings: Surroundings,
        failure_domain: str,
        frame_codec: codec.Codec,
        rng: random.Random,
        clock: clocks.Clock,
    ) -> None:
        self.paths = paths
        self._surroundings = surroundings
        self._failure_domain = failure_domain
        self._codec = frame_codec
        self._rng = rng
        self._clock = clock
        self._failed_at_by_relay: dict[str, float] = {}
        self._direct: set[asyncio.Task[Connection]] = set()

    def is_trusted(self, connection: clientside.ServerConnection) -> bool:
        """Return whether an idle connection was used since the last path was found broken."""
        idle_since = self._clock.now() - (connection.idle_s or 0.0)
        return not self.paths.is_older_than_detour(idle_since)

    async def connect(self, address: str, timeout_s: float) -> Connection:
        """Open a connection."""
        race = _Race(self, address)
        try:
            async with asyncio.timeout(timeout_s):
                return await race.run()
        except TimeoutError:
            # On a busy event loop a connection may have opened in the same turn.
            return race.outcome()
        finally:
            race.discard_losers()

    def connect_directly(self, address: str) -> asyncio.Task[Connection]:
        """Start to open an own connection; the outcome is recorded even if nobody waits for it."""
        self.paths.trial_started(address)
        task = asyncio.ensure_future(self._connect_directly(address))
        self._direct.add(task)
        task.add_done_callback(self._direct.discard)
        return task

    def reached_by(self, address: str, relay: Relay) -> None:
        """Record that an instance reached a replica that this one did not reach."""
        is_new = not self.paths.is_detoured(address)
        self.paths.reached_by(address, relay.name)
        if is_new:
            # The replica may have been silent for both, and the other's attempt began later.
            self.connect_directly(address).add_done_callback(_close_opened)

    async def _connect_directly(self, address: str) -> Connection:
        connection = await clientside.connect(address, clientpool.CONNECT_TIMEOUT_S, self._clock)
        if isinstance(connection, clientside.ServerConnection):
            self.paths.connected(address)
        return connection

    async def open_tunnel(
        self, replica: replicamodels.Replica, relay: Relay
    ) -> tunnelclient.TunneledConnection | messages.TunnelOutcome | None:
        """Open a tunnel through an instance."""
        peer = self._surroundings.peer(relay.name)
        if peer is None:
            return None
        return await tunnelclient.open_tunnel(
            replica.address, messages.key_hash(replica.id), peer, self._codec, self._clock
        )

    def ordered_relays(self, address: str) -> tuple[replicamodels.Replica, list[Relay]] | None:
        """Return the replica at an address and the instances to ask, in order; None for none."""
        replica = self._surroundings.replica_at(address)
        if replica is None or not self.paths.may_ask_peers(address):
            return None
        relays = sorted(
            self._surroundings.relays(replica),
            key=lambda each: (
                self._has_failed(each),
                each.failure_domain == self._failure_domain,
                each.failure_domain != replica.failure_domain,
                self._rng.random(),
            ),
        )
        chosen = _spread(relays)[:MAX_PEERS_ASKED]
        return (replica, chosen) if chosen else None

    def relay_failed(self, relay: Relay) -> None:
        """Record that an instance opened no tunnel."""
        now = self._clock.now()
        recent = {
            name: at for name, at in self._failed_at_by_relay.items() if now - at < PENALTY_S
        }
        self._failed_at_by_relay = recent | {relay.name: now}

    def relay_succeeded(self, relay: Relay) -> None:
        """Record that an instance opened a tunnel."""
        self._failed_at_by_relay.pop(relay.name, None)

    def _has_failed(self, relay: Relay) -> bool:
        failed_at = self._failed_at_by_relay.get(relay.name, float("-inf"))
        return self._clock.now() - failed_at < PENALTY_S


class _Race:
    """The attempts to open one connection; the first that succeeds is used."""

    def __init__(self, connector: PathConnector, address: str) -> None:
        self._connector = connector
        self._paths = connector.paths
        self._address = address
        self._direct: asyncio.Task[Connection] | None = None
        self._relay_by_task: dict[asyncio.Task, Relay] = {}
        self._outcome_by_relay: dict[Relay, messages.TunnelOutcome | None] = {}
        self._asked = 0
        self._winner: clientside.ServerConnection | None = None

    async def run(self) -> Connection:
        """Return the first connection, or the reason why there is none."""
        if self._paths.is_trial_due(self._address):
            head_start_s = self._paths.head_start_s(self._address)
            self._direct = self._connector.connect_directly(self._address)
            await asyncio.wait((self._direct,), timeout=head_start_s)
            if self._take_winner():
                return self._winner
        ordered = self._connector.ordered_relays(self._address)
        if ordered is None:
            if self._direct is None:
                self._direct = self._connector.connect_directly(self._address)
            await asyncio.wait((self._direct,))
            return self.outcome()
        replica, relays = ordered
        waiting = collections.deque(relays)
        while waiting or self._pending():
            if waiting:
                self._ask(replica, waiting.popleft())
            await asyncio.wait(
                self._pending(),
                timeout=STAGGER_S if waiting else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if self._take_winner():
                return self._winner
        return self.lost()

    def _ask(self, replica: replicamodels.Replica, relay: Relay) -> None:
        self._asked += 1
        task = asyncio.ensure_future(self._connector.open_tunnel(replica, relay))
        self._relay_by_task[task] = relay

    def _pending(self) -> set[asyncio.Task]:
        tasks = {*self._relay_by_task, *filter(None, (self._direct,))}
        return {task for task in tasks if not task.done()}

    def _take_winner(self) -> bool:
        """Process the attempts that have ended; return whether one of them succeeded."""
        if self._direct is not None and self._direct.done():
            connection = self._direct.result()
            if isinstance(connection, clientside.ServerConnection):
                self._winner = connection
                return True
        for task, relay in tuple(self._relay_by_task.items()):
            if not task.done():
                continue
            outcome = task.result()
            if isinstance(outcome, tunnelclient.TunneledConnection):
                self._winner = outcome
                self._connector.relay_succeeded(relay)
                self._connector.reached_by(self._address, relay)
                return True
            del self._relay_by_task[task]
            self._outcome_by_relay[relay] = outcome
            self._connector.relay_failed(relay)
        return False

    def outcome(self) -> Connection:
        """Return the connection that has opened, or why there is none."""
        return self._winner if self._take_winner() else self.lost()

    def lost(self) -> clientside.ResponseLost:
        """Return why there is no connection, as far as is known."""
        outcomes = tuple(self._outcome_by_relay.values())
        refused = outcomes.count(messages.TunnelOutcome.REFUSED)
        unreached = refused + outcomes.count(messages.TunnelOutcome.NO_RESPONSE)
        required = min(MIN_CONFIRMATIONS, self._asked)
        if self._asked and unreached >= required:
            self._paths.reached_by_none(self._address)
        direct = self._direct
        if direct is None or not direct.done():
            return clientside.ResponseLost("not_connected", sent=False, is_timeout=True)
        own = direct.result()
        # A refusal that no other instance confirms may be the partition's.
        return dataclasses.replace(own, is_refused=own.is_refused and refused >= required)

    def discard_losers(self) -> None:
        """Close the connections that are not used, and end the attempts to open tunnels."""
        for task in self._relay_by_task:
            task.cancel()
        for task in (*self._relay_by_task, *filter(None, (self._direct,))):
            task.add_done_callback(self._close_unused)

    def _close_unused(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        if task.result() is not self._winner:
            _close_opened(task)


def _close_opened(task: asyncio.Task) -> None:
    """Close the connection that an attempt has opened, if any."""
    if task.cancelled() or task.exception() is not None:
        return
    if isinstance(connection := task.result(), clientside.ServerConnection):
        connection.close()


def _spread(relays: collections.abc.Sequence[Relay]) -> list[Relay]:
    """Return relays in order, but the first of each failure domain before all others."""
    first_by_domain: dict[str, Relay] = {}
    for relay in relays:
        first_by_domain.setdefault(relay.failure_domain, relay)
    first = list(first_by_domain.values())
    return first + [each for each in relays if each not in first]
