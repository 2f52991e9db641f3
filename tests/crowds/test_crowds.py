"""Entry instances as processes, under crowds of callers that do not behave.

An instance has to stay within the memory and the descriptors of its machine, which are small here,
and has to respond to an ordinary caller during the crowd and afterwards.
"""

import contextlib
import dataclasses
import pathlib
import resource
import signal
import threading
import time

import pytest

from hornbeamglade.bench import loadprocesses
from hornbeamglade.localsite import routedsite, tcpproxy
from hornbeamglade.soak import faultyentry
from hornbeamglade.standins import crowds, routedcaller

MEMORY_MB = 120
DESCRIPTORS = 300
MANY_DESCRIPTORS = 2_400
RESERVED_DESCRIPTORS = 32
"""Descriptors that no crowd of callers may occupy."""

KEY = "clinic-0"
SAMPLE_S = 0.02
LOG_BYTES = 20_000
LARGE_BYTES = 1_000_000
SLOW_S = 8.0
EXIT_S = 60.0
WAVES = 12
WAVE_S = 0.6
DIRECTORY = "/v1/resolve?name=mail.example&region=r&zone=a"
READINESS = routedcaller.READY_PATH


@contextlib.contextmanager
def descriptor_limit(descriptors):
    """Limit the descriptors of the processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@dataclasses.dataclass
class Usage:
    """What one process uses, sampled while it is watched."""

    child: loadprocesses.Child
    descriptors: int = 0

    def sample(self):
        with contextlib.suppress(FileNotFoundError, PermissionError):
            count = sum(1 for _ in pathlib.Path(f"/proc/{self.child.pid}/fd").iterdir())
            self.descriptors = max(self.descriptors, count)

    def peak_mb(self):
        return self.child.peak_resident_bytes() / 1_000_000


class Site:
    """A small site whose first instance meets the crowd."""

    def __init__(self, folder, instances=1, descriptors=DESCRIPTORS, memory_mb=MEMORY_MB, **more):
        self.descriptors = descriptors
        shape = routedsite.Shape(
            instances=instances,
            engines=1,
            services=2,
            events=5,
            entry_module=("hornbeamglade.soak.faultyentry",),
            memory_mb=memory_mb,
            **more,
        )
        self.site = routedsite.RoutedSite(shape, folder)
        self.folder = folder

    def __enter__(self):
        self.site.__enter__()
        self.start()
        return self

    def __exit__(self, *exception):
        self.site.__exit__(*exception)

    def start(self):
        self.site.configure({"clinic": [KEY]})
        with descriptor_limit(self.descriptors):
            self.site.start_instances()
        self.usages = [Usage(self.site.child_by_name[name]) for name in self.site.instance_names]

    def address(self, kind="callers"):
        return self.site.settings("entry-0")["listen"][kind]

    def set_services(self, **faults):
        """Set the faults of the plain servers."""
        for place in ("service-0", "service-1"):
            self.site.faults(place, **faults)

    def partition(self):
        """Cut the first instance off from all backend servers, which others reach for it."""
        servers = self.site.server_by_place.values()
        lines = [tcpproxy.Partition.RESET.value, *(server.address for server in servers)]
        path = faultyentry.path_for(self.folder / "entry-0.yaml")
        path.write_text("\n".join(lines), encoding="ascii")
        # The instances may not know each other yet, and nobody relays until they do.
        loadprocesses.wait_until(
            lambda: self.ordinary().status == 200, "another instance to relay", (), EXIT_S
        )

    def ordinary(self, route="list"):
        """Send one ordinary request on a new connection."""
        caller = routedcaller.RoutedCaller(keep=False)
        return caller.send(self.address(), route, f"ordinary-{time.monotonic_ns()}", KEY)

    def press(self, crowd, kind="callers"):
        """Return the responses to an ordinary request beside a crowd, and to one afterwards."""
        with self.watched():
            with crowds.CrowdRun(crowd, self.address(kind)) as run:
                run.press()
                beside = self.ordinary()
            self.set_services()
            return beside, self.ordinary()

    @contextlib.contextmanager
    def watched(self):
        """Sample what the instances use."""
        is_over = threading.Event()

        def watch():
            while not is_over.wait(SAMPLE_S):
                for usage in self.usages:
                    usage.sample()

        watching = threading.Thread(target=watch)
        watching.start()
        try:
            yield
        finally:
            is_over.set()
            watching.join()

    def check(self):
        """Assert that all instances live within their limits and wrote only structured lines."""
        for name, usage in zip(self.site.instance_names, self.usages, strict=True):
            assert not self.site.child_by_name[name].ended()
            assert usage.peak_mb() < MEMORY_MB
            assert usage.descriptors <= self.descriptors - RESERVED_DESCRIPTORS
            assert "Traceback" not in self.site.child_by_name[name].log_tail()
            assert (self.folder / f"{name}.log").stat().st_size < LOG_BYTES

    def check_crowd(self, crowd, kind="callers"):
        """Assert that a crowd is borne and that ordinary callers get responses."""
        beside, afterwards = self.press(crowd, kind)
        self.check()
        assert beside.status is not None
        assert (afterwards.status, afterwards.is_whole) == (200, True)


CROWDS = {
    "ahead": crowds.RequestsAhead(KEY),
    "ahead_read": crowds.RequestsAheadRead(KEY),
    "unrouted": crowds.RequestsAhead(KEY, "/none/1"),
    "unrouted_read": crowds.RequestsAheadRead(KEY, "/none/1"),
    "without_key": crowds.RequestsAheadRead("none"),
    "streams_ahead": crowds.StreamsAhead(KEY),
    "empty_lines": crowds.EmptyLines(KEY),
    "endless_heads": crowds.EndlessHeads(KEY),
    "one_byte_chunks": crowds.OneByteChunks(KEY),
    "partial_bodies": crowds.PartialBodies(KEY),
    "idle": crowds.IdleConnections(KEY),
}
WAITING_CROWDS = {
    "many_fields": crowds.ManyFields(KEY),
    "small_bodies": crowds.SmallBodies(KEY),
}
CONTROL_CROWDS = {
    "ahead": crowds.RequestsAhead,
    "ahead_read": crowds.RequestsAheadRead,
}


@pytest.fixture
def site(tmp_path):
    with Site(tmp_path) as running:
        yield running


@pytest.mark.parametrize("name", CROWDS)
def test_crowd_is_borne(name, site):
    """An instance was killed for want of memory, or served one connection and no other."""
    site.check_crowd(CROWDS[name])


@pytest.mark.parametrize("name", WAITING_CROWDS)
def test_crowd_that_waits_at_replicas_is_borne(name, tmp_path):
    """What waiting requests hold was counted by the length of large bodies only."""
    with Site(tmp_path, descriptors=MANY_DESCRIPTORS) as site:
        site.set_services(delay_s=SLOW_S)
        site.check_crowd(WAITING_CROWDS[name])


def test_crowd_with_large_responses_is_borne(tmp_path):
    """Responses that nobody reads filled the memory."""
    with Site(tmp_path, descriptors=MANY_DESCRIPTORS) as site:
        site.set_services(response_bytes=LARGE_BYTES)
        site.check_crowd(crowds.LargeResponses(KEY))


def test_crowd_that_sends_requests_for_large_responses_again_is_borne(tmp_path):
    """Closed connections kept their responses until they were collected as garbage."""
    with Site(tmp_path, descriptors=MANY_DESCRIPTORS) as site:
        site.set_services(response_bytes=LARGE_BYTES)
        site.check_crowd(crowds.LargeResponsesAhead(KEY))


@pytest.mark.parametrize("is_unframed", [False, True])
def test_crowd_with_large_bodies_and_large_responses_is_borne(is_unframed, tmp_path):
    """Bodies took the room that their own responses need, and both together the memory."""
    large = {"memory_mb": 150, "max_body_bytes": 4_000_000, "descriptors": MANY_DESCRIPTORS}
    with Site(tmp_path, **large) as site:
        site.set_services(response_bytes=16_700_000, unframed=is_unframed)
        site.check_crowd(crowds.LargeBodies(KEY))


@pytest.mark.parametrize("part", ["body", "chunks", "field_value", "interim"])
def test_callers_of_replicas_that_send_without_end_are_borne(part, tmp_path):
    """Bodies without a stated length were read at the same time, each up to its limit."""
    with Site(tmp_path, descriptors=MANY_DESCRIPTORS) as site:
        site.set_services(endless=part)
        site.check_crowd(crowds.LargeResponses(KEY))


def test_waves_of_callers_of_replicas_that_send_without_end_are_borne(tmp_path):
    """Bodies that grew beside each other left the heap fragmented, so that its size added up."""
    with Site(tmp_path, descriptors=MANY_DESCRIPTORS) as site:
        with site.watched():
            for _ in range(WAVES):
                site.set_services(endless="body")
                with crowds.CrowdRun(crowds.LargeResponses(KEY), site.address()) as run:
                    run.press()
                    time.sleep(WAVE_S)
        site.check()
        site.set_services()
        afterwards = site.ordinary()
    assert (afterwards.status, afterwards.is_whole) == (200, True)


def test_callers_of_replicas_that_send_without_end_are_borne_at_a_relayed_instance(tmp_path):
    """What another instance relays is held like what arrives directly."""
    with Site(tmp_path, instances=2, descriptors=MANY_DESCRIPTORS) as site:
        site.partition()
        site.set_services(endless="body")
        site.check_crowd(crowds.LargeResponses(KEY))


@pytest.mark.parametrize(
    ("kind", "target"),
    [
        ("directory", DIRECTORY),
        ("readiness", READINESS),
        ("control", "/status"),
        ("control", "/metrics"),
    ],
)
@pytest.mark.parametrize("name", CONTROL_CROWDS)
def test_crowd_at_another_address_is_borne(name, kind, target, site):
    """A crowd at the directory or the operators' addresses stopped the callers' requests."""
    site.check_crowd(CONTROL_CROWDS[name](KEY, target), kind)


@pytest.mark.parametrize("kind", ["directory", "readiness", "control"])
def test_idle_connections_at_another_address_are_borne(kind, site):
    """Connections to one address occupied the descriptors of all others."""
    site.check_crowd(crowds.IdleConnections(KEY), kind)


@pytest.mark.parametrize("name", ["ahead", "streams_ahead"])
def test_second_crowd_is_borne(name, site):
    """What the first crowd had left behind added to what the second one held."""
    for _ in range(2):
        site.check_crowd(CROWDS[name])


@pytest.mark.parametrize("name", ["ahead", "unrouted", "idle"])
def test_crowd_while_the_store_is_away_is_borne(name, site):
    """Without the store nothing else may depend on how callers behave either."""
    site.site.faults("store", down=True)
    site.check_crowd(CROWDS[name])


def test_crowd_at_a_relayed_instance_is_borne(tmp_path):
    """An instance that relays holds what the callers of another one send."""
    with Site(tmp_path, instances=2) as site:
        site.partition()
        site.check_crowd(crowds.RequestsAhead(KEY))


@pytest.mark.parametrize("name", ["ahead", "unrouted", "streams_ahead", "idle"])
def test_crowd_does_not_hold_up_a_stop(name, site):
    """A stop neither waits for a crowd beyond its limit nor truncates what was accepted."""
    site.set_services(delay_s=1.0)
    accepted = []
    with crowds.CrowdRun(CROWDS[name], site.address()) as run, site.watched():
        run.press()
        asking = threading.Thread(target=lambda: accepted.append(site.ordinary()))
        asking.start()
        loadprocesses.wait_until(
            lambda: any(each["request_id"].startswith("ordinary") for each in site.site.ledger()),
            "the ordinary request to run",
            (),
            EXIT_S,
        )
        site.check()
        child = site.site.child_by_name["entry-0"]
        child.send(signal.SIGTERM)
        loadprocesses.wait_until(child.ended, "the instance to stop", (), EXIT_S)
        asking.join()
    assert child.exit_code == 0
    assert [each.status for each in accepted] == [200]
