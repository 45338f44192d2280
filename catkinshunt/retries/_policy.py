"""Decides whether a failed try of a request is made again elsewhere."""

import attrs

from catkinshunt import base
from catkinshunt import checks
from catkinshunt import errors


@attrs.frozen
class RetryDecision:
    """Whether to try again, and the grounds for the log."""

    should_retry: bool
    grounds: str


class RetryPolicy(base.ParamsMixin):
    """Allows a retry only where it can do no harm and may do good.

    Args:
        budget: a `Budget`, or None for no bound, the benchmark's baseline.
        max_tries: most tries of one request, the first one counted.
        least_left_s: time to the deadline below which a try is in vain.
        reserve: tokens of the budget that refusals for want of room leave
            to other failures. In a burst most engines are full, and these
            retries seldom help; when an engine then stands still, its
            requests can only move with what is left.

    Examples:
        >>> from catkinshunt import errors
        >>> policy = RetryPolicy()
        >>> exc = errors.RefusedError('no connection')
        >>> policy.check(exc, False, tries=1, deadline=9.0, now=0.0)
        Verdict(again=True, grounds='not run')
        >>> exc = errors.OutcomeUnknownError('no reply')
        >>> policy.check(exc, False, tries=1, deadline=9.0, now=0.0).should_retry
        False
    """

    def __init__(
        self, budget=None, max_tries=3, least_left_s=0.02, reserve=0.0
    ):
        self.budget = budget
        self.max_tries = max_tries
        self.least_left_s = least_left_s
        self.reserve = reserve

    def offer(self):
        """Count one request towards the budget."""
        if self.budget is not None:
            self.budget.offer()

    def check(self, exc, idempotent, tries, deadline, now):
        """Return the `RetryDecision` on a request whose last try failed.

        Args:
            exc: the `errors.RequestError` of the last try; its `ran` says
                whether the request ran.
            idempotent: whether running it twice does no harm.
            tries: tries made so far.
            deadline: of the request, in seconds, monotonic.
            now: seconds, monotonic.
        """
        checks.check_positive(self.max_tries, 'max_tries')
        if exc.status == 400:
            return RetryDecision(False, 'wrong everywhere')
        if exc.ran != 'no' and not idempotent:
            return RetryDecision(False, 'may have run')
        if tries >= self.max_tries:
            return RetryDecision(False, f'{tries} tries made')
        if deadline - now < self.least_left_s:
            return RetryDecision(False, 'deadline too near')
        if self.budget is not None and not self._choose(exc):
            return RetryDecision(False, 'retry budget spent')
        return RetryDecision(
            True, 'not run' if exc.ran == 'no' else 'idempotent'
        )

    def _choose(self, exc):
        is_full = isinstance(exc, errors.OverloadedError)
        return self.budget.choose(self.reserve if is_full else 0.0)
