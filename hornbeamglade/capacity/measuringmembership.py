"""Measures slopes of heartbeats, membership views and the ownership of replicas."""

import collections.abc
import statistics

from hornbeamglade.capacity import fits, profiling, samplemesh, samplesite, slopes
from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec
from hornbeamglade.membership import ownership, registry
from hornbeamglade.platform import storebodies
from hornbeamglade.store import memory

GROUP = "membership"
_NODE_COUNTS = (45, 90, 180, 360)
_REPLICA_COUNTS = (225, 450, 900, 1800)
_OWNED_COUNTS = (0, 5, 10, 20)
_TICKS = 30


def measure() -> collections.abc.Iterator[slopes.Slope]:
    """Measure the group."""
    yield _slope(
        "membership.tick_us",
        "processor us of one tick of the peering, five replicas a node; ten ticks a second",
        "nodes",
        "node/peering.py, membership/ownership.py, membership/view.py",
        [fits.Point(size, _tick_us(size)) for size in _NODE_COUNTS],
    )
    yield _slope(
        "membership.view_bytes",
        "bytes of the view of the nodes and the owners of their replicas",
        "nodes",
        "membership/view.py, membership/ownership.py",
        [fits.Point(n, profiling.held_bytes(lambda n=n: _mesh(n))) for n in _NODE_COUNTS],
    )
    yield _slope(
        "membership.owned_us",
        "processor us to name the replicas that a node owns (each heartbeat, load poll)",
        "replicas of the site",
        "membership/ownership.py",
        [fits.Point(size, _owned_us(size)) for size in _REPLICA_COUNTS],
    )
    yield _slope(
        "membership.domain_lost_us",
        "processor us of the ownership update when a seventh of the nodes is lost",
        "nodes",
        "membership/ownership.py",
        [fits.Point(size, _domain_lost_us(size)) for size in _NODE_COUNTS],
    )
    yield _slope(
        "membership.candidate_us",
        "processor us to name the node that may take a pool's lease",
        "nodes",
        "node/placing.py (_is_candidate), membership/ownership.py",
        [fits.Point(size, _candidate_us(size)) for size in _NODE_COUNTS],
    )
    modules = "membership/heartbeats.py, exchange/codec.py"
    yield _slope(
        "membership.heartbeat_bytes",
        "bytes of one heartbeat's frame",
        "replicas owned",
        modules,
        [fits.Point(size, len(_frame(size))) for size in _OWNED_COUNTS],
    )
    yield _slope(
        "membership.heartbeat_us",
        "processor us to encode a heartbeat, and to decode it",
        "replicas owned",
        modules,
        [fits.Point(size, _frame_us(size)) for size in _OWNED_COUNTS],
    )
    lists = "membership/registry.py, platform/storebodies.py"
    yield _slope(
        "membership.list_bytes",
        "bytes of the body of the platform's instance list",
        "nodes",
        lists,
        [fits.Point(size, len(_list_body(size))) for size in _NODE_COUNTS],
    )
    yield _slope(
        "membership.list_us",
        "processor us to read the instance list's body and take it over",
        "nodes",
        lists,
        [fits.Point(size, _list_us(size)) for size in _NODE_COUNTS],
    )


def _slope(key, cost, over, mechanism, points) -> slopes.Slope:
    return slopes.Slope(key, GROUP, cost, over, mechanism, tuple(points))


def _tick_us(nodes: int) -> float:
    mesh = samplemesh.Mesh(nodes)
    durations_us = []
    for number in range(2 * _TICKS):
        if number % 10 == 0:
            mesh.receive_from_all()
        durations_us.append(mesh.tick_us())
    mesh.close()
    # The first ticks compute the owners of all replicas, which is part of the start-up cost.
    return statistics.mean(durations_us[_TICKS:])


def _mesh(nodes: int) -> samplemesh.Mesh:
    mesh = samplemesh.Mesh(nodes)
    mesh.receive_from_all()
    mesh.tick_us()
    mesh.close()
    return mesh


def _participants(nodes: int) -> tuple[list[ownership.Participant], list[ownership.Participant]]:
    replicas = [
        ownership.Participant(samplesite.replica_name(number), samplesite.domain(number))
        for number in range(samplemesh.REPLICAS_PER_NODE * nodes)
    ]
    members = [
        ownership.Participant(samplesite.node_name(number), samplesite.domain(number))
        for number in range(nodes)
    ]
    return replicas, members


def _candidate_us(nodes: int) -> float:
    _, members = _participants(nodes)

    def choose_candidate() -> None:
        participants = [ownership.Participant(member.name) for member in members]
        ownership.owner(ownership.Participant("pool:pool-0"), participants)

    return profiling.cpu_us(choose_candidate)


def _owned_us(replicas: int) -> float:
    owners = ownership.Ownership()
    owners.update(*_participants(replicas // samplemesh.REPLICAS_PER_NODE))
    return profiling.cpu_us(lambda: owners.owned_by(samplesite.node_name(0)))


def _domain_lost_us(nodes: int) -> float:
    replicas, members = _participants(nodes)
    owners = ownership.Ownership()
    owners.update(replicas, members)
    lost = samplesite.domain(0)
    remaining = [member for member in members if member.failure_domain != lost]
    return profiling.total_cpu_us(lambda: owners.update(replicas, remaining))


def _codecs() -> tuple[codec.Codec, codec.Codec]:
    clock = clocks.SystemClock()
    ring = codec.KeyRing(1, {1: samplemesh.SECRET.encode()})
    names = (samplesite.node_name(0), samplesite.node_name(1))
    return tuple(codec.Codec(name, samplemesh.INCARNATION, ring, clock) for name in names)


def _frame(owned: int) -> bytes:
    return _codecs()[0].encode(
        samplesite.node_name(1), samplemesh.heartbeat(samplesite.instances(1)[0], owned)
    )


def _frame_us(owned: int) -> float:
    sender, receiver = _codecs()
    heartbeat = samplemesh.heartbeat(samplesite.instances(1)[0], owned)
    return profiling.cpu_us(
        lambda: receiver.decode(sender.encode(samplesite.node_name(1), heartbeat))
    )


def _list_body(nodes: int) -> bytes:
    table = memory.MemoryPlatform(shared_version_counter=True)
    nodes_list = registry.Registry(table)
    for instance in samplesite.instances(nodes):
        nodes_list.register(instance)
    listed = table.snapshot(registry.TABLE)
    rows = tuple(map(storebodies.Row.from_row, listed.rows))
    return storebodies.Rows(rows=rows, ver=listed.version).model_dump_json().encode()


def _list_us(nodes: int) -> float:
    mesh = samplemesh.Mesh(nodes)
    body = _list_body(nodes)

    def apply_list() -> None:
        listed = storebodies.Rows.model_validate_json(body)
        mesh.peering.heartbeats.apply_list(
            registry.parse_instances(row.to_row() for row in listed.rows)
        )

    elapsed_us = profiling.cpu_us(apply_list)
    mesh.close()
    return elapsed_us
