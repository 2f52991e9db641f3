from hornbeamglade.retries import budget


def test_retries_stay_a_share_of_requests_in_an_outage():
    # A pool fails and each failed request is tried three times more. The replicas left
    # get four times the load, fail too, and the outage outlives its cause.
    made = budget.RetryBudget(budget.RetrySettings(share=0.1, burst=10.0))
    retries = 0
    for _ in range(1000):
        made.record_request()
        retries += sum(made.spend(repeatable=True) for _ in range(3))
    assert 100 <= retries <= 110


def test_what_is_not_repeatable_is_never_tried_again():
    # A reservation hold times out, is sent again, and one unit is promised twice.
    made = budget.RetryBudget(budget.RetrySettings())
    assert not any(made.spend(repeatable=False) for _ in range(20))
    assert made.spend(repeatable=True)


def test_quiet_time_saves_up_no_more_than_the_burst():
    made = budget.RetryBudget(budget.RetrySettings(share=1.0, burst=2.0))
    for _ in range(100):
        made.record_request()
    assert [made.spend(repeatable=True) for _ in range(3)] == [True, True, False]
