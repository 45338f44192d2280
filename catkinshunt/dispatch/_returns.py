"""Tells which callers have come back after a failed try."""

import collections
import math

import attrs

from catkinshunt import base
from catkinshunt import checks

#: Difference between deadlines, in seconds, that is no sign of waiting.
SAME_S = 0.02
#: Share of the requests of a service whose callers grant the longest time,
#: from which on a shorter one tells that the caller waited before. Where
#: callers grant various times, few are near the longest.
CONSTANT_SHARE = 0.3
#: Share that is assumed at first, so that one that starts in the middle of a
#: burst tells returned callers from its second request on.
FIRST_SHARE = 0.5
#: Share of the newest request in that share; about the last ten count.
NEWEST_WEIGHT = 0.1
#: Times granted in calm seconds that are remembered for each service, and
#: how many are needed before they tell anything.
REMEMBERED = 200
LEAST_REMEMBERED = 15
#: Share of the remembered times that may be shorter than the usual ones, and
#: the part of the longest by which one must be shorter than these.
OUTLIERS = 0.02
MARGIN = 0.03


@attrs.define
class _Granted:
    """Times that the callers of one service grant, in seconds."""

    longest_s: float
    longest_share: float = FIRST_SHARE
    calm: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=REMEMBERED)
    )
    learnt: int = 0
    usual: tuple | None = None

    def observe(self, deadline_s):
        """Remember a time that was granted in a calm second."""
        self.calm.append(deadline_s)
        self.learnt += 1
        if self.learnt % LEAST_REMEMBERED:
            return
        ordered = sorted(self.calm)
        least_s = ordered[int(OUTLIERS * len(ordered))]
        middle_s = ordered[len(ordered) // 2]
        self.usual = (least_s - MARGIN * ordered[-1], middle_s)


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
        self._granted = {}
        self._refused_at = -math.inf

    def record_rejection(self, now):
        """Note that a caller was refused; it is likely to come back."""
        self._refused_at = now

    def waited_s(self, service, deadline_s, now):
        """Return how long the caller of a request waited before, in seconds.

        Args:
            service: name of the service that is to answer.
            deadline_s: seconds that the caller waits from now on.
            now: seconds on the steady clock.
        """
        checks.check_fraction(self.constant_share, 'constant_share')
        granted = self._granted.get(service)
        if granted is None:
            granted = self._granted[service] = _Granted(deadline_s)
        short_s = granted.longest_s - deadline_s
        granted.longest_s = max(granted.longest_s, deadline_s)
        is_longest = short_s <= SAME_S
        granted.longest_share += NEWEST_WEIGHT * (
            is_longest - granted.longest_share
        )
        # Those that other entries refused come here too, in the same burst.
        if now - self._refused_at > granted.longest_s:
            granted.observe(deadline_s)
        if is_longest:
            return 0.0
        if granted.longest_share >= self.constant_share:
            return short_s
        return self._left_over_s(granted, deadline_s)

    def _left_over_s(self, granted, deadline_s):
        """Return the likely wait where callers grant various times."""
        if granted.usual is None:
            return 0.0
        least_s, middle_s = granted.usual
        return 0.0 if deadline_s >= least_s else middle_s - deadline_s
