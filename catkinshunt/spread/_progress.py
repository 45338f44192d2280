"""Tells when a transfer is likely to end."""

import collections

from catkinshunt import base

#: Seconds over which the speed of a transfer is measured.
SPAN_S = 1.0


class Progress(base.ParamsMixin):
    """Follows what is missing of one version.

    Examples:
        >>> progress = Progress()
        >>> for now, left in ((0.0, 0.5), (0.5, 0.4), (1.0, 0.3)):
        ...     progress.see(left, now)
        >>> round(progress.end_in_s(now=1.0), 2)
        1.5
    """

    def __init__(self):
        self._seen = collections.deque()

    def see(self, left_share, now):
        """Note the share that is missing, from 0 to 1."""
        self._seen.append((now, left_share))
        while self._seen[0][0] < now - SPAN_S and len(self._seen) > 2:
            self._seen.popleft()

    def end_in_s(self, now):
        """Return the seconds until nothing is missing, by its speed lately.

        It is infinite where nothing has come for a while, and 0 as long as
        too little is known.
        """
        if len(self._seen) < 2:
            return 0.0
        began, before = self._seen[0]
        _, left = self._seen[-1]
        if now - began < SPAN_S / 2:
            return 0.0
        if left <= 0:
            return 0.0
        if before <= left:
            return float('inf')
        return left * (now - began) / (before - left)
