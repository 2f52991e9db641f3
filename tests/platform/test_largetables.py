"""Tables that are larger than one response of the store."""

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.platform import storeclient
from hornbeamglade.standins import platform as platformstandin
from hornbeamglade.store import contract, memory, positions

TABLE = "servers"
PAGE_ROWS = 3
NAMES = "abcdefgh"


def key(name):
    return f"{TABLE}/{name}"


class InterruptedPlatform(memory.MemoryPlatform):
    """Calls functions between the responses to two reads of a page."""

    def __init__(self):
        super().__init__(clocks.SystemClock(), shared_version_counter=True)
        self.after_page_by_number = {}
        self.reads = 0

    def snapshot(self, table):
        self.after_page_by_number.get(self.reads, lambda: None)()
        self.reads += 1
        return super().snapshot(table)


class Store:
    """A stand-in store with small pages, and a client of it."""

    def __init__(self, page_rows=PAGE_ROWS):
        self.platform = InterruptedPlatform()
        self._server = platformstandin.serve("127.0.0.1:0", self.platform, page_rows)
        self._server.start()
        self.client = storeclient.StoreClient(self._server.address)
        for name in NAMES:
            self.put(name, "0")

    def put(self, name, value):
        self.platform.transact((), (contract.Put(key(name), value),))

    def delete(self, name):
        self.platform.transact((), (contract.Delete(key(name)),))

    def content(self):
        table = memory.MemoryPlatform.snapshot(self.platform, TABLE)
        return {row.key: row.value for row in table.rows}

    def read(self):
        outcome = self.client.snapshot(TABLE)
        assert isinstance(outcome, contract.Snapshot)
        return {row.key: row.value for row in outcome.rows}, positions.version(outcome.version)

    def stop(self):
        self._server.stop()


@pytest.fixture
def start():
    started = []

    def start_store(*arguments):
        started.append(Store(*arguments))
        return started[-1]

    yield start_store
    for each in started:
        each.stop()


@pytest.mark.parametrize("page_rows", [1, 3, 7, 8, 500])
def test_table_is_read_whole(start, page_rows):
    store = start(page_rows)
    assert store.read() == (store.content(), store.platform.revision)
    assert len(store.content()) == len(NAMES)


@pytest.mark.parametrize("after_page", [1, 2])
def test_changes_between_pages_are_applied(start, after_page):
    """Pages of several moments were no content that the table ever had."""
    store = start()

    def change():
        store.delete("a")  # in the first page
        store.delete("h")  # in the last page
        store.delete("c")  # the last row of the first page, where the second begins
        store.put("b", "1")
        store.put("g", "1")
        store.put("aa", "1")
        store.put("z", "1")

    store.platform.after_page_by_number[after_page] = change
    content, version = store.read()
    assert (content, version) == (store.content(), store.platform.revision)
    assert content[key("b")] == content[key("aa")] == content[key("z")] == "1"
    assert not {key("a"), key("c"), key("h")} & content.keys()


def test_row_that_moves_into_the_part_already_read_is_not_lost(start):
    store = start()

    def move():
        store.delete("g")
        store.put("bb", "moved")

    store.platform.after_page_by_number[1] = move
    assert store.read()[0] == store.content()


def test_changes_of_other_tables_between_pages_do_not_matter(start):
    store = start()
    other = contract.Put("instances/x", "1")
    store.platform.after_page_by_number[1] = lambda: store.platform.transact((), (other,))
    assert store.read() == (store.content(), store.platform.revision)


def test_table_that_changes_after_each_page_is_read_all_the_same(start):
    """Reading again until all pages agree would never end."""
    store = start()
    for number in range(1, 20):
        store.platform.after_page_by_number[number] = lambda: store.put("a", "again")
    assert store.read()[0] == store.content()
    assert store.platform.reads == 3


@pytest.mark.parametrize("after_page", [1, 2])
def test_read_fails_if_the_history_is_dropped_between_pages(start, after_page):
    store = start()

    def drop():
        store.put("a", "1")
        store.platform.forget_history()

    store.platform.after_page_by_number[after_page] = drop
    assert isinstance(store.client.snapshot(TABLE), contract.Unavailable)
    assert store.read()[0] == store.content()


def test_read_fails_if_the_store_is_restored_between_pages(start):
    store = start()
    backup = store.platform.backup()
    store.put("a", "1")
    store.platform.after_page_by_number[1] = lambda: store.platform.restore(backup)
    assert isinstance(store.client.snapshot(TABLE), contract.Unavailable)
    assert store.read()[0] == store.content()


def test_large_rows_make_a_page_shorter_than_asked_for(start):
    """Seventeen rows of another writer kept every instance that started from becoming ready."""
    store = start(500)
    for number in range(40):
        store.put(f"large-{number}", "x" * 65_536)
    assert store.read()[0] == store.content()
    assert store.platform.reads > 2


def test_list_of_the_target_size_is_read(start):
    store = start(500)
    for number in range(1800):
        store.put(f"i-{number:04}", "{}")
    content, _ = store.read()
    assert len(content) == 1800 + len(NAMES)
    assert store.platform.reads == 4


@pytest.mark.parametrize("read", ["snapshot", "scan"])
def test_truncated_page_without_rows_ends_the_read(start, read):
    """A read went on for ever, or ended as if the table were read."""
    store = start(0)
    argument = TABLE if read == "snapshot" else f"{TABLE}/"
    assert isinstance(getattr(store.client, read)(argument), contract.Unavailable)


def test_scan_reads_all_rows_unless_it_is_limited(start):
    """More than a thousand rows of other kinds hid instances from the list."""
    store = start(500)
    for number in range(1100):
        store.put(f"i-{number:04}", "{}")
    assert len(store.client.scan(f"{TABLE}/")) == 1100 + len(NAMES)
    assert len(store.client.scan(f"{TABLE}/", 700)) == 700
