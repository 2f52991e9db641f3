"""Assembles a complete response from an engine's events, for callers that do not stream."""

import json
from typing import Any

from hornbeamglade.callers import generationcalls
from hornbeamglade.core import codederrors

DATA_PREFIX = b"data: "


def assemble(path: str, events: list[bytes]) -> bytes:
    """Join the chunks of one generation into one JSON response.

    :param path: the API path, which determines the format of the response.
    :param events: raw ``data:`` lines in order, without ``[DONE]``.
    :raises CodedError: ``answer_malformed`` if an event is not a chunk; if it
        were omitted, the caller would take a text with a gap for a complete one.
    """
    try:
        return _assemble_chunks(path == generationcalls.CHAT_PATH, events)
    except (ValueError, LookupError, TypeError, AttributeError, RecursionError) as error:
        detail = f"an event of the engine is not a chunk: {error!r}"
        raise codederrors.CodedError("answer_malformed", detail) from error


def _assemble_chunks(is_chat: bool, events: list[bytes]) -> bytes:
    chunks = [json.loads(event[len(DATA_PREFIX) :]) for event in events]
    text = "".join(_chunk_text(chunk, is_chat) for chunk in chunks)
    response = {
        "id": chunks[0].get("id", ""),
        "object": "chat.completion" if is_chat else "text_completion",
        "created": chunks[0].get("created", 0),
        "model": chunks[0].get("model", ""),
        "choices": [_choice(text, _finish_reason(chunks), is_chat)],
        "usage": _usage(chunks),
    }
    return json.dumps(response).encode()


def _chunk_text(chunk: dict[str, Any], is_chat: bool) -> str:
    choices = chunk.get("choices") or [{}]
    if is_chat:
        return (choices[0].get("delta") or {}).get("content") or ""
    return choices[0].get("text") or ""


def _choice(text: str, finish_reason: str, is_chat: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
    if is_chat:
        return choice | {"message": {"role": "assistant", "content": text}}
    return choice | {"text": text}


def _finish_reason(chunks: list[dict[str, Any]]) -> str:
    reasons = [
        choice["finish_reason"]
        for chunk in chunks
        for choice in chunk.get("choices") or []
        if choice.get("finish_reason")
    ]
    return reasons[-1] if reasons else "stop"


def _usage(chunks: list[dict[str, Any]]) -> dict[str, int]:
    for chunk in reversed(chunks):
        usage = chunk.get("usage")
        if usage:
            prompt = int(usage.get("prompt_tokens", 0))
            completion = int(usage.get("completion_tokens", 0))
            return {
                "prompt_tokens": prompt,
                "completion_tokens": completion,
                "total_tokens": prompt + completion,
            }
    return {"prompt_tokens": 0, "completion_tokens": 0, "total_tokens": 0}
