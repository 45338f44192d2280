import pytest

from catkinshunt import dispatch
from catkinshunt.dispatch.tests import burst


@pytest.mark.parametrize('seed', [3, 4, 5])
def test_a_burst_gets_more_first_tokens_in_time(seed):
    """Many users come at once, some of them with long prompts.

    Counted by requests, a short question lands behind a long prompt while
    another engine would have answered at once. The burst is replayed in
    virtual time against engines that read and write in passes.
    """
    chooser = dispatch.Chooser('a', {})
    predicted = burst.play(chooser, rate=45.0, seed=seed)
    counted = burst.play(burst.LeastJobs(), rate=45.0, seed=seed)
    assert predicted >= counted


@pytest.mark.parametrize('seed', [3, 4, 5])
def test_past_capacity_those_that_can_be_in_time_are(seed):
    """More requests come than the engines can answer in time.

    Served in order all of them wait, and soon all of them are late. Those
    that are likely to miss their goal go behind; the others are in time, and
    the late ones are still served where there is room.
    """
    chooser = dispatch.Chooser('a', {})
    ranked = burst.play(chooser, rate=55.0, seed=seed)
    in_order = burst.play(chooser, rate=55.0, seed=seed, ranks=False)
    assert ranked >= in_order + 0.1
    assert ranked >= 0.75
