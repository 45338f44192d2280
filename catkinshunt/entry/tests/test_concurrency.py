"""Tests of the limit on requests in progress."""

import pytest

from catkinshunt.entry import _concurrency
from catkinshunt import errors


def test_single_account_may_use_all_unreserved_threads():
    limiter = _concurrency.ConcurrencyLimiter(threads=16)
    for _ in range(14):
        limiter.acquire('a')
    with pytest.raises(errors.OverloadedError) as caught:
        limiter.acquire('a')
    assert (caught.value.ran, caught.value.retry_after_s) == ('no', 1.0)


def test_large_account_leaves_threads_for_others():
    """A large account floods an entry; small accounts send few requests.

    Without shares those would find no free thread and be rejected.
    """
    limiter = _concurrency.ConcurrencyLimiter(threads=16)
    limiter.acquire('small')
    for _ in range(7):
        limiter.acquire('large')
    with pytest.raises(errors.OverloadedError):
        limiter.acquire('large')
    for name in ('b', 'c', 'd'):
        limiter.acquire(name)
    limiter.release('large')
    with pytest.raises(errors.OverloadedError):
        limiter.acquire('large')


def test_leaving_rejects_new_requests_and_finishes_those_in_progress():
    limiter = _concurrency.ConcurrencyLimiter(threads=4)
    limiter.acquire('a')
    limiter.leave()
    with pytest.raises(errors.LeavingError) as caught:
        limiter.acquire('a')
    assert caught.value.ran == 'no'
    assert list(limiter.release_after('a', [b'x'])) == [b'x']
    assert limiter.report() == {'in_progress': 0, 'accounts': 0}
