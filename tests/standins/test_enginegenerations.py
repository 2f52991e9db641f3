"""Generations are readable without the lock while the model is stepped."""

import pytest

from hornbeamglade.standins import enginegenerations, engineresponses, enginesettings


class _ObservedRun(enginegenerations.Run):
    """Records how many tokens were visible when the run was seen to be finished."""

    def __setattr__(self, name, value):
        super().__setattr__(name, value)
        if value is enginegenerations.RunState.FINISHED:
            self.idempotency_key = self.produced


@pytest.mark.parametrize("tokens", [1, 20])
def test_end_of_a_run_is_not_visible_before_its_last_token(tokens):
    generations = enginegenerations.Generations(enginesettings.EngineSettings(step_s=0.001))
    generation = engineresponses.Generation("draft", False, "hi", 1, tokens, "stop")
    run = _ObservedRun("r", None, "/v1/completions", generation, "mark")
    generations.submit(run, 0)
    while run.state is enginegenerations.RunState.RUNNING:
        generations._tick()
    assert run.idempotency_key == tokens
