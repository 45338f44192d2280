"""Checks that upstreams get no more requests than their stated limits allow.

An upstream may state how many requests per second it accepts from all
entries together. The platform counts the requests of those entries that have
passed on a reply with the limit.
"""

import math

import attrs

#: Length in seconds of the windows in which requests are counted.
WINDOW_S = 4.0
#: Requests in a window, as a multiple of the stated rate, and beyond it.
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5
#: Seconds from the time at which an entry has passed on a reply with the
#: limit until its requests count.
TOLD_S = 0.5


@attrs.frozen
class Statement:
    """From now on the upstream states this limit.

    Attributes:
        at: when, in seconds.
        per_s: requests per second; infinite if it states none.
    """

    at: float
    per_s: float


@attrs.frozen
class Arrival:
    """An entry sent a request to the upstream, or passed on its reply."""

    at: float
    entry: str


@attrs.frozen
class Excess:
    """More requests in a window than allowed.

    Attributes:
        at: end of the window.
        count: requests of entries that knew the limit.
        allowed: most requests in the window.
    """

    at: float
    count: int
    allowed: float


def allowed_in_window(per_s):
    """Return the most requests in a window at a constant limit."""
    return RATE_FACTOR * per_s * WINDOW_S + EXTRA_REQUESTS


@attrs.define
class UpstreamHistory:
    """What one process of an upstream stated and got.

    Attributes:
        statements: `Statement` objects, in order of time.
        arrivals: `Arrival` of each request that it got, rejected ones too.
        told: `Arrival` of each reply with a limit that an entry passed on.
    """

    statements: list = attrs.field(factory=list)
    arrivals: list = attrs.field(factory=list)
    told: list = attrs.field(factory=list)

    def find_excess(self, contact_s, is_excused=lambda entry, at: False):
        """Return the first `Excess` of each time with a limit.

        Args:
            contact_s: seconds from a statement until it must be kept.
            is_excused: function of an entry and a time that returns whether
                requests of the entry at that time do not count.
        """
        return [
            found
            for begin, end in self._limited_times()
            if (found := self._first_excess(begin, end, contact_s, is_excused))
        ]

    def _limited_times(self):
        """Return the (begin, end) of each time with a limit."""
        times, begin = [], None
        for statement in self.statements:
            is_limited = statement.per_s < math.inf
            if is_limited and begin is None:
                begin = statement.at
            elif not is_limited and begin is not None:
                times.append((begin, statement.at))
                begin = None
        if begin is not None:
            times.append((begin, math.inf))
        return times

    def _first_excess(self, begin, end, contact_s, is_excused):
        known_at = {}
        for told in self.told:
            if begin <= told.at < end:
                known_at.setdefault(told.entry, told.at + TOLD_S)
        counted = sorted(
            arrival.at
            for arrival in self.arrivals
            if known_at.get(arrival.entry, math.inf) <= arrival.at < end
            and not is_excused(arrival.entry, arrival.at)
        )
        first = 0
        for number, at in enumerate(counted):
            while counted[first] <= at - WINDOW_S:
                first += 1
            if at < begin + contact_s:
                continue
            allowed = self._allowed(begin, at, contact_s)
            if number + 1 - first > allowed:
                return Excess(at, number + 1 - first, allowed)
        return None

    def _allowed(self, begin, at, contact_s):
        """Return the most requests in the window that ends at `at`.

        A statement of a lower limit counts from `contact_s` later.
        """
        steps = [s for s in self.statements if begin <= s.at <= at]
        marks = {at - WINDOW_S, at}
        for step in steps:
            marks |= {step.at, step.at + contact_s}
        marks = sorted(m for m in marks if at - WINDOW_S <= m <= at)
        total = 0.0
        for left, right in zip(marks, marks[1:], strict=False):
            total += (right - left) * _limit_between(steps, left, contact_s)
        return RATE_FACTOR * total + EXTRA_REQUESTS


def _limit_between(steps, left, contact_s):
    """Return the limit that counts from `left` until the next change."""
    in_force = [s.per_s for s in steps if s.at <= left][-1:]
    recent = [s.per_s for s in steps if left - contact_s < s.at <= left]
    # The limit before those stated recently, which may have been higher.
    before = [s.per_s for s in steps if s.at <= left - contact_s][-1:]
    # Before the first statement no request counts.
    return max(in_force + recent + before, default=steps[0].per_s)
