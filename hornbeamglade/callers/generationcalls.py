"""Parses and validates the body of a generation request."""

import dataclasses
import json
import math
from typing import Annotated, Any

import pydantic

from hornbeamglade.core import outcomes

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
CHARACTERS_PER_TOKEN = 4
"""Approximate characters per token; only the engine has the tokenizer."""

MAX_TOKENS = 2**31 - 1
MAX_NESTING = 100
"""The interpreter's recursion limit is reached at different depths by the encoder and the
decoder and depends on the current stack depth; this limit is the same for every request."""

TokenLimit = Annotated[int, pydantic.Field(ge=1, le=MAX_TOKENS)]


class _Message(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    role: str
    content: str | list[dict[str, Any]] | None = None


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    model: str
    stream: bool = False
    max_tokens: TokenLimit | None = None
    max_completion_tokens: TokenLimit | None = None
    n: Annotated[int, pydantic.Field(ge=1, le=1)] | None = None


class _ChatBody(_Body):
    messages: Annotated[list[_Message], pydantic.Field(min_length=1)]


class _CompletionBody(_Body):
    prompt: str


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationCall:
    """A validated generation request.

    :param path: the API path, the same for callers and engines.
    :param model: the model's name as specified by the caller.
    :param stream: whether the caller wants server-sent events.
    :param prompt: the text of the prompt, used for its length and prefix.
    :param max_tokens: the caller's limit on the generated tokens, or None.
    :param include_usage: whether the caller requested usage in the stream.
    :param body: the body for the engine, which always requests a stream.
    """

    path: str
    model: str
    stream: bool
    prompt: str
    max_tokens: int | None
    include_usage: bool
    body: bytes

    @property
    def prompt_tokens(self) -> int:
        """Estimated tokens of the prompt."""
        return max(1, math.ceil(len(self.prompt) / CHARACTERS_PER_TOKEN))


def parse(path: str, body: bytes) -> GenerationCall | outcomes.Refusal:
    """Parse and validate a body of the OpenAI-compatible API.

    :param path: ``CHAT_PATH`` or ``COMPLETIONS_PATH``.
    :param body: the request's bytes.

    Examples
    ========

    >>> parse(COMPLETIONS_PATH, b"{").code
    'body_not_json'
    >>> parse(COMPLETIONS_PATH, b'{"model": "m", "prompt": "hello"}').prompt_tokens
    2
    """
    try:
        document = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        return _invalid("body_not_json", f"the body is not JSON: {error}")
    if _exceeds_depth(document, MAX_NESTING):
        return _invalid("body_invalid", f"the body is nested deeper than {MAX_NESTING}")
    if not isinstance(document, dict):
        return _invalid(
            "body_invalid", f"the body is a JSON {type(document).__name__}, not an object"
        )
    model = _ChatBody if path == CHAT_PATH else _CompletionBody
    try:
        parsed = model.model_validate(document)
    except pydantic.ValidationError as error:
        return _invalid("body_invalid", _first_error(error))
    return _call(path, document, parsed)


def _call(path: str, document: dict[str, Any], parsed: _Body) -> GenerationCall:
    options = document.get("stream_options")
    include_usage = isinstance(options, dict) and options.get("include_usage") is True
    return GenerationCall(
        path=path,
        model=parsed.model,
        stream=parsed.stream,
        prompt=_prompt(parsed),
        max_tokens=parsed.max_completion_tokens or parsed.max_tokens,
        include_usage=include_usage,
        body=json.dumps(document | {"stream": True}).encode(),
    )


def _prompt(parsed: _Body) -> str:
    if isinstance(parsed, _CompletionBody):
        return parsed.prompt
    return "\n".join(f"{each.role}: {_text(each.content)}" for each in parsed.messages)


def _text(content: str | list[dict[str, Any]] | None) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    return "".join(str(part.get("text", "")) for part in content)


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is not a JSON number")


def _exceeds_depth(value: Any, levels: int) -> bool:
    if not isinstance(value, dict | list):
        return False
    if not levels:
        return True
    inner = value.values() if isinstance(value, dict) else value
    return any(_exceeds_depth(each, levels - 1) for each in inner)


def _first_error(error: pydantic.ValidationError) -> str:
    first = error.errors()[0]
    where = ".".join(str(part) for part in first["loc"]) or "body"
    return f"{where}: {first['msg']}"


def _invalid(code: str, detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(code, 400, detail)
