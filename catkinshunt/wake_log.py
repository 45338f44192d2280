"""Dates messages that a suspended process reads long after their arrival."""

import asyncio
import collections
import itertools

#: Seconds between two records.
PERIOD_S = 0.25
#: Seconds after a record by which a process that runs without a gap has read
#: everything that had arrived before it.
SETTLE_S = 0.1
#: Seconds after a gap in which messages that arrived during it may still be
#: unread, as other work has accumulated.
RECOVERY_S = 2.0
#: Records that are kept; they cover more than `RECOVERY_S`.
MAX_RECORDS = 16


class WakeLog:
    """Records when the event loop runs.

    A process that was suspended reads a message long after its arrival. A
    time that counts from the message, such as when a version is due, then has
    to count from before the suspend. A suspend is noticed as a gap between
    two records.

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

        After a recent gap this is the last record before it, or before the
        first one if there were several. Before the first record it is `now`.

        Args:
            now: present time in seconds.
        """
        for before, _ in self._recent_gaps(now):
            return before
        for time in reversed(self._times):
            if time <= now - SETTLE_S:
                return time
        return min(self._times, default=now)

    def longest_gap_s(self, now):
        """Return the length of the longest recent gap, in seconds.

        A message that is read at `now` may have waited for as long. Without
        a recent gap this is 0.

        Args:
            now: present time in seconds.
        """
        gaps = self._recent_gaps(now)
        return max((after - before for before, after in gaps), default=0.0)

    def _recent_gaps(self, now):
        """Yield the times before and after each recent gap between records."""
        for before, after in itertools.pairwise((*self._times, now)):
            is_recent = now - after <= RECOVERY_S
            if is_recent and after - before > PERIOD_S + SETTLE_S:
                yield before, after
