"""Decides which generated tokens are delivered to a caller.

Explanation
===========

A request may be dispatched several times (engines crash, links stall), but the
caller must receive one generation, each token once and in order, and exactly one
final response. The stream stores the id of the current generation and the next
offset to deliver. A token of any other generation, or at any other offset, is
rejected. A new generation may begin only while no token has been delivered;
afterwards only the same generation may be resumed.

The model ``spec/stream.prism`` checks the same rules.
"""

import enum

from hornbeamglade.core import codederrors


class Phase(enum.Enum):
    """Progress of a request towards its final response."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    DELIVERING = "delivering"
    ENDED = "ended"


class AfterLoss(enum.Enum):
    """The action to take after the connection of a generation was lost.

    ``RUN_AGAIN`` starts another generation; ``RESUME`` continues the same one
    after the last delivered offset; ``END`` sends the caller its final response.
    """

    RUN_AGAIN = "run_again"
    RESUME = "resume"
    END = "end"


class GenerationStream:
    """Delivery of one generation to one caller.

    :param repeatable: whether the request may be run more than once.
    :param resumable: whether the engine supports resuming a stream.

    Examples
    ========

    >>> stream = GenerationStream(repeatable=True, resumable=False)
    >>> stream.begin("g1")
    >>> stream.lost("g1")
    <AfterLoss.RUN_AGAIN: 'run_again'>
    >>> stream.begin("g2")
    >>> stream.accept("g1", 0), stream.accept("g2", 0), stream.accept("g2", 0)
    (False, True, False)
    >>> stream.lost("g2")
    <AfterLoss.END: 'end'>
    """

    __slots__ = ("_generation", "_repeatable", "_resumable", "next_offset", "phase")

    def __init__(self, repeatable: bool, resumable: bool) -> None:
        self._repeatable = repeatable
        self._resumable = resumable
        self._generation: str | None = None
        self.next_offset = 0
        self.phase = Phase.WAITING

    def begin(self, generation: str) -> None:
        """Start a generation; tokens of earlier generations are rejected from now on.

        :param generation: id of the generation, unique for each attempt.
        :raises InvariantError: if a token has already been delivered, since a second
            generation would be spliced onto the first, or if a request that is not
            repeatable would run a second time.
        """
        if self._generation is not None and not self._repeatable:
            raise codederrors.InvariantError(
                "stream_run_twice", f"generation {generation} may not follow {self._generation}"
            )
        if self.next_offset or self.phase is Phase.ENDED:
            raise codederrors.InvariantError(
                "stream_splice",
                f"generation {generation} may not begin at offset {self.next_offset}",
            )
        self._generation = generation
        self.phase = Phase.DISPATCHED

    def accept(self, generation: str, offset: int) -> bool:
        """Return whether a token is the next one to deliver; if so, advance the offset.

        Rejects late tokens of an abandoned generation, which carry its id, and
        offsets that an engine repeats or skips after a resume.
        """
        if offset != self.next_offset or generation != self._generation:
            return False
        if self.phase is Phase.ENDED:
            return False
        self.next_offset = offset + 1
        self.phase = Phase.DELIVERING
        return True

    def lost(self, generation: str) -> AfterLoss:
        """Return the action to take after the connection of a generation was lost."""
        if generation != self._generation or self.phase is Phase.ENDED:
            return AfterLoss.END
        if self.next_offset == 0 and self._repeatable:
            return AfterLoss.RUN_AGAIN
        return AfterLoss.RESUME if self._resumable else AfterLoss.END

    def end(self) -> bool:
        """Claim the right to send the final response; return True exactly once."""
        if self.phase is Phase.ENDED:
            return False
        self.phase = Phase.ENDED
        return True
