"""Who asks the platform's services on behalf of the others."""

from catkinshunt import base
from catkinshunt import rendezvous

WATCHERS = 2
STANDBYS = 3


class WatchElection(base.ParamsMixin):
    """Decides whether the own process watches a source.

    In each data centre the first few instances in an order by rendezvous
    hashing watch; the next few are their deputies and call those before them
    now and then. A deputy takes over when so many before it are lost that it
    moves up. Only deputies ever move up, so the loss of a watcher brings one
    more watch and not one from every process that notices.

    Args:
        topic: name of the document; another one has other watchers.
        name: name of the own instance.
        data_centre: data centre of the own instance.
        contacts: `PeerHealth` of the own process.
        watchers: watchers in each data centre.
        deputies: how many after them stand ready.
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
        self._before = None

    def check(self, members):
        """Return whether the own process watches now.

        Args:
            members: tuple of instances; the same object while unchanged.
        """
        before = self._find_before(members)
        if before is None:
            return False
        answering = [
            name
            for name in before
            if not self.peer_health.is_unresponsive(name)
        ]
        return len(answering) < self.watchers

    def choose_probe(self, members, random_state):
        """Return the name of an instance to call as its deputy, or None."""
        before = self._find_before(members)
        return random_state.choice(before) if before else None

    def _find_before(self, members):
        """Return the names before the own; None if it is no deputy."""
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
            self._before = None
            if self.name in first:
                self._before = first[: first.index(self.name)]
            self._members = members
        return self._before
