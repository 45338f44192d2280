"""Tells when a transfer is likely to end."""

import collections

from catkinshunt import base

#: Seconds over which the speed of a transfer is measured.
WINDOW_S = 1.0


class Progress(base.ParamsMixin):
    """Follows what is missing of one version.

    Examples:
        >>> progress = Progress()
        >>> for now, left in ((0.0, 0.5), (0.5, 0.4), (1.0, 0.3)):
        ...     progress.add_sample(left, now)
        >>> round(progress.remaining_s(now=1.0), 2)
        1.5
    """

    def __init__(self):
        self._seen = collections.deque()

    def add_sample(self, missing_share, now):
        """Note the share that is missing, from 0 to 1."""
        self._seen.append((now, missing_share))
        while self._seen[0][0] < now - WINDOW_S and len(self._seen) > 2:
            self._seen.popleft()

    def remaining_s(self, now):
        """Return the seconds until nothing is missing, by its speed lately.

        It is infinite where nothing has come for a while, and 0 as long as
        too little is known.
        """
        if len(self._seen) < 2:
            return 0.0
        start, before = self._seen[0]
        _, left = self._seen[-1]
        if now - start < WINDOW_S / 2:
            return 0.0
        if left <= 0:
            return 0.0
        if before <= left:
            return float('inf')
        return left * (now - start) / (before - left)
