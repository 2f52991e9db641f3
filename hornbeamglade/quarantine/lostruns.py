"""Runs whose connection ended before their response did, as immutable values."""

import dataclasses

from hornbeamglade.exchange import messages


@dataclasses.dataclass(frozen=True, slots=True)
class PromptParts:
    """The parts of a prompt that other requests may contain as well.

    :param parts: hashes of the parts in order, without the last one.
    :param team: hash of the caller's team.
    :param service: hash of the service.
    """

    parts: tuple[int, ...]
    team: int
    service: int = 0

    def refusal_keys(self) -> tuple[int, ...]:
        """Return the keys of the refusals that concern a request with these parts."""
        return self.parts + tuple(part_key(part, self.team) for part in self.parts)


def part_hash(service: str, part: str) -> int:
    """Return the 64-bit hash that identifies a part of the prompts of a service.

    Examples
    ========

    >>> part_hash("llm", "5c1e07a2") == part_hash("llm2", "5c1e07a2")
    False
    """
    return messages.key_hash(f"part {len(service)}:{service}{part}")


def part_key(part: int, team: int) -> int:
    """Return the key of the refusal of a part.

    :param part: hash of the part.
    :param team: hash of the team whose requests are refused, or 0 for all teams.
    """
    return messages.key_hash(f"part {part} of {team}") if team else part


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """One lost run.

    :param fingerprint: the fingerprint of its request.
    :param sent_at: monotonic seconds at which it was sent to its replica.
    :param ended_at: monotonic seconds at which it was lost.
    :param prompt: the parts of its prompt if one of them may have ended the replica, else None.
    """

    fingerprint: int
    sent_at: float
    ended_at: float
    prompt: PromptParts | None = None
