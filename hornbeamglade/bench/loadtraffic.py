"""Seeded generation of the requests of a load benchmark."""

import collections.abc
import dataclasses
import json
import random
import statistics

from hornbeamglade.bench import loadplan, loadsite

_PROMPT_TOKENS = 100
_CHARACTERS_PER_TOKEN = 4
_SAMPLES = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Lengths:
    """Log-normal distribution of response lengths, clamped to a maximum.

    :param median: median in tokens.
    :param sigma: standard deviation of the logarithm.
    :param longest: upper limit in tokens.
    """

    median: float = 100.0
    sigma: float = 1.0
    longest: int = 1_500

    def draw(self, rng: random.Random) -> int:
        """Draw one response length in tokens."""
        length = int(self.median * rng.lognormvariate(0.0, self.sigma))
        return min(max(1, length), self.longest)


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Parameters of the traffic.

    :param load: request rate as a multiple of the rate that fills the engines' memory on
        average.
    :param seconds: how long requests are sent.
    :param weight_by_team: relative share of the requests that each team sends.
    """

    load: float
    seconds: float
    weight_by_team: collections.abc.Mapping[str, float]
    lengths: Lengths = Lengths()
    seed: int = 0


def saturating_rate(lengths: Lengths, memory_tokens: int, step_s: float, seed: int) -> float:
    """Return the requests per second that fill ``memory_tokens`` on average.

    A response of ``n`` tokens occupies the memory of its prompt for ``n`` steps and that of
    each of its own tokens for ``n / 2`` steps on average.

    Examples
    ========

    >>> one_length = Lengths(median=100, sigma=0.0)
    >>> round(saturating_rate(one_length, 15_000, 0.01, seed=0), 3)
    100.0
    """
    rng = random.Random(seed)
    drawn = (lengths.draw(rng) for _ in range(_SAMPLES))
    token_steps = statistics.fmean(n * (_PROMPT_TOKENS + n / 2) for n in drawn)
    return memory_tokens / (token_steps * step_s)


def requests(
    traffic: Traffic,
    rate: float,
    addresses_by_team: collections.abc.Mapping[str, tuple[str, ...]],
    key_by_team: collections.abc.Mapping[str, str],
    model: str = loadsite.MODEL,
) -> tuple[loadplan.PlannedRequest, ...]:
    """Return Poisson arrivals at ``rate`` requests per second, in order of time."""
    rng = random.Random(f"arrivals/{traffic.seed}")
    teams = sorted(traffic.weight_by_team)
    weights = [traffic.weight_by_team[team] for team in teams]
    planned = []
    at_s = rng.expovariate(rate)
    while at_s < traffic.seconds:
        team = rng.choices(teams, weights)[0]
        tokens = traffic.lengths.draw(rng)
        document = {
            "model": model,
            "prompt": _prompt(team, len(planned)),
            "stream": True,
            "x_answer_tokens": tokens,
        }
        planned.append(
            loadplan.PlannedRequest(
                number=len(planned),
                team=team,
                at_s=at_s,
                addresses=addresses_by_team[team],
                header_by_name={"Authorization": f"Bearer {key_by_team[team]}"},
                body=json.dumps(document),
                answer_tokens=tokens,
            )
        )
        at_s += rng.expovariate(rate)
    return tuple(planned)


def _prompt(team: str, number: int) -> str:
    characters = _PROMPT_TOKENS * _CHARACTERS_PER_TOKEN
    opening = f"Team {team} asks for a draft. " * 10
    return f"{opening[: characters - 20]} letter {number:08d}".ljust(characters, ".")[:characters]
