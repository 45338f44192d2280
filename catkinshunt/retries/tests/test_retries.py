"""Tests of the retry budget and the retry policy."""

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
    'exc, idempotent, expected',
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
def test_only_safe_retries_are_allowed(exc, idempotent, expected):
    """An upstream crashes, and it is unknown which requests ran.

    A retried booking that had run would be made twice.
    """
    policy = retries.RetryPolicy(retries.Budget())
    decision = policy.decide(exc, idempotent, tries=1, deadline=9.0, now=0.0)
    assert decision.should_retry is expected
    assert decision.grounds


@pytest.mark.parametrize('tries, left_s', [(3, 9.0), (1, 0.01), (1, -1.0)])
def test_no_retry_after_last_attempt_or_near_deadline(tries, left_s):
    policy = retries.RetryPolicy(retries.Budget())
    assert not policy.decide(
        REFUSED, True, tries, 5.0 + left_s, 5.0
    ).should_retry


def test_spent_budget_is_reported():
    policy = retries.RetryPolicy(retries.Budget(ratio=0.1, burst=1.0))
    assert policy.decide(REFUSED, True, 1, 9.0, 0.0).should_retry
    decision = policy.decide(REFUSED, True, 1, 9.0, 0.0)
    assert decision.grounds == 'retry budget spent or reserved'


@settings(derandomize=True, database=None, max_examples=50)
@given(st.lists(st.integers(0, 5), max_size=200))
def test_retries_stay_within_the_ratio(wanted):
    """Half of the upstreams are down and many attempts fail.

    Retries beyond the burst never exceed a tenth of the requests.
    """
    budget = retries.Budget(ratio=0.1, burst=5.0)
    used = 0
    for count in wanted:
        budget.add_request()
        used += sum(budget.try_take() for _ in range(count))
    assert used <= 5 + 0.1 * len(wanted) + 1e-6


def test_invalid_ratio_is_named():
    with pytest.raises(ValueError, match='ratio'):
        retries.Budget(ratio=2).add_request()


def test_rejections_by_full_upstreams_leave_reserved_tokens():
    """In a burst all engines are full, and then one stops responding.

    With the budget spent on retries at full engines, the requests of the
    unresponsive one could not be retried elsewhere.
    """
    budget = retries.Budget(ratio=0.1, burst=4.0)
    policy = retries.RetryPolicy(budget, reserve=2.0)
    full = errors.OverloadedError('full')
    broken = errors.OutcomeUnknownError('reset')

    def check(exc):
        return policy.decide(
            exc, True, tries=1, deadline=9.0, now=0.0
        ).should_retry

    assert [check(full) for _ in range(4)] == [True, True, False, False]
    assert [check(broken) for _ in range(3)] == [True, True, False]
