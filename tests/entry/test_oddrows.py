"""Rows of other writers in every table that an instance reads, and other odd documents."""

import asyncio
import base64
import json
import random
import types
import zlib
from unittest import mock

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.admission import replicaadmission, tokenledger
from hornbeamglade.claims import claimrecords
from hornbeamglade.core import clocks, codederrors, outcomes
from hornbeamglade.engines import models as enginemodels
from hornbeamglade.entry import componentsettings, settings
from hornbeamglade.exchange import codec, configchunks, messages, transport, wireformat
from hornbeamglade.leases import leaserecords
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.membership import discovery, heartbeats, registry, view
from hornbeamglade.origins import streamorigins, versionrows, versions
from hornbeamglade.platform import dayreports, enginecalls, manifest, sweeptables
from hornbeamglade.quarantine import quarantinerows, requestquarantine
from hornbeamglade.replicas import advisories
from hornbeamglade.store import contract
from tests import eventloop, oddvalues
from tests.entry import site as site_module
from tests.entry import test_clusterstate, test_settings

KEYS = codec.KeyRing(1, {1: b"sixteen bytes at least"})
LONGEST = 6000
"""Of a part of large documents, and of those whose parser is slow."""

FEW = hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
WALL_S = 1_790_000_000.0
GOOD_FINGERPRINT = 7


def nodes_of_seed(page):
    """Return the nodes that an instance reads from the page of a seed."""
    response = types.SimpleNamespace(data=page, status=200)
    with mock.patch.object(discovery.urllib3.PoolManager, "request", return_value=response):
        return discovery.Seeds(("10.0.0.9:90",)).fetch()


def encode(*sent):
    """Encode messages as an instance does that passes on what it has read."""
    frames = codec.Codec("a", 1, KEYS, clocks.ManualClock())
    return [frames.encode("b", message) for message in sent]


def heartbeat(**more):
    identity = {"failure_domain": "d", "address": "10.0.0.1:80", "exchange": "10.0.0.1:72"}
    fields = {"state": messages.NodeState.LIVE, "beat": 1, "config_revision": 1} | identity
    return messages.Heartbeat(**(fields | more))


class Reader:
    """A table that instances read.

    ``good`` is the value of a valid row, ``prefix`` begins its keys, and ``names`` end them.
    ``longest`` bounds the odd texts that take the place of a part of it.
    """

    names = ("00000000000000ff", *oddvalues.ODD_NAMES)
    longest = None


class Replicas(Reader):
    """The list of replicas, which instances also pass on to one another."""

    good = json.loads(site_module.server_row(test_clusterstate.Server, "web", "a"))
    prefix = "servers/"

    def __init__(self):
        self._harness = test_clusterstate.Harness()
        self._state = self._harness.state

    def read(self, rows):
        good = test_clusterstate.row("z1", 8)
        self._state.on_replicas(contract.Snapshot((*rows, good), 8))
        assert "z1" in self._harness.list.by_id

    def follow(self, rows):
        self._state.on_replicas(
            contract.Changes((*rows, test_clusterstate.row("z2", 9)), (), 9, 9)
        )
        assert {"z1", "z2"} <= self._harness.list.by_id.keys()

    def pass_on(self):
        encode(heartbeat(list_version=self._state.versions().replicas))
        receiver = test_clusterstate.Harness()
        document = self._state.read_document(messages.Subject.REPLICAS)
        receiver.state.apply_document(messages.Subject.REPLICAS, 9, document)
        assert receiver.list.by_id == self._harness.list.by_id
        for replica in self._harness.list.by_id.values():
            host, _, port = replica.address.rpartition(":")
            assert len(replica.address) <= 21
            assert 0 < int(port) < 65_536
            assert len(host.encode("ascii")) <= 15
            replica.name.encode("ascii")
            for text in (replica.service, replica.failure_domain, replica.version):
                assert len(text.encode()) <= 200


