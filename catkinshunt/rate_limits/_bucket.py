"""Token bucket."""

import math

import attrs

#: Seconds of its rate that a bucket can hold beyond one token.
BURST_S = 0.25


@attrs.define
class TokenBucket:
    """Allows requests at a rate that may change.

    It is created empty, so that a process that takes over a share of a limit
    sends nothing before the share allows it.

    Attributes:
        updated_at: time up to which tokens were added.
        rate_per_s: tokens added per second.
        tokens: requests that may be sent now.

    Examples:
        >>> bucket = TokenBucket(updated_at=0.0)
        >>> bucket.set_rate(2.0, now=0.0)
        >>> bucket.wait_s(now=0.0), bucket.wait_s(now=0.5)
        (0.5, 0.0)
        >>> bucket.take(now=0.5), bucket.take(now=0.5)
        (True, False)
    """

    updated_at: float
    rate_per_s: float = 0.0
    tokens: float = 0.0

    def set_rate(self, rate_per_s, now, tokens=0.0):
        """Change the rate; a rate of zero empties the bucket.

        Args:
            rate_per_s: tokens to add per second from now on.
            now: present time, in seconds.
            tokens: tokens to begin with if the rate was zero.
        """
        self._refill(now)
        if self.rate_per_s == 0.0 and rate_per_s > 0.0:
            self.tokens = tokens
        self.rate_per_s = rate_per_s
        self.tokens = min(self.tokens, self._capacity())

    def wait_s(self, now):
        """Return the seconds until a token is there; infinite for never."""
        self._refill(now)
        if self.tokens >= 1:
            return 0.0
        if self.rate_per_s == 0.0:
            return math.inf
        return (1 - self.tokens) / self.rate_per_s

    def take(self, now):
        """Take a token; return whether there was one."""
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self, now):
        added = max(0.0, now - self.updated_at) * self.rate_per_s
        self.tokens = min(self.tokens + added, self._capacity())
        self.updated_at = now

    def _capacity(self):
        if self.rate_per_s == 0.0:
            return 0.0
        return 1 + self.rate_per_s * BURST_S
