"""The events of one generation, resumed over lost connections where that is possible."""

import collections.abc
import concurrent.futures
import dataclasses

from hornbeamglade.backends import eventparser, generations, httpexchange, outcomes
from hornbeamglade.core import clocks
from hornbeamglade.streams import generationstream

RESUME_PAUSES_S = (0.0, 0.2, 0.5, 1.0, 2.0)
"""Pauses before each try to resume: engines hold a lost stream for 30 s; a link that
is down for longer than these few seconds would be a stall that a person hears."""

CLOSED_LOOKS = 2
CANCEL_S = 1.0
CANCELS = concurrent.futures.ThreadPoolExecutor(4, "cancels")
"""Cancels are sent beside the request, which must not wait for a dead link."""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where a generation runs.

    :param replica: the replica's name.
    :param address: its ``ip:port``.
    :param generation: the generation's id; unique for each attempt.
    :param timeouts: bounds on waiting.
    """

    replica: str
    address: str
    generation: str
    timeouts: httpexchange.Timeouts


class GenerationSource:
    """Read one generation to its end, across resumed connections.

    Explanation
    ===========

    A lost or stalled connection does not end the generation at an engine that can
    resume: the same generation goes on after the last offset that was taken. The
    stream's aggregate decides whether that may be; nothing is ever run again here.

    :param target: where it runs.
    :param stream: the first connection.
    :param state: the stream's aggregate.
    :param clock: lets the pauses between tries pass.
    :param note: told ``resumed`` or ``not_resumed`` of each lost connection.
    """

    def __init__(
        self,
        target: Target,
        stream: generations.Stream,
        state: generationstream.GenerationStream,
        clock: clocks.Clock,
        note: collections.abc.Callable[[str], None] = lambda _outcome: None,
    ) -> None:
        self.target = target
        self._stream = stream
        self._state = state
        self._clock = clock
        self._note = note
        self._is_cancelled = False
        self._resumed_at = -1
        self._tries = 0

    def __iter__(self) -> collections.abc.Iterator[eventparser.Event]:
        """Yield events up to ``Finished``, ``Failed``, ``ConnectionLost`` or ``Stalled``."""
        while True:
            lost = None
            for event in self._stream:
                if type(event) is eventparser.Token or not _is_lost(event):
                    yield event
                    continue
                lost = event
            if lost is None:
                return
            resumed = self._resume()
            self._note("resumed" if resumed else "not_resumed")
            if not resumed:
                self._cancel_remote()
                yield lost
                return

    def cancel(self) -> None:
        """Cancel the generation at the engine; safe from any thread."""
        self._is_cancelled = True
        self._stream.cancel()

    def _resume(self) -> bool:
        target = self.target
        if self._state.lost(target.generation) is not generationstream.AfterLoss.RESUME:
            return False
        # An engine that holds the stream answers at once: waiting as long as for a first
        # token would add a stall of that length to each try over a dead link.
        timeouts = dataclasses.replace(target.timeouts, response_s=target.timeouts.progress_s)
        # An engine that takes each resume and drops it at once would be asked for ever:
        # only a token that came since the last resume earns new tries.
        if self._state.next_offset != self._resumed_at:
            self._resumed_at = self._state.next_offset
            self._tries = 0
        closed = 0
        while self._tries < len(RESUME_PAUSES_S):
            self._clock.sleep(RESUME_PAUSES_S[self._tries])
            self._tries += 1
            if self._is_cancelled:
                return False
            outcome = generations.resume(
                target.address, target.generation, self._state.next_offset - 1, timeouts
            )
            if isinstance(outcome, generations.Opened):
                self._stream = outcome.stream
                if self._is_cancelled:
                    outcome.stream.cancel()
                return True
            if isinstance(outcome, outcomes.StreamGone):
                return False
            # A process that has ended takes its streams with it: its caller is told at
            # once instead of after all pauses. Seen twice, as a port may be closed for a
            # moment by a full backlog.
            closed += isinstance(outcome, outcomes.PortClosed)
            if closed >= CLOSED_LOOKS:
                return False
        return False

    def _cancel_remote(self) -> None:
        """Have the engine drop a generation that it may hold for a resume.

        Guards its memory: a held stream goes on growing for nobody. A link that is
        dead makes this fail, and then the engine's own bound ends the stream.
        """
        target = self.target
        timeouts = httpexchange.Timeouts(CANCEL_S, CANCEL_S, CANCEL_S)
        CANCELS.submit(generations.cancel_remote, target.address, target.generation, timeouts)


def _is_lost(event: eventparser.Event) -> bool:
    return isinstance(event, eventparser.ConnectionLost | eventparser.Stalled)
