"""Limit of retries to a share of the requests."""

import threading

from catkinshunt import base
from catkinshunt import checks


class Budget(base.ParamsMixin):
    """Token bucket: requests add fractions of a token, a retry takes one.

    In an outage of many upstreams nearly every request would be retried, and
    the load would keep the other upstreams from recovering. The budget limits
    the load to the number of requests times `1 + ratio`, plus the burst.

    Args:
        ratio: tokens added by one request.
        burst: maximum number of tokens, so that a long time without retries
            does not allow a burst of unlimited size.

    Examples:
        >>> budget = Budget(ratio=0.5, burst=1)
        >>> budget.add_request()
        >>> budget.try_take()
        True
        >>> budget.try_take()
        False
    """

    def __init__(self, ratio=0.1, burst=10.0):
        self.ratio = ratio
        self.burst = burst
        self._lock = threading.Lock()
        self._tokens = None

    def add_request(self):
        """Add the tokens of one request; not called for its retries."""
        with self._lock:
            self._tokens = self._available() + self.ratio

    def try_take(self, reserve=0.0):
        """Take a token for one retry; return whether there was one.

        Args:
            reserve: tokens that must remain, for retries of higher priority.
        """
        with self._lock:
            available = self._available()
            enough = available >= 1 + reserve
            self._tokens = available - 1 if enough else available
            return enough

    def put_back(self):
        """Put back the token of a retry that was not made."""
        with self._lock:
            self._tokens = self._available() + 1

    def has_token(self):
        """Return whether `try_take` without a reserve would take a token."""
        with self._lock:
            return self._available() >= 1

    def report(self):
        """Return the available tokens."""
        with self._lock:
            return {'tokens': self._available()}

    def _available(self):
        if self._tokens is None:
            checks.check_fraction(self.ratio, 'ratio')
            checks.check_positive(self.burst, 'burst')
            # Starts full, so that requests can be retried if an upstream
            # stops in the first seconds of this process.
            self._tokens = float(self.burst)
        # The burst can be lowered while the budget is in use.
        return min(self.burst, self._tokens)
