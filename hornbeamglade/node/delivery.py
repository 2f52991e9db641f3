"""Delivers one generation to its caller, as a stream or as one complete response."""

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
INCOMPLETE_RETRY_S = 1.0
CONNECTION_CHECK_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class IncompleteGeneration:
    """A generation that ended before it was complete.

    :param refusal: the final response, with the true run status.
    """

    refusal: outcomes.Refusal


class Delivery(application.AnswerStream):
    """The delivery of one generation to one caller.

    Explanation
    ===========

    Every yielded piece was accepted by the stream's state, so that a token is delivered
    once, in order and from one generation. The last piece is either the engine's finish
    event with ``[DONE]`` or one error event.

    A request that is not repeatable is read to its end even if its caller has
    disconnected, so that the response is recorded and a retry gets it.

    :param scope: the resources that the request holds.
    :param source: the generation.
    :param events: its events, starting with the first one that showed that the engine
        responds.
    :param state: the state of the stream.
    :param path: the API path, which determines the format of a complete response.
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
        self._is_complete = False
        self._is_closed = False
        self._incomplete = IncompleteGeneration(_refusal(state, "caller_left", "the caller left"))
        self._pieces = self._relay()

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the response as server-sent events."""
        return self._pieces

    def read_whole(
        self, is_gone: collections.abc.Callable[[], bool]
    ) -> problems.Response | IncompleteGeneration:
        """Read the generation to its end and return it as one JSON response.

        The caller of this method must still close the delivery.

        :param is_gone: whether the caller has disconnected; reading then ends, unless
            the response is recorded for a retry.
        """
        reads_to_end = self._scope.dispatch.is_recorded
        self._is_recorded = True
        clock = self._scope.parts.clock
        checked_at = clock.now()
        for piece in self._pieces:
            now = clock.now()
            if reads_to_end or (piece is not KEEP_ALIVE and now - checked_at < CONNECTION_CHECK_S):
                continue
            checked_at = now
            if is_gone():
                break
        if not self._is_complete:
            return self._incomplete
        try:
            body = answers.assemble(self._path, self._recorded)
        except codederrors.CodedError as error:
            return IncompleteGeneration(_refusal(self._state, "answer_malformed", error.detail))
        answer = problems.Response(200, JSON_HEADERS, body)
        self._scope.dispatch.record_response(answer)
        return answer

    def close(self) -> None:
        """End the delivery; called at its end and when the caller has disconnected."""
        if self._is_closed:
            return
        self._is_closed = True
        outcome = self._outcome()
        try:
            self._finish()
        finally:
            # Release even if the above fails: a place in a limit that is not released is
            # lost permanently, and a planned stop would wait for it forever.
            self._scope.end(outcome)

    def _finish(self) -> None:
        if self._scope.dispatch.is_recorded:
            # The caller disconnected during a request that runs at most once: without
            # the record, a retry could only be answered with "outcome unknown".
            for _ in self._pieces:
                pass
        self._cancel_generation()
        if self._is_complete:
            body = b"".join(event + EVENT_END for event in self._recorded) + DONE
            self._scope.dispatch.record_response(problems.Response(200, STREAM_HEADERS, body))
        self._record_statistics()

    def abandon(self) -> None:
        """End this generation but not its request, which is to be retried."""
        self._is_closed = True
        self._cancel_generation()
        self._record_statistics()
        self._scope.release_grant()

    def _cancel_generation(self) -> None:
        """Cancel the generation and drop its connection at once.

        The pieces and this delivery refer to each other: without this, the closed
        socket stays open until the garbage collector breaks the reference cycle.
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
                    yield self._end_incomplete(
                        "tokens_missing", f"token {state.next_offset} is missing"
                    )
                    return
            elif type(event) is eventparser.KeepAlive:
                self._record_pause()
                yield KEEP_ALIVE
            else:
                yield self._final_piece(event)
                return
            if now > ends_at:
                yield self._end_incomplete("time_limit", "the request's time is over")
                return
        yield self._end_incomplete("link_lost", "the engine's answer ended early")

    def _final_piece(self, event: eventparser.Event) -> bytes:
        if isinstance(event, eventparser.Finished):
            return self._finished(event)
        if isinstance(event, eventparser.Failed):
            return self._end_incomplete("engine_failed", f"{event.code}: {event.detail}")
        if isinstance(event, eventparser.Stalled):
            return self._end_incomplete("link_stalled", f"nothing came for {event.silent_s:g} s")
        target = self._source.target
        self._scope.report_lost_run(target.replica, target.address)
        return self._end_incomplete("link_lost", event.reason)

    def _finished(self, event: eventparser.Finished) -> bytes:
        # The count guards the last tokens, whose loss no later offset would reveal: the
        # caller would take a truncated response for a complete one.
        if event.completion_tokens != self._state.next_offset:
            detail = f"{self._state.next_offset} of {event.completion_tokens} tokens came"
            return self._end_incomplete("tokens_missing", detail)
        self._state.end()
        self._is_complete = True
        if self._is_recorded:
            self._recorded.append(event.data)
        return event.data + EVENT_END + DONE

    def _end_incomplete(self, code: str, detail: str) -> bytes:
        self._incomplete = IncompleteGeneration(_refusal(self._state, code, detail))
        self._state.end()
        self._scope.parts.metrics.refusals.add(labels=(code, self._scope.team))
        return problems.render_event(self._incomplete.refusal)

    def _record_pause(self) -> None:
        if self._state.next_offset and not self._is_paused:
            self._is_paused = True
            self._scope.parts.metrics.preemptions_seen.add(labels=(self._scope.service_name,))

    def _outcome(self) -> str:
        if self._is_complete:
            return "finished"
        if self._state.phase is generationstream.Phase.ENDED:
            return "cut"
        return "caller_left"

    def _record_statistics(self) -> None:
        scope = self._scope
        now = scope.parts.clock.now()
        scope.parts.metrics.stream_finished(scope.service_name, self._times, now)
        tokens = self._state.next_offset
        if tokens:
            scope.parts.schedulers.observe_length(
                scope.service_name, scope.team, tokens, censored=not self._is_complete
            )
        mean_gap_s = _mean_gap_s(self._times, now, scope.started)
        if self._is_complete:
            scope.parts.quarantine.completed(scope.fingerprint)
            scope.parts.catalog.succeeded(self._source.target.replica, mean_gap_s)


def _refusal(state: generationstream.GenerationStream, code: str, detail: str) -> outcomes.Refusal:
    ran = outcomes.RunStatus.RAN if state.next_offset else outcomes.RunStatus.UNKNOWN
    return outcomes.Refusal(code, 502, detail, ran, retry_after_s=INCOMPLETE_RETRY_S)


def _mean_gap_s(times: metricsstream.StreamTimes, now: float, started: float) -> float:
    if times.tokens < 2 or times.time_to_first_token_s is None:
        return 0.0
    return (now - started - times.time_to_first_token_s) / (times.tokens - 1)
