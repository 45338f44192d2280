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
