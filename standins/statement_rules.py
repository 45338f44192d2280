"""Checks that entries heed upstreams that leave or ask for back-off.

Requests count from an entry that has been told. What happened to the entry
since then excuses it: a restart or a freeze, and for a back-off also a cut.
"""

import attrs

#: Seconds after a rejection until the back-off counts.
BACK_OFF_GRACE_S = 0.5
#: Most requests that reach an upstream in a back-off.
MOST_IN_BACK_OFF = 2


@attrs.frozen
class Arrival:
    """A request that reached an upstream.

    Attributes:
        sent_at: when the client sent it to the entry.
        at: when it reached the upstream.
        entry: the entry that sent it on.
    """

    sent_at: float
    at: float
    entry: str


@attrs.frozen
class Told:
    """An entry passed on a reply of an upstream that says that it leaves."""

    at: float
    entry: str


@attrs.frozen
class Rejection:
    """An upstream turned a request away and asked its entry for back-off.

    Attributes:
        at: when it answered.
        entry: the entry that got the answer.
        back_off_s: seconds of the back-off.
    """

    at: float
    entry: str
    back_off_s: float


def never_excused(entry, begin, end):
    """Return that an entry is not excused in a span of time."""
    return False


def find_requests_to_leaving(
    told, arrivals, drain_s, is_excused=never_excused
):
    """Return the arrivals that came too late at one start of an upstream.

    Args:
        told: `Told` objects of this start.
        arrivals: `Arrival` objects of this start.
        drain_s: seconds that an entry has to heed the statement.
        is_excused: function of an entry and a begin and end that returns
            whether the entry had a disruption in that time.
    """
    first = {}
    for each in sorted(told, key=lambda each: each.at):
        first.setdefault(each.entry, each.at)
    return [
        arrival
        for arrival in arrivals
        if arrival.entry in first
        and arrival.sent_at > first[arrival.entry] + drain_s
        and not is_excused(arrival.entry, first[arrival.entry], arrival.at)
    ]


def find_broken_back_offs(rejections, arrivals, is_excused=never_excused):
    """Return the rejections after which too many requests came.

    Args:
        rejections: `Rejection` objects of one upstream.
        arrivals: its `Arrival` objects.
        is_excused: as for `find_requests_to_leaving`.
    """
    return [
        rejection
        for rejection in rejections
        if _count_in_back_off(rejection, arrivals) > MOST_IN_BACK_OFF
        and not is_excused(
            rejection.entry, rejection.at, rejection.at + rejection.back_off_s
        )
    ]


def _count_in_back_off(rejection, arrivals):
    begin = rejection.at + BACK_OFF_GRACE_S
    end = rejection.at + rejection.back_off_s
    return sum(
        arrival.entry == rejection.entry and begin < arrival.at < end
        for arrival in arrivals
    )
