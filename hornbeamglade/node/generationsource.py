"""Events of one generation, which is resumed after lost connections where possible."""

import collections.abc
import concurrent.futures
import dataclasses

from hornbeamglade.backends import eventparser, generations, httpexchange, outcomes
from hornbeamglade.core import clocks
from hornbeamglade.streams import generationstream

RESUME_PAUSES_S = (0.0, 0.2, 0.5, 1.0, 2.0)
"""Pauses before each attempt to resume. Engines keep a lost stream for 30 s, but a connection
that is down for longer than these few seconds would be a stall that users notice."""

MAX_PORT_CLOSED = 2
CANCEL_TIMEOUT_S = 1.0
CANCEL_EXECUTOR = concurrent.futures.ThreadPoolExecutor(4, "cancels")
"""Cancellations are sent in the background, as requests must not wait for a dead connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where a generation runs.

    :param replica: the replica's name.
    :param address: its ``ip:port``.
    :param generation: the generation's id; unique for each attempt.
    :param timeouts: timeouts for each connection.
    """

    replica: str
    address: str
    generation: str
    timeouts: httpexchange.Timeouts


class GenerationSource:
    """Reads one generation to its end, across resumed connections.

    Explanation
    ===========

    A lost or stalled connection does not end the generation at an engine that can
    resume: the same generation continues after the last accepted offset. The stream's
    state decides whether that is permitted; this class never runs a request again.

    :param target: where the generation runs.
    :param stream: the first connection.
    :param state: the state of the stream.
    :param clock: sleeps between attempts to resume.
    :param on_resume: called with ``resumed`` or ``not_resumed`` for each lost connection.
    """

    def __init__(
        self,
        target: Target,
        stream: generations.Stream,
        state: generationstream.GenerationStream,
        clock: clocks.Clock,
        on_resume: collections.abc.Callable[[str], None] = lambda _outcome: None,
    ) -> None:
        self.target = target
        self._stream = stream
        self._state = state
        self._clock = clock
        self._on_resume = on_resume
        self._is_cancelled = False
        self._resumed_at = -1
        self._attempts = 0

    def __iter__(self) -> collections.abc.Iterator[eventparser.Event]:
        """Yield events up to ``Finished``, ``Failed``, ``ConnectionLost`` or ``Stalled``."""
        while True:
            lost = None
            for event in self._stream:
                if type(event) is eventparser.Token or not _is_connection_loss(event):
                    yield event
                    continue
                lost = event
            if lost is None:
                return
            resumed = self._resume()
            self._on_resume("resumed" if resumed else "not_resumed")
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
        # An engine that has the stream responds at once: waiting as long as for a first
        # token would add a stall of that length to each attempt over a dead connection.
        timeouts = dataclasses.replace(target.timeouts, response_s=target.timeouts.progress_s)
        # Guards against endless attempts at an engine that accepts each resume and drops it at
        # once: only a token received since the last resume resets the attempts.
        if self._state.next_offset != self._resumed_at:
            self._resumed_at = self._state.next_offset
            self._attempts = 0
        refused_connections = 0
        while self._attempts < len(RESUME_PAUSES_S):
            self._clock.sleep(RESUME_PAUSES_S[self._attempts])
            self._attempts += 1
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
            # A process that has ended has lost its streams: the caller is informed at once
            # instead of after all pauses. Two refused connections are required, as a full
            # backlog may refuse one for a moment.
            refused_connections += isinstance(outcome, outcomes.PortClosed)
            if refused_connections >= MAX_PORT_CLOSED:
                return False
        return False

    def _cancel_remote(self) -> None:
        """Cancel a generation that the engine may keep for a resume.

        Guards the engine's memory: a kept stream would grow although no caller waits for
        it. If the connection is dead, this fails, and the engine's own timeout ends the stream.
        """
        target = self.target
        timeouts = httpexchange.Timeouts(CANCEL_TIMEOUT_S, CANCEL_TIMEOUT_S, CANCEL_TIMEOUT_S)
        CANCEL_EXECUTOR.submit(
            generations.cancel_remote, target.address, target.generation, timeouts
        )


def _is_connection_loss(event: eventparser.Event) -> bool:
    return isinstance(event, eventparser.ConnectionLost | eventparser.Stalled)
