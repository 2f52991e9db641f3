"""Messages between a benchmark and its driver processes: plans and reports."""

import typing

import pydantic


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")


class PlannedRequest(_Model):
    """One request of an open loop.

    :param number: unique within the benchmark.
    :param at_s: when it is sent, in seconds after the epoch, regardless of earlier requests.
    :param addresses: ``ip:port`` to try, in order.
    :param answer_tokens: true length of the response, which the body asks for.
    """

    number: int
    team: str
    at_s: float
    addresses: tuple[str, ...]
    path: str = "/v1/completions"
    header_by_name: dict[str, str] = {}
    body: str
    answer_tokens: int


class DriverPlan(_Model):
    """The work of one driver process.

    :param epoch_s: value of the monotonic clock from which all times count.
    :param window_from_s: start of the window in which gaps and tokens are measured.
    :param window_until_s: end of that window.
    :param stop_at_s: when open streams are closed and the driver exits.
    :param stall_threshold_s: the longest gap that does not count as a stall.
    """

    epoch_s: float
    window_from_s: float
    window_until_s: float
    stop_at_s: float
    stall_threshold_s: float = 0.25
    requests: tuple[PlannedRequest, ...]


Ending = typing.Literal[
    "complete",  # the whole response, in order, from one generation
    "refused",  # an error status instead of a stream
    "failed",  # an error event, or the connection was lost
    "cut",  # the benchmark ended first
    "violated",  # spliced, out of order, repeated, or marked complete but too short
]


class StreamResult(_Model):
    """Outcome of one request as its caller saw it.

    :param at_s: when the request was due.
    :param late_s: how much later it was sent.
    :param status: HTTP status; None without a response.
    :param code: error code of a refusal or failure, otherwise empty.
    :param run: whether the request ran, as stated by a refusal or failure.
    :param keep_alives: comments received after the first token.
    :param duration_s: time from sending to the end.
    """

    number: int
    team: str
    at_s: float
    late_s: float
    ending: Ending
    status: int | None = None
    code: str = ""
    run: str = ""
    tokens: int = 0
    time_to_first_token_s: float | None = None
    stall_s: float = 0.0
    longest_gap_s: float = 0.0
    keep_alives: int = 0
    duration_s: float = 0.0


class DriverReport(_Model):
    """Measurements of one driver.

    :param window_tokens: tokens received within the window.
    :param gaps: encoded HDR histogram of the gaps in the window, in microseconds.
    :param cpu_s: CPU time of the driver itself.
    """

    results: tuple[StreamResult, ...]
    window_tokens: int
    gaps: str
    cpu_s: float
