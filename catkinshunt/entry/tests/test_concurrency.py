"""Tests of the bound on requests in progress."""

import pytest

from catkinshunt.entry import _concurrency
from catkinshunt import errors


def test_one_account_may_use_what_nobody_else_wants():
    gate = _concurrency.Gate(threads=16)
    for _ in range(14):
        gate.begin('a')
    with pytest.raises(errors.OverloadedError) as caught:
        gate.begin('a')
    assert (caught.value.ran, caught.value.retry_after_s) == ('no', 1.0)


def test_large_account_leaves_places_for_others():
    """A large account floods an entry while small ones ask now and then.

    Their requests would find all threads taken and be refused.
    """
    gate = _concurrency.Gate(threads=16)
    gate.begin('small')
    for _ in range(7):
        gate.begin('large')
    with pytest.raises(errors.OverloadedError):
        gate.begin('large')
    for name in ('b', 'c', 'd'):
        gate.begin(name)
    gate.end('large')
    with pytest.raises(errors.OverloadedError):
        gate.begin('large')


def test_leaving_refuses_as_not_run_and_ends_what_is_there():
    gate = _concurrency.Gate(threads=4)
    gate.begin('a')
    gate.leave()
    with pytest.raises(errors.LeavingError) as caught:
        gate.begin('a')
    assert caught.value.ran == 'no'
    assert list(gate.hold('a', [b'x'])) == [b'x']
    assert gate.report() == {'in_progress': 0, 'accounts': 0}
