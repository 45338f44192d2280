"""Which source gives which chunk, agreed without a message.

Every sidecar knows the members of its service from the store. For each chunk
it ranks them by rendezvous hashing; the first of all takes the chunk from
the origin, the first of each data centre takes it from there, and the others
take it from the first of their data centre. So a chunk leaves the origin
once and crosses a link between data centres once, and each member gives
about as much as it takes.
"""

import attrs

from catkinshunt import rendezvous

#: Name of the origin among the sources.
ORIGIN = 'origin'


@attrs.frozen
class Member:
    """A sidecar beside an engine of the service.

    Attributes:
        name: unique among the members; the address of its instance.
        data_centre: where it stands.
        versions: version by model that its engine serves.
        leaving: it is about to go.
    """

    name: str
    data_centre: str = ''
    versions: dict = attrs.field(factory=dict)
    leaving: bool = False


class Plan:
    """The sources of each chunk of one version, for one member.

    Args:
        me: the `Member` that asks.
        members: all members that stay, `me` among them or not.
        regions: region by data centre.
        model: name of the model.
        version: its version.

    Examples:
        >>> here = [Member(name, 'larisa-a') for name in ('a', 'b', 'c')]
        >>> plans = [Plan(me, here, {}, 'drafts', 2) for me in here]
        >>> firsts = [plan.sources(0)[0] for plan in plans]
        >>> firsts.count('origin')
        1
    """

    def __init__(self, me, members, regions, model, version):
        self.me = me
        self.members = [m for m in members if m.name != me.name] + [me]
        self.regions = regions
        self.model = model
        self.version = version

    def sources(self, index):
        """Return the names of sources for a chunk, best first."""
        ranked = self._rank(index)
        order = [
            *self._holders_near(ranked),
            *self._holders_far(ranked),
            *self._before_me(ranked, self.me.data_centre),
        ]
        if ranked[0] is not self.me:
            order += self._first_of_all(ranked)
        names = [member.name for member in order]
        return [*dict.fromkeys(names), ORIGIN]

    def manifest_sources(self):
        """Return the names of sources for the manifest, best first.

        Members that serve the version need not have its manifest, so they
        do not go first; each asks only those of a better rank, and no
        circle of members waits for each other.
        """
        ranked = self._rank('manifest')
        order = self._before_me(ranked, self.me.data_centre)
        if ranked[0] is not self.me:
            order.append(ranked[0])
        names = [member.name for member in order]
        return [*dict.fromkeys(names), ORIGIN]

    def is_local(self, index):
        """Return whether the best source stands in the own data centre."""
        best = self.sources(index)[0]
        return any(
            member.name == best and member.data_centre == self.me.data_centre
            for member in self.members
        )

    def _rank(self, index):
        names = {member.name: member for member in self.members}
        key = f'{self.model}/{self.version}/{index}'
        return [names[name] for name in rendezvous.rank(key, names)]

    def _holds(self, member):
        return member.versions.get(self.model) == self.version

    def _holders_near(self, ranked):
        return [
            member
            for member in ranked
            if member is not self.me
            and self._holds(member)
            and member.data_centre == self.me.data_centre
        ]

    def _holders_far(self, ranked):
        """Return holders elsewhere, if this member is to cross the link."""
        own = [m for m in ranked if m.data_centre == self.me.data_centre]
        if own[0] is not self.me:
            return []
        far = [
            member
            for member in ranked
            if self._holds(member) and member.data_centre != own[0].data_centre
        ]
        return sorted(far, key=self._distance)

    def _distance(self, member):
        here = self.regions.get(self.me.data_centre)
        return 0 if self.regions.get(member.data_centre) == here else 1

    def _before_me(self, ranked, data_centre):
        """Return members of the data centre that are asked before others."""
        found = []
        for member in ranked:
            if member is self.me:
                break
            if member.data_centre == data_centre:
                found.append(member)
        return found

    def _first_of_all(self, ranked):
        """Return the first member of each data centre, in order of rank."""
        firsts = {}
        for member in ranked:
            firsts.setdefault(member.data_centre, member)
        return [m for m in firsts.values() if m is not self.me]


def finish_older_first(left_share, copy_s, load_s, older_due_s, newer_due_s):
    """Return whether a transfer goes on although a newer version was named.

    The older version is dropped where the newer one alone would be whole
    before the older is due: nothing is gained by it then. It is also dropped
    where finishing it would make the newer one late.

    Args:
        left_share: share of the older version that is missing, 0 to 1.
        copy_s: seconds that a whole copy takes.
        load_s: seconds that an engine takes to load it.
        older_due_s: seconds until requests need the older version.
        newer_due_s: seconds until requests need the newer one.

    Examples:
        >>> finish_older_first(0.3, 5.5, 0.5, 4.0, 8.0)
        True
        >>> finish_older_first(0.6, 5.5, 0.5, 6.1, 8.0)
        False
    """
    newer_alone_s = copy_s + load_s
    if newer_alone_s <= older_due_s:
        return False
    both_s = left_share * copy_s + copy_s + load_s
    return both_s <= newer_due_s
