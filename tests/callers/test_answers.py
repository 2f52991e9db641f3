import json

import hypothesis
import pytest
from hypothesis import strategies as st

from hornbeamglade.callers import answers, generationcalls
from hornbeamglade.core import codederrors

SETTINGS = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=150)
LEAF = st.none() | st.integers() | st.text(max_size=4)
JSON = st.recursive(
    LEAF,
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(["choices", "usage", "delta", "content", "text", "finish_reason"]),
            inner,
            max_size=3,
        )
    ),
)
EVENT = JSON.map(lambda each: b"data: " + json.dumps(each).encode()) | st.binary(max_size=12)


def token(text):
    return b"data: " + json.dumps({"id": "g", "choices": [{"delta": {"content": text}}]}).encode()


def test_a_chat_response_contains_every_token_and_the_usage():
    usage = {"prompt_tokens": 3, "completion_tokens": 2}
    end = {"choices": [{"delta": {}, "finish_reason": "length"}], "usage": usage}
    events = [token("za "), token("żółw"), b"data: " + json.dumps(end).encode()]
    answer = json.loads(answers.assemble(generationcalls.CHAT_PATH, events))
    choice = answer["choices"][0]
    assert choice["message"] == {"role": "assistant", "content": "za żółw"}
    assert choice["finish_reason"] == "length"
    assert answer["usage"]["total_tokens"] == 5


@SETTINGS
@hypothesis.given(
    st.sampled_from([generationcalls.CHAT_PATH, generationcalls.COMPLETIONS_PATH]),
    st.lists(EVENT, max_size=3),
)
def test_any_events_give_an_answer_or_one_coded_error(path, events):
    try:
        json.loads(answers.assemble(path, events))
    except codederrors.CodedError as error:
        assert error.code == "answer_malformed"


@pytest.mark.parametrize("event", [b"data: 5", b"data: {", b'data: {"choices":[7]}'])
def test_an_event_that_is_not_a_chunk_is_never_omitted(event):
    """An engine sends one malformed event in the middle of a text.

    If it were omitted, the caller would get a text with a gap and no error.
    """
    with pytest.raises(codederrors.CodedError, match="answer_malformed"):
        answers.assemble(generationcalls.CHAT_PATH, [token("a"), event, token("b")])