class Configuration(Reader):
    """The operator's document."""

    good = site_module.manifest(5)
    prefix = "op/config"
    names = ("",)
    longest = LONGEST

    def __init__(self):
        self._harness = test_clusterstate.Harness()
        self._state = self._harness.state
        self._state.on_configuration(contract.Snapshot((test_clusterstate.config(1),), 1))

    def read(self, rows):
        self._state.on_configuration(contract.Snapshot(tuple(rows), 8))

    def follow(self, rows):
        self._state.on_configuration(contract.Changes(tuple(rows), (), 9, 9))
        newest = self._state.versions().configuration + 1
        good = test_clusterstate.config(newest)
        self._state.on_configuration(contract.Changes((good,), (), 10, 10))
        assert self._state.versions().configuration == newest

    def pass_on(self):
        revision = self._state.versions().configuration
        encode(heartbeat(config_revision=revision), messages.VersionAnnouncement(revision))
        document = self._state.read_document(messages.Subject.CONFIGURATION)
        configuration = manifest.decode(document)
        for route in configuration.routes:
            assert 0.0 < route.timeout_s < 1e9
            assert 0.0 < route.goal_s < 1e9
            encode(_request(route))
        for team in configuration.teams:
            assert not {"\r", "\n", "\0"} & set(team.name)


class Evacuations(Reader):
    """The evacuated failure domains, beside the operator's document."""

    good = {}
    prefix = "op/evacuate/"

    def __init__(self):
        self._harness = test_clusterstate.Harness()
        self._state = self._harness.state

    def read(self, rows):
        good = contract.Row("op/evacuate/b", "", 8)
        self._state.on_configuration(contract.Snapshot((*rows, good), 8))
        assert "b" in self._harness.available.evacuations.domains

    def follow(self, rows):
        self._state.on_configuration(contract.Changes(tuple(rows), ("op/evacuate/b",), 9, 9))
        assert "b" not in self._harness.available.evacuations.domains

    def pass_on(self):
        state = self._harness.available.evacuations
        encode(heartbeat(evacuations=state), messages.VersionAnnouncement(1, 1, True, state))


class _Network(transport.Transport):
    """Encodes each message, and resolves no names."""

    def __init__(self):
        self.receivers = set()

    def send(self, peer, message):
        codec.Codec("a", 1, KEYS, clocks.ManualClock()).encode(peer.name, message)
        numbers = peer.endpoint.host.split(".")
        assert all(0 <= int(each.encode("ascii")) < 256 for each in numbers)
        assert len(numbers) == 4
        self.receivers.add(peer.name)


class Members(Reader):
    """The list of instances."""

    good = {"failure_domain": "d", "address": "10.0.0.2:80", "exchange": "10.0.0.2:72"}
    prefix = "instances/"

    def __init__(self):
        self._network = _Network()
        own = view.Identity("a", "d", "10.0.0.1:80", "10.0.0.1:72")
        clock = clocks.ManualClock()
        self._heartbeats = heartbeats.Heartbeats(
            own, 1, self._network, clock, random.Random(1), lambda: heartbeats.Digest(1, ())
        )

    def read(self, rows):
        good = contract.Row("instances/z1", json.dumps(self.good), 8)
        self._heartbeats.apply_list(registry.parse_instances((*rows, good)))
        self._heartbeats.tick()
        self._heartbeats.announce()
        assert "z1" in self._network.receivers

    def follow(self, rows):
        good = contract.Row("instances/z2", json.dumps(self.good), 9)
        self._heartbeats.apply_list(registry.parse_instances((*rows, good)))
        self._heartbeats.tick()
        self._heartbeats.announce()
        assert "z2" in self._network.receivers

    def pass_on(self):
        members = self._heartbeats.members()
        assert nodes_of_seed(discovery.members_page(members))
        for identity in (each.identity for each in members):
            transport.Endpoint.parse(identity.exchange)
            transport.Endpoint.parse(identity.address)
            encode(heartbeat(failure_domain=identity.failure_domain))
            wireformat.checked_name(identity.name)


class Quarantine(Reader):
    """The requests in quarantine, in the table of the instances."""

    good = {"until": WALL_S + 1800.0, "part": True}
    prefix = "instances/quarantine:"

    def __init__(self):
        self._sent = []
        self._clock = clocks.ManualClock(WALL_S)
        self._quarantine = requestquarantine.RequestQuarantine(
            "a",
            lambda: ["a", "b"],
            lambda: ["a", "b"],
            lambda _node, message: self._sent.append(message),
            self._clock,
        )
        self._written = []
        self._quarantine.set_store_writer(self._written.append)

    def _good(self, fingerprint):
        stored = quarantinerows.StoredRequest(fingerprint, self._clock.wall() + 1800.0)
        put = quarantinerows.put(stored)
        return contract.Row(put.key, put.value, 8)

    def read(self, rows):
        self._quarantine.on_rows((*rows, self._good(GOOD_FINGERPRINT)))
        assert self._quarantine.refusal(GOOD_FINGERPRINT) is not None

    def follow(self, rows):
        self._quarantine.on_rows((*rows, self._good(GOOD_FINGERPRINT), self._good(8)))
        assert self._quarantine.refusal(8) is not None

    def pass_on(self):
        self._quarantine.tick()
        self._quarantine.on_digest("b", 1)
        encode(heartbeat(quarantine_digest=self._quarantine.digest), *self._sent)
        assert all(len(each.key) <= 200 for each in self._written)


