"""Spread of the times at which rejected requests may be sent again."""

from catkinshunt import base

#: Shortest and longest retry time of a rejected request, in seconds. The
#: request misses its goal by then in any case; with a shorter time it would
#: be sent again to engines that are still full. Where client timeouts differ
#: by up to a second, `dispatch.ClientRetryDetector` could not distinguish it
#: from a first attempt either.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 5.0


class RetrySchedule(base.ParamsMixin):
    """Gives each rejected request a later retry time than the one before.

    With the same time for all, they would return together to upstreams that
    are still full.

    Args:
        min_s: shortest retry time, in seconds.
        max_s: longest retry time, in seconds.

    Examples:
        >>> schedule = RetrySchedule()
        >>> schedule.next_s(2.0, now=10.0), schedule.next_s(2.0, now=10.0)
        (1.5, 2.0)
    """

    def __init__(self, min_s=MIN_RETRY_AFTER_S, max_s=MAX_RETRY_AFTER_S):
        self.min_s = min_s
        self.max_s = max_s
        #: Latest time given out.
        self._last_at = 0.0

    def next_s(self, rate_per_s, now):
        """Return the seconds after which the next request may return.

        Args:
            rate_per_s: requests per second that can be served.
            now: present time, in seconds.
        """
        retry_at = max(self._last_at, now + self.min_s)
        self._last_at = min(retry_at + 1 / rate_per_s, now + self.max_s)
        return self._last_at - now
