from hornbeamglade.retries import budget


def test_retries_are_limited_to_a_share_of_requests_in_an_outage():
    # A pool fails partially and each failed request is retried three times. Without a limit
    # the remaining replicas get four times the load and fail too, and the outage outlasts
    # its cause.
    retry_budget = budget.RetryBudget(budget.RetrySettings(share=0.1, burst=10.0))
    retries = 0
    for _ in range(1000):
        retry_budget.record_request()
        retries += sum(retry_budget.spend(repeatable=True) for _ in range(3))
    assert 100 <= retries <= 110


def test_non_repeatable_request_is_never_retried():
    # If a reservation that timed out were sent again, one unit would be reserved twice.
    retry_budget = budget.RetryBudget(budget.RetrySettings())
    assert not any(retry_budget.spend(repeatable=False) for _ in range(20))
    assert retry_budget.spend(repeatable=True)


def test_budget_never_exceeds_the_burst():
    retry_budget = budget.RetryBudget(budget.RetrySettings(share=1.0, burst=2.0))
    for _ in range(100):
        retry_budget.record_request()
    assert [retry_budget.spend(repeatable=True) for _ in range(3)] == [True, True, False]
