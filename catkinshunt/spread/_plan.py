"""Which source gives which chunk, agreed without a message.

Every sidecar knows the members of its service from the store. Each chunk has
an owner, who takes it from the origin. In every other data centre one member
takes it from the owner; the rest take it from the member of their own data
centre. So a chunk leaves the origin once and enters each data centre once.

Whoever cannot be reached is left out: the next member of its data centre, in
an order that all agree on, stands in for it, and the others ask that one.

Owners are found by rendezvous hashing with a bound on the chunks of each, so
that sidecars whose lists differ by a member still agree on most, and nobody
has to give much more than it takes.
"""

import collections
import math

import attrs

from catkinshunt import rendezvous

#: Name of the origin among the sources.
ORIGIN = 'origin'
#: Share of the connections that the origin accepts for which there are members
#: that take chunks from it. After a loss of power it still counts those of
#: before, and others turn to it as well where their sources fail.
OWNER_SHARE = 0.4
#: Connections that an origin is taken to accept where it is not known.
UNKNOWN_CONNECTIONS = 20
#: Members that are asked for a chunk when the best one has nothing, before
#: the origin. Those nearby wait for this member themselves.
MOST_FALLBACKS = 2
#: Owners that are asked for the manifest before the origin.
MOST_ASKED = 3


@attrs.frozen
class Member:
    """A sidecar beside an engine of the service.

    Attributes:
        name: unique among the members; the address of its instance.
        data_centre: where it stands.
        versions: version by model that its engine serves.
    """

    name: str
    data_centre: str = ''
    versions: dict = attrs.field(factory=dict)


