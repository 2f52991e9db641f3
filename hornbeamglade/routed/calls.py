"""What is known of a routed request, as immutable values."""

import dataclasses

from hornbeamglade.http1 import fields
from hornbeamglade.replicas import ratelimits


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests that share leading parts share cached memory.

    :param id: names the part.
    :param tokens: its length.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """What a request asks of a model engine.

    :param model: the model's name.
    :param prompt_tokens: length of the prompt.
    :param max_tokens: the caller's bound on the answer.
    :param parts: the prompt's parts, in order; the last is the request's own.
    :param expected_tokens: the caller's estimate of the answer's length, or None.
    """

    model: str
    prompt_tokens: int
    max_tokens: int
    parts: tuple[PromptPart, ...] = ()
    expected_tokens: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One routed request.

    :param request_id: the caller's id of this attempt; goes to the backend server as it is.
    :param host: as the caller named it.
    :param method: as sent.
    :param target: path and query, as sent.
    :param fields: what is passed on as it is.
    :param body: as sent.
    :param arrived_at: monotonic seconds of its first byte.
    :param deadline: monotonic seconds at which its caller gives up.
    :param authorization: the caller's key, as sent, or None.
    :param generation: set when it is meant for a model engine.
    :param last_event_id: the last event that the caller has, when it resumes a stream.
    """

    request_id: str
    host: str
    method: bytes
    target: bytes
    fields: fields.Fields
    body: bytes
    arrived_at: float
    deadline: float
    authorization: str | None = None
    generation: Generation | None = None
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KvCopy:
    """A copy of a run's memory from which the run can go on.

    :param source_address: ``ip:port`` that the copy's name belongs to.
    :param name: what the copy is called there.
    """

    source_address: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """How one attempt is sent to a replica.

    :param replica_name: what the server is called that is meant; any other refuses.
    :param team: the caller's team, or None when no key was needed.
    :param remaining_s: what is left of the caller's time.
    :param urgency: rank at the engine, 0 first, or None for a plain service.
    :param last_event_id: the run goes on after this event, or None for a new run.
    :param copy: the memory that a run goes on from, or None.
    """

    replica_name: str
    team: str | None
    remaining_s: float
    urgency: int | None = None
    last_event_id: str | None = None
    copy: KvCopy | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a replica says of itself beside an answer.

    :param running: requests that it runs.
    :param waiting: requests that wait there.
    :param slots: requests that it can run at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a replica's answer.

    :param status: its status.
    :param fields: what is passed on to the caller.
    :param request_id: the request that it answers, or None when it does not say.
    :param is_sealed: whether it bears the replica's proof that it is its own.
    :param is_not_run: whether the replica states that it did not run the request.
    :param is_encoded: whether the body is not the replica's own bytes.
    :param load: the replica's load, or None.
    :param limit: what the replica takes at most, or None when it names no limit.
    :param is_misdirected: whether another server answered than the one that was meant.
    """

    status: int
    fields: fields.Fields
    request_id: str | None
    is_sealed: bool
    is_not_run: bool
    is_encoded: bool = False
    load: Load | None = None
    limit: ratelimits.RateLimit | None = None
    is_misdirected: bool = False
