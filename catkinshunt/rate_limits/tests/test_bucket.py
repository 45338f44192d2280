import math

import pytest

from catkinshunt import rate_limits


def test_bucket_without_rate_never_has_a_token():
    bucket = rate_limits.TokenBucket(updated_at=0.0)
    assert bucket.wait_s(now=1000.0) == math.inf
    assert not bucket.take(now=1000.0)


@pytest.mark.parametrize('rate_per_s', [0.1, 1.0, 20.0])
def test_idle_time_allows_only_a_short_burst(rate_per_s):
    """Requests after a pause would come all at once."""
    bucket = rate_limits.TokenBucket(updated_at=0.0)
    bucket.set_rate(rate_per_s, now=0.0)
    bucket.wait_s(now=1000.0)
    taken = sum(bucket.take(now=1000.0) for _ in range(100))
    assert taken == int(1 + 0.25 * rate_per_s)


def test_clock_that_stands_still_gives_no_token():
    bucket = rate_limits.TokenBucket(updated_at=5.0)
    bucket.set_rate(1.0, now=5.0)
    assert bucket.wait_s(now=4.0) == pytest.approx(1.0)
    assert bucket.wait_s(now=4.5) == pytest.approx(0.5)
