"""The aggregate that decides which tokens reach a caller.

Explanation
===========

A request may be dispatched several times (engines die, links stall), but the
caller must see one generation, each token once and in order, and exactly one
final answer. The aggregate holds the current generation's id and the next
offset that may be delivered. A token of any other generation, or at any other
offset, is not delivered. A new generation may begin only while nothing was
delivered; afterwards only the same generation may be resumed.

The same rules are checked in ``spec/stream.prism``.
"""

import enum

from hornbeamglade.core import codederrors


class Phase(enum.Enum):
    """Where a request stands on its way to its final answer."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    DELIVERING = "delivering"
    ENDED = "ended"


class AfterLoss(enum.Enum):
    """What may follow when a generation's connection was lost.

    ``RUN_AGAIN`` starts another generation; ``RESUME`` continues the same one
    after the last delivered offset; ``END`` gives the caller its final answer.
    """

    RUN_AGAIN = "run_again"
    RESUME = "resume"
    END = "end"


class GenerationStream:
    """Deliver one generation to one caller.

    :param repeatable: whether the request may be run more than once.
    :param resumable: whether the engine offers to resume a stream.

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
        """Dispatch a generation; tokens of earlier ones are dropped from now on.

        :param generation: unique for each attempt.
        :raises InvariantError: when a token was delivered already, since a second
            generation would then be spliced onto the first, or when a request that
            is not repeatable would run a second time.
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
        """Say whether this token is the next one for the caller, and count it.

        Guards against late tokens of an abandoned generation (they carry its id)
        and against an engine that repeats or skips offsets after a resume.
        """
        if offset != self.next_offset or generation != self._generation:
            return False
        if self.phase is Phase.ENDED:
            return False
        self.next_offset = offset + 1
        self.phase = Phase.DELIVERING
        return True

    def lost(self, generation: str) -> AfterLoss:
        """Decide what may follow the loss of a generation's connection."""
        if generation != self._generation or self.phase is Phase.ENDED:
            return AfterLoss.END
        if self.next_offset == 0 and self._repeatable:
            return AfterLoss.RUN_AGAIN
        return AfterLoss.RESUME if self._resumable else AfterLoss.END

    def end(self) -> bool:
        """Claim the right to give the final answer; true exactly once."""
        if self.phase is Phase.ENDED:
            return False
        self.phase = Phase.ENDED
        return True
