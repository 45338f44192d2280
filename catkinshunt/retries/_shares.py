"""Division of the allowed retries among processes."""

import collections

from catkinshunt import base
from catkinshunt import checks

#: Least number of processes assumed. A process that has just started lists no
#: others yet and would take all of the allowed retries.
MIN_PROCESSES = 4
#: Seconds for which a larger count is kept after a smaller one is observed. A
#: process that lost its connection
#: to the store is no longer listed but still uses its share.
HOLD_S = 60.0


class RetryBurstShare(base.ParamsMixin):
    """Share of one process in the retries allowed for all processes.

    The share is the capacity (`burst`) of the retry budgets of the process,
    one for each service. The number of processes changes at run time. A fixed
    share for the largest deployment would leave small ones with too few
    retries when engines stop responding.

    Args:
        burst: retries of one service that all processes together may use at
            once.
        min_processes: least number of processes assumed.
        hold_s: seconds for which a larger count is kept after a smaller one
            is observed.

    Examples:
        >>> share = RetryBurstShare(burst=100.0)
        >>> share.observe(5, now=0.0)
        >>> share.burst_at(now=1.0)
        20.0
    """

    def __init__(
        self, burst=100.0, min_processes=MIN_PROCESSES, hold_s=HOLD_S
    ):
        self.burst = burst
        self.min_processes = min_processes
        self.hold_s = hold_s
        self._counts = collections.deque()

    def observe(self, count, now):
        """Record that `count` processes are alive.

        Args:
            count: number of processes.
            now: seconds on the monotonic clock.
        """
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))

    def burst_at(self, now):
        """Return the retries of this process at once, at least 1.

        Args:
            now: seconds on the monotonic clock.
        """
        checks.check_positive(self.burst, 'burst')
        checks.check_positive(self.min_processes, 'min_processes')
        # The first count is the largest; the last one never expires.
        while (
            len(self._counts) > 1 and self._counts[1][0] <= now - self.hold_s
        ):
            self._counts.popleft()
        processes = max(
            [self.min_processes, *(count for _, count in self._counts)]
        )
        return max(1.0, self.burst / processes)
