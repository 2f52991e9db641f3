from hornbeamglade.routing import outliers

POOL = ["a", "b", "c", "d"]


def detector(**settings):
    outlier_detector = outliers.OutlierDetector(outliers.OutlierSettings(**settings))
    outlier_detector.set_members(POOL)
    return outlier_detector


def fail(pool_detector, replica, times=3, now=0.0):
    for _ in range(times):
        pool_detector.failed(replica, now)


def test_consecutive_failures_eject():
    pool_detector = detector()
    fail(pool_detector, "a", 2)
    pool_detector.succeeded("a", 0.03, now=0.0)
    fail(pool_detector, "a", 2)
    assert not pool_detector.is_ejected("a")
    fail(pool_detector, "a", 1)
    assert pool_detector.is_ejected("a")


def test_ejected_share_of_the_pool_is_limited():
    # The entry node's own link stalls for ten seconds and every replica seems to fail.
    # With the whole pool ejected, the node would refuse all requests even after the link
    # is back.
    pool_detector = detector(max_share=0.5)
    for replica in POOL:
        fail(pool_detector, replica, 10)
    assert [pool_detector.is_ejected(replica) for replica in POOL] == [True, True, False, False]


def test_replica_far_slower_than_the_median_is_ejected():
    # One engine completes all requests, but at a fifth of the speed of its pool. A share of
    # all streams is slow for hours, and nothing counts as a failure.
    pool_detector = detector(min_samples=5)
    for _ in range(10):
        for replica in POOL:
            pool_detector.succeeded(replica, 0.13 if replica == "a" else 0.026, now=0.0)
    assert pool_detector.is_ejected("a")


def test_moderately_slow_replica_gets_a_slow_factor():
    pool_detector = detector(min_samples=5)
    for _ in range(10):
        for replica in POOL:
            pool_detector.succeeded(replica, 0.052 if replica == "a" else 0.026, now=0.0)
    assert not pool_detector.is_ejected("a")
    assert 1.9 < pool_detector.slow_factor("a") < 2.1
    assert pool_detector.slow_factor("b") == 1.0


def test_one_request_probes_after_the_ejection():
    # If a replica were readmitted after five seconds without a probe, it would at once get
    # a third of all requests. If it still fails, all of them fail instead of one.
    pool_detector = detector()
    fail(pool_detector, "a")
    assert [
        pool_detector.probe_due(4.9),
        pool_detector.probe_due(5.0),
        pool_detector.probe_due(5.1),
    ] == [
        None,
        "a",
        None,
    ]
    assert pool_detector.is_ejected("a")


def test_failed_probe_doubles_the_ejection():
    pool_detector = detector()
    fail(pool_detector, "a")
    assert pool_detector.probe_due(5.0) == "a"
    pool_detector.failed("a", 5.0)
    assert (pool_detector.probe_due(14.9), pool_detector.probe_due(15.0)) == (None, "a")


def test_lost_probe_is_assigned_again():
    # The node that sent the probe never gets a response. Without a timeout the replica
    # would stay ejected forever after its recovery, as its only probe is outstanding.
    pool_detector = detector(probe_timeout_s=30.0)
    fail(pool_detector, "a")
    assert [pool_detector.probe_due(now) for now in (5.0, 34.0, 35.0)] == ["a", None, "a"]


def test_successful_probe_readmits_the_replica():
    pool_detector = detector()
    fail(pool_detector, "a")
    pool_detector.probe_due(5.0)
    pool_detector.succeeded("a", 0.03, now=5.1)
    assert not pool_detector.is_ejected("a")


def test_ejection_time_resets_after_a_long_period_in_use():
    pool_detector = detector(max_s=60.0)
    fail(pool_detector, "a")
    pool_detector.probe_due(5.0)
    pool_detector.succeeded("a", 0.03, now=5.1)
    fail(pool_detector, "a", now=1000.0)
    assert pool_detector.probe_due(1005.0) == "a"
