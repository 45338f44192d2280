"""Who draws which chunk from the origin, and who takes over."""

import math

import attrs

from catkinshunt.weights import _rendezvous
from catkinshunt.weights import _view
from catkinshunt.weights import base

_MAX_STRIPES = 256
#: An earlier drawer that lives gets this many times the takeover time: its
#: link may be slow, and a second copy would slow it further.
_PATIENCE = 4
#: Instances of another data centre that are asked for a chunk, in turn; one
#: alone may have spent its budget.
_REMOTE = 8


@attrs.define
class Draw:
    """A chunk that this instance may have to fetch outside the swarm.

    Args:
        chunk: number of the chunk.
        due_at: earliest time of the first attempt.
        own_at: time from which the origin may be asked although an earlier
            drawer lives.
        extra: whether this copy is wanted though others hold the chunk.
        earlier: names of the drawers of this data centre that come before
            this instance.
        remote: names of instances in data centres that get the chunk
            before this one, likely holders first.
    """

    chunk = attrs.field()
    due_at = attrs.field()
    own_at = attrs.field()
    extra = attrs.field()
    earlier = attrs.field(default=())
    remote = attrs.field(default=())


def plan_draws(view, strategy):
    """Return the draws of ``view.me``, the last due first.

    Every instance works this out for itself: the order of data centres and
    of instances for a chunk follows from rendezvous hashing over the list.
    """
    names = {}
    for one in view.members:
        names.setdefault(one.data_centre, []).append(one.name)
    names = {key: tuple(value) for key, value in names.items()}
    draws = [_plan(view, strategy, names, c) for c in range(view.n_chunks)]
    return sorted(draws, key=lambda draw: -draw.due_at)


def choose_draw(view, draw, near, seen, now):
    """Return the `Pull` by which `draw` is done at `now`, or None.

    Earlier drawers are asked before the origin. Without that, every instance
    that misses a chunk of a dead drawer would draw it, and the origin's link
    would carry one copy for each of them.

    Args:
        view: what the instance knows.
        draw: a `Draw` that is due.
        near: chunks that some neighbour holds; they come from there.
        seen: chunks that some usable peer is known to hold.
        now: the present time, in seconds.
    """
    if not draw.extra and near >> draw.chunk & 1:
        return None
    if draw.own_at > now:
        for name in draw.earlier:
            if view.usable(name, now):
                return _ask(view, draw.chunk, (name,), now)
        remote = [name for name in draw.remote if view.usable(name, now)]
        if remote:
            return _ask(view, draw.chunk, remote, now)
    if not draw.extra and seen >> draw.chunk & 1:
        return None
    origin = view.peer(base.ORIGIN)
    if max(origin.busy_until, origin.avoid_until) > now:
        return None
    return _view.Pull(draw.chunk, base.ORIGIN)


def _ask(view, chunk, names, now):
    for name in names:
        peer = view.peer(name)
        if peer.busy_until <= now and not peer.pulls:
            return _view.Pull(chunk, name)
    return None


def _plan(view, strategy, names, chunk):
    stripe = chunk % min(view.n_chunks, _MAX_STRIPES)
    homes = _rendezvous.rank(f'data_centre-{stripe}', tuple(sorted(names)))
    home = view.data_centres[view.me]
    local = _rendezvous.rank(f'chunk-{stripe}', names[home])
    place = homes.index(home)
    rank = local.index(view.me)
    turn = rank * len(homes) + place
    pace_s = strategy.origin_copy_s / view.n_chunks
    if turn < strategy.copies(chunk):
        due_at = view.started_at + pace_s * (turn * view.n_chunks + chunk)
        return Draw(chunk, due_at, due_at, turn > 0)
    first_at = view.started_at + pace_s * (chunk + 1)
    if rank == 0:
        due_at = first_at
    else:
        due_at = first_at + strategy.takeover_s * (1 + math.log2(rank))
    own_at = first_at + _PATIENCE * strategy.takeover_s * (1 + turn)
    remote = [
        name
        for one in homes[:place]
        for name in _rendezvous.rank(f'chunk-{stripe}', names[one])[:_REMOTE]
    ]
    return Draw(
        chunk, due_at, own_at, False, tuple(local[:rank]), tuple(remote)
    )
