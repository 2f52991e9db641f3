"""A deterministic model of one continuous-batching engine.

Explanation
===========

Each step produces one token for every decoding sequence, as in iteration-level
scheduling [1]_; memory is allocated in blocks [2]_. When no block is free, the
running sequence with the lowest priority, and among these the latest arrival, is
preempted: its blocks are freed and it waits until its prompt and the tokens it
has produced can be recomputed. There is no randomness and no clock is read; slowdowns of the
engine's machine come from a seed (:mod:`hornbeamglade.emulator.machineslowdowns`).

References
==========

.. [1] G. Yu et al., "Orca: A Distributed Serving System for Transformer-Based
   Generative Models", OSDI 2022.
.. [2] W. Kwon et al., "Efficient Memory Management for Large Language Model
   Serving with PagedAttention", SOSP 2023.
"""

import dataclasses
import heapq

from hornbeamglade.core import codederrors
from hornbeamglade.emulator import machineslowdowns, prefixcache


@dataclasses.dataclass(frozen=True, slots=True)
class Sequence:
    """One generation request to the engine.

    :param request_id: unique among the engine's current sequences.
    :param prompt_tokens: tokens of the prompt; at least 1.
    :param answer_tokens: the true length of the answer, hidden from policies; at least 1.
    :param priority: larger is more urgent.
    :param prefix: hashes of the prompt's leading full blocks, outermost first.
    :param copied_tokens: prompt tokens whose KV cache was copied from another engine, so
        that only the others are computed.
    """

    request_id: str
    prompt_tokens: int
    answer_tokens: int
    priority: int = 0
    prefix: tuple[int, ...] = ()
    copied_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StepCosts:
    """Time that a step takes in addition to its base duration, at a time factor of 1.

    :param other_run_s: seconds for each decoding sequence but the first.
    :param prefill_token_s: seconds for each prompt token computed in the step.
    """

    other_run_s: float = 0.0
    prefill_token_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StepResult:
    """The result of one step.

    :param token_count_by_id: number of new tokens, by sequence that got any.
    :param finished: sequences whose last token is among these tokens.
    :param truncated: those of ``finished`` that were cut because they alone filled the memory.
    :param preempted: sequences that lost their memory.
    :param resumed: preempted sequences that got memory again.
    :param started: sequences that got memory for the first time.
    :param duration_s: duration of the step, in seconds of virtual time.
    """

    token_count_by_id: dict[str, int]
    finished: tuple[str, ...]
    truncated: tuple[str, ...]
    preempted: tuple[str, ...]
    resumed: tuple[str, ...]
    started: tuple[str, ...]
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ModelLoad:
    """The engine's current load; preemptions are counted since the start."""

    capacity_tokens: int
    used_tokens: int
    running: int
    waiting: int
    preemptions: int


