"""Faults of a routed stand-in."""

import enum

import pydantic

LATE_REPLY_S = 0.35
COPY_S = 0.02


class StopReply(enum.StrEnum):
    """How an engine answers an order to stop a run, which it carries out.

    ``KEPT`` is the answer that the rest found no room and is kept. With ``LOST`` the first order
    gets no answer, with ``NEVER`` none does. With ``AFTER_END`` it takes effect only after the end
    of the run.
    """

    SOON = "soon"
    LATE = "late"
    LOST = "lost"
    KEPT = "kept"
    NEVER = "never"
    AFTER_END = "after_end"


class RoutedFaults(pydantic.BaseModel):
    """Faults of a backend server; omitted faults are off.

    :param refuse: requests are refused as not run.
    :param retry_after: requests are refused as not run, with this ``Retry-After``.
    :param fail: requests are run and get a response with status 500.
    :param status: requests are run and get a response with this status, or 0.
    :param hang: requests are accepted and never get a response.
    :param delay_s: seconds before a response.
    :param unproved: responses have no proof that they are the server's.
    :param stray: a response to another request is sent first.
    :param extra: each response is followed by another one.
    :param unframed: responses have no length and end with the connection.
    :param torn: responses are truncated by a clean close of the connection.
    :param reset: responses are truncated by a connection reset.
    :param early: a response is sent before the request's body is read.
    :param die_after_events: a stream is cut off after this many events.
    :param preempted_after_events: a stream pauses once, after this many events, for
        ``preempted_s``, as if its engine preempted its run; None for never.
    :param no_room: KV cache copies from and to other engines are refused.
    :param limit: limit in requests per second that responses announce for the server.
    :param room: requests that it runs at once; further ones are refused as not run, or None.
    :param brittle: refusals for want of room that it tolerates in a second, as its responses
        state; it resets all connections when there are more.
    :param crash_on: a request whose body contains this text ends the server when it starts.
    :param crash_on_part: an engine crashes when it begins to answer a request whose prompt
        contains this part, unless that is the last one; empty for none.
    :param slowdown: work on its machine takes that many times as long, which its load figures
        state; 0 for the machine's own state.
    :param response_bytes: least size of plain responses.
    :param pieces_s: seconds in which a plain response is sent in several pieces.
    :param copy_s: seconds that a copy of a KV cache takes.
    :param unread_s: a response of which nothing is read for this long is cut off, or None.
    :param memory_tokens: an engine that holds more tokens crashes, or None.
    :param unnamed: refusals do not carry the id of the request.
    :param late_refusal_s: seconds after each complete response until a refusal without an id
        follows on its connection, or None.
    :param repeats_refusals: a refusal is sent a second time when the next request arrives on its
        connection, before the response to that request.
    :param misdirected: how many first arrivals of each request are misdirected, as if it was meant
        for the server that had this address before; later ones are run, whatever server they name,
        as are those that continue a run from a copy. 0 to go by the server that is named.
    :param reset_after_events: the connection of a stream is reset after this many events.
    :param keeps_runs: a run continues after its connection is lost.
    :param endless: one of :data:`endlessresponses.PARTS
        <hornbeamglade.standins.endlessresponses.PARTS>`; requests are run and answered so, without
        end. Empty for none.
    :param broken_at: responses break off after this many bytes, and their connections close; None
        for never.
    :param followed_by: one of the values of :class:`Stray
        <hornbeamglade.standins.disturbances.Stray>`, which follows on the connection instead of
        its close. Empty for none.
    :param stops_in_order: when it is told to stop, it closes its port and completes the requests
        that it runs.
    :param ends_runs: when it is told to stop, it closes its port and ends its streams in order.
    :param stop_reply: how orders to stop a run for a migration are answered.
    :param ignores_stops: orders to stop a run for a migration are ignored and get no response.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    refuse: bool = False
    retry_after: str = ""
    fail: bool = False
    status: int = 0
    hang: bool = False
    delay_s: float = 0.0
    unproved: bool = False
    stray: bool = False
    extra: bool = False
    unframed: bool = False
    torn: bool = False
    reset: bool = False
    early: bool = False
    die_after_events: int | None = None
    preempted_after_events: int | None = None
    preempted_s: float = pydantic.Field(default=0.0, ge=0)
    no_room: bool = False
    limit: str = ""
    room: int | None = None
    brittle: str = ""
    crash_on: str = ""
    crash_on_part: str = ""
    slowdown: float = pydantic.Field(default=0.0, ge=0)
    response_bytes: int = pydantic.Field(default=0, ge=0)
    pieces_s: float = pydantic.Field(default=0.0, ge=0)
    copy_s: float = pydantic.Field(default=COPY_S, ge=0)
    unread_s: float | None = None
    memory_tokens: int | None = None
    unnamed: bool = False
    late_refusal_s: float | None = None
    repeats_refusals: bool = False
    misdirected: int = 0
    reset_after_events: int | None = None
    keeps_runs: bool = False
    endless: str = ""
    broken_at: int | None = None
    followed_by: str = ""
    stop_reply: StopReply = StopReply.SOON
    ignores_stops: bool = False
    stops_in_order: bool = False
    ends_runs: bool = False
