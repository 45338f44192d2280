"""Decision whether a request is retried after a failed attempt."""

import attrs

from catkinshunt import base
from catkinshunt import checks
from catkinshunt import errors


@attrs.frozen
class RetryDecision:
    """Whether to retry, and the grounds for the log."""

    should_retry: bool
    grounds: str


class RetryPolicy(base.ParamsMixin):
    """Allows retries that are safe and can still succeed.

    Args:
        budget: a `Budget`, or None for no limit, as in benchmarks.
        max_tries: maximum number of attempts, including the first one.
        min_remaining_s: time to the deadline below which no retry is made.
        reserve: tokens of the budget that retries after rejections by full
            upstreams leave to other failures. In a burst most engines are
            full and such retries seldom help; if an engine then stops
            responding, the remaining tokens let its requests be retried.

    Examples:
        >>> from catkinshunt import errors
        >>> policy = RetryPolicy()
        >>> exc = errors.RefusedError('no connection')
        >>> policy.decide(exc, False, tries=1, deadline=9.0, now=0.0)
        RetryDecision(should_retry=True, grounds='not run')
        >>> exc = errors.OutcomeUnknownError('no reply')
        >>> policy.decide(exc, False, tries=1, deadline=9.0, now=0.0)
        RetryDecision(should_retry=False, grounds='may have run')
    """

    def __init__(
        self, budget=None, max_tries=3, min_remaining_s=0.02, reserve=0.0
    ):
        self.budget = budget
        self.max_tries = max_tries
        self.min_remaining_s = min_remaining_s
        self.reserve = reserve

    def add_request(self):
        """Add the tokens of one request to the budget."""
        if self.budget is not None:
            self.budget.add_request()

    def decide(self, exc, idempotent, tries, deadline, now):
        """Return the `RetryDecision` on a request whose last attempt failed.

        If it allows the retry, it takes a token of the budget.

        Args:
            exc: the `errors.RequestError` of the last attempt; its `ran`
                says whether the request ran.
            idempotent: whether the request may safely run twice.
            tries: attempts so far.
            deadline: deadline of the request, in seconds on the monotonic
                clock.
            now: seconds on the monotonic clock.
        """
        checks.check_positive(self.max_tries, 'max_tries')
        # An invalid request fails at any upstream. Errors with other statuses
        # are judged by whether the request ran.
        if exc.status == 400:
            return RetryDecision(False, 'invalid request')
        if exc.ran != 'no' and not idempotent:
            return RetryDecision(False, 'may have run')
        if tries >= self.max_tries:
            return RetryDecision(
                False, f'maximum of {self.max_tries} attempts reached'
            )
        if deadline - now < self.min_remaining_s:
            return RetryDecision(False, 'deadline too near')
        if self.budget is not None and not self._take_token(exc):
            return RetryDecision(False, 'retry budget spent or reserved')
        return RetryDecision(
            True, 'not run' if exc.ran == 'no' else 'idempotent'
        )

    def _take_token(self, exc):
        is_overload = isinstance(exc, errors.OverloadedError)
        return self.budget.try_take(self.reserve if is_overload else 0.0)
