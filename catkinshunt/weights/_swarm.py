"""Swarm strategy: rarest chunk first, least loaded sender first."""

from catkinshunt import checks
from catkinshunt.weights import _origin_fetches
from catkinshunt.weights import _rendezvous
from catkinshunt.weights import _view
from catkinshunt.weights import base

#: Maximum number of copies that the origin sends, at a `lean` of 1.
MAX_ORIGIN_COPIES = 4
_FRACTION_STEPS = 1000
#: Number of takeover times without a new chunk until the origin is used.
_STUCK_TAKEOVER_TIMES = 5


class SwarmStrategy(base.BaseStrategy):
    """Pulls chunks from a bounded set of neighbours.

    Args:
        n_neighbours: number of peers whose bitmaps are queried.
        max_pulls: maximum number of concurrent pulls of one instance.
        max_uploads: maximum number of concurrent uploads of one instance.
        budget_copies: maximum number of copies that one instance sends.
        lean: 0 minimizes origin bytes, 1 the time until all members are
            complete.
        origin_copy_s: seconds in which the origin can send one copy; origin
            fetches are spread over this time.
        takeover_s: seconds that a chunk may be late before the next failover
            owner fetches it.
        random_state: seed or generator for breaking ties.
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

    def count_origin_copies(self, chunk):
        """Return the number of copies of `chunk` to fetch from the origin."""
        lean = checks.check_fraction(self.lean, 'lean')
        wanted = 1 + lean * (MAX_ORIGIN_COPIES - 1)
        fraction = _rendezvous.score('copies', chunk) % _FRACTION_STEPS
        return int(wanted + fraction / _FRACTION_STEPS)

    def neighbours(self, view, now):
        usable_names = [
            name for name in self._ranked(view) if view.is_usable(name, now)
        ]
        # Peers with a spent budget come last but remain neighbours: their
        # bitmaps show chunks that need not be fetched from the origin.
        usable_names.sort(key=lambda name: self._has_spent_budget(view, name))
        return tuple(usable_names[: self.n_neighbours])

    def choose(self, view, now):
        if view.n_pulls >= self.max_pulls:
            return None
        pull = self._choose_due(view, now)
        if pull is None:
            pull = self._choose_rarest(view, now)
        return pull

    def _choose_due(self, view, now):
        fetches, waiting = self._plan(view)
        while fetches and fetches[-1].due_at <= now:
            waiting.append(fetches.pop())
        missing = view.missing
        held = view.bitmap
        waiting[:] = [one for one in waiting if not held >> one.chunk & 1]
        if not waiting:
            return None
        neighbour_chunks, known_chunks = self._known_chunks(view, now)
        is_late_joiner = self._is_late_joiner(view)
        for fetch in waiting:
            if not missing >> fetch.chunk & 1 or (
                is_late_joiner and fetch.is_extra_copy
            ):
                continue
            pull = _origin_fetches.choose_pull(
                view, fetch, neighbour_chunks, known_chunks, now
            )
            if pull is not None:
                return pull
        return None

    def _known_chunks(self, view, now):
        # A former neighbour is no longer queried. If it died with the only
        # copy of a chunk, its stale bitmap would keep every owner waiting,
        # and the last chunk would never arrive.
        if self._is_stuck(view, now):
            return 0, 0
        neighbour_chunks = known_chunks = 0
        neighbour_names = set(self.neighbours(view, now))
        for name, peer in view.peers.items():
            fresh = now - peer.observed_at <= self.takeover_s
            if (fresh or name in neighbour_names) and view.is_usable(
                name, now
            ):
                known_chunks |= peer.bitmap
                neighbour_chunks |= (
                    peer.bitmap if name in neighbour_names else 0
                )
        return neighbour_chunks, known_chunks

    def _is_stuck(self, view, now):
        # Peers that have a chunk but no free upload slot could block this
        # instance for ever, so it falls back to the origin. The wait differs
        # between instances to prevent a stampede.
        fraction = _rendezvous.score('stuck', view.own_name) % _FRACTION_STEPS
        wait_s = (
            _STUCK_TAKEOVER_TIMES
            * (1 + fraction / _FRACTION_STEPS)
            * self.takeover_s
        )
        return now - view.progress_at > wait_s

    def _is_late_joiner(self, view):
        """Whether a peer is complete, so that extra copies are not needed."""
        all_chunks = (1 << view.n_chunks) - 1
        return any(one.bitmap == all_chunks for one in view.peers.values())

    def _choose_rarest(self, view, now):
        missing = view.missing
        names = [
            name
            for name in self.neighbours(view, now)
            if self._can_pull_from(view, name, missing, now)
        ]
        if not names:
            return None
        wanted = 0
        for name in names:
            wanted |= view.peers[name].bitmap
        chunk = self._pick_random_bit(_rarest(view, wanted & missing))
        holders = [
            name for name in names if view.peers[name].bitmap >> chunk & 1
        ]
        return _view.Pull(chunk, self._least_uploaded(view, holders))

    def _can_pull_from(self, view, name, missing, now):
        peer = view.peer(name)
        if peer.pulls or peer.busy_until > now:
            return False
        if self._has_spent_budget(view, name):
            return False
        return bool(peer.bitmap & missing)

    def _least_uploaded(self, view, names):
        return min(
            names,
            key=lambda name: (
                view.peers[name].uploaded_copies,
                _rendezvous.score(view.own_name, name),
            ),
        )

    def _has_spent_budget(self, view, name):
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
        return view.plan.fetches, view.plan.waiting

    def _pick_random_bit(self, mask):
        # The first bit at or after a random position: cheap on a wide mask.
        if self._random is None:
            self._random = checks.check_random_state(self.random_state)
        start = self._random.randrange(mask.bit_length())
        high = mask >> start << start
        return (high & -high).bit_length() - 1


class _Plan:
    """State derived from the members alone."""

    def __init__(self, strategy, view):
        self.fetches = _origin_fetches.plan_origin_fetches(view, strategy)
        self.waiting = []
        self.ranked = _rank_neighbours(strategy, view)


def _rank_neighbours(strategy, view):
    """Return the peers in rendezvous order, some local ones first."""
    names = [one.name for one in view.members if one.name != view.own_name]
    names.sort(key=lambda name: _rendezvous.score(view.own_name, name))
    own_data_centre = view.data_centres[view.own_name]
    local = [
        name for name in names if view.data_centres[name] == own_data_centre
    ]
    if len(local) == len(names):
        return names
    n_remote = round(strategy.lean * strategy.n_neighbours)
    first = local[: strategy.n_neighbours - n_remote]
    if not n_remote:
        return local
    chosen = set(first)
    return first + [name for name in names if name not in chosen]


def _rarest(view, wanted):
    """Return those chunks of `wanted` that the fewest known peers have.

    Counts are bit planes over all chunks, which costs a few operations on
    wide integers per peer instead of a loop over chunks.
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
