"""The bounded set of peers that a process speaks to."""

from catkinshunt import base
from catkinshunt import checks
from catkinshunt.dissemination import _peer_health

LOCAL = 8
REMOTE = 2
ROTATE_S = 60.0
EXCHANGE_TRIES = 8


class Neighbours(base.ParamsMixin):
    """Random peers, most of them of the own data centre.

    Connections to a bounded set can be kept. A new random peer for each call
    would cost a connection each time, and all peers together too much
    memory. Random sets leave the whole connected; one member is exchanged
    from time to time, so that no process stays cut off by bad luck.

    Args:
        name: name of the own instance.
        data_centre: data centre of the own instance.
        local: how many peers of the own data centre.
        remote: how many of the others.
        rotate_s: seconds after which one peer is exchanged.
        random_state: seed or `random.Random`.
    """

    def __init__(
        self,
        name,
        data_centre,
        local=LOCAL,
        remote=REMOTE,
        rotate_s=ROTATE_S,
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
        """Return up to `count` random neighbours that may be called.

        Args:
            members: tuple of instances; the same object while unchanged.
            count: how many.
            now: seconds, monotonic.
        """
        self._refresh(members, now)
        usable = [
            name for name in self._chosen if self.peer_health.check(name, now)
        ]
        # Where all failed, calling one of them is still the only way on.
        usable = usable or self._chosen
        names = self._random.sample(usable, min(count, len(usable)))
        return [self._by_name[name] for name in names]

    def find(self, members, name, now):
        """Return the member `name`, or None."""
        self._refresh(members, now)
        return self._by_name.get(name)

    def _refresh(self, members, now):
        if members is not self._members:
            self._take(members)
        if self._rotate_at is None:
            self._rotate_at = now + self.rotate_s
        lost = [
            name
            for name in self._chosen
            if self.peer_health.is_unresponsive(name)
        ]
        if now >= self._rotate_at and self._chosen:
            self._rotate_at = now + self.rotate_s
            lost.append(self._random.choice(self._chosen))
        for name in dict.fromkeys(lost):
            self._exchange(name)

    def _take(self, members):
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
            near = member.data_centre == self.data_centre
            names = self._local_names if near else self._remote_names
            names.append(member.name)
        self.peer_health.forget(self._by_name)
        # Few of one kind leave room for more of the other.
        room = self.local + self.remote
        local = max(self.local, room - len(self._remote_names))
        remote = max(self.remote, room - len(self._local_names))
        self._chosen = [
            *self._keep_some(self._local_names, local),
            *self._keep_some(self._remote_names, remote),
        ]

    def _keep_some(self, names, bound):
        """Return `bound` of `names`, those chosen before first."""
        before = set(self._chosen)
        kept = [name for name in names if name in before][:bound]
        free = [name for name in names if name not in before]
        missing = min(bound - len(kept), len(free))
        return kept + self._random.sample(free, missing)

    def _exchange(self, name):
        """Put a random peer of the same kind in the place of `name`."""
        names = self._local_names
        if self._by_name[name].data_centre != self.data_centre:
            names = self._remote_names
        # A few tries; going through thousands of names at each call in a
        # long outage would cost more than the calls themselves.
        for _ in range(EXCHANGE_TRIES):
            other = self._random.choice(names)
            if (
                other not in self._chosen
                and not self.peer_health.is_unresponsive(other)
            ):
                self._chosen[self._chosen.index(name)] = other
                return
