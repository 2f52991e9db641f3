"""Deliver one generation to its caller, as a stream or as a whole."""

import collections.abc
import dataclasses

from hornbeamglade.backends import eventparser
from hornbeamglade.callers import answers, application, problems
from hornbeamglade.core import codederrors, outcomes
from hornbeamglade.node import generationsource, requestscope
from hornbeamglade.observability import metricsstream
from hornbeamglade.streams import generationstream

STREAM_HEADERS = (("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache"))
JSON_HEADERS = (("Content-Type", "application/json"),)
EVENT_END = b"\n\n"
DONE = b"data: [DONE]\n\n"
KEEP_ALIVE = b": keep-alive\n\n"
CUT_RETRY_S = 1.0
LINK_CHECK_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A generation that ended before it was whole.

    :param refusal: the truthful final answer.
    """

    refusal: outcomes.Refusal


class Delivery(application.AnswerStream):
    """One generation on its way to one caller.

    Explanation
    ===========

    Every piece that is yielded was accepted by the stream's aggregate, so that a
    token is delivered once, in order and from one generation. The last piece is
    either the engine's finish with ``[DONE]`` or one error event.

    A request that is not repeatable is read to its end even when its caller has
    left, so that the answer is recorded and a caller who asks again gets it.

    :param scope: what the request holds.
    :param source: the generation.
    :param events: its events from the first one on, which has shown that there is
        an answer.
    :param state: the stream's aggregate.
    :param path: the API path, which decides the shape of a whole answer.
    """

    headers = STREAM_HEADERS

    def __init__(
        self,
        scope: requestscope.RequestScope,
        source: generationsource.GenerationSource,
        events: collections.abc.Iterator[eventparser.Event],
        state: generationstream.GenerationStream,
        path: str,
    ) -> None:
        self._scope = scope
        self._source = source
        self._events = events
        self._state = state
        self._path = path
        self._recorded: list[bytes] = []
        self._is_recorded = scope.dispatch.is_recorded
        self._times = scope.parts.metrics.stream_times(scope.service_name, scope.started)
        self._is_paused = False
        self._is_whole = False
        self._is_closed = False
        self._cut = Cut(_refusal(state, "caller_left", "the caller left"))
        self._pieces = self._relay()

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the answer's pieces as server-sent events."""
        return self._pieces

    def whole(self, is_gone: collections.abc.Callable[[], bool]) -> problems.Response | Cut:
        """Read the generation to its end and return it as one JSON answer.

        The caller of this method still has to close the delivery.

        :param is_gone: whether the caller has left; the reading then ends, unless
            the answer is recorded for a caller who asks again.
        """
        keeps_on = self._scope.dispatch.is_recorded
        self._is_recorded = True
        clock = self._scope.parts.clock
        looked_at = clock.now()
        for piece in self._pieces:
            now = clock.now()
            if keeps_on or (piece is not KEEP_ALIVE and now - looked_at < LINK_CHECK_S):
                continue
            looked_at = now
            if is_gone():
                break
        if not self._is_whole:
            return self._cut
        try:
            body = answers.assemble(self._path, self._recorded)
        except codederrors.CodedError as error:
            return Cut(_refusal(self._state, "answer_malformed", error.detail))
        answer = problems.Response(200, JSON_HEADERS, body)
        self._scope.dispatch.answered(answer)
        return answer

    def close(self) -> None:
        """End the delivery; called at its end and when the caller has left."""
        if self._is_closed:
            return
        self._is_closed = True
        outcome = self._outcome()
        try:
            self._settle()
        finally:
            # Whatever went wrong above: a place that is kept is lost for good, and a
            # planned stop would wait for it for ever.
            self._scope.end(outcome)

    def _settle(self) -> None:
        if self._scope.dispatch.is_recorded:
            # The caller left in the middle of a request that runs at most once:
            # without the record its retry could only be told "outcome unknown".
            for _ in self._pieces:
                pass
        self._drop()
        if self._is_whole:
            body = b"".join(event + EVENT_END for event in self._recorded) + DONE
            self._scope.dispatch.answered(problems.Response(200, STREAM_HEADERS, body))
        self._learn()

    def abandon(self) -> None:
        """End this generation but not its request, which is to be run again."""
        self._is_closed = True
        self._drop()
        self._learn()
        self._scope.release_grant()

    def _drop(self) -> None:
        """Cancel the generation and let go of its connection at once.

        The pieces refer to this delivery and it to them: without this, the closed
        socket stays open until the collector of cycles comes by.
        """
        self._source.cancel()
        self._pieces = self._events = iter(())

    def _relay(self) -> collections.abc.Iterator[bytes]:
        generation = self._source.target.generation
        state = self._state
        clock = self._scope.parts.clock
        grant = self._scope.grant
        times = self._times
        ends_at = self._scope.ends_at
        for event in self._events:
            now = clock.now()
            if type(event) is eventparser.Token:
                if state.accept(generation, event.offset):
                    times.token(now)
                    grant.produced = state.next_offset
                    if self._is_recorded:
                        self._recorded.append(event.data)
                    self._is_paused = False
                    yield event.data + EVENT_END
                elif event.offset > state.next_offset:
                    yield self._end_cut("tokens_missing", f"token {state.next_offset} is missing")
                    return
            elif type(event) is eventparser.KeepAlive:
                self._note_pause()
                yield KEEP_ALIVE
            else:
                yield self._last(event)
                return
            if now > ends_at:
                yield self._end_cut("time_limit", "the request's time is over")
                return
        yield self._end_cut("link_lost", "the engine's answer ended early")

    def _last(self, event: eventparser.Event) -> bytes:
        if isinstance(event, eventparser.Finished):
            return self._finished(event)
        if isinstance(event, eventparser.Failed):
            return self._end_cut("engine_failed", f"{event.code}: {event.detail}")
        if isinstance(event, eventparser.Stalled):
            return self._end_cut("link_stalled", f"nothing came for {event.silent_s:g} s")
        target = self._source.target
        self._scope.run_lost(target.replica, target.address)
        return self._end_cut("link_lost", event.reason)

    def _finished(self, event: eventparser.Finished) -> bytes:
        # The count guards the last tokens, whose loss no later offset would show: the
        # caller would take a cut answer for a whole one.
        if event.completion_tokens != self._state.next_offset:
            detail = f"{self._state.next_offset} of {event.completion_tokens} tokens came"
            return self._end_cut("tokens_missing", detail)
        self._state.end()
        self._is_whole = True
        if self._is_recorded:
            self._recorded.append(event.data)
        return event.data + EVENT_END + DONE

    def _end_cut(self, code: str, detail: str) -> bytes:
        self._cut = Cut(_refusal(self._state, code, detail))
        self._state.end()
        self._scope.parts.metrics.refusals.add(labels=(code, self._scope.team))
        return problems.render_event(self._cut.refusal)

    def _note_pause(self) -> None:
        if self._state.next_offset and not self._is_paused:
            self._is_paused = True
            self._scope.parts.metrics.preemptions_seen.add(labels=(self._scope.service_name,))

    def _outcome(self) -> str:
        if self._is_whole:
            return "finished"
        if self._state.phase is generationstream.Phase.ENDED:
            return "cut"
        return "caller_left"

    def _learn(self) -> None:
        scope = self._scope
        now = scope.parts.clock.now()
        scope.parts.metrics.stream_finished(scope.service_name, self._times, now)
        tokens = self._state.next_offset
        if tokens:
            scope.parts.schedulers.observe_length(
                scope.service_name, scope.team, tokens, censored=not self._is_whole
            )
        mean_gap_s = _mean_gap_s(self._times, now, scope.started)
        if self._is_whole:
            scope.parts.quarantine.completed(scope.fingerprint)
            scope.parts.catalog.succeeded(self._source.target.replica, mean_gap_s)


def _refusal(state: generationstream.GenerationStream, code: str, detail: str) -> outcomes.Refusal:
    ran = outcomes.RunStatus.RAN if state.next_offset else outcomes.RunStatus.UNKNOWN
    return outcomes.Refusal(code, 502, detail, ran, retry_after_s=CUT_RETRY_S)


def _mean_gap_s(times: metricsstream.StreamTimes, now: float, started: float) -> float:
    if times.tokens < 2 or times.time_to_first_token_s is None:
        return 0.0
    return (now - started - times.time_to_first_token_s) / (times.tokens - 1)
