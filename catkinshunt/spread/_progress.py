"""Estimates the remaining time of a transfer."""

import collections

from catkinshunt import base

#: Time over which the speed is measured.
WINDOW_S = 1.0


class Progress(base.ParamsMixin):
    """Estimates the remaining time from samples of the missing share.

    Examples:
        >>> progress = Progress()
        >>> for now, left in ((0.0, 0.5), (0.5, 0.4), (1.0, 0.3)):
        ...     progress.add_sample(left, now)
        >>> round(progress.remaining_s(now=1.0), 2)
        1.5
    """

    def __init__(self):
        self._samples = collections.deque()

    def add_sample(self, missing_share, now):
        """Add the missing share, from 0 to 1."""
        self._samples.append((now, missing_share))
        while self._samples[0][0] < now - WINDOW_S and len(self._samples) > 2:
            self._samples.popleft()

    def remaining_s(self, now):
        """Return the remaining seconds at the recent speed.

        Infinite if nothing arrived recently, 0 if there are too few samples.
        """
        if len(self._samples) < 2:
            return 0.0
        start, before = self._samples[0]
        _, left = self._samples[-1]
        if now - start < WINDOW_S / 2:
            return 0.0
        if left <= 0:
            return 0.0
        if before <= left:
            return float('inf')
        return left * (now - start) / (before - left)
