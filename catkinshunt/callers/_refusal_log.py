"""Counts callers that found no room, and logs them now and then."""

import collections

from catkinshunt import logs

#: Shortest time between two lines, in seconds.
PERIOD_S = 5.0
#: Most addresses that are counted between two lines, and that a line names.
MAX_PEERS = 1000
SHOWN_PEERS = 5

_log = logs.get_logger('callers')


class RefusalLog:
    """Counts refusals by reason, and writes one line for many of them.

    Under a crowd of callers a line for each would hide all others.

    Args:
        counter: counter of refusals by reason.
        clock: function that returns seconds on the monotonic clock.
    """

    def __init__(self, counter, clock):
        self.counter = counter
        self.clock = clock
        self._reasons = collections.Counter()
        self._peers = collections.Counter()
        self._logged_at = None

    def record(self, reason, peer):
        """Count one refusal for `reason` of the caller at address `peer`."""
        self.counter.add(reason)
        self._reasons[reason] += 1
        if peer in self._peers or len(self._peers) < MAX_PEERS:
            self._peers[peer] += 1
        now = self.clock()
        if self._logged_at is not None and now - self._logged_at < PERIOD_S:
            return
        self._logged_at = now
        _log.warning(
            'Refused callers for which there was no room.',
            refused=dict(self._reasons),
            most_from=dict(self._peers.most_common(SHOWN_PEERS)),
        )
        self._reasons.clear()
        self._peers.clear()