class SourcePlan:
    """The sources of each chunk of one version, for one member.

    Args:
        me: the `Member` that asks.
        members: all members that stay, `me` among them or not.
        regions: region by data centre.
        model: name of the model.
        version: its version.
        chunks: number of chunks; 0 until the manifest is known.
        connections: connections that the origin accepts.

    Examples:
        >>> here = [Member(name, 'larisa-a') for name in ('a', 'b', 'c')]
        >>> plans = [SourcePlan(me, here, {}, 'drafts', 2, 6) for me in here]
        >>> firsts = [plan.sources(0)[0] for plan in plans]
        >>> firsts.count('origin')
        1
    """

    def __init__(
        self, me, members, regions, model, version, chunks=0,
        connections=UNKNOWN_CONNECTIONS,
    ):  # fmt: skip
        self.me = me
        # An engine that started again can be listed twice for a while.
        named = {member.name: member for member in members}
        self.members = list({**named, me.name: me}.values())
        self.regions = regions
        self.model = model
        self.version = version
        self.chunks = chunks
        self._ranked = {}
        most = max(1, int(OWNER_SHARE * connections))
        self._owners = self._rank('owners')[:most]
        self._receivers = None
        self._sources = {}
        self._away = frozenset()

    def leave_out(self, names):
        """Take nothing from members that cannot be reached.

        Args:
            names: frozenset of their names, instead of those before; this
                member is among them where others do not wait for it.
        """
        if names != self._away:
            self._away = names
            self._sources.clear()

    def describe(self, chunks):
        """Share out `chunks` chunks among the members."""
        self.chunks = chunks
        self._receivers = None
        self._sources.clear()

    def sources(self, index):
        """Return the names of sources for a chunk, best first.

        They are worked out once: a member that waits asks for them again
        and again, and with many members each time takes milliseconds.
        """
        found = self._sources.get(index)
        if found is None:
            found = self._sources[index] = self._order_sources(index)
        return found

    def _order_sources(self, index):
        receivers = self._receivers_of(index)
        home = receivers[0]
        before = self._before_me(receivers, index)
        owners = self._owners_for(home, index, before)
        order = [
            *self._holders_near(index),
            *([] if before else self._holders_far(index)),
            *before[:1],
            *owners[:1],
            *before[1:],
            *owners[1:],
        ]
        names = [member.name for member in order if member is not self.me]
        return [*list(dict.fromkeys(names))[: 1 + MOST_FALLBACKS], ORIGIN]

    def _before_me(self, receivers, index):
        """Return who is to get a chunk sooner in this data centre."""
        ranked = [*receivers, *self._rank(index)]
        line = self._line(next(filter(self._is_near, ranked)), index)
        if self.me.name in self._away:
            # Nobody waits for what passes through here.
            line.remove(self.me)
            return self._reachable(line)
        return self._reachable(line[: line.index(self.me)])

    def _owners_for(self, home, index, before):
        """Return who gives a chunk to this data centre.

        The first of them is asked by whoever stands first here, and by the
        others where that one has nothing.
        """
        if self._is_near(home):
            return []
        line = self._reachable(self._line(home, index))
        return line[: 1 if before else 2]

    def _line(self, head, index):
        """Return the members of a data centre by who gets a chunk first."""
        place = head.data_centre
        return [
            head,
            *(
                member
                for member in self._rank(index)
                if member.data_centre == place and member is not head
            ),
        ]

    def _reachable(self, members):
        return [m for m in members if m.name not in self._away]

    def manifest_sources(self):
        """Return the names of sources for the manifest, best first.

        It is small, and all wait for it, so each owner takes it from the
        origin, and the others from an owner.
        """
        if self.me in self._owners:
            return [ORIGIN]
        ranked = self._reachable(self._rank(self.me.name))
        owners = [member for member in ranked if member in self._owners]
        near = [member for member in owners if self._is_near(member)]
        names = [member.name for member in [*near[:1], *owners[:MOST_ASKED]]]
        return [*dict.fromkeys(names), ORIGIN]

    def is_far(self, name):
        """Return whether a member stands in another data centre."""
        return any(
            m.name == name and not self._is_near(m) for m in self.members
        )

    def wave(self, waves):
        """Return in which of `waves` groups this member loads, from 0."""
        names = sorted(member.name for member in self.members)
        order = rendezvous.rank(f'{self.model}/{self.version}', names)
        return order.index(self.me.name) % waves

    def _rank(self, key):
        found = self._ranked.get(key)
        if found is None:
            names = {member.name: member for member in self.members}
            text = f'{self.model}/{self.version}/{key}'
            found = [names[name] for name in rendezvous.rank(text, names)]
            self._ranked[key] = found
        return found

    def _holds(self, member):
        return member.versions.get(self.model) == self.version

    def _is_near(self, member):
        return member.data_centre == self.me.data_centre

    def _holders_near(self, index):
        return [
            member
            for member in self._reachable(self._rank(index))
            if member is not self.me
            and self._holds(member)
            and self._is_near(member)
        ]

    def _holders_far(self, index):
        far = [
            member
            for member in self._reachable(self._rank(index))
            if self._holds(member) and not self._is_near(member)
        ]
        return sorted(far, key=self._distance)

    def _distance(self, member):
        here = self.regions.get(self.me.data_centre)
        return 0 if self.regions.get(member.data_centre) == here else 1

    def _receivers_of(self, index):
        if self._receivers is None:
            self._receivers = self._share_out()
        found = self._receivers.get(index)
        return found or self._rank(index)[:1]

    def _share_out(self):
        """Return by chunk its owner, then one member of each other place."""
        found = {}
        bound = math.ceil(self.chunks / len(self._owners))
        owned = collections.Counter()
        for index in range(self.chunks):
            owner = next(
                member
                for member in self._rank(index)
                if member in self._owners and owned[member.name] < bound
            )
            owned[owner.name] += 1
            found[index] = [owner]
        places = collections.Counter(m.data_centre for m in self.members)
        for place in sorted(places):
            self._add_receivers(found, place, places, owned)
        return found

    def _add_receivers(self, found, place, places, owned):
        """Add a member of `place` to each chunk that is owned elsewhere.

        Owners have much to give already: each chunk to all nearby and to one
        member of each other place. With as many to pass on as the others,
        all would wait for them.

        Args:
            found: owner by index of a chunk; is extended.
            place: name of the data centre.
            places: members by data centre.
            owned: chunks by the name of their owner.
        """
        there = [m for m in self.members if m.data_centre == place]
        entering = [
            index
            for index, (owner, *_) in found.items()
            if owner.data_centre != place
        ]
        to_pass_on = max(1, len(there) - 1)
        to_give = len(there) - 1 + len(places) - 1
        gives = {m.name: owned[m.name] * to_give for m in there}
        mean = (sum(gives.values()) + len(entering) * to_pass_on) / len(there)
        for index in entering:
            near = [m for m in self._rank(index) if m.data_centre == place]
            # Where owners alone give more than the mean, whoever gives least.
            receiver = next(
                (m for m in near if gives[m.name] + to_pass_on / 2 <= mean),
                min(near, key=lambda m: gives[m.name]),
            )
            gives[receiver.name] += to_pass_on
            found[index].append(receiver)


def finish_older_first(left_share, copy_s, load_s, older_due_s, newer_due_s):
    """Return whether a transfer goes on although a newer version was named.

    From the moment a version is due until one at least as new is loaded, no
    request can begin. Both ways are compared by how long that lasts; the
    older version is dropped where that is no worse.

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
    dropped_gap_s = max(0.0, newer_alone_s - max(0.0, older_due_s))
    older_s = left_share * copy_s + load_s
    newer_s = left_share * copy_s + copy_s + load_s
    finished_gap_s = max(0.0, older_s - max(0.0, older_due_s))
    finished_gap_s += max(0.0, newer_s - newer_due_s)
    return finished_gap_s < dropped_gap_s
