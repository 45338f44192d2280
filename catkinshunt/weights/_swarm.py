"""The chunk swarm: rarest chunk first, least loaded sender first."""

from catkinshunt import checks
from catkinshunt.weights import _origin_fetches
from catkinshunt.weights import _rendezvous
from catkinshunt.weights import _view
from catkinshunt.weights import base

#: Copies that the origin sends at most when time counts most.
MAX_ORIGIN_COPIES = 4
_FRACTION_STEPS = 1000
#: Takeover times without one new chunk after which the origin is asked.
_STUCK = 5


class SwarmStrategy(base.BaseStrategy):
    """Pulls chunks from a bounded set of neighbours.

    Args:
        n_neighbours: peers whose holdings are followed.
        max_pulls: pulls of one instance at a time.
        max_uploads: uploads of one instance at a time.
        budget_copies: copies that one instance sends at most.
        lean: 0 leans towards origin bytes, 1 towards time to N.
        origin_copy_s: seconds in which the origin can send one copy; draws
            are spread over it.
        takeover_s: seconds that a chunk may be late before the next drawer
            steps in.
        random_state: seed or generator for ties.
    """

    def __init__(
        self,
        n_neighbours=14,
        max_pulls=8,
        max_uploads=8,
        budget_copies=1.04,
        lean=0.0,
        origin_copy_s=0.5,
        takeover_s=0.1,
        random_state=None,
    ):
        self.n_neighbours = n_neighbours
        self.max_pulls = max_pulls
        self.max_uploads = max_uploads
        self.budget_copies = budget_copies
        self.lean = lean
        self.origin_copy_s = origin_copy_s
        self.takeover_s = takeover_s
        self.random_state = random_state
        self._random = None

    def copies(self, chunk):
        """Return how many copies of `chunk` the origin is to send."""
        lean = checks.check_fraction(self.lean, 'lean')
        wanted = 1 + lean * (MAX_ORIGIN_COPIES - 1)
        part = _rendezvous.score('copies', chunk) % _FRACTION_STEPS
        return int(wanted + part / _FRACTION_STEPS)

    def neighbours(self, view, now):
        usable = [
            name for name in self._ranked(view) if view.usable(name, now)
        ]
        # Peers with a spent budget come last, but stay known: they show
        # that a chunk is held, and need not be drawn from the origin.
        usable.sort(key=lambda name: self._depleted(view, name))
        return tuple(usable[: self.n_neighbours])

    def choose(self, view, now):
        if view.n_pulls >= self.max_pulls:
            return None
        pull = self._choose_due(view, now)
        if pull is None:
            pull = self._choose_rarest(view, now)
        return pull

    def _choose_due(self, view, now):
        draws, waiting = self._plan(view)
        while draws and draws[-1].due_at <= now:
            waiting.append(draws.pop())
        missing = view.missing
        held = view.bitmap
        waiting[:] = [one for one in waiting if not held >> one.chunk & 1]
        if not waiting:
            return None
        near, seen = self._seen(view, now)
        late = self._joins_late(view)
        for draw in waiting:
            if not missing >> draw.chunk & 1 or (late and draw.extra):
                continue
            pull = _origin_fetches.choose_draw(view, draw, near, seen, now)
            if pull is not None:
                return pull
        return None

    def _seen(self, view, now):
        # A peer that is no neighbour any more is not asked again. If it
        # died with the only copy of a chunk, old knowledge of it would keep
        # every drawer waiting; one notices by a last chunk that never comes.
        if self._is_stuck(view, now):
            return 0, 0
        near = seen = 0
        asked = set(self.neighbours(view, now))
        for name, peer in view.peers.items():
            fresh = now - peer.observed_at <= self.takeover_s
            if (fresh or name in asked) and view.usable(name, now):
                seen |= peer.bitmap
                near |= peer.bitmap if name in asked else 0
        return near, seen

    def _is_stuck(self, view, now):
        # Peers that hold a chunk and never have a place for this instance
        # would keep it waiting for ever: the origin is there for that. The
        # wait differs from one instance to the next, against a stampede.
        part = _rendezvous.score('stuck', view.me) % _FRACTION_STEPS
        wait_s = _STUCK * (1 + part / _FRACTION_STEPS) * self.takeover_s
        return now - view.progress_at > wait_s

    def _joins_late(self, view):
        """Whether a peer is whole, so that the origin need not help."""
        everything = (1 << view.n_chunks) - 1
        return any(one.bitmap == everything for one in view.peers.values())

    def _choose_rarest(self, view, now):
        missing = view.missing
        names = [
            name
            for name in self.neighbours(view, now)
            if self._free(view, name, missing, now)
        ]
        if not names:
            return None
        wanted = 0
        for name in names:
            wanted |= view.peers[name].bitmap
        chunk = self._pick(_rarest(view, wanted & missing))
        holders = [
            name for name in names if view.peers[name].bitmap >> chunk & 1
        ]
        return _view.Pull(chunk, self._least_uploaded(view, holders))

    def _free(self, view, name, missing, now):
        peer = view.peer(name)
        if peer.pulls or peer.busy_until > now:
            return False
        if self._depleted(view, name):
            return False
        return bool(peer.bitmap & missing)

    def _least_uploaded(self, view, names):
        return min(
            names,
            key=lambda name: (
                view.peers[name].uploaded_copies,
                _rendezvous.score(view.me, name),
            ),
        )

    def _depleted(self, view, name):
        peer = view.peers.get(name)
        if peer is None or self.budget_copies is None:
            return False
        bound = self.budget_copies - 1 / view.n_chunks
        return peer.uploaded_copies > bound

    def _ranked(self, view):
        self._plan(view)
        return view.plan.ranked

    def _plan(self, view):
        if view.plan is None:
            view.plan = _Plan(self, view)
        return view.plan.draws, view.plan.waiting

    def _pick(self, mask):
        # The first bit at or after a random place: cheap on a wide mask.
        if self._random is None:
            self._random = checks.check_random_state(self.random_state)
        start = self._random.randrange(mask.bit_length())
        high = mask >> start << start
        return (high & -high).bit_length() - 1


class _Plan:
    """What follows from the instance list alone."""

    def __init__(self, strategy, view):
        self.draws = _origin_fetches.plan_draws(view, strategy)
        self.waiting = []
        self.ranked = _rank_neighbours(strategy, view)


def _rank_neighbours(strategy, view):
    """Return all peers by rendezvous rank, some local ones first."""
    names = [one.name for one in view.members if one.name != view.me]
    names.sort(key=lambda name: _rendezvous.score(view.me, name))
    home = view.data_centres[view.me]
    local = [name for name in names if view.data_centres[name] == home]
    if len(local) == len(names):
        return names
    n_remote = round(strategy.lean * strategy.n_neighbours)
    first = local[: strategy.n_neighbours - n_remote]
    if not n_remote:
        return local
    chosen = set(first)
    return first + [name for name in names if name not in chosen]


def _rarest(view, wanted):
    """Return those chunks of `wanted` that the fewest known peers hold.

    Counts are kept as bit planes over all chunks at once, which costs a few
    operations on wide integers a peer instead of a loop over chunks.
    """
    planes = []
    for peer in view.peers.values():
        carry = peer.bitmap & wanted
        for index, plane in enumerate(planes):
            planes[index], carry = plane ^ carry, plane & carry
        if carry:
            planes.append(carry)
    for plane in reversed(planes):
        rarer = wanted & ~plane
        wanted = rarer or wanted
    return wanted
