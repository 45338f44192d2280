"""Counts callers that found no room, and logs them now and then."""

import collections

from catkinshunt import logs

#: Shortest time between two lines, in seconds.
PERIOD_S = 5.0

_log = logs.get_logger('callers')


class RefusalLog:
    """Counts refusals by reason, and writes a line for many of them.

    Under a crowd of callers a line for each would hide all others.

    Args:
        counter: counter of refusals by reason.
        clock: function that returns seconds on the monotonic clock.
    """

    def __init__(self, counter, clock):
        self.counter = counter
        self.clock = clock
        self._unlogged = collections.Counter()
        self._logged_at = None

    def record(self, reason):
        """Count one refusal for `reason`."""
        self.counter.add(reason)
        self._unlogged[reason] += 1
        now = self.clock()
        if self._logged_at is not None and now - self._logged_at < PERIOD_S:
            return
        self._logged_at = now
        _log.warning(
            'Refused callers for which there was no room.',
            refused=dict(self._unlogged),
        )
        self._unlogged.clear()
