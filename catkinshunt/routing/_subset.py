"""Subsetting: the upstreams that an entry connects to, local ones first."""

import hashlib

from catkinshunt.routing import base


def rank_upstreams(entry, upstreams, data_centre='', remote_interval=4):
    """Return the upstreams in the order of preference of one entry.

    Rendezvous hashing gives each entry its own order, so that entries spread
    over the upstreams without coordination, and adding or removing an
    upstream does not reorder the others. The first k upstreams are the
    subset of the entry: the number of connections grows with entries times
    k instead of entries times upstreams.

    Args:
        entry: name of the entry.
        upstreams: `UpstreamView` objects.
        data_centre: data centre of the entry; its upstreams come first.
        remote_interval: every position that is a multiple of this is given
            to an upstream of another data centre, so that a subset survives
            the loss of its own data centre.

    Examples:
        >>> views = [
        ...     base.UpstreamView(name, '127.0.0.1:1', 'model', position)
        ...     for name, position in [('a', 'x'), ('b', 'y'), ('c', 'x')]
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
    local = [view for view in order if view.data_centre == data_centre]
    remote = [view for view in order if view.data_centre != data_centre]
    return list(_interleave(local, remote, remote_interval))


def _interleave(local, remote, remote_interval):
    local, remote = iter(local), iter(remote)
    position = 0
    while True:
        position += 1
        first, second = (
            (remote, local)
            if position % remote_interval == 0
            else (local, remote)
        )
        view = next(first, None) or next(second, None)
        if view is None:
            return
        yield view


def prefer_near(candidates, data_centre, region, spill_load, now):
    """Return the candidates of the nearest group that has spare capacity.

    The groups are the data centre, the region and all candidates. A group is
    skipped if each of its upstreams has a load of `spill_load` or more: the
    queueing time there exceeds the gain from the shorter distance.

    Args:
        candidates: `UpstreamView` objects, at least one.
        data_centre: data centre of the entry.
        region: region of the entry.
        spill_load: load, in requests, from which on an upstream is full.
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
