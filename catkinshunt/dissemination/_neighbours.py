"""The bounded, random set of peers that a process calls."""

from catkinshunt import base
from catkinshunt import checks
from catkinshunt.dissemination import _peer_health

LOCAL_PEERS = 8
REMOTE_PEERS = 2
ROTATION_PERIOD_S = 60.0
MAX_REPLACE_ATTEMPTS = 8


class Neighbours(base.ParamsMixin):
    """A random sample of the peers, mostly of the same data centre.

    Connections to a bounded set can be kept open. Sampling for each call
    would need a new connection each time, and connections to all peers too
    much memory. Random sets form a connected graph with high probability;
    periodic replacement of one neighbour ends an unlucky partition.

    Args:
        name: name of this instance.
        data_centre: data centre of this instance.
        local: number of neighbours in the same data centre.
        remote: number of neighbours in other data centres.
        rotate_s: seconds between replacements of one neighbour.
        random_state: seed or `random.Random`.
    """

    def __init__(
        self,
        name,
        data_centre,
        local=LOCAL_PEERS,
        remote=REMOTE_PEERS,
        rotate_s=ROTATION_PERIOD_S,
        random_state=None,
    ):
        self.name = name
        self.data_centre = data_centre
        self.local = local
        self.remote = remote
        self.rotate_s = rotate_s
        self.random_state = random_state
        self.peer_health = _peer_health.PeerHealth()
        self._random = None
        self._members = None
        self._local_names = []
        self._remote_names = []
        self._chosen = []
        self._rotate_at = None

    def choose(self, members, count, now):
        """Return up to `count` random neighbours, without those in backoff.

        Args:
            members: tuple of instances; the same object while unchanged.
            count: number of neighbours.
            now: seconds, monotonic.
        """
        self._refresh(members, now)
        usable = [
            name
            for name in self._chosen
            if self.peer_health.may_call(name, now)
        ]
        # If all are in backoff, they are called nevertheless.
        usable = usable or self._chosen
        names = self._random.sample(usable, min(count, len(usable)))
        return [self._by_name[name] for name in names]

    def find(self, members, name, now):
        """Return the member `name`, or None."""
        self._refresh(members, now)
        return self._by_name.get(name)

    def _refresh(self, members, now):
        if members is not self._members:
            self._set_members(members)
        if self._rotate_at is None:
            self._rotate_at = now + self.rotate_s
        replaced = [
            name
            for name in self._chosen
            if self.peer_health.is_unresponsive(name)
        ]
        if now >= self._rotate_at and self._chosen:
            self._rotate_at = now + self.rotate_s
            replaced.append(self._random.choice(self._chosen))
        for name in dict.fromkeys(replaced):
            self._replace(name)

    def _set_members(self, members):
        if self._random is None:
            self._random = checks.check_random_state(self.random_state)
        self._members = members
        self._by_name = {
            member.name: member
            for member in members
            if member.name != self.name
        }
        self._local_names = []
        self._remote_names = []
        for member in self._by_name.values():
            is_local = member.data_centre == self.data_centre
            names = self._local_names if is_local else self._remote_names
            names.append(member.name)
        self.peer_health.forget(self._by_name)
        # If one kind has too few peers, the other fills its share.
        total = self.local + self.remote
        local = max(self.local, total - len(self._remote_names))
        remote = max(self.remote, total - len(self._local_names))
        self._chosen = [
            *self._sample_names(self._local_names, local),
            *self._sample_names(self._remote_names, remote),
        ]

    def _sample_names(self, names, bound):
        """Return a sample of `bound` names, current neighbours first."""
        before = set(self._chosen)
        kept = [name for name in names if name in before][:bound]
        free = [name for name in names if name not in before]
        missing = min(bound - len(kept), len(free))
        return kept + self._random.sample(free, missing)

    def _replace(self, name):
        """Replace `name` by a random peer of the same kind."""
        names = self._local_names
        if self._by_name[name].data_centre != self.data_centre:
            names = self._remote_names
        # The attempts are bounded: in a long outage, scanning thousands of
        # names would cost more than the calls.
        for _ in range(MAX_REPLACE_ATTEMPTS):
            other = self._random.choice(names)
            if (
                other not in self._chosen
                and not self.peer_health.is_unresponsive(other)
            ):
                self._chosen[self._chosen.index(name)] = other
                return
