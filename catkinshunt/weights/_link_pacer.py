"""Paces transfers on a link that also carries live requests."""

import math
import threading

from catkinshunt import base


class LinkPacer(base.ParamsMixin):
    """Limits a transfer to the link rate that live requests leave.

    Without it, a transfer fills the link's queue and requests wait behind
    megabytes of weights, which shows in their 99th percentile latency.

    Args:
        rate_bytes_per_s: rate of the link in this direction.
        min_share: fraction of the rate that a transfer always gets.
        window_s: averaging time for live traffic, in seconds.
        burst_s: burst size, in seconds at the available rate.

    Examples:
        >>> pacer = LinkPacer(rate_bytes_per_s=100, burst_s=0.0)
        >>> pacer.reserve(50, now=0.0), pacer.reserve(50, now=0.0)
        (0.5, 1.0)
    """

    def __init__(
        self, rate_bytes_per_s, min_share=0.2, window_s=0.5, burst_s=0.02
    ):
        self.rate_bytes_per_s = rate_bytes_per_s
        self.min_share = min_share
        self.window_s = window_s
        self.burst_s = burst_s
        self._lock = threading.Lock()
        self._live_rate = 0.0
        self._observed_at = 0.0
        self._free_at = 0.0

    def observe(self, n_bytes, now):
        """Record `n_bytes` of live requests on the link."""
        with self._lock:
            self._decay(now)
            self._live_rate += n_bytes / self.window_s

    def available_bytes_per_s(self, now):
        """Return the rate available to transfers."""
        with self._lock:
            return self._available(now)

    def reserve(self, n_bytes, now):
        """Reserve `n_bytes`; return the seconds to wait."""
        with self._lock:
            rate = self._available(now)
            begin = max(now - self.burst_s, self._free_at)
            self._free_at = begin + n_bytes / rate
            return max(0.0, self._free_at - now)

    def _available(self, now):
        self._decay(now)
        floor = self.min_share * self.rate_bytes_per_s
        return max(floor, self.rate_bytes_per_s - self._live_rate)

    def _decay(self, now):
        elapsed_s = max(0.0, now - self._observed_at)
        self._live_rate *= math.exp(-elapsed_s / self.window_s)
        self._observed_at = now
