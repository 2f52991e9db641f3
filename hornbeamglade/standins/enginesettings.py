"""Settings and faults of a stand-in engine."""

import collections.abc
import dataclasses

import pydantic


def _no_prefix(prompt: str) -> tuple[int, ...]:
    return ()


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Settings of a stand-in engine.

    :param bind: ``ip:port``; port 0 selects a free port.
    :param capacity_tokens: memory, in tokens.
    :param step_s: seconds between the tokens of a stream.
    :param max_running: maximum number of sequences that hold memory.
    :param prefill_tokens_per_step: prompt tokens computed per step.
    :param load_lag_s: age of the state that ``GET /load`` reports, in seconds.
    :param event_lag_s: delay with which cache events are reported, in seconds.
    :param event_drop_every: omits every cache event whose sequence number is a multiple
        of this; 0 omits none.
    :param checks_fencing: whether an order with an old fencing number is refused.
    :param resume: whether a stream survives a lost connection.
    :param resume_s: how long it can be resumed, in seconds.
    :param keep_alive_s: seconds without a token until a keep-alive comment is sent.
    :param models: names of the models loaded at the start.
    :param seed: determines the true lengths of responses and the marks of tokens.
    :param threads: maximum number of concurrent requests.
    :param prefix_hashes: returns the hashes of a prompt's leading blocks.
    :param crash_on: a request whose body contains this text ends the process; empty for none.
    """

    bind: str = "127.0.0.1:0"
    capacity_tokens: int = 12_000
    step_s: float = 0.026
    max_running: int = 256
    prefill_tokens_per_step: int = 2048
    load_lag_s: float = 0.0
    event_lag_s: float = 0.0
    event_drop_every: int = 0
    checks_fencing: bool = True
    resume: bool = True
    resume_s: float = 30.0
    keep_alive_s: float = 1.0
    models: tuple[str, ...] = ("draft",)
    seed: int = 0
    threads: int = 300
    prefix_hashes: collections.abc.Callable[[str], tuple[int, ...]] = _no_prefix
    crash_on: str = ""


class EngineFaults(pydantic.BaseModel):
    """The body of ``PUT /standin/faults``; omitted faults are off.

    :param refuse: respond 503 with ``X-Not-Run`` without running the request.
    :param die_after_tokens: close a stream's connection after this many tokens.
    :param stall: send nothing, not even keep-alives, and keep connections open.
    :param slow: multiplies the duration of steps.
    :param wrong_request_id: respond with another request's id.
    :param mute_load: close the connection of ``GET /load`` without a response.
    :param leaving: report that the engine is leaving.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    refuse: bool = False
    die_after_tokens: int | None = None
    stall: bool = False
    slow: float = pydantic.Field(default=1.0, gt=0)
    wrong_request_id: bool = False
    mute_load: bool = False
    leaving: bool = False
