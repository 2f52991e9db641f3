"""A whole sweep, and its table."""

import collections
import collections.abc
import dataclasses
import random

from hornbeamglade.core import codederrors
from hornbeamglade.standins import disturbances
from hornbeamglade.sweep import cases, kinds, waves

NEVER = 1_000_000_000
ROUNDS = 3
"""How often cases are played again that did not meet their byte, or not on their connection."""


@dataclasses.dataclass(slots=True)
class Row:
    """The cases of one kind of exchange with one disturbance.

    :param kind: name of the kind.
    :param use: ``first`` or ``kept`` connection.
    :param disturbance: name of the disturbance.
    :param played: number of cases that were played.
    :param unmet: number of cases that never met their byte on the intended connection.
    :param broken_at: for each broken rule the bytes at which it broke.
    """

    kind: str
    use: str
    disturbance: str
    played: int = 0
    unmet: int = 0
    broken_at: dict[str, list[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    @property
    def verdict(self) -> str:
        """The broken rules with their counts, or ``held``."""
        counts = [f"{name} {len(at)} (at {at[0]})" for name, at in sorted(self.broken_at.items())]
        return ", ".join(counts) or "held"


async def record(kind: kinds.Kind) -> bytes:
    """Return the bytes of an undisturbed response.

    :raises CodedError: ``sweep_unrecorded``, if no request met the exchange.
    """
    never = disturbances.Disturbance(disturbances.Action.CLOSE, NEVER)
    # Of the runs of several engines only those of the first one leave.
    wave = waves.Wave(kind, [cases.Case(never, True)] * kind.wave_size)
    await wave.play()
    for writer in wave.writer_by_id.values():
        return bytes(writer.sent)
    raise codederrors.CodedError("sweep_unrecorded", f"no request met the exchange {kind.name}")


def sample(
    kind_cases: collections.abc.Sequence[cases.Case], share: float, seed: int
) -> list[cases.Case]:
    """Return a share of the cases, the same for the same seed."""
    count = max(1, round(share * len(kind_cases)))
    chosen = random.Random(seed).sample(range(len(kind_cases)), count)
    return [kind_cases[each] for each in sorted(chosen)]


async def sweep(
    kind: kinds.Kind,
    kind_cases: collections.abc.Sequence[cases.Case],
    on_played: collections.abc.Callable[[int], None] = lambda _count: None,
) -> list[Row]:
    """Play cases of one kind.

    :param on_played: called with the number of cases that were played since the last call.
    """
    row_by_key: dict[tuple[bool, str], Row] = {}
    left_by_wave_kind = collections.defaultdict(list)
    for case in kind_cases:
        use, name = "first" if case.is_first_use else "kept", case.disturbance.name
        row_by_key.setdefault((case.is_first_use, name), Row(kind.name, use, name))
        # An instance that stands still does so for all cases of a wave.
        is_pause = case.disturbance.action is disturbances.Action.PAUSE
        left_by_wave_kind[case.is_first_use, is_pause].append(case)
    for left in left_by_wave_kind.values():
        for _ in range(ROUNDS):
            left = await _play(kind, left, row_by_key, on_played)
        for case in left:
            row_by_key[case.is_first_use, case.disturbance.name].unmet += 1
        on_played(len(left))
    return list(row_by_key.values())


async def _play(
    kind: kinds.Kind,
    left: collections.abc.Sequence[cases.Case],
    row_by_key: collections.abc.Mapping[tuple[bool, str], Row],
    on_played: collections.abc.Callable[[int], None],
) -> list[cases.Case]:
    """Play cases in waves; return those that did not meet their byte."""
    unmet = []
    for start in range(0, len(left), kind.wave_size):
        for played in await waves.Wave(kind, left[start : start + kind.wave_size]).play():
            disturbance = played.case.disturbance
            row = row_by_key[played.case.is_first_use, disturbance.name]
            if played.was_met:
                row.played += 1
                on_played(1)
            else:
                unmet.append(played.case)
            for name in cases.broken(played.case, played.seen, kind.expected):
                row.broken_at[name].append(disturbance.at)
    return unmet
