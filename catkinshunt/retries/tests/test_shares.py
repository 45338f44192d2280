from catkinshunt import retries


def make_share(**changes):
    return retries.RetryBurstShare(
        **{'burst': 100.0, 'fewest': 2, 'hold_s': 60.0, **changes}
    )


def test_burst_is_divided_by_the_number_of_processes():
    share = make_share()
    share.observe(4, now=0.0)
    assert share.burst_at(now=1.0) == 25.0


def test_started_process_does_not_take_the_whole_burst():
    """A process sees only itself until the others are listed.

    After a restart of all processes each would use the whole burst.
    """
    share = make_share(min_processes=4)
    share.observe(0, now=0.0)
    share.observe(1, now=0.1)
    assert share.burst_at(now=0.2) == 25.0


def test_process_that_lost_its_lease_still_counts():
    """Its lease expires while it still serves and retries."""
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
    """The tokens of an entry are cut when its share gets smaller."""
    budget = retries.Budget(ratio=0.1, burst=10.0)
    assert budget.burst_at()
    budget.burst = 2.0
    assert [budget.burst_at() for _ in range(3)] == [True, True, False]
