"""Election of the processes that watch the services of the platform."""

from catkinshunt import base
from catkinshunt import rendezvous

WATCHERS = 2
STANDBYS = 3


class WatchElection(base.ParamsMixin):
    """Decides whether this process watches a source.

    In each data centre, instances are ordered by rendezvous hashing of the
    topic. The first ones watch; the next ones are standbys, which probe their
    predecessors. A standby watches if fewer than `watchers` predecessors are
    responsive. As only standbys take over, the failure of a watcher starts
    one watch instead of one in every process that detects it.

    Args:
        topic: name of the document.
        name: name of this instance.
        data_centre: data centre of this instance.
        peer_health: `PeerHealth` of this process.
        watchers: number of watchers in each data centre.
        standbys: number of standbys in each data centre.
    """

    def __init__(
        self,
        topic,
        name,
        data_centre,
        peer_health,
        watchers=WATCHERS,
        standbys=STANDBYS,
    ):
        self.topic = topic
        self.name = name
        self.data_centre = data_centre
        self.peer_health = peer_health
        self.watchers = watchers
        self.standbys = standbys
        self._members = None
        self._predecessors = None

    def is_elected(self, members):
        """Return whether this process is to watch.

        Args:
            members: tuple of instances; the same object while unchanged.
        """
        predecessors = self._find_predecessors(members)
        if predecessors is None:
            return False
        responsive = [
            name
            for name in predecessors
            if not self.peer_health.is_unresponsive(name)
        ]
        return len(responsive) < self.watchers

    def choose_probe(self, members, random_state):
        """Return the name of a random predecessor to probe, or None."""
        predecessors = self._find_predecessors(members)
        return random_state.choice(predecessors) if predecessors else None

    def _find_predecessors(self, members):
        """Return the names ranked before this one; None if it has no role."""
        if members is not self._members:
            order = rendezvous.rank(
                self.topic,
                [
                    member.name
                    for member in members
                    if member.data_centre == self.data_centre
                ],
            )
            first = order[: self.watchers + self.standbys]
            self._predecessors = None
            if self.name in first:
                self._predecessors = first[: first.index(self.name)]
            self._members = members
        return self._predecessors
