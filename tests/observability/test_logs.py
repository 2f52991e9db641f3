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


def _discard_buffered_lines():
    writer = logs.LogWriter(io.StringIO(), "none")
    writer.start()
    writer.stop()


@pytest.fixture
def lines():
    _discard_buffered_lines()
    stream = io.StringIO()
    writer = logs.LogWriter(stream, "entry-1")
    writer.start()

    def read():
        writer.stop()
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    yield read
    writer.stop()


def test_a_state_change_is_one_json_line(lines):
    logs.state_changed("config", "12", "13", revision=13, change_id="c-1")
    (line,) = lines()
    assert (line["subject"], line["before"], line["after"]) == ("config", "12", "13")
    assert (line["revision"], line["change_id"], line["logged_by"]) == (13, "c-1", "entry-1")


def test_equal_states_write_no_line(lines):
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
    # Guards against a citizen's letter or a team's key in the log store: the text
    # of an error quotes the request's body and is passed as a field of a state change.
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
    # Guards against a healthy node that stops its heartbeats and is replaced: the
    # reader of its log has stalled, the pipe is full, and the thread that logs a
    # state change blocks in write().
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


def test_lines_about_requests_are_rate_limited_and_drops_are_reported(monkeypatch):
    """Under overload each request writes its lines.

    Without a limit, logging costs more than serving. With a limit that is not reported, an
    operator takes missing lines for a request that never arrived.
    """
    _discard_buffered_lines()
    clock = clocks.ManualClock(50.0)
    monkeypatch.setattr(logs.time, "monotonic", clock.now)
    stream = io.StringIO()
    writer, drops = _counted_writer(stream, logbudget.LineRateLimiter(per_s=1.0, burst=3.0))
    writer.start()
    for number in range(10):
        logs.decided(f"r{number}", "answer", "answered")
    logs.state_changed("node", "a", "b")
    clock.advance(logs.GAP_REPORT_INTERVAL_S)
    logs.decided("late", "answer", "answered")
    writer.stop()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    gap_lines = [line for line in lines if line.get("subject") == "log"]
    logged_ids = [line["request_id"] for line in lines if "request_id" in line]
    assert logged_ids == ["r0", "r1", "r2", "late"]
    assert sum(line["count"] for line in gap_lines) == drops.value() == 7
    assert any(line.get("subject") == "node" for line in lines)


def _imported(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]


def test_only_the_logs_module_writes_log_lines():
    # A log line per token would cost more than relaying the token: all lines go
    # through the one module that logs only decisions and state changes.
    root = pathlib.Path(hornbeamglade.__file__).parent
    users = [path.name for path in root.rglob("*.py") if "eliot" in set(_imported(path))]
    assert users == ["logs.py"]


def test_relaying_tokens_writes_no_line(lines):
    node = metrics.NodeMetrics()
    times = node.stream_times("draft", started=0.0)
    for number in range(200):
        times.token(number * 0.026)
    node.stream_finished("draft", times, now=9.0)
    assert lines() == []
