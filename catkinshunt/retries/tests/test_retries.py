"""Tests of the retry budget and of what may be retried."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from catkinshunt import errors
from catkinshunt import retries

REFUSED = errors.RefusedError('no connection', step='connect')
UNKNOWN = errors.OutcomeUnknownError('no reply', step='exchange')
BROKEN = errors.IncompleteAnswerError('broke off', step='relay')
WRONG = errors.InvalidRequestError('no model', step='read')


@pytest.mark.parametrize(
    'exc, idempotent, again',
    [
        (REFUSED, True, True),
        (REFUSED, False, True),
        (UNKNOWN, True, True),
        (UNKNOWN, False, False),
        (BROKEN, True, True),
        (BROKEN, False, False),
        (WRONG, True, False),
    ],
)
def test_what_may_be_tried_again(exc, idempotent, again):
    """An upstream dies, and the entry can't always tell what it had done.

    Sending a booking again that may have run books twice.
    """
    policy = retries.RetryPolicy(retries.Budget())
    verdict = policy.check(exc, idempotent, tries=1, deadline=9.0, now=0.0)
    assert verdict.should_retry is again
    assert verdict.grounds


@pytest.mark.parametrize('tries, left_s', [(3, 9.0), (1, 0.01), (1, -1.0)])
def test_no_try_in_vain(tries, left_s):
    policy = retries.RetryPolicy(retries.Budget())
    assert not policy.check(
        REFUSED, True, tries, 5.0 + left_s, 5.0
    ).should_retry


def test_spent_budget_is_said():
    policy = retries.RetryPolicy(retries.Budget(ratio=0.1, burst=1.0))
    assert policy.check(REFUSED, True, 1, 9.0, 0.0).should_retry
    verdict = policy.check(REFUSED, True, 1, 9.0, 0.0)
    assert verdict.grounds == 'retry budget spent'


@settings(derandomize=True, database=None, max_examples=50)
@given(st.lists(st.integers(0, 5), max_size=200))
def test_retries_stay_within_the_ratio(wanted):
    """Half of the upstreams are out and all requests fail again and again.

    The retries beyond the burst never exceed a tenth of the requests.
    """
    budget = retries.Budget(ratio=0.1, burst=5.0)
    used = 0
    for count in wanted:
        budget.offer()
        used += sum(budget.choose() for _ in range(count))
    assert used <= 5 + 0.1 * len(wanted) + 1e-6


def test_wrong_ratio_is_named():
    with pytest.raises(ValueError, match='ratio'):
        retries.Budget(ratio=2).offer()


def test_refusals_of_full_upstreams_leave_tokens_for_others():
    """In a burst all engines are full, and then one stands still.

    With the budget spent on engines that had no room, the requests at the
    one that stands still could not move, and their callers left.
    """
    budget = retries.Budget(ratio=0.1, burst=4.0)
    policy = retries.RetryPolicy(budget, reserve=2.0)
    full = errors.OverloadedError('full')
    broken = errors.OutcomeUnknownError('reset')

    def check(exc):
        return policy.check(
            exc, True, tries=1, deadline=9.0, now=0.0
        ).should_retry

    assert [check(full) for _ in range(4)] == [True, True, False, False]
    assert [check(broken) for _ in range(3)] == [True, True, False]
