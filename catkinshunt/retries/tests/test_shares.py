from catkinshunt import retries


def make_share(**changes):
    return retries.RetryBurstShare(
        **{'burst': 100.0, 'min_processes': 2, 'hold_s': 60.0, **changes}
    )


def test_retries_are_divided_by_the_number_of_processes():
    share = make_share()
    share.observe(4, now=0.0)
    assert share.burst_at(now=1.0) == 25.0


def test_started_process_does_not_take_all_retries():
    """A process counts only itself until the others are listed.

    After a restart each process would take all of the allowed retries.
    """
    share = make_share(min_processes=4)
    share.observe(0, now=0.0)
    share.observe(1, now=0.1)
    assert share.burst_at(now=0.2) == 25.0


def test_process_that_lost_the_store_still_counts():
    """It is no longer listed but still serves and retries."""
    share = make_share()
    share.observe(5, now=0.0)
    share.observe(4, now=100.0)
    assert share.burst_at(now=159.0) == 20.0
    assert share.burst_at(now=161.0) == 25.0


def test_new_process_counts_at_once():
    share = make_share()
    share.observe(4, now=0.0)
    share.observe(5, now=1.0)
    assert share.burst_at(now=1.0) == 20.0


def test_last_count_does_not_expire():
    share = make_share()
    share.observe(10, now=0.0)
    assert share.burst_at(now=1e6) == 10.0


def test_smaller_burst_limits_a_budget_in_use():
    """A smaller share also limits the tokens that a budget already has."""
    budget = retries.Budget(ratio=0.1, burst=10.0)
    assert budget.try_take()
    budget.burst = 2.0
    assert [budget.try_take() for _ in range(3)] == [True, True, False]
