import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from hornbeamglade.core import outcomes
from hornbeamglade.fairness import fairqueue, queuesettings

TEAM_WEIGHTS = {"a": 1.0, "b": 2.0, "c": 4.0}
ANSWER = st.integers(0, 60)


class QueueMachine(stateful.RuleBasedStateMachine):
    """Every offered request ends exactly once, and the limits hold."""

    def __init__(self):
        super().__init__()
        self.settings = queuesettings.QueueSettings(max_waiting=8, max_passes=2, ageing_s=2.0)
        self.queue = fairqueue.FairQueue(self.settings)
        self.now = 0.0
        self.count = 0
        self.deadline_by_id = {}
        self.ended = set()

    def end(self, request_id):
        assert request_id not in self.ended
        self.ended.add(request_id)
        return self.deadline_by_id.pop(request_id)

    @stateful.rule(
        team=st.sampled_from(sorted(TEAM_WEIGHTS)),
        priority=st.integers(0, 2),
        prompt=st.sampled_from([0, 10, 500]),
        patience=st.sampled_from([0.0, 1.0, 5.0, 50.0]),
    )
    def offer(self, team, priority, prompt, patience):
        self.count += 1
        work = outcomes.Work(f"r{self.count}", "chat", team, priority, prompt)
        self.deadline_by_id[work.request_id] = self.now + patience
        weight = TEAM_WEIGHTS[team]
        result = self.queue.offer(work, weight, self.now, self.now + patience)
        if isinstance(result, outcomes.Refusal):
            assert result.run is outcomes.RunStatus.NOT_RUN
            self.end(work.request_id)
            return
        for removed in result.displaced:
            self.end(removed.work.request_id)

    @stateful.rule(headroom=st.sampled_from([5, 100, 1000]), answer=ANSWER)
    def take(self, headroom, answer):
        work = self.queue.take(lambda work: work.prompt_tokens <= headroom, self.now)
        if work is None:
            return
        assert work.prompt_tokens <= headroom
        assert self.end(work.request_id) > self.now
        self.queue.charge_output(work.team, answer)

    @stateful.rule()
    def expire(self):
        for removed in self.queue.expire(self.now):
            self.end(removed.work.request_id)
        assert all(deadline > self.now for deadline in self.deadline_by_id.values())

    @stateful.rule(data=st.data())
    def remove(self, data):
        known = sorted(self.deadline_by_id) or ["none"]
        request_id = data.draw(st.sampled_from(known))
        if self.queue.remove(request_id) is not None:
            self.end(request_id)

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def matches_the_model(self):
        assert len(self.queue) == len(self.deadline_by_id) <= self.settings.max_waiting
        assert all(request_id in self.queue for request_id in self.deadline_by_id)
        for team in TEAM_WEIGHTS:
            assert self.queue.queued_count(team) <= self.settings.max_per_team


BOUNDED = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=40
)
TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = BOUNDED


@hypothesis.settings(BOUNDED, max_examples=30)
@hypothesis.given(
    prompts=st.fixed_dictionaries({team: st.integers(1, 200) for team in TEAM_WEIGHTS}),
    answers=st.lists(st.integers(1, 400), min_size=5, max_size=20),
)
def test_shares_of_backlogged_teams_follow_their_weights(prompts, answers):
    # One team sends far larger requests than the others. In order of arrival it would get
    # nearly all tokens; by weight the teams get tokens in the ratio 1 to 2 to 4.
    queue = fairqueue.FairQueue(queuesettings.QueueSettings(max_waiting=60))
    served = dict.fromkeys(TEAM_WEIGHTS, 0)
    for step in range(700):
        for team, weight in TEAM_WEIGHTS.items():
            while queue.queued_count(team) < 5:
                request_id = f"{team}{step}-{queue.queued_count(team)}"
                work = outcomes.Work(request_id, "chat", team, 0, prompts[team])
                queue.offer(work, weight, float(step), 1e9)
        work = queue.take(lambda work: True, float(step))
        answer = answers[step % len(answers)]
        queue.charge_output(work.team, answer)
        served[work.team] += work.prompt_tokens + answer
    times = [served[team] / weight for team, weight in TEAM_WEIGHTS.items()]
    largest_step = max(prompts.values()) + max(answers)
    assert max(times) - min(times) <= largest_step