@dataclasses.dataclass(slots=True, eq=False)
class _State:
    """A sequence's mutable state.

    ``free_slots`` is the number of tokens that still fit into the last block,
    ``tokens_left`` the number of tokens that are still to be generated.
    """

    sequence: Sequence
    arrival: int
    tokens_left: int
    prefill_left: int = 0
    free_slots: int = 0
    shared: tuple[int, ...] = ()
    private_blocks: int = 0
    was_preempted: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: highest priority first, then earliest arrival."""
        return (-self.sequence.priority, self.arrival)


class EngineModel:
    """One engine in virtual time.

    Examples
    ========

    >>> model = EngineModel(capacity_tokens=1600)
    >>> model.submit(Sequence("a", prompt_tokens=100, answer_tokens=2))
    >>> model.step().token_count_by_id
    {'a': 1}
    >>> model.step().finished
    ('a',)

    :param capacity_tokens: memory, in tokens.
    :param block_tokens: tokens per block.
    :param step_s: duration of a step in seconds when ``slow_factor`` is 1.
    :param max_running: maximum number of sequences that hold memory.
    :param prefill_tokens_per_step: prompt tokens computed per step, over all sequences.
    :param slow_factor: multiplies the duration of steps; may be set at any time.
    :param time_factor: the engine's own speed: multiplies the duration of its steps.
    :param costs: time that runs and prompt tokens add to a step.
    :param machine: slowdowns of the machine that the engine runs on, or None.
    """

    def __init__(
        self,
        capacity_tokens: int,
        block_tokens: int = 16,
        step_s: float = 0.026,
        max_running: int = 64,
        prefill_tokens_per_step: int = 2048,
        slow_factor: float = 1.0,
        time_factor: float = 1.0,
        costs: StepCosts | None = None,
        machine: machineslowdowns.Machine | None = None,
    ) -> None:
        self.block_tokens = block_tokens
        self.step_s = step_s
        self.slow_factor = slow_factor
        self.time_factor = time_factor
        self.now_s = 0.0
        self.preemptions = 0
        self.recomputed_tokens = 0
        self.pool = prefixcache.BlockPool(capacity_tokens // block_tokens)
        self._costs = costs or StepCosts()
        self._machine = machine
        self._max_running = max_running
        self._prefill_tokens_per_step = prefill_tokens_per_step
        self._arrivals = 0
        self._state_by_id: dict[str, _State] = {}
        self._decoding_by_id: dict[str, _State] = {}
        self._prefilling_by_id: dict[str, _State] = {}
        self._waiting_by_id: dict[str, _State] = {}
        self._waiting_heap: list[tuple[int, int, str]] = []

    def submit(self, sequence: Sequence) -> None:
        """Add a sequence to the engine's queue.

        :raises CodedError: when its prompt can never fit or its id is in use.
        """
        request_id = sequence.request_id
        if request_id in self._state_by_id:
            raise codederrors.CodedError("sequence_duplicate", f"{request_id} is present already")
        if self._block_count(sequence.prompt_tokens + 1) > self.pool.capacity:
            detail = f"a prompt of {sequence.prompt_tokens} tokens never fits"
            raise codederrors.CodedError("prompt_too_long", detail)
        self._arrivals += 1
        state = _State(sequence, self._arrivals, sequence.answer_tokens)
        self._state_by_id[request_id] = state
        self._wait(state)

    def cancel(self, request_id: str) -> bool:
        """Drop a sequence and free its memory.

        :returns: False when there is no such sequence.
        """
        state = self._state_by_id.pop(request_id, None)
        if state is None:
            return False
        if self._waiting_by_id.pop(request_id, None) is None:
            self._free(state)
        return True

    def step(self) -> StepResult:
        """Advance the engine by one step."""
        preempted = self._grow()
        truncated = tuple(i for i in preempted if i not in self._state_by_id)
        started: list[str] = []
        resumed: list[str] = []
        if self._waiting_by_id and not preempted:
            self._admit(started, resumed)
        prefilled = self._prefill() if self._prefilling_by_id else 0
        tokens, finished = self._decode()
        duration_s = self._duration_s(len(tokens), prefilled)
        self.now_s += duration_s
        return StepResult(
            tokens,
            (*truncated, *finished),
            truncated,
            tuple(i for i in preempted if i not in truncated),
            tuple(resumed),
            tuple(started),
            duration_s,
        )

    def load(self) -> ModelLoad:
        """Return the current load."""
        return ModelLoad(
            self.pool.capacity * self.block_tokens,
            self.pool.used * self.block_tokens,
            len(self._decoding_by_id) + len(self._prefilling_by_id),
            len(self._waiting_by_id),
            self.preemptions,
        )

    def computing(self, request_id: str) -> bool:
        """Return whether the sequence holds memory, rather than waiting or being gone."""
        return request_id in self._decoding_by_id or request_id in self._prefilling_by_id

    def drain_cache_events(self) -> tuple[prefixcache.CacheEvent, ...]:
        """Return the prefix cache's events since the last call."""
        return self.pool.drain_events()

    def _duration_s(self, runs: int, prefilled: int) -> float:
        """Return the duration of a step that decodes ``runs`` sequences and begins now."""
        duration_s = self.step_s
        duration_s += self._costs.other_run_s * max(0, runs - 1)
        duration_s += self._costs.prefill_token_s * prefilled
        busy = self._machine.factor_at(self.now_s) if self._machine is not None else 1.0
        return duration_s * self.slow_factor * self.time_factor * busy

    def _block_count(self, tokens: int) -> int:
        return -(-tokens // self.block_tokens)

    def _wait(self, state: _State) -> None:
        request_id = state.sequence.request_id
        self._waiting_by_id[request_id] = state
        heapq.heappush(self._waiting_heap, (*state.order, request_id))

    def _free(self, state: _State) -> None:
        request_id = state.sequence.request_id
        self._decoding_by_id.pop(request_id, None)
        self._prefilling_by_id.pop(request_id, None)
        self.pool.release(state.shared, state.private_blocks)
        state.shared = ()
        state.private_blocks = 0

    def _grow(self) -> list[str]:
        """Allocate a block for each decoding sequence whose last block is full."""
        growing = [s for s in self._decoding_by_id.values() if not s.free_slots]
        preempted: list[str] = []
        if not growing:
            return preempted
        growing.sort(key=lambda state: state.order)
        for state in growing:
            while self._holds_memory(state) and not self.pool.allocate():
                preempted.append(self._preempt())
            if self._holds_memory(state):
                state.private_blocks += 1
                state.free_slots = self.block_tokens
        return preempted

    def _holds_memory(self, state: _State) -> bool:
        return state.sequence.request_id in self._decoding_by_id

    def _preempt(self) -> str:
        running = [*self._decoding_by_id.values(), *self._prefilling_by_id.values()]
        victim = max(running, key=lambda state: state.order)
        request_id = victim.sequence.request_id
        self._free(victim)
        if len(running) == 1:
            # It has all the memory and needs more. Recomputing it would lead here again,
            # forever, so it is truncated instead.
            del self._state_by_id[request_id]
            return request_id
        victim.was_preempted = True
        self.preemptions += 1
        self._wait(victim)
        return request_id

    def _admit(self, started: list[str], resumed: list[str]) -> None:
        running = len(self._decoding_by_id) + len(self._prefilling_by_id)
        while self._waiting_heap and running < self._max_running:
            _, arrival, request_id = self._waiting_heap[0]
            state = self._waiting_by_id.get(request_id)
            if state is None or state.arrival != arrival:
                heapq.heappop(self._waiting_heap)
                continue
            if not self._start(state):
                return
            heapq.heappop(self._waiting_heap)
            del self._waiting_by_id[request_id]
            running += 1
            (resumed if state.was_preempted else started).append(request_id)

    def _start(self, state: _State) -> bool:
        sequence = state.sequence
        produced = sequence.answer_tokens - state.tokens_left
        tokens = sequence.prompt_tokens + produced
        full_prompt_blocks = sequence.prompt_tokens // self.block_tokens
        prefix = sequence.prefix[:full_prompt_blocks]
        hits = prefix[: self.pool.cached_prefix(prefix)]
        needed = self._block_count(tokens + 1) - len(hits)
        if needed > self.pool.free - self.pool.blocks_to_reuse(hits):
            return False
        self.pool.add_references(hits)
        for _ in range(needed):
            self.pool.allocate()
        state.shared = hits
        state.private_blocks = needed
        state.free_slots = (needed + len(hits)) * self.block_tokens - tokens
        present = len(hits) * self.block_tokens
        if not state.was_preempted:
            present = max(present, sequence.copied_tokens)
        state.prefill_left = max(1, tokens - present)
        if state.was_preempted:
            self.recomputed_tokens += state.prefill_left
        self._prefilling_by_id[sequence.request_id] = state
        return True

    def _prefill(self) -> int:
        """Compute prompt tokens up to the budget of a step; return how many."""
        budget = self._prefill_tokens_per_step
        done = []
        for request_id, state in self._prefilling_by_id.items():
            computed = min(budget, state.prefill_left)
            state.prefill_left -= computed
            budget -= computed
            if not state.prefill_left:
                done.append(request_id)
            if not budget:
                break
        for request_id in done:
            state = self._prefilling_by_id.pop(request_id)
            self._publish(state)
            self._decoding_by_id[request_id] = state
        return self._prefill_tokens_per_step - budget

    def _publish(self, state: _State) -> None:
        full_prompt_blocks = state.sequence.prompt_tokens // self.block_tokens
        for block in state.sequence.prefix[len(state.shared) : full_prompt_blocks]:
            if not self.pool.publish(block):
                return
            state.shared = (*state.shared, block)
            state.private_blocks -= 1

    def _decode(self) -> tuple[dict[str, int], list[str]]:
        finished = []
        for request_id, state in self._decoding_by_id.items():
            state.free_slots -= 1
            state.tokens_left -= 1
            if not state.tokens_left:
                finished.append(request_id)
        tokens = dict.fromkeys(self._decoding_by_id, 1)
        for request_id in finished:
            self._free(self._state_by_id.pop(request_id))
        return tokens, finished