class Versions(Reader):
    """The listed versions of each service, in the table of the instances."""

    good = {"service": "llm", "version": f"{versions.version_key('v1'):016x}", "since": 7.5}
    prefix = "instances/versions:"

    def __init__(self):
        self._written = []
        self._origins = streamorigins.StreamOrigins(
            "a",
            "d",
            list,
            lambda: ("a",),
            lambda *_: None,
            lambda: True,
            False,
            clocks.ManualClock(WALL_S),
        )
        self._origins.set_store_writer(self._written.append)
        self._origins.observe("llm", ("v1",))
        self._origins.observe("other", ("v1",))

    def read(self, rows):
        good = contract.Row(
            "instances/versions:1", json.dumps(self.good | {"service": "other"}), 8
        )
        self._origins.on_rows((*rows, good))

    def follow(self, rows):
        self._origins.on_rows(tuple(rows))
        self._origins.observe("llm", ("v1", "v2"))

    def pass_on(self):
        for put in self._written:
            stored = versionrows.decode((contract.Row(put.key, put.value, 1),))
            for each in stored.values():
                encode(messages.OriginRecords((messages.OriginRecord(1, each.version or 0, 1),)))


READERS = (Replicas, Configuration, Evacuations, Members, Quarantine, Versions)


def _request(route):
    return messages.GrantRequest(
        grant_id=1,
        replica=1,
        service=1,
        team=1,
        priority=route.urgency,
        prompt_tokens=1,
        max_tokens=None,
        weight=1.0,
        deadline_ms=int(route.timeout_s * 1000),
    )


def play(reader, rows):
    """Let one reader read odd rows before good ones, follow later changes and pass all on."""
    played = reader()
    played.read(rows)
    played.follow(rows)
    played.pass_on()


@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_odd_row_of_another_writer_ends_no_reader_and_hides_no_other_row(reader):
    for value in oddvalues.each(reader.good, reader.longest):
        play(reader, (contract.Row(reader.prefix + reader.names[0], value, 7),))


@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
def test_odd_key_of_another_writer_ends_no_reader_and_hides_no_other_row(reader):
    for name in reader.names:
        for value in (json.dumps(reader.good), "{}"):
            play(reader, (contract.Row(reader.prefix + name, value, 7),))
        play(reader, (contract.Row(reader.prefix + name, "", 7, "not UTF-8"),))


@pytest.mark.parametrize("reader", READERS, ids=lambda reader: reader.__name__)
@hypothesis.given(data=strategies.data())
@FEW
def test_several_odd_rows_of_another_writer_end_no_reader(reader, data):
    names = strategies.sampled_from(reader.names)
    rows = strategies.builds(
        lambda name, value: contract.Row(reader.prefix + name, value, 7),
        names,
        oddvalues.mutations(reader.good) if reader.good else strategies.text(),
    )
    play(reader, tuple(data.draw(strategies.lists(rows, min_size=1, max_size=4))))


@pytest.mark.parametrize("by_watch", [False, True])
def test_long_odd_rows_do_not_keep_an_instance_from_passing_the_list_on(by_watch):
    """Instances that do not read the store themselves would not follow the list any more."""
    rng = random.Random(1)
    odd = tuple(
        contract.Row(f"servers/odd-{n}", base64.b64encode(rng.randbytes(48_000)).decode(), n + 1)
        for n in range(20)
    )
    sender, receiver = test_clusterstate.Harness(), test_clusterstate.Harness()
    for harness in (sender, receiver):
        harness.state.on_replicas(contract.Snapshot((), 1))
    if by_watch:
        good = test_clusterstate.row("z1", 30)
        sender.state.on_replicas(contract.Changes((*odd, good), (), 30, 30))
    else:
        sender.state.on_replicas(contract.Snapshot((*odd, test_clusterstate.row("z1", 30)), 30))
    document = sender.state.read_document(messages.Subject.REPLICAS, since=1)
    configchunks.split(30, zlib.compress(document), messages.Subject.REPLICAS)
    receiver.state.apply_document(messages.Subject.REPLICAS, 30, document)
    assert list(receiver.list.by_id) == ["z1"]


