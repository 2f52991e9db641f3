"""Responses of a stand-in engine: their lengths, tokens and encoded events.

Explanation
===========

The text of a token contains the attempt that produced it and the token's offset, so that
a splice of two generations, a gap or a repetition is visible in the text that a caller gets.
"""

import dataclasses
import hashlib
import json
import random

import pydantic

from hornbeamglade.core import codederrors

KEEP_ALIVE = b": keep-alive\n\n"
CHAT_PATH = "/v1/chat/completions"
_MEDIAN_TOKENS = 100
_SIGMA = 1.0
_MAX_TOKENS = 4_000
_BYTES_PER_TOKEN = 4


class _Message(pydantic.BaseModel):
    content: str = ""


class _Body(pydantic.BaseModel):
    model: str
    stream: bool
    prompt: str = ""
    messages: tuple[_Message, ...] = ()
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    x_answer_tokens: int | None = pydantic.Field(default=None, ge=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """A parsed generation request and the true length of its response.

    :param chat: whether chunks have the format of chat completions.
    :param prompt: the text of the prompt.
    :param answer_tokens: number of tokens that the engine will produce.
    :param finish_reason: ``stop``, or ``length`` when ``max_tokens`` truncates the response.
    """

    model: str
    chat: bool
    prompt: str
    prompt_tokens: int
    answer_tokens: int
    finish_reason: str


def parse(path: str, body: bytes, seed: int) -> Generation:
    """Parse the body of a request.

    :raises CodedError: when the body isn't valid or doesn't request a stream.
    """
    try:
        body_fields = _Body.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise codederrors.CodedError("body_invalid", str(error)) from error
    if not body_fields.stream:
        raise codederrors.CodedError("stream_required", "only streams are served")
    prompt = body_fields.prompt or "\n".join(m.content for m in body_fields.messages)
    true_length = body_fields.x_answer_tokens or true_answer_tokens(prompt, seed)
    limit = body_fields.max_tokens or true_length
    return Generation(
        body_fields.model,
        path == CHAT_PATH,
        prompt,
        max(1, -(-len(prompt.encode()) // _BYTES_PER_TOKEN)),
        min(true_length, limit),
        "length" if limit < true_length else "stop",
    )


def true_answer_tokens(prompt: str, seed: int) -> int:
    """Return the true length of the response to a prompt: random, but fixed per prompt and seed.

    Examples
    ========

    >>> true_answer_tokens("hello", 0) == true_answer_tokens("hello", 0)
    True
    """
    generator = random.Random(f"{seed}/{prompt}")
    length = int(_MEDIAN_TOKENS * generator.lognormvariate(0.0, _SIGMA))
    return max(1, min(length, _MAX_TOKENS))


def marker(request_id: str, prompt: str, seed: int) -> str:
    """Return the short attempt id that is part of each token's text."""
    text = f"{seed}/{request_id}/{prompt}"
    return hashlib.blake2s(text.encode(), digest_size=4).hexdigest()


def token_text(mark: str, offset: int) -> str:
    """Return the text of the token at an offset.

    Examples
    ========

    >>> token_text("ab12", 3)
    'ab12.3 '
    """
    return f"{mark}.{offset} "


class EventEncoder:
    """Encodes the events of one stream; everything but the offset is encoded only once.

    :param request_id: the ``id`` of the chunks.
    :param mark: the result of :func:`marker`.
    """

    __slots__ = ("_generation", "_request_id", "_token_template")

    def __init__(self, generation: Generation, request_id: str, mark: str) -> None:
        self._generation = generation
        self._request_id = request_id
        chunk = self._chunk(token_text(mark, 0), None).replace("%", "%%")
        template = chunk.replace(f"{mark}.0 ", f"{mark}.%d ")
        self._token_template = f"id: %d\ndata: {template}\n\n".encode()

    def token(self, offset: int) -> bytes:
        """Encode the token at an offset."""
        return self._token_template % (offset, offset)

    def final(self, finish_reason: str, completion_tokens: int) -> bytes:
        """Encode the last chunk and the end of the stream."""
        usage = {
            "prompt_tokens": self._generation.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": self._generation.prompt_tokens + completion_tokens,
        }
        chunk = self._chunk("", finish_reason, usage)
        return f"data: {chunk}\n\ndata: [DONE]\n\n".encode()

    def _chunk(
        self, text: str, finish_reason: str | None, usage: dict[str, int] | None = None
    ) -> str:
        choice: dict[str, object] = {"index": 0, "finish_reason": finish_reason}
        if self._generation.chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self._generation.chat else "text_completion"
        chunk: dict[str, object] = {
            "id": self._request_id,
            "object": kind,
            "created": 0,
            "model": self._generation.model,
            "choices": [choice],
        }
        if usage is not None:
            chunk["usage"] = usage
        return json.dumps(chunk, separators=(",", ":"))


def error_event(code: str, message: str) -> bytes:
    """Encode the event that reports an error in the middle of a stream."""
    return f"data: {json.dumps({'error': {'code': code, 'message': message}})}\n\n".encode()
