"""A network in virtual time that loses, duplicates and reorders messages."""

import dataclasses
import heapq

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantserver, messages, transport

HOST = "127.0.0.1"


@dataclasses.dataclass(frozen=True)
class Faults:
    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    max_delay_s: float = 0.0


class LossyNetwork:
    def __init__(self, rng, faults):
        self.clock = clocks.ManualClock()
        self.faults = faults
        self._rng = rng
        self._handler_by_name = {}
        self._in_flight = []
        self._sent = 0

    def attach(self, name, handler):
        self._handler_by_name[name] = handler
        return _Port(self, name)

    def send(self, sender, peer, message):
        if self._rng.random() < self.faults.loss_rate:
            return
        for _ in range(2 if self._rng.random() < self.faults.duplication_rate else 1):
            self._sent += 1
            arrives_at = self.clock.now() + self._rng.uniform(0, self.faults.max_delay_s)
            heapq.heappush(self._in_flight, (arrives_at, self._sent, sender, peer.name, message))

    def deliver(self):
        while self._in_flight and self._in_flight[0][0] <= self.clock.now():
            _, _, sender, name, message = heapq.heappop(self._in_flight)
            origin = codec.Sender(sender, 1)
            self._handler_by_name[name](message, origin, transport.Endpoint(HOST, 1))


class _Port(transport.Transport):
    def __init__(self, network, name):
        self._network = network
        self._name = name

    def send(self, peer, message):
        self._network.send(self._name, peer, message)


class FakeScheduler(grantserver.GrantScheduler):
    """Grants up to ``slots`` requests and queues the rest; refuses all if ``refuse`` is set."""

    def __init__(self, slots):
        self.slots = slots
        self.request_by_key = {}
        self.granted = set()
        self.queued = []
        self.grant_history = []
        self.expired = []
        self.adopted = []
        self.pace_by_key = {}
        self.refuse = False

    def decide(self, key, request):
        self.request_by_key[key] = request
        if self.refuse:
            return self._response(key, messages.GrantKind.REFUSED, "queue_full")
        if len(self.granted) < self.slots:
            return self._grant(key)
        self.queued.append(key)
        return self._response(key, messages.GrantKind.QUEUED)

    def progress(self, key, produced):
        pass

    def record_pace(self, key, measurement):
        self.pace_by_key[key] = measurement

    def release(self, key, produced):
        self._free(key)

    def expire(self, key):
        self.expired.append(key)
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
        self.grant_history.append(key)
        return self._response(key, messages.GrantKind.GRANTED)

    def _response(self, key, kind, code=""):
        return messages.GrantResponse(key.grant_id, kind, code)

    def _free(self, key):
        self.granted.discard(key)
        if key in self.queued:
            self.queued.remove(key)


REPLICA = messages.key_hash("engine-1")


def make_request(grant_id=0, deadline_ms=5000):
    names = (REPLICA, messages.key_hash("chat"), messages.key_hash("clerks"))
    return messages.GrantRequest(grant_id, *names, 0, 10, None, 1.0, deadline_ms)