GOOD_LEASE = {"holder": "a", "fencing": 3, "nonce": "n", "term_s": 5.0, "released": False}
GOOD_CLAIM = {
    "state": "done",
    "attempt": "a",
    "node": "n",
    "fingerprint": "f",
    "wall_s": 1.0,
    "answer": {"http_status": 200, "content_type": "text/plain", "body": "YQ=="},
}
GOOD_REPORT = {
    "kv_used": 7,
    "kv_total": 30_000,
    "queued": 0,
    "state": "ready",
    "leaves_ms": 1500.0,
    "born": 1_769_769_571_006,
    "runs": [["r1", 104, 4, 1]],
}
GOOD_COPY = {"handle": "h1", "created": 4}
GOOD_PAGE = {"members": [{"name": "b", **Members.good}]}
GOOD_DAY = {
    "G": 0.5,
    "classes": [{"name": "k", "n": 2, "not_owed": 0, "late": 0, "refused": 0, "failed": 0}],
    "breaks": {},
    "unserved_by": [["end", 1, None]],
}


def _read_lease(text):
    record = leaserecords.LeaseRecord.parse(text)
    if record is None:
        return None
    record.model_copy(update={"fencing": record.fencing + 1}).text()
    return clocks.ManualClock().now() + record.term_s


def _read_claim(text):
    record = claimrecords.ClaimRecord.parse(text)
    if record is None or record.answer is None:
        return record
    claimrecords.decode_answer(record.answer, record.answer.body or "")
    return record.text()


def _read_settings(text):
    parsed = settings.parse(text, "entry.yaml")
    componentsettings.retry_budget(parsed)
    componentsettings.slow_start_bound(parsed)
    componentsettings.buffer_bound(parsed)
    encode(heartbeat(failure_domain=parsed.failure_domain))
    return parsed


class _Answering(enginecalls.EngineCalls):
    """Gets the same response to each call."""

    def __init__(self, content):
        self._content = content

    async def _call(self, *_, **__):
        return enginecalls._Response(200, self._content, True, advisories.Advisory())


def _read_report(text):
    report = asyncio.run(_Answering(text.encode()).report("10.0.0.1:80"))
    if isinstance(report, enginemodels.ReportFailed):
        return None
    admission = replicaadmission.ReplicaAdmission(4000, lengthmodel.LengthModel())
    load = tokenledger.LoadView(1, 0.0, report.memory_tokens, report.used_tokens)
    admission.report(load, 1.0)
    admission.fits(outcomes.Work("r1", "drafts", "clinic", 0, prompt_tokens=100), 1.0)
    return int(admission.headroom(1.0))


def _read_copy(text):
    engine = _Answering(text.encode())
    copied = asyncio.run(engine.copy_kv_cache("a", "r1", "b", is_last=True, timeout_s=1.0))
    if copied.name is not None:
        assert all(0x20 < each < 0x7F for each in copied.name.encode("ascii"))
    return copied


DOCUMENTS = {
    "settings": (test_settings.GOOD, _read_settings),
    "lease": (GOOD_LEASE, _read_lease),
    "claim": (GOOD_CLAIM, _read_claim),
    "report": (GOOD_REPORT, _read_report),
    "copy": (GOOD_COPY, _read_copy),
    "seed": (GOOD_PAGE, lambda text: nodes_of_seed(text.encode())),
    "day": (GOOD_DAY, lambda text: dayreports.decode(text.encode())),
    "sweep": ({}, sweeptables.decode),
}


@pytest.mark.parametrize("name", DOCUMENTS)
def test_odd_document_is_used_or_rejected_with_its_own_error(name):
    good, read = DOCUMENTS[name]
    for text in (json.dumps(good), *oddvalues.each(good, LONGEST if name == "settings" else None)):
        try:
            read(text)
        except codederrors.CodedError as error:
            assert len(error.detail) < 1000


