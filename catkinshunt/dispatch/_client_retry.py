"""Detection of client retries: requests sent again after a rejection."""

import collections
import math

import attrs

from catkinshunt import base
from catkinshunt import checks

#: Timeouts that differ by at most this many seconds count as equal.
TOLERANCE_S = 0.02
#: Share of requests with the longest timeout from which on the clients of a
#: service are taken to use one constant timeout. Where timeouts vary, few
#: requests are near the longest.
CONSTANT_SHARE = 0.3
#: Initial value of that share. It is above `CONSTANT_SHARE`, so that a process
#: that starts during a burst detects client retries from its second request
#: on.
INITIAL_SHARE = 0.5
#: Weight of the newest request in that share, which covers about the last ten.
NEWEST_WEIGHT = 0.1
#: Latest timeouts kept per service. Those during bursts are not sampled, since
#: many belong to client retries. A burst lasts until no request of any service
#: was rejected for as long as the longest timeout of the sampled service.
MAX_SAMPLES = 200
#: Number of new samples after which the estimate is updated; before the first
#: update no client retry is detected where timeouts vary.
UPDATE_PERIOD = 15
#: Quantile of the samples that is taken as the shortest timeout of a first
#: attempt.
LOWER_QUANTILE = 0.02
#: Share of the longest sample by more than which the timeout of a client
#: retry is below that quantile.
MARGIN_SHARE = 0.03


@attrs.define
class _Timeouts:
    """Timeouts that the clients of one service set, in seconds.

    Attributes:
        max_s: longest timeout.
        max_share: running share of requests with the longest timeout.
        samples: latest timeouts outside bursts.
        sample_count: samples taken so far.
        first_attempt_bounds: pair of the lower bound and the median of the
            timeouts of first attempts; None until there are enough samples.
    """

    max_s: float
    max_share: float = INITIAL_SHARE
    samples: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    sample_count: int = 0
    first_attempt_bounds: tuple | None = None

    def add_sample(self, timeout_s):
        """Record a timeout that was set while no request was rejected."""
        self.samples.append(timeout_s)
        self.sample_count += 1
        if self.sample_count % UPDATE_PERIOD:
            return
        ordered = sorted(self.samples)
        quantile_s = ordered[int(LOWER_QUANTILE * len(ordered))]
        median_s = ordered[len(ordered) // 2]
        self.first_attempt_bounds = (
            quantile_s - MARGIN_SHARE * ordered[-1],
            median_s,
        )


class ClientRetryDetector(base.ParamsMixin):
    """Estimates from the timeout of a request how long its client has waited.

    A client that retries after a rejection sends a shorter timeout but not
    the time of its first attempt. Where all clients use the same timeout, any
    shorter one marks a retry. Where timeouts vary, those that were sampled
    outside bursts give the shortest timeout of a first attempt.

    Past capacity a client retry cannot be in time. Counted as a first attempt,
    it would get a permit with which another request would have been in time.

    Args:
        constant_share: share of requests with the longest timeout from which
            on any shorter timeout marks a retry.

    Examples:
        >>> detector = ClientRetryDetector()
        >>> for _ in range(20):
        ...     waited_s = detector.estimate_wait_s('chat', 6.0, 1.0)
        >>> detector.estimate_wait_s('chat', 5.5, now=1.0)
        0.5
    """

    def __init__(self, constant_share=CONSTANT_SHARE):
        self.constant_share = constant_share
        self._timeouts = {}
        self._rejected_at = -math.inf

    def record_rejection(self, now):
        """Record a rejected request; its client is likely to retry."""
        self._rejected_at = now

    def estimate_wait_s(self, service, timeout_s, now):
        """Return the seconds that a client has waited in earlier attempts.

        It is 0 for a first attempt. The timeout is also recorded for the
        estimates of later requests, so this is called once per request.

        Args:
            service: name of the requested service.
            timeout_s: timeout of the request, in seconds.
            now: seconds on the monotonic clock.
        """
        checks.check_fraction(self.constant_share, 'constant_share')
        timeouts = self._timeouts.get(service)
        if timeouts is None:
            timeouts = self._timeouts[service] = _Timeouts(timeout_s)
        shorter_by_s = timeouts.max_s - timeout_s
        timeouts.max_s = max(timeouts.max_s, timeout_s)
        is_longest = shorter_by_s <= TOLERANCE_S
        timeouts.max_share += NEWEST_WEIGHT * (is_longest - timeouts.max_share)
        # In a burst, clients that other entries rejected retry here too.
        if now - self._rejected_at > timeouts.max_s:
            timeouts.add_sample(timeout_s)
        if is_longest:
            return 0.0
        if timeouts.max_share >= self.constant_share:
            return shorter_by_s
        return self._estimate_waited_s(timeouts, timeout_s)

    def _estimate_waited_s(self, timeouts, timeout_s):
        """Return the likely wait where timeouts vary.

        The timeout of the first attempt is not known; the median is assumed.
        """
        if timeouts.first_attempt_bounds is None:
            return 0.0
        lower_bound_s, median_s = timeouts.first_attempt_bounds
        return 0.0 if timeout_s >= lower_bound_s else median_s - timeout_s
