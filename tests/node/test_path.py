"""The complete request path through separate processes, as callers see it."""

import json

import openai
import pytest

from hornbeamglade.localsite import localsite


@pytest.fixture
def client(site):
    return openai.OpenAI(
        base_url=f"http://{site.address_by_name['entry-1']}/v1",
        api_key=localsite.TEAM_KEY,
        max_retries=0,
    )


def _messages(text):
    return [{"role": "user", "content": text}]


def test_complete_response_through_each_node(site):
    for number in range(3):
        response = site.caller(number).generate(f"letter {number}", 7)
        assert response.status == 200
        words = response.text.split()
        assert [word.split(".")[1] for word in words] == [str(n) for n in range(7)]
        assert len({word.split(".")[0] for word in words}) == 1


def test_streamed_response(site):
    response = site.caller(1).stream("letter", 9)
    response.read_all()
    assert len(response.texts) == 9
    assert response.is_done
    assert response.error is None


def test_openai_client_complete_response(client):
    answer = client.chat.completions.create(
        model="draft", messages=_messages("hi"), extra_body={"x_answer_tokens": 4}
    )
    assert len(answer.choices[0].message.content.split()) == 4
    assert answer.usage.completion_tokens == 4


def test_openai_client_streams(client):
    stream = client.chat.completions.create(
        model="draft", messages=_messages("hi"), stream=True, extra_body={"x_answer_tokens": 6}
    )
    texts = [chunk.choices[0].delta.content for chunk in stream]
    assert len([text for text in texts if text]) == 6


def test_openai_client_sees_coded_error(client):
    with pytest.raises(openai.NotFoundError) as caught:
        client.completions.create(model="nobody", prompt="hi")
    assert caught.value.code == "model_unknown"


def test_openai_client_lists_models(client):
    assert [model.id for model in client.models.list()] == ["draft", "reply"]


def test_disconnected_caller_cancels_at_the_engine(client, site):
    """A caller disconnects in the middle of a long generation.

    The engine must not continue it: other requests wait for its memory.
    """
    stream = client.chat.completions.create(
        model="draft", messages=_messages("x"), stream=True, extra_body={"x_answer_tokens": 5000}
    )
    next(iter(stream))
    stream.close()
    engines = ("engine-0", "engine-1")
    site.wait_until(
        lambda: any(
            run["state"] == "cancelled"
            for engine in engines
            for run in site.ledger(engine)["runs"]
        ),
        "the engine to cancel",
    )


def test_plain_call_keeps_method_path_query_and_body(site):
    response = site.caller(2).call("PUT", "/services/codes/gate/7?door=a", b'{"x": 1}')
    assert response.status == 200
    assert response.json()["method"] == "PUT"
    assert response.json()["path"].startswith("/gate/7")


def test_claimed_call_is_run_once_and_its_response_replayed_at_another_node(site):
    headers = {"Idempotency-Key": "unit-12"}
    first = site.caller(0).call("POST", "/services/holds/units", b'{"unit": 12}', headers)
    again = site.caller(1).call("POST", "/services/holds/units", b'{"unit": 12}', headers)
    assert (first.status, again.status) == (200, 200)
    assert first.json() == again.json()
    assert again.headers["idempotent-replayed"] == "true"


def test_key_of_another_request_is_refused(site):
    headers = {"Idempotency-Key": "unit-13"}
    site.caller(0).call("POST", "/services/holds/units", b'{"unit": 13}', headers)
    other = site.caller(1).call("POST", "/services/holds/units", b'{"unit": 14}', headers)
    assert (other.status, other.code) == (422, "idempotency_key_reused")


def test_generation_that_is_not_repeatable_is_generated_once(site):
    first = site.caller(0).generate("dear citizen", 5, key="thread-1", model="reply")
    again = site.caller(2).generate("dear citizen", 5, key="thread-1", model="reply")
    assert first.text == again.text


def test_addresses_list_the_live_nodes(site):
    response = site.caller(0).call("GET", "/v1/addresses")
    addresses = response.json()["addresses"]
    assert set(addresses) <= {site.address_by_name[f"entry-{n}"] for n in range(3)}
    assert len(addresses) == 3
    assert response.headers["cache-control"] == "max-age=1"


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "code"),
    [
        ("POST", "/v1/chat/completions", b"{", 400, "body_not_json"),
        ("POST", "/v1/chat/completions", b"[]", 400, "body_invalid"),
        ("POST", "/v1/chat/completions", b'{"model": 3, "messages": []}', 400, "body_invalid"),
        ("POST", "/v1/completions", b'{"model": "nobody", "prompt": ""}', 404, "model_unknown"),
        ("GET", "/v1/completions", None, 405, "method_not_allowed"),
        ("GET", "/services/nothing/x", None, 404, "service_unknown"),
        ("GET", "/services/drafts/x", None, 404, "service_not_plain"),
        ("GET", "/elsewhere", None, 404, "path_unknown"),
        ("POST", "/v1/completions", b"x" * 1_048_577, 413, "body_too_large"),
    ],
)
def test_bad_input_gets_a_coded_error(site, method, path, body, status, code):
    response = site.caller(0).call(method, path, body)
    assert (response.status, response.code, response.run) == (status, code, "not_run")


def test_wrong_key_is_refused(site):
    response = site.caller(0, key="somebody's").generate("hi", 3)
    assert (response.status, response.code) == (401, "key_unknown")


def test_too_long_prompt_is_refused(site):
    response = site.caller(0).generate("x" * 140_000, 3)
    assert (response.status, response.code) == (413, "prompt_too_long")


def test_metrics_are_exposed(site):
    assert site.caller(0).generate("letter", 3).status == 200
    response = site.caller(0).call("GET", "/metrics")
    assert b"hornbeamglade_time_to_first_token_seconds_bucket" in response.body


def test_status_shows_the_revision(site):
    assert json.loads(site.caller(0).call("GET", "/status").body)["config_revision"] == 1