@pytest.mark.parametrize("name", DOCUMENTS)
@hypothesis.given(data=strategies.data())
@FEW
def test_document_with_several_odd_parts_is_used_or_rejected_with_its_own_error(name, data):
    good, read = DOCUMENTS[name]
    try:
        read(data.draw(oddvalues.mutations(good, LONGEST) if good else strategies.text()))
    except codederrors.CodedError as error:
        assert len(error.detail) < 1000


ODD_YAML = (
    "a: 2020-99-99",
    "a: !!int x",
    "a: !!float x",
    "a: !!timestamp x",
    "a: 0x" + "f" * 8000,
    "a: &a [*a]",
    "? [a]\n: b",
    "a: .inf",
    "\x00",
    "\ud800",
)


@pytest.mark.parametrize("text", ODD_YAML)
def test_settings_file_that_cannot_be_read_is_rejected_with_its_own_error(text):
    with pytest.raises(codederrors.CodedError):
        settings.parse(text, "entry.yaml")


def odd_rows(*readers):
    """Yield keys and values of odd rows in some tables; none names a replica of the site."""
    for reader in readers:
        good = reader.good | {"service": "none"}
        values = (*oddvalues.ODD_DOCUMENTS.values(), *_odd_parts(good), json.dumps(good))
        for number, value in enumerate(each for each in values if each.isprintable()):
            name = f"{number:016x}" if reader is Quarantine else f"odd-{number}"
            yield reader.prefix + name, value.replace("10.0.0.", "127.0.0.")
        for name in reader.names:
            yield reader.prefix + name, json.dumps(good).replace("10.0.0.", "127.0.0.")


def _odd_parts(good):
    for path in oddvalues.paths(good):
        for text in oddvalues.texts(LONGEST):
            yield oddvalues.replaced(good, path, text)


def put_all(site, rows):
    site.store.transact((), tuple(contract.Put(key, value) for key, value in rows))


async def _serve(site):
    statuses = []
    for number, node in enumerate(site.nodes):
        for path in ("/tag/1", "/draft/1", "/list/1"):
            client = await node.request(path, request_id=f"{path}{number}", more=site_module.USAGE)
            statuses.append((await client.answer())[0])
    return statuses


def _all_alive(site):
    has_ended = any(task.done() for node in site.nodes for task in node._tasks)
    return not has_ended and all(node.instance.is_ready() for node in site.nodes)


def test_odd_rows_in_all_tables_at_the_start_and_later_end_no_instance():
    """The list has 1,800 further entries, and engines have two versions."""
    good = json.loads(site_module.server_row(test_clusterstate.Server, "idle", "a"))

    async def main():
        site = site_module.Site(nodes=3, engines=3, events=4)
        try:
            idle = ((f"servers/idle-{number}", json.dumps(good)) for number in range(1800))
            put_all(site, (*odd_rows(Replicas, Evacuations, Quarantine, Versions), *idle))
            await site.start()
            put_all(site, odd_rows(Members))
            shared = site.store.scan("instances/")
            listed = registry.Registry(site.store).list()
            for node in site.nodes:
                node.instance.on_rows(shared)
                node.instance.on_instance_list(listed)
            await asyncio.sleep(0.5)
            first = await _serve(site)
            engine = site.engines[0]
            other = site_module.server_row(engine, "llm", "a", version="\u00e9" * 100)
            before = site.store.snapshot("servers").version
            put_all(site, ((f"{key}-again", value) for key, value in odd_rows(Replicas)))
            site.put(f"servers/{engine.replica_id}", other)
            site.put("op/config", json.dumps(site_module.manifest(2**70)))
            changes = site.store.changes("servers", before, 0.0)
            for node in site.nodes:
                node.instance.on_store_outcome("servers", changes)
                node.instance.on_store_outcome("op", site.store.snapshot("op"))
            second = await _serve(site)
            site.put("op/config", json.dumps(site_module.manifest(2)))
            site.leave(1)
            leaving = site.engines[1].replica_id
            await asyncio.sleep(1.0)
            third = await _serve(site)
            for node in site.nodes:
                state = node.instance.cluster_state
                assert state.versions().configuration == 2
                assert not node.instance._replicas.is_usable(leaving)
                assert node.instance._replicas.by_name(engine.replica_id).version == "\u00e9" * 100
            return first + second + third, _all_alive(site)
        finally:
            await site.stop()

    statuses, are_alive = eventloop.run(main())
    assert statuses == [200] * 27
    assert are_alive
