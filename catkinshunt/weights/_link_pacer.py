"""What of a link a transfer may use while live requests use it too."""

import math
import threading

from catkinshunt import base


class LinkPacer(base.ParamsMixin):
    """Paces a transfer to what live requests leave of a link.

    Without it a transfer fills the link's queue, and a caller waits behind
    megabytes of weights; one notices by the 99th percentile of requests.

    Args:
        rate_bytes_per_s: rate of the link in this direction.
        floor_share: part of the rate that the transfer always gets.
        window_s: seconds over which live bytes are averaged.
        burst_s: seconds of rate that may be sent at once.

    Examples:
        >>> share = LinkPacer(rate_bytes_per_s=100, burst_s=0.0)
        >>> share.reserve(50, now=0.0), share.reserve(50, now=0.0)
        (0.5, 1.0)
    """

    def __init__(
        self, rate_bytes_per_s, floor_share=0.2, window_s=0.5, burst_s=0.02
    ):
        self.rate_bytes_per_s = rate_bytes_per_s
        self.floor_share = floor_share
        self.window_s = window_s
        self.burst_s = burst_s
        self._lock = threading.Lock()
        self._live_rate = 0.0
        self._observed_at = 0.0
        self._free_at = 0.0

    def observe(self, n_bytes, now):
        """Take note of `n_bytes` of live requests on the link."""
        with self._lock:
            self._decay(now)
            self._live_rate += n_bytes / self.window_s

    def available_bytes_per_s(self, now):
        """Return the rate left to transfers."""
        with self._lock:
            return self._left(now)

    def reserve(self, n_bytes, now):
        """Take `n_bytes` of the share; return the seconds to wait."""
        with self._lock:
            rate = self._left(now)
            begin = max(now - self.burst_s, self._free_at)
            self._free_at = begin + n_bytes / rate
            return max(0.0, self._free_at - now)

    def _left(self, now):
        self._decay(now)
        floor = self.floor_share * self.rate_bytes_per_s
        return max(floor, self.rate_bytes_per_s - self._live_rate)

    def _decay(self, now):
        passed_s = max(0.0, now - self._observed_at)
        self._live_rate *= math.exp(-passed_s / self.window_s)
        self._observed_at = now
