"""Bounds retries to a share of the requests."""

import threading

from catkinshunt import base
from catkinshunt import checks


class Budget(base.ParamsMixin):
    """Earns a part of a token by each request; a retry costs one.

    In an outage of many upstreams nearly every request would be sent again,
    and again, and the load would keep the rest from recovering. With the
    budget the load stays below the requests times one plus `ratio`.

    Args:
        ratio: tokens that one request earns.
        burst: most tokens kept, so that a long quiet time does not allow a
            flood of retries.

    Examples:
        >>> budget = Budget(ratio=0.5, burst=1)
        >>> budget.offer()
        >>> budget.choose()
        True
        >>> budget.choose()
        False
    """

    def __init__(self, ratio=0.1, burst=10.0):
        self.ratio = ratio
        self.burst = burst
        self._lock = threading.Lock()
        self._tokens = None

    def offer(self):
        """Count one request, not its retries."""
        with self._lock:
            self._tokens = self._available() + self.ratio

    def choose(self, reserve=0.0):
        """Take a token for one retry; return whether there was one.

        Args:
            reserve: tokens that must be left, for retries that matter more.
        """
        with self._lock:
            available = self._available()
            enough = available >= 1 + reserve
            self._tokens = available - 1 if enough else available
            return enough

    def has_token(self):
        """Return whether `choose` would give a token now."""
        with self._lock:
            return self._available() >= 1

    def report(self):
        """Return the tokens held."""
        with self._lock:
            return {'tokens': self._available()}

    def _available(self):
        if self._tokens is None:
            checks.check_fraction(self.ratio, 'ratio')
            checks.check_positive(self.burst, 'burst')
            # A new process may retry at once: an upstream that leaves in its
            # first seconds would otherwise cost its callers a refusal.
            self._tokens = float(self.burst)
        # The burst may be set anew while the budget is in use.
        return min(self.burst, self._tokens)
