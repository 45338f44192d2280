"""Which upstreams one entry works with, and which of them are near."""

import hashlib

from catkinshunt.routing import base


def rank_upstreams(entry, upstreams, data_centre='', remote_interval=4):
    """Return upstreams in the order in which one entry takes them up.

    Each entry has its own order by rendezvous hashing, so that entries spread
    over the upstreams without talking to each other, and an upstream that
    comes or goes moves nothing else. The first few of the order are the
    entry's bounded subset: with subsets of k, the connections grow as
    entries times k and not as entries times upstreams.

    Args:
        entry: name of the entry.
        upstreams: `UpstreamView` objects.
        data_centre: the entry's own; its upstreams come first.
        remote_interval: each such place of the order goes to an upstream of
            another data centre, so that a subset outlives the loss of its
            own data centre.

    Examples:
        >>> views = [
        ...     base.UpstreamView(name, '127.0.0.1:1', 'model', place)
        ...     for name, place in [('a', 'x'), ('b', 'y'), ('c', 'x')]
        ... ]
        >>> [view.name for view in rank_upstreams('e1', views, 'x')][2]
        'b'
    """
    key = hashlib.blake2b(entry.encode(), digest_size=8)

    def weight(view):
        digest = key.copy()
        digest.update(view.name.encode())
        return digest.digest()

    order = sorted(upstreams, key=weight, reverse=True)
    near = [view for view in order if view.data_centre == data_centre]
    far = [view for view in order if view.data_centre != data_centre]
    return list(_interleave(near, far, remote_interval))


def _interleave(near, far, remote_interval):
    near, far = iter(near), iter(far)
    place = 0
    while True:
        place += 1
        first, second = (
            (far, near) if place % remote_interval == 0 else (near, far)
        )
        view = next(first, None) or next(second, None)
        if view is None:
            return
        yield view


def prefer_near(candidates, data_centre, region, spill_load, now):
    """Return the nearest group that has an upstream with room.

    The own data centre first, then the own region, then all; a group whose
    least loaded upstream is at `spill_load` or above is too busy to be worth
    the shorter way.

    Args:
        candidates: `UpstreamView` objects, at least one.
        data_centre: the entry's own.
        region: the entry's own.
        spill_load: requests on one upstream from which on a group is full.
        now: seconds, monotonic.
    """
    groups = (
        [view for view in candidates if view.data_centre == data_centre],
        [view for view in candidates if view.region == region],
    )
    for group in groups:
        if any(base.estimate_load(view, now) < spill_load for view in group):
            return group
    return candidates
