"""Detects slow sources and a slow link of this instance."""

import collections
import math

from catkinshunt.spread import _plan

#: Part of the copy time after which slow sources are detected.
MIN_ELAPSED_SHARE = 0.9
#: A source is slow if its estimated end exceeds SLOW_END_RATIO copy times
#: while the median of the others is below MEDIAN_END_RATIO copy times. Normal
#: delays at the start must not count: chunks would be fetched from the origin
#: again.
SLOW_END_RATIO = 2.0
MEDIAN_END_RATIO = 1.4
#: This instance's link is slow if the present share of the version is below
#: this fraction both of the median of the peers and of the share expected at
#: link speed. A link at a quarter of its speed reaches 0.25 of both.
SLOW_LINK_RATIO = 0.45
#: Conditions of that check: least number of peers with a reported share, least
#: median of these shares, and time since the start of the transfer. The check
#: ends after one copy time.
MIN_REPORTS = 3
MIN_MEDIAN_SHARE = 0.12
LINK_CHECK_AFTER_S = 1.0


class SourceSpeeds:
    """Measures the speed of each source in one transfer.

    Args:
        clock: returns seconds on the monotonic clock.

    Attributes:
        received: number of received chunks by source.
        copy_s: seconds in which a copy crosses this instance's link; infinite
            until `start`.
    """

    def __init__(self, clock):
        self.clock = clock
        self.copy_s = math.inf
        self.received = collections.Counter()
        self._last_s = {}
        self._began = clock()

    def start(self, copy_s):
        """Start the measurement for a copy that takes `copy_s` seconds."""
        self._began = self.clock()
        self.copy_s = copy_s

    def record_chunk(self, source):
        self.received[source] += 1
        self._last_s[source] = self._elapsed_s()

    def is_slow(self, source, queue_lengths):
        """Return whether a source is far slower than most others.

        A member with a slow link still sends a chunk now and then, but delays
        all members that wait for its queue. If all sources are equally slow,
        this instance's link is the cause, and other sources would not help.

        Args:
            source: name of the source.
            queue_lengths: number of queued chunks by source.
        """
        if self._elapsed_s() < MIN_ELAPSED_SHARE * self.copy_s:
            return False
        # One chunk stays with a slow source; only the rest is reassigned.
        if queue_lengths[source] < 2 or source == _plan.ORIGIN:
            return False
        others = sorted(
            self._estimated_end_s(other, queue_lengths[other])
            for other in queue_lengths
            if other != source
        )
        if not others:
            return False
        median_s = others[len(others) // 2]
        return (
            self._estimated_end_s(source, queue_lengths[source])
            > SLOW_END_RATIO * self.copy_s
            and median_s < MEDIAN_END_RATIO * self.copy_s
        )

    def _estimated_end_s(self, source, queue_length):
        """Return the end of a source's queue in seconds since the start.

        The time of its last chunk if the queue is empty.
        """
        elapsed_s = self._elapsed_s()
        if not queue_length:
            return self._last_s.get(source, elapsed_s)
        return elapsed_s * (1 + queue_length / max(1, self.received[source]))

    def is_local_link_slow(self, present_share, reported_shares):
        """Return whether this member receives far less than its peers.

        Members that wait for chunks relayed by it are delayed by seconds.

        Args:
            present_share: present share of the version, from 0 to 1.
            reported_shares: present shares that other members reported.
        """
        elapsed_s = self._elapsed_s()
        if not LINK_CHECK_AFTER_S <= elapsed_s <= self.copy_s:
            return False
        # A member that started late may have less than its peers.
        if present_share >= SLOW_LINK_RATIO * elapsed_s / self.copy_s:
            return False
        if len(reported_shares) < MIN_REPORTS:
            return False
        median = sorted(reported_shares)[len(reported_shares) // 2]
        return (
            median >= MIN_MEDIAN_SHARE
            and present_share < SLOW_LINK_RATIO * median
        )

    def _elapsed_s(self):
        return self.clock() - self._began
