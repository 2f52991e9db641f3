"""A network in virtual time that loses, doubles and reorders messages."""

import dataclasses
import heapq

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantserver, messages, transport

HOST = "127.0.0.1"


@dataclasses.dataclass(frozen=True)
class Faults:
    lose: float = 0.0
    double: float = 0.0
    longest_delay_s: float = 0.0


class LossyNetwork:
    def __init__(self, rng, faults):
        self.clock = clocks.ManualClock()
        self.faults = faults
        self._rng = rng
        self._handler_by_name = {}
        self._flights = []
        self._sent = 0

    def attach(self, name, handler):
        self._handler_by_name[name] = handler
        return _Port(self, name)

    def carry(self, sender, peer, message):
        if self._rng.random() < self.faults.lose:
            return
        for _ in range(2 if self._rng.random() < self.faults.double else 1):
            self._sent += 1
            arrives = self.clock.now() + self._rng.uniform(0, self.faults.longest_delay_s)
            heapq.heappush(self._flights, (arrives, self._sent, sender, peer.name, message))

    def deliver(self):
        while self._flights and self._flights[0][0] <= self.clock.now():
            _, _, sender, name, message = heapq.heappop(self._flights)
            origin = codec.Sender(sender, 1)
            self._handler_by_name[name](message, origin, transport.Endpoint(HOST, 1))


class _Port(transport.Transport):
    def __init__(self, network, name):
        self._network = network
        self._name = name

    def send(self, peer, message):
        self._network.carry(self._name, peer, message)


class FakeScheduler(grantserver.GrantScheduler):
    """Grants up to a bound and queues the rest; refuses when told to."""

    def __init__(self, slots):
        self.slots = slots
        self.ask_by_key = {}
        self.granted = set()
        self.queued = []
        self.granted_ever = []
        self.lapsed = []
        self.adopted = []
        self.refuse = False

    def decide(self, key, ask):
        self.ask_by_key[key] = ask
        if self.refuse:
            return self._answer(key, messages.GrantKind.REFUSED, "queue_full")
        if len(self.granted) < self.slots:
            return self._grant(key)
        self.queued.append(key)
        return self._answer(key, messages.GrantKind.QUEUED)

    def progress(self, key, produced):
        pass

    def release(self, key, produced):
        self._free(key)

    def expire(self, key):
        self.lapsed.append(key)
        self._free(key)

    def adopt(self, key, progress):
        self.adopted.append(key)
        self.granted.add(key)

    def serve(self, server):
        while self.queued and len(self.granted) < self.slots:
            key = self.queued.pop(0)
            server.push(key, self._grant(key))

    def _grant(self, key):
        self.granted.add(key)
        self.granted_ever.append(key)
        return self._answer(key, messages.GrantKind.GRANTED)

    def _answer(self, key, kind, code=""):
        return messages.GrantResponse(key.grant_id, kind, code)

    def _free(self, key):
        self.granted.discard(key)
        if key in self.queued:
            self.queued.remove(key)


REPLICA = messages.key_hash("engine-1")


def make_ask(grant_id=0, deadline_ms=5000):
    names = (REPLICA, messages.key_hash("chat"), messages.key_hash("clerks"))
    return messages.GrantRequest(grant_id, *names, 0, 10, None, 1.0, deadline_ms)
