"""Tells which callers have come back after a failed try."""

import collections
import math

import attrs

from catkinshunt import base
from catkinshunt import checks

#: Difference between deadlines, in seconds, that is no sign of waiting.
TOLERANCE_S = 0.02
#: Share of the requests of a service whose callers grant the longest time,
#: from which on a shorter one tells that the caller waited before. Where
#: callers grant various times, few are near the longest.
CONSTANT_SHARE = 0.3
#: Share that is assumed at first, so that one that starts in the middle of a
#: burst tells returned callers from its second request on.
INITIAL_SHARE = 0.5
#: Share of the newest request in that share; about the last ten count.
NEWEST_WEIGHT = 0.1
#: Times granted in calm seconds that are remembered for each service, and
#: how many are needed before they tell anything.
MAX_SAMPLES = 200
MIN_SAMPLES = 15
#: Share of the remembered times that may be shorter than the usual ones, and
#: the part of the longest by which one must be shorter than these.
OUTLIER_SHARE = 0.02
MARGIN_SHARE = 0.03


@attrs.define
class _Timeouts:
    """Times that the callers of one service grant, in seconds."""

    max_s: float
    max_share: float = INITIAL_SHARE
    samples: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    sample_count: int = 0
    first_attempt: tuple | None = None

    def add_sample(self, deadline_s):
        """Remember a time that was granted in a calm second."""
        self.samples.append(deadline_s)
        self.sample_count += 1
        if self.sample_count % MIN_SAMPLES:
            return
        ordered = sorted(self.samples)
        min_s = ordered[int(OUTLIER_SHARE * len(ordered))]
        median_s = ordered[len(ordered) // 2]
        self.first_attempt = (min_s - MARGIN_SHARE * ordered[-1], median_s)


class ReturningRequestDetector(base.ParamsMixin):
    """Finds how long callers waited before by the time that they have left.

    A caller that comes back after a refusal has less time left than others
    of its service, but does not say when it first asked. Where all callers
    grant the same time at first, any shorter one tells. Where they do not,
    the times granted in calm seconds tell how short a first one may be.

    Past capacity, a refused caller that comes back cannot be in time. Taken
    for a new one it gets a place that another would have been in time with.

    Args:
        constant_share: share of requests near the longest time, from which
            on shorter ones count as left over.

    Examples:
        >>> detector = ReturningRequestDetector()
        >>> waited = [detector.waited_s('chat', 6.0, 1.0) for _ in range(20)]
        >>> detector.waited_s('chat', 5.5, now=1.0)
        0.5
    """

    def __init__(self, constant_share=CONSTANT_SHARE):
        self.constant_share = constant_share
        self._timeouts = {}
        self._rejected_at = -math.inf

    def record_rejection(self, now):
        """Note that a caller was refused; it is likely to come back."""
        self._rejected_at = now

    def waited_s(self, service, deadline_s, now):
        """Return how long the caller of a request waited before, in seconds.

        Args:
            service: name of the service that is to answer.
            deadline_s: seconds that the caller waits from now on.
            now: seconds on the steady clock.
        """
        checks.check_fraction(self.constant_share, 'constant_share')
        timeouts = self._timeouts.get(service)
        if timeouts is None:
            timeouts = self._timeouts[service] = _Timeouts(deadline_s)
        short_s = timeouts.max_s - deadline_s
        timeouts.max_s = max(timeouts.max_s, deadline_s)
        is_longest = short_s <= TOLERANCE_S
        timeouts.max_share += NEWEST_WEIGHT * (is_longest - timeouts.max_share)
        # Those that other entries refused come here too, in the same burst.
        if now - self._rejected_at > timeouts.max_s:
            timeouts.add_sample(deadline_s)
        if is_longest:
            return 0.0
        if timeouts.max_share >= self.constant_share:
            return short_s
        return self._estimate_waited_s(timeouts, deadline_s)

    def _estimate_waited_s(self, timeouts, deadline_s):
        """Return the likely wait where callers grant various times."""
        if timeouts.first_attempt is None:
            return 0.0
        min_s, median_s = timeouts.first_attempt
        return 0.0 if deadline_s >= min_s else median_s - deadline_s
