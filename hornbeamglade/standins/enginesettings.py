"""Settings and faults of a stand-in engine."""

import collections.abc
import dataclasses

import pydantic


def _no_prefix(prompt: str) -> tuple[int, ...]:
    return ()


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """How a stand-in engine behaves.

    :param bind: ``ip:port``; port 0 takes any free one.
    :param capacity_tokens: memory, in tokens.
    :param step_s: seconds between the tokens of a stream.
    :param max_running: bound on sequences that hold memory.
    :param prefill_tokens_per_step: prompt tokens computed a step.
    :param load_lag_s: age of the state that ``GET /load`` reports, in seconds.
    :param event_lag_s: age from which cache events are reported, in seconds.
    :param event_drop_every: leaves out each cache event whose sequence number this
        divides; 0 leaves out none.
    :param checks_fencing: whether an order with an old fencing number is refused.
    :param resume: whether a stream outlives a lost connection.
    :param resume_s: for how long, in seconds.
    :param keep_alive_s: seconds without a token until a comment is sent.
    :param models: names of the models present at the start.
    :param seed: enters the true lengths of answers and the markers of tokens.
    :param threads: bound on requests at once.
    :param prefix_hashes: hashes of a prompt's leading blocks.
    :param crash_on: a request whose body holds this text ends the process; empty for none.
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
    """The body of ``PUT /standin/faults``; a fault that is left out is off.

    :param refuse: answer 503 with ``X-Not-Run`` without running the request.
    :param die_after_tokens: close a stream's connection after so many tokens.
    :param stall: write nothing, not even keep-alives, and keep connections open.
    :param slow: multiplies the duration of steps.
    :param wrong_request_id: answer with another request's id.
    :param mute_load: close the connection of ``GET /load`` unanswered.
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
