from catkinshunt import retries


def make_share(**changes):
    return retries.BurstShare(
        **{'burst': 100.0, 'fewest': 2, 'hold_s': 60.0, **changes}
    )


def test_few_processes_have_a_large_share_each():
    share = make_share()
    share.observe(4, now=0.0)
    assert share.choose(now=1.0) == 25.0


def test_a_process_that_just_started_does_not_take_all():
    """It knows only of itself until it hears of the others.

    In a restart of all processes each would keep the whole burst, and the
    upstreams would get it many times over.
    """
    share = make_share(fewest=4)
    share.observe(0, now=0.0)
    share.observe(1, now=0.1)
    assert share.choose(now=0.2) == 25.0


def test_a_process_that_lost_the_store_still_counts():
    """Its lease ends while it still serves, with its share of retries."""
    share = make_share()
    share.observe(5, now=0.0)
    share.observe(4, now=100.0)
    assert share.choose(now=159.0) == 20.0
    assert share.choose(now=161.0) == 25.0


def test_one_that_comes_counts_at_once():
    share = make_share()
    share.observe(4, now=0.0)
    share.observe(5, now=1.0)
    assert share.choose(now=1.0) == 20.0


def test_the_last_number_holds():
    share = make_share()
    share.observe(10, now=0.0)
    assert share.choose(now=1e6) == 10.0


def test_a_smaller_burst_binds_a_budget_in_use():
    """An entry that hears of others must not spend what it had alone."""
    budget = retries.Budget(ratio=0.1, burst=10.0)
    assert budget.choose()
    budget.burst = 2.0
    assert [budget.choose() for _ in range(3)] == [True, True, False]
