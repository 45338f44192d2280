"""Checks that upstreams get no requests once they have left."""

import attrs


@attrs.frozen
class Arrival:
    """A request that reached an upstream.

    Attributes:
        entry: the entry that sent it on.
        sent_at: when the client sent it to the entry.
        at: when it reached the upstream.
    """

    entry: str
    sent_at: float
    at: float


@attrs.frozen
class Bounds:
    """Seconds that entries have.

    Attributes:
        drain_s: after the store has acknowledged that an upstream leaves.
        slack_s: beyond that.
        contact_s: after a fault, until they must know all again.
    """

    drain_s: float
    slack_s: float
    contact_s: float


def is_late(arrival, left_at, bounds, store_faults, entry, link):
    """Return whether a request reached an upstream that had left.

    The acknowledgement counts if the store had no fault for `contact_s`
    before it. Excused is a fault of the store, the entry or the link in the
    last `contact_s`. A later fault of the store, or of the way there, excuses
    no entry that was in touch until `drain_s` after the acknowledgement and
    has run since: it knows of the leave.

    Args:
        arrival: `Arrival` of the request.
        left_at: when the store acknowledged that the upstream leaves.
        bounds: `Bounds`.
        store_faults: (begin, end) pairs.
        entry: pair of the (begin, end) pairs in which the entry did not run,
            and of those of its way to the store.
        link: (begin, end) pairs of the faults of the upstream's link.
    """
    stopped, cut_off = entry
    due_at = left_at + bounds.drain_s
    if arrival.at <= due_at + bounds.slack_s or overlaps(
        store_faults, left_at - bounds.contact_s, left_at
    ):
        return False
    since = arrival.sent_at - bounds.contact_s
    if overlaps(link, since, arrival.at):
        return False
    begin = left_at - bounds.contact_s
    knows = not overlaps(stopped, begin, arrival.at) and not overlaps(
        cut_off + store_faults, begin, due_at
    )
    in_touch = not overlaps(
        stopped + cut_off + store_faults, since, arrival.at
    )
    return knows or in_touch


def overlaps(spans, begin, end):
    """Return whether one of the (begin, end) pairs meets a span of time."""
    return any(since < end and begin < until for since, until in spans)
