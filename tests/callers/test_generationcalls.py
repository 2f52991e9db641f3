import json

import hypothesis
import pytest
from hypothesis import strategies as st

from hornbeamglade.callers import generationcalls
from hornbeamglade.core import outcomes

SETTINGS = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=150)
PATHS = st.sampled_from([generationcalls.CHAT_PATH, generationcalls.COMPLETIONS_PATH])
TEXT = st.text(st.characters(exclude_categories=()), max_size=8)
LEAF = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), TEXT, st.just(10**400))
JSON = st.recursive(
    LEAF, lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3)
)
MESSAGE = st.fixed_dictionaries({"role": TEXT}, optional={"content": JSON, "name": JSON})
KNOWN = {
    "model": TEXT | JSON,
    "prompt": TEXT | JSON,
    "messages": st.lists(MESSAGE | JSON, max_size=2) | JSON,
    "stream": st.booleans() | JSON,
    "max_tokens": st.integers(0, 10**12) | JSON,
    "max_completion_tokens": JSON,
    "n": JSON,
    "stream_options": JSON,
    "model_config": JSON,
}


def check(path, body):
    call = generationcalls.parse(path, body)
    if isinstance(call, outcomes.Refusal):
        assert call.http_status == 400
        assert call.run is outcomes.RunStatus.NOT_RUN
        return
    sent = json.loads(call.body, parse_constant=lambda name: pytest.fail(f"{name} was sent"))
    assert sent["stream"] is True
    assert call.prompt_tokens >= 1
    assert call.max_tokens is None or 1 <= call.max_tokens < 2**31


@SETTINGS
@hypothesis.given(PATHS, st.fixed_dictionaries({}, optional=KNOWN))
def test_any_json_gives_a_call_or_a_refusal(path, document):
    check(path, json.dumps(document).encode())


@SETTINGS
@hypothesis.given(PATHS, st.binary(max_size=60) | JSON.map(lambda each: json.dumps(each).encode()))
def test_any_bytes_give_a_call_or_a_refusal(path, body):
    check(path, body)


@pytest.mark.parametrize("brackets", [(b"[", b"]"), (b'{"a":', b"}")])
def test_deep_nesting_gives_a_call_or_a_refusal(brackets):
    """A caller sends a body that is nested almost as deeply as the interpreter allows.

    It can be decoded but not encoded for the engine, and the caller would get an
    internal error with "unknown" for a request that was never sent.
    """
    opening, closing = brackets
    for depth in (90, *range(700, 1000), 100_000):
        deep = opening * depth + b"1" + closing * depth
        check(generationcalls.COMPLETIONS_PATH, b'{"model":"m","prompt":"p","x":' + deep + b"}")


@pytest.mark.parametrize("name", ["NaN", "Infinity", "-Infinity"])
def test_numbers_that_are_not_json_are_refused(name):
    """Python's decoder accepts NaN and its encoder forwards it; a strict engine rejects it."""
    body = f'{{"model":"m","prompt":"p","temperature":{name}}}'.encode()
    assert generationcalls.parse(generationcalls.COMPLETIONS_PATH, body).code == "body_not_json"


def test_a_token_limit_out_of_range_is_refused():
    """One request with a limit of 400 digits raised a team's demand beyond the range of floats."""
    body = b'{"model":"m","prompt":"p","max_tokens":' + b"9" * 400 + b"}"
    assert generationcalls.parse(generationcalls.COMPLETIONS_PATH, body).code == "body_invalid"
