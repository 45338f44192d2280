"""Estimates the remaining time of a transfer."""

import collections

from catkinshunt import base

#: Time over which the speed is measured.
WINDOW_S = 1.0


class Progress(base.ParamsMixin):
    """Estimates the remaining time from samples of the missing share.

    Examples:
        >>> progress = Progress()
        >>> for now, missing_share in ((0.0, 0.5), (0.5, 0.4), (1.0, 0.3)):
        ...     progress.add_sample(missing_share, now)
        >>> round(progress.remaining_s(now=1.0), 2)
        1.5
    """

    def __init__(self):
        self._samples = collections.deque()

    def add_sample(self, missing_share, now):
        """Add the missing share of the version, from 0 to 1."""
        self._samples.append((now, missing_share))
        while self._samples[0][0] < now - WINDOW_S and len(self._samples) > 2:
            self._samples.popleft()

    def remaining_s(self, now):
        """Return the remaining seconds at the recent speed.

        Infinite if nothing arrived recently, 0 if there are too few samples.
        """
        if len(self._samples) < 2:
            return 0.0
        start, missing_share_before = self._samples[0]
        _, missing_share = self._samples[-1]
        if now - start < WINDOW_S / 2:
            return 0.0
        if missing_share <= 0:
            return 0.0
        if missing_share_before <= missing_share:
            return float('inf')
        return (
            missing_share
            * (now - start)
            / (missing_share_before - missing_share)
        )
