import ast
import io
import json
import pathlib
import threading

import pytest

import hornbeamglade
from hornbeamglade.core import clocks
from hornbeamglade.observability import logbudget, logs, metrics, metricsinstruments

_KEY = "sk-lakeside-6f2a"
_PROMPT = "Dear Mrs Nowak, your court notice"


def _discard_lines_kept_from_before():
    writer = logs.LogWriter(io.StringIO(), "none")
    writer.start()
    writer.stop()


@pytest.fixture
def lines():
    _discard_lines_kept_from_before()
    stream = io.StringIO()
    writer = logs.LogWriter(stream, "entry-1")
    writer.start()

    def read():
        writer.stop()
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    yield read
    writer.stop()


def test_a_change_of_state_is_one_json_line(lines):
    logs.state_changed("config", "12", "13", revision=13, change_id="c-1")
    (line,) = lines()
    assert (line["subject"], line["before"], line["after"]) == ("config", "12", "13")
    assert (line["revision"], line["change_id"], line["logged_by"]) == (13, "c-1", "entry-1")


def test_no_change_is_no_line(lines):
    assert not logs.state_changed("config", "13", "13", revision=13)
    assert lines() == []


@pytest.mark.parametrize(
    "fields",
    [
        {"authorization": f"Bearer {_KEY}"},
        {"key": _KEY},
        {"prompt": _PROMPT},
        {"body": {"prompt": _PROMPT, "key": _KEY}},
        {"reason": f"cannot parse {_PROMPT} of {_KEY}"},
        {"team": [_PROMPT, _KEY]},
        {"reason": "Nowak" * 100},
    ],
)
def test_keys_prompts_and_bodies_are_never_logged(lines, fields):
    # An operator searches the log store and finds a citizen's letter beside a
    # team's key: an error's text quoted the request's body, and someone passed
    # it on as a field of a state change.
    logs.state_changed("replica", "serving", f"bad {_PROMPT}", **fields)
    (line,) = lines()
    text = json.dumps(line)
    assert _KEY not in text
    assert "Nowak" not in text
    assert line["after"] == logs.WITHHELD


class _StalledStream(io.StringIO):
    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(30)
        return super().write(text)


def test_a_stalled_log_reader_blocks_no_state_change():
    # A node stops its heartbeats and is replaced though it is healthy: whatever
    # reads its log has stalled, the pipe is full, and the thread that reported
    # a change of state waits in write().
    stream = _StalledStream()
    drops = metricsinstruments.Counter("drops_total", "Drops.")
    changes = metricsinstruments.Counter("changes_total", "Changes.", ("subject",))
    writer = logs.LogWriter(stream, "entry-1", changes, drops)
    writer.start()
    reporter = threading.Thread(
        target=lambda: [
            logs.state_changed("node", "a", str(number))
            for number in range(logs.MAX_QUEUED_LINES + 10)
        ],
        daemon=True,
    )
    reporter.start()
    reporter.join(10)
    blocked = reporter.is_alive()
    stream.released.set()
    writer.stop()
    assert not blocked
    assert drops.value() > 0
    assert changes.value(("node",)) == logs.MAX_QUEUED_LINES + 10


def _counted_writer(stream, budget):
    drops = metricsinstruments.Counter("drops_total", "Drops.")
    return logs.LogWriter(stream, "entry-1", None, drops, budget), drops


def test_lines_on_requests_are_bounded_and_the_missing_ones_are_told(monkeypatch):
    """A crowd comes, and each request writes its lines.

    Unbounded, they cost more than the answers. Bounded without a word, an operator looks
    for a request's lines and takes their absence for a request that never came.
    """
    _discard_lines_kept_from_before()
    clock = clocks.ManualClock(50.0)
    monkeypatch.setattr(logs.time, "monotonic", clock.now)
    stream = io.StringIO()
    writer, drops = _counted_writer(stream, logbudget.LineRateLimiter(per_s=1.0, burst=3.0))
    writer.start()
    for number in range(10):
        logs.decided(f"r{number}", "answer", "answered")
    logs.state_changed("node", "a", "b")
    clock.advance(logs.TELL_GAPS_S)
    logs.decided("late", "answer", "answered")
    writer.stop()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    told = [line for line in lines if line.get("subject") == "log"]
    written = [line["request_id"] for line in lines if "request_id" in line]
    assert written == ["r0", "r1", "r2", "late"]
    assert sum(line["count"] for line in told) == drops.value() == 7
    assert any(line.get("subject") == "node" for line in lines)


def _imported(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]


def test_only_the_logs_module_writes_log_lines():
    # Lines per token would cost more than carrying the token does: all lines go
    # through the one module that writes changes of state alone.
    root = pathlib.Path(hornbeamglade.__file__).parent
    users = [path.name for path in root.rglob("*.py") if "eliot" in set(_imported(path))]
    assert users == ["logs.py"]


def test_carrying_tokens_writes_no_line(lines):
    node = metrics.NodeMetrics()
    times = node.stream_times("draft", started=0.0)
    for number in range(200):
        times.token(number * 0.026)
    node.stream_finished("draft", times, now=9.0)
    assert lines() == []
