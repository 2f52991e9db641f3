"""Immutable values that describe routed requests and their responses."""

import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.http1 import fields
from hornbeamglade.replicas import advisories


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests that share leading parts share KV cache blocks.

    :param id: identifier of the part.
    :param tokens: its length in tokens.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """The generation parameters of a request.

    :param model: name of the model.
    :param prompt_tokens: length of the prompt in tokens.
    :param max_tokens: the caller's bound on the length of the answer.
    :param parts: parts of the prompt in order; the last is specific to this request.
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

    :param request_id: the caller's id of this attempt; forwarded unchanged.
    :param host: host that the caller named.
    :param method: HTTP method as received.
    :param target: path and query as received.
    :param fields: header fields that are forwarded unchanged.
    :param body: body as received.
    :param arrived_at: monotonic time of the first byte.
    :param deadline: monotonic time at which the caller gives up.
    :param authorization: the caller's key as received, or None.
    :param generation: generation parameters, or None if the request needs no model engine.
    :param last_event_id: id of the last event that the caller received, if it resumes a stream.
    :param resumed_id: id of the attempt that brought the first event of the resumed stream, if
        the caller named it.
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
    resumed_id: str | None = None

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller holds events of the stream that it requests."""
        return bool(self.last_event_id)

    @property
    def first_id(self) -> str:
        """Id of the attempt that began the stream, as far as the caller named it."""
        return (self.resumed_id if self.resumes_stream else None) or self.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class KvCopy:
    """A copy of a run's KV cache from which the run can continue.

    :param source_address: ``ip:port`` of the engine at which ``name`` is valid.
    :param name: identifier of the copy at that engine.
    """

    source_address: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Parameters of one attempt at a replica.

    :param replica_name: name of the intended server; any other server refuses the request.
    :param team: the caller's team, or None if no key was needed.
    :param remaining_s: seconds left until the caller's deadline.
    :param urgency: rank at the engine, 0 is the most urgent; None for a plain service.
    :param last_event_id: event after which the run continues, or None for a new run.
    :param copy: KV cache copy from which the run continues, or None.
    :param accepted_at: monotonic time at which the replica was last known to accept the run that
        continues there, or None if only this replica can continue it.
    """

    replica_name: str
    team: str | None
    remaining_s: float
    urgency: int | None = None
    last_event_id: str | None = None
    copy: KvCopy | None = None
    accepted_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that a replica reports in a response header.

    :param running: requests that are running.
    :param waiting: requests that are queued.
    :param slots: requests that can run concurrently.
    :param slowdown: how long work currently takes on the replica's machine, relative to the
        normal time; None if the replica does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """The decoded head of a replica's response.

    :param status: HTTP status.
    :param fields: header fields to forward to the caller.
    :param request_id: id of the answered request, None if the head does not state it, or empty if
        it states several.
    :param is_sealed: whether the head has a seal, which proves that the replica itself responded.
    :param is_not_run: whether the replica states that it did not run the request.
    :param is_encoded: whether a content encoding was applied to the body.
    :param load: load reported by the replica, or None.
    :param advisory: what the replica states about itself.
    :param is_misdirected: whether a server other than the intended one responded.
    :param load_problem: the code of the problem if the reported load is malformed, or None.
    """

    status: int
    fields: fields.Fields
    request_id: str | None
    is_sealed: bool
    is_not_run: bool
    is_encoded: bool = False
    load: Load | None = None
    advisory: advisories.Advisory = advisories.Advisory()
    is_misdirected: bool = False
    load_problem: str | None = None

    @property
    def may_be_forwarded(self) -> bool:
        """Whether the response may be forwarded to the caller.

        A replica may have run a request that it answers with its own 408, 429 or 503. Forwarded,
        these would guarantee that it did not run.
        """
        is_proved = self.is_sealed and not self.is_encoded
        return is_proved and self.status not in outcomes.NOT_RUN_STATUSES
