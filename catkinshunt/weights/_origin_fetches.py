"""Assigns each chunk to an owner, which fetches it from the origin."""

import math

import attrs

from catkinshunt.weights import _rendezvous
from catkinshunt.weights import _view
from catkinshunt.weights import base

_MAX_STRIPES = 256
#: Failover from an earlier owner that is reachable waits this many times the
#: takeover time: its link may be slow, and a second copy would slow it
#: further.
_REACHABLE_OWNER_FACTOR = 4
#: Instances of another data centre from which a chunk is requested, one after
#: the other; a single one may have spent its upload budget.
_MAX_REMOTE_HOLDERS = 8


@attrs.define
class OriginFetch:
    """A chunk that this instance may have to fetch from the origin.

    Args:
        chunk: number of the chunk.
        due_at: earliest time of the first attempt.
        origin_allowed_at: time from which the origin may be used although an
            earlier owner is reachable.
        is_extra_copy: whether to fetch it although other instances have the
            chunk.
        earlier_owners: names of the owners of this data centre that rank
            before this instance.
        remote_holders: names of instances in data centres that get the chunk
            before this one, likely holders first.
    """

    chunk = attrs.field()
    due_at = attrs.field()
    origin_allowed_at = attrs.field()
    is_extra_copy = attrs.field()
    earlier_owners = attrs.field(default=())
    remote_holders = attrs.field(default=())


def plan_origin_fetches(view, strategy):
    """Return the origin fetches of ``view.own_name``, the last due first.

    Needs no coordination: the order of data centres and instances for a chunk
    is given by rendezvous hashing over the members.
    """
    names = {}
    for one in view.members:
        names.setdefault(one.data_centre, []).append(one.name)
    names = {key: tuple(value) for key, value in names.items()}
    fetches = [_plan(view, strategy, names, c) for c in range(view.n_chunks)]
    return sorted(fetches, key=lambda fetch: -fetch.due_at)


def choose_pull(view, fetch, neighbour_chunks, known_chunks, now):
    """Return the `Pull` that executes `fetch` at `now`, or None.

    Earlier owners are tried before the origin. Otherwise every instance that
    misses a chunk of a dead owner would fetch it, and the origin's link would
    carry one copy for each of them.

    Args:
        view: `TransferView` of the instance.
        fetch: an `OriginFetch` that is due.
        neighbour_chunks: bitmap of chunks present at a neighbour, from which
            they are pulled.
        known_chunks: bitmap of chunks present at a usable peer.
        now: current time in seconds.
    """
    if not fetch.is_extra_copy and neighbour_chunks >> fetch.chunk & 1:
        return None
    if fetch.origin_allowed_at > now:
        for name in fetch.earlier_owners:
            if view.is_usable(name, now):
                return _pull_from_first_idle(view, fetch.chunk, (name,), now)
        remote_holders = [
            name for name in fetch.remote_holders if view.is_usable(name, now)
        ]
        if remote_holders:
            return _pull_from_first_idle(
                view, fetch.chunk, remote_holders, now
            )
    if not fetch.is_extra_copy and known_chunks >> fetch.chunk & 1:
        return None
    origin = view.peer(base.ORIGIN)
    if max(origin.busy_until, origin.avoid_until) > now:
        return None
    return _view.Pull(fetch.chunk, base.ORIGIN)


def _pull_from_first_idle(view, chunk, names, now):
    for name in names:
        peer = view.peer(name)
        if peer.busy_until <= now and not peer.pulls:
            return _view.Pull(chunk, name)
    return None


def _plan(view, strategy, names, chunk):
    stripe = chunk % min(view.n_chunks, _MAX_STRIPES)
    ranked_data_centres = _rendezvous.rank(
        f'data_centre-{stripe}', tuple(sorted(names))
    )
    own_data_centre = view.data_centres[view.own_name]
    local = _rendezvous.rank(f'chunk-{stripe}', names[own_data_centre])
    data_centre_rank = ranked_data_centres.index(own_data_centre)
    rank = local.index(view.own_name)
    owner_rank = rank * len(ranked_data_centres) + data_centre_rank
    pace_s = strategy.origin_copy_s / view.n_chunks
    if owner_rank < strategy.count_origin_copies(chunk):
        due_at = view.started_at + pace_s * (
            owner_rank * view.n_chunks + chunk
        )
        return OriginFetch(chunk, due_at, due_at, owner_rank > 0)
    first_at = view.started_at + pace_s * (chunk + 1)
    if rank == 0:
        due_at = first_at
    else:
        due_at = first_at + strategy.takeover_s * (1 + math.log2(rank))
    origin_allowed_at = (
        first_at
        + _REACHABLE_OWNER_FACTOR * strategy.takeover_s * (1 + owner_rank)
    )
    remote_holders = [
        name
        for one in ranked_data_centres[:data_centre_rank]
        for name in _rendezvous.rank(f'chunk-{stripe}', names[one])[
            :_MAX_REMOTE_HOLDERS
        ]
    ]
    return OriginFetch(
        chunk,
        due_at,
        origin_allowed_at,
        False,
        tuple(local[:rank]),
        tuple(remote_holders),
    )
