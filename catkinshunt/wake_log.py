"""Times at which a process was running, to date what it reads late."""

import asyncio
import collections
import itertools

#: Seconds between two records.
PERIOD_S = 0.25
#: Seconds after a record by which a process that runs without a gap has read
#: everything that had arrived before it.
SETTLE_S = 0.1
#: Seconds after a gap in which what arrived during it may still be read, as
#: other work has piled up.
RECOVERY_S = 2.0
#: Records that are kept; they cover more than `RECOVERY_S`.
MAX_RECORDS = 16


class WakeLog:
    """Records when the event loop runs.

    A process that was suspended reads a message long after its arrival. Times
    that count from a message then have to count from before the suspend.

    Args:
        clock: function that returns seconds on a clock that includes suspends.

    Examples:
        >>> log = WakeLog(clock=None)
        >>> for at in (10.0, 10.25, 12.75):
        ...     log.record(at)
        >>> log.arrived_after(now=12.76)
        10.25
    """

    def __init__(self, clock):
        self.clock = clock
        self._times = collections.deque(maxlen=MAX_RECORDS)

    async def run(self):
        """Record times until cancelled."""
        while True:
            self.record(self.clock())
            await asyncio.sleep(PERIOD_S)

    def record(self, now):
        """Record that the event loop runs at a time in seconds."""
        self._times.append(now)

    def arrived_after(self, now):
        """Return the time after which a message read at `now` has arrived.

        Before the first records this is `now`.
        """
        for before, _ in self._recent_gaps(now):
            return before
        for time in reversed(self._times):
            if time <= now - SETTLE_S:
                return time
        return min(self._times, default=now)

    def longest_gap_s(self, now):
        """Return the longest time without a record of late, in seconds.

        What is read at `now` may have waited through it.
        """
        gaps = self._recent_gaps(now)
        return max((after - before for before, after in gaps), default=0.0)

    def _recent_gaps(self, now):
        """Yield pairs of the times before and after each recent gap."""
        for before, after in itertools.pairwise((*self._times, now)):
            is_recent = now - after <= RECOVERY_S
            if is_recent and after - before > PERIOD_S + SETTLE_S:
                yield before, after
