"""Shares out the retries that processes may use together."""

import collections

from catkinshunt import base
from catkinshunt import checks

#: Processes that are assumed at least. One that has just started knows only
#: of itself, and would take all retries in the moment before it hears of the
#: others.
FEWEST_SHARERS = 4
#: Seconds for which a larger number counts on. One that lost the store is no
#: longer listed, but still uses its share.
HOLD_S = 60.0


class BurstShare(base.ParamsMixin):
    """Tells one process how much of a common burst of retries is its own.

    The number of processes changes while they run. A fixed share for the
    largest number leaves small deployments with a part of what they may use,
    and their callers without an answer when engines stand still.

    Args:
        burst: retries that all processes together may use at once.
        fewest: processes that are assumed at least.
        hold_s: seconds for which a larger number counts on.

    Examples:
        >>> share = BurstShare(burst=100.0)
        >>> share.observe(5, now=0.0)
        >>> share.choose(now=1.0)
        20.0
    """

    def __init__(self, burst=100.0, fewest=FEWEST_SHARERS, hold_s=HOLD_S):
        self.burst = burst
        self.fewest = fewest
        self.hold_s = hold_s
        self._seen = collections.deque()

    def observe(self, count, now):
        """Note that `count` processes are alive at `now` seconds."""
        while self._seen and self._seen[-1][1] <= count:
            self._seen.pop()
        self._seen.append((now, count))

    def choose(self, now):
        """Return the retries that this process may keep at `now` seconds."""
        checks.check_positive(self.burst, 'burst')
        checks.check_positive(self.fewest, 'fewest')
        # The largest number is first, and the last one holds until another
        # is seen.
        while len(self._seen) > 1 and self._seen[1][0] <= now - self.hold_s:
            self._seen.popleft()
        sharers = max([self.fewest, *(count for _, count in self._seen)])
        return max(1.0, self.burst / sharers)
