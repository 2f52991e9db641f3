"""The modelled engine completes all generations and accounts for its memory."""

import hypothesis
import hypothesis.strategies as st
import pytest

from hornbeamglade.core import codederrors
from hornbeamglade.emulator import enginemodel, machineslowdowns


def sequence(request_id, prompt=16, answer=32, priority=0, prefix=()):
    return enginemodel.Sequence(request_id, prompt, answer, priority, prefix)


def run(model, steps=10_000):
    counts = {}
    results = []
    for _ in range(steps):
        load = model.load()
        if not load.running and not load.waiting:
            break
        result = model.step()
        results.append(result)
        for request_id, count in result.token_count_by_id.items():
            counts[request_id] = counts.get(request_id, 0) + count
    return counts, results


def test_lowest_priority_then_latest_is_preempted_and_completes():
    model = enginemodel.EngineModel(capacity_tokens=96)
    model.submit(sequence("urgent", priority=2, answer=48))
    model.submit(sequence("early", answer=40))
    model.submit(sequence("late", answer=40))
    counts, results = run(model)
    assert [i for r in results for i in r.preempted][0] == "late"
    assert "urgent" not in [i for r in results for i in r.preempted]
    assert counts == {"urgent": 48, "early": 40, "late": 40}
    assert model.preemptions == len([i for r in results for i in r.resumed])
    assert model.recomputed_tokens > 0
    assert model.load().used_tokens == 0


def test_a_sequence_that_fills_the_memory_alone_is_truncated():
    model = enginemodel.EngineModel(capacity_tokens=64)
    model.submit(sequence("a", answer=1000))
    counts, results = run(model)
    assert counts == {"a": 48}
    assert results[-1].truncated == results[-1].finished == ("a",)


def test_prefill_takes_steps_and_a_cached_prefix_saves_them():
    model = enginemodel.EngineModel(1600, prefill_tokens_per_step=16)
    prefix = (1, 2, 3)
    model.submit(sequence("a", prompt=50, answer=1, prefix=prefix))
    assert len(run(model)[1]) == 4
    model.submit(sequence("b", prompt=50, answer=1, prefix=prefix))
    assert len(run(model)[1]) == 1
    assert [(e.kind, e.block) for e in model.drain_cache_events()] == [
        ("stored", block) for block in prefix
    ]


def test_memory_pressure_evicts_the_innermost_cached_block_first():
    model = enginemodel.EngineModel(64)
    model.submit(sequence("a", prompt=32, answer=1, prefix=(1, 2)))
    run(model)
    model.drain_cache_events()
    model.submit(sequence("b", prompt=40, answer=1))
    run(model)
    assert [(e.kind, e.block) for e in model.drain_cache_events()] == [("evicted", 2)]


def test_cancel_frees_memory_and_removes_waiting_sequences():
    model = enginemodel.EngineModel(64, max_running=1)
    model.submit(sequence("a"))
    model.submit(sequence("b"))
    model.step()
    assert model.cancel("a") and model.cancel("b") and not model.cancel("b")
    assert model.load() == enginemodel.ModelLoad(64, 0, 0, 0, 0)


def test_a_resubmitted_sequence_queues_behind_earlier_ones():
    model = enginemodel.EngineModel(64, max_running=1)
    for request_id in ("first", "again", "other"):
        model.submit(sequence(request_id))
    model.cancel("again")
    model.submit(sequence("again"))
    started = [i for result in run(model)[1] for i in result.started]
    assert started == ["first", "other", "again"]


def test_a_prompt_that_never_fits_is_rejected():
    with pytest.raises(codederrors.CodedError, match="prompt_too_long"):
        enginemodel.EngineModel(64).submit(sequence("a", prompt=64))


def test_slow_factor_stretches_virtual_time():
    model = enginemodel.EngineModel(64, step_s=0.02)
    model.slow_factor = 3.0
    assert model.step().duration_s == pytest.approx(model.now_s) == pytest.approx(0.06)


def test_time_factor_runs_and_prompt_tokens_stretch_steps():
    """Guards against slow engines whose prefill costs as little as that of fast ones."""
    costs = enginemodel.StepCosts(other_run_s=0.001, prefill_token_s=0.0001)
    model = enginemodel.EngineModel(
        640, step_s=0.01, prefill_tokens_per_step=20, time_factor=2.0, costs=costs
    )
    for request_id in ("a", "b"):
        model.submit(sequence(request_id, prompt=20, answer=9))
    assert model.step().duration_s == pytest.approx(2 * (0.01 + 0.002))
    assert model.step().duration_s == pytest.approx(2 * (0.01 + 0.001 + 0.002))
    assert model.step().duration_s == pytest.approx(2 * (0.01 + 0.001))


def test_a_copied_prompt_is_not_computed_again():
    model = enginemodel.EngineModel(1600, prefill_tokens_per_step=16)
    model.submit(enginemodel.Sequence("a", 160, 1, copied_tokens=160))
    assert len(run(model)[1]) == 1


def test_slowdowns_take_their_share_and_follow_the_seed():
    """Guards against experiments whose busy machines differ from the stated load."""
    slowdowns = machineslowdowns.Slowdowns(share=0.15, factor=2.5, window_s=0.6)

    def factors(seed):
        machine = machineslowdowns.Machine(slowdowns, seed)
        return [machine.factor_at(0.02 * step) for step in range(100_000)]

    first = factors(1)
    assert set(first) == {1.0, 2.5}
    assert sum(each > 1.0 for each in first) / len(first) == pytest.approx(0.15, abs=0.02)
    assert first == factors(1) != factors(2)


def test_a_busy_machine_stretches_steps_and_an_idle_one_does_not():
    slowdowns = machineslowdowns.Slowdowns(share=0.5, factor=3.0)
    model = enginemodel.EngineModel(
        64, step_s=0.02, machine=machineslowdowns.Machine(slowdowns, 1)
    )
    durations = {round(model.step().duration_s, 6) for _ in range(500)}
    assert durations == {0.02, 0.06}


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=60)
@hypothesis.given(
    st.lists(
        st.tuples(st.integers(1, 60), st.integers(1, 60), st.integers(0, 2), st.integers(0, 3)),
        max_size=12,
    ),
    st.integers(8, 20),
)
def test_every_answer_is_whole_and_memory_never_overflows(specs, blocks):
    model = enginemodel.EngineModel(blocks * 16, max_running=6, prefill_tokens_per_step=40)
    for number, (prompt, answer, priority, shared) in enumerate(specs):
        prefix = tuple(range(shared)) + (100 + number,)
        model.submit(sequence(str(number), prompt, answer, priority, prefix))
    counts, results = run(model)
    assert not any(r.preempted and (r.started or r.resumed) for r in results)
    assert counts == {str(n): spec[1] for n, spec in enumerate(specs)}
    assert model.load().used_tokens == 0 and model.pool.free == blocks
