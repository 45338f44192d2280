"""Detection of returning requests: retries by clients after a rejection."""

import collections
import math

import attrs

from catkinshunt import base
from catkinshunt import checks

#: Difference between equal client timeouts, in seconds.
TOLERANCE_S = 0.02
#: Share of requests with the longest timeout from which on the clients of a
#: service are taken to use one constant timeout. Where timeouts vary, few
#: requests are near the longest.
CONSTANT_SHARE = 0.3
#: Initial value of that share. A process that starts during a burst detects
#: returning requests from its second request on.
INITIAL_SHARE = 0.5
#: Weight of the newest request in that share, which covers about the last ten.
NEWEST_WEIGHT = 0.1
#: Timeouts kept per service, and after how many new ones the estimate is
#: updated. Timeouts during bursts of rejections are not sampled.
MAX_SAMPLES = 200
MIN_SAMPLES = 15
#: Share of the shortest samples that is ignored, and the share of the longest
#: sample by which a timeout must be below the rest to count as shortened.
OUTLIER_SHARE = 0.02
MARGIN_SHARE = 0.03


@attrs.define
class _Timeouts:
    """Timeouts that the clients of one service set, in seconds.

    Attributes:
        max_s: longest timeout.
        max_share: running share of requests with about the longest timeout.
        samples: latest timeouts outside bursts.
        sample_count: samples taken so far.
        first_attempt: lower bound and median of the timeouts of first
            attempts; None until there are enough samples.
    """

    max_s: float
    max_share: float = INITIAL_SHARE
    samples: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    sample_count: int = 0
    first_attempt: tuple | None = None

    def add_sample(self, deadline_s):
        """Record a timeout that was set while no request was rejected."""
        self.samples.append(deadline_s)
        self.sample_count += 1
        if self.sample_count % MIN_SAMPLES:
            return
        ordered = sorted(self.samples)
        min_s = ordered[int(OUTLIER_SHARE * len(ordered))]
        median_s = ordered[len(ordered) // 2]
        self.first_attempt = (min_s - MARGIN_SHARE * ordered[-1], median_s)


class ClientRetryDetector(base.ParamsMixin):
    """Estimates from its timeout how long a returning request has waited.

    A client that retries after a rejection sends a shorter timeout but not
    the time of its first attempt. Where all clients use the same timeout, any
    shorter one marks a retry. Where timeouts vary, those that were sampled
    outside bursts give the shortest timeout of a first attempt.

    Past capacity a returning request cannot be in time. Counted as a new one,
    it would get a permit with which another request would have been in time.

    Args:
        constant_share: share of requests with the longest timeout from which
            on any shorter timeout marks a retry.

    Examples:
        >>> detector = ClientRetryDetector()
        >>> waited = [detector.waited_s('chat', 6.0, 1.0) for _ in range(20)]
        >>> detector.waited_s('chat', 5.5, now=1.0)
        0.5
    """

    def __init__(self, constant_share=CONSTANT_SHARE):
        self.constant_share = constant_share
        self._timeouts = {}
        self._rejected_at = -math.inf

    def record_rejection(self, now):
        """Record a rejected request; its client is likely to retry."""
        self._rejected_at = now

    def waited_s(self, service, deadline_s, now):
        """Return the seconds that a client has waited in earlier attempts.

        Args:
            service: name of the requested service.
            deadline_s: timeout of the request, in seconds from now.
            now: seconds on the steady clock.
        """
        checks.check_fraction(self.constant_share, 'constant_share')
        timeouts = self._timeouts.get(service)
        if timeouts is None:
            timeouts = self._timeouts[service] = _Timeouts(deadline_s)
        shorter_by_s = timeouts.max_s - deadline_s
        timeouts.max_s = max(timeouts.max_s, deadline_s)
        is_longest = shorter_by_s <= TOLERANCE_S
        timeouts.max_share += NEWEST_WEIGHT * (is_longest - timeouts.max_share)
        # In a burst, requests that other entries rejected return here too.
        if now - self._rejected_at > timeouts.max_s:
            timeouts.add_sample(deadline_s)
        if is_longest:
            return 0.0
        if timeouts.max_share >= self.constant_share:
            return shorter_by_s
        return self._estimate_waited_s(timeouts, deadline_s)

    def _estimate_waited_s(self, timeouts, deadline_s):
        """Return the likely wait where timeouts vary."""
        if timeouts.first_attempt is None:
            return 0.0
        min_s, median_s = timeouts.first_attempt
        return 0.0 if deadline_s >= min_s else median_s - deadline_s
