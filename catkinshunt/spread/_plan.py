"""Assigns sources to chunks without communication between members.

Every sidecar lists the members of its service from the store that all
sidecars share (see `base.BaseClusterView`). Each chunk has an owner, which
fetches it from the origin. In every other data centre one member, the first
receiver, fetches it from the owner and relays it to the rest. A chunk thus
leaves the origin once and enters each data centre once.
Members whose engines already serve the version are its holders and are
preferred as sources.

An unreachable member is excluded: the next member of its data centre, in an
order common to all members, is the failover owner, and the others fetch the
chunk from there.

Owners are chosen by bounded rendezvous hashing. Sidecars whose lists differ by
one member still agree on most owners, and uploads are balanced.
"""

import collections
import math

import attrs

from catkinshunt import rendezvous

#: Name of the origin as a source.
ORIGIN = 'origin'
#: Number of owners per connection that the origin accepts. The rest is a
#: reserve: after a power failure the origin still counts old connections, and
#: other members use it too if their sources fail.
OWNERS_PER_CONNECTION = 0.4
#: Assumed connection limit of the origin if it is unknown.
UNKNOWN_CONNECTIONS = 20
#: Number of listed members, relative to the known ones, from which on chunks
#: are assigned again during a transfer.
MIN_GROWTH = 1.5
#: Members tried after the best source and before the origin. Most members of
#: the same data centre wait for the fetching member themselves.
MAX_FALLBACKS = 2
#: Owners tried for the manifest before the origin.
MAX_MANIFEST_OWNERS = 3


@attrs.frozen
class Member:
    """A sidecar of the service, which receives and serves chunks.

    Attributes:
        name: unique name; the address of its instance.
        data_centre: data centre of its instance.
        versions: version by model that its engine serves.
    """

    name: str
    data_centre: str = ''
    versions: dict = attrs.field(factory=dict)


class SourcePlan:
    """The sources of each chunk of one version, for one member.

    Args:
        local_member: the `Member` that fetches.
        members: all members that are not stopping, with or without
            `local_member`.
        regions: region by data centre.
        model: name of the model.
        version: its version.
        chunk_count: number of chunks; 0 until the manifest is known.
        connections: connection limit of the origin.

    Examples:
        >>> here = [Member(name, 'larisa-a') for name in ('a', 'b', 'c')]
        >>> plans = [SourcePlan(me, here, {}, 'drafts', 2, 6) for me in here]
        >>> firsts = [plan.sources(0)[0] for plan in plans]
        >>> firsts.count('origin')
        1
    """

    def __init__(
        self, local_member, members, regions, model, version, chunk_count=0,
        connections=UNKNOWN_CONNECTIONS,
    ):  # fmt: skip
        self.local_member = local_member
        self.regions = regions
        self.model = model
        self.version = version
        self.chunk_count = chunk_count
        self._excluded = frozenset()
        self.members = []
        self.connections = None
        self.update_members(members, connections)

    def update_members(self, members, connections):
        """Assign all chunks again if far more members are listed than known.

        With each assignment members wait for other owners, which costs more
        than a few members whose lists differ from the others'. The versions
        that known members serve stay as they were: one that has just loaded
        the version would become the source of all chunks.

        Args:
            members: as of the constructor.
            connections: as of the constructor.

        Returns:
            Whether chunks were assigned again.
        """
        known = {member.name: member for member in self.members}
        # A restarted engine may be listed twice for a while.
        named = {
            member.name: known.get(member.name, member) for member in members
        }
        named[self.local_member.name] = self.local_member
        if (
            len(named) < MIN_GROWTH * len(known)
            and connections == self.connections
        ):
            return False
        self.members = list(named.values())
        self.connections = connections
        self._ranked = {}
        max_owners = max(1, int(OWNERS_PER_CONNECTION * connections))
        self._owners = self._rank('owners')[:max_owners]
        self._first_receivers = None
        self._sources = {}
        return True

    def set_excluded(self, names):
        """Set the members that are not used as sources.

        Args:
            names: frozenset of names. It contains the local member if that
                serves no chunks.
        """
        if names != self._excluded:
            self._excluded = names
            self._sources.clear()

    def set_chunk_count(self, chunk_count):
        """Set the number of chunks and assign all chunks again."""
        self.chunk_count = chunk_count
        self._first_receivers = None
        self._sources.clear()

    def sources(self, index):
        """Return the names of sources for a chunk, best first.

        The result is cached: it is needed for each attempt, and its
        computation takes milliseconds with many members.
        """
        names = self._sources.get(index)
        if names is None:
            names = self._sources[index] = self._order_sources(index)
        return names

    def _order_sources(self, index):
        """Return the names of the sources of a chunk, best first.

        The order is: local holders, the local member that receives the chunk
        first, the owner or failover owner in another data centre, further
        local members that receive it before this one. If this member receives
        it first in its data centre, remote holders precede the owners. The
        origin is last.
        """
        receivers = self._first_receivers_of(index)
        owner = receivers[0]
        earlier = self._earlier_members(receivers, index)
        remote_sources = self._remote_sources(owner, index, earlier)
        order = [
            *self._local_holders(index),
            *([] if earlier else self._remote_holders(index)),
            *earlier[:1],
            *remote_sources[:1],
            *earlier[1:],
            *remote_sources[1:],
        ]
        names = [
            member.name for member in order if member is not self.local_member
        ]
        return [*list(dict.fromkeys(names))[: 1 + MAX_FALLBACKS], ORIGIN]

    def _earlier_members(self, receivers, index):
        """Return the local members that receive a chunk before this one.

        The first is the local one of `receivers`, or the first in rank if
        there is none; the others follow in rank, each as a fallback.
        """
        ranked = [*receivers, *self._rank(index)]
        order = self._receive_order(
            next(filter(self._is_local, ranked)), index
        )
        if self.local_member.name in self._excluded:
            # No other member waits for this one.
            order.remove(self.local_member)
            return self._reachable(order)
        return self._reachable(order[: order.index(self.local_member)])

    def _remote_sources(self, owner, index, earlier):
        """Return the members that send a chunk to this data centre.

        The first one is the source of the first local receiver, and a
        fallback for the others. The first local receiver also has a second
        one as a fallback.
        """
        if self._is_local(owner):
            return []
        order = self._reachable(self._receive_order(owner, index))
        return order[: 1 if earlier else 2]

    def _receive_order(self, first, index):
        """Return the members of a data centre in the order of receipt."""
        data_centre = first.data_centre
        return [
            first,
            *(
                member
                for member in self._rank(index)
                if member.data_centre == data_centre and member is not first
            ),
        ]

    def _reachable(self, members):
        return [m for m in members if m.name not in self._excluded]

    def fetch_order(self, indices):
        """Return chunk indices in the order in which to fetch them.

        The order differs between members. Those that do not know each other
        yet fetch different chunks from the origin and can exchange them later.
        """
        name = self.local_member.name
        return sorted(indices, key=lambda i: rendezvous.score(i, name))

    def manifest_sources(self):
        """Return the names of sources for the manifest, best first.

        It is small and needed by all members first, so each owner fetches it
        from the origin, and the others fetch it from an owner.
        """
        if self.local_member in self._owners:
            return [ORIGIN]
        ranked = self._reachable(self._rank(self.local_member.name))
        owners = [member for member in ranked if member in self._owners]
        local = [member for member in owners if self._is_local(member)]
        names = [
            member.name
            for member in [*local[:1], *owners[:MAX_MANIFEST_OWNERS]]
        ]
        return [*dict.fromkeys(names), ORIGIN]

    def is_remote(self, name):
        """Return whether a member is in another data centre."""
        return any(
            m.name == name and not self._is_local(m) for m in self.members
        )

    def wave(self, waves):
        """Return the wave of this member, from 0 to `waves` - 1.

        The engines of one wave load the version at the same time.
        """
        names = sorted(member.name for member in self.members)
        order = rendezvous.rank(f'{self.model}/{self.version}', names)
        return order.index(self.local_member.name) % waves

    def _rank(self, key):
        ranked = self._ranked.get(key)
        if ranked is None:
            names = {member.name: member for member in self.members}
            text = f'{self.model}/{self.version}/{key}'
            ranked = [names[name] for name in rendezvous.rank(text, names)]
            self._ranked[key] = ranked
        return ranked

    def _serves_version(self, member):
        return member.versions.get(self.model) == self.version

    def _is_local(self, member):
        return member.data_centre == self.local_member.data_centre

    def _local_holders(self, index):
        """Return the other local members whose engine serves the version."""
        return [
            member
            for member in self._reachable(self._rank(index))
            if member is not self.local_member
            and self._serves_version(member)
            and self._is_local(member)
        ]

    def _remote_holders(self, index):
        """Return the remote holders, those of the same region first."""
        remote = [
            member
            for member in self._reachable(self._rank(index))
            if self._serves_version(member) and not self._is_local(member)
        ]
        return sorted(remote, key=self._distance)

    def _distance(self, member):
        here = self.regions.get(self.local_member.data_centre)
        return 0 if self.regions.get(member.data_centre) == here else 1

    def _first_receivers_of(self, index):
        if self._first_receivers is None:
            self._first_receivers = self._assign_receivers()
        receivers = self._first_receivers.get(index)
        return receivers or self._rank(index)[:1]

    def _assign_receivers(self):
        """Return the first receivers of each chunk, the owner first."""
        receivers_by_chunk = {}
        bound = math.ceil(self.chunk_count / len(self._owners))
        owned = collections.Counter()
        for index in range(self.chunk_count):
            owner = next(
                member
                for member in self._rank(index)
                if member in self._owners and owned[member.name] < bound
            )
            owned[owner.name] += 1
            receivers_by_chunk[index] = [owner]
        member_counts = collections.Counter(
            m.data_centre for m in self.members
        )
        for data_centre in sorted(member_counts):
            self._add_receivers(
                receivers_by_chunk, data_centre, member_counts, owned
            )
        return receivers_by_chunk

    def _add_receivers(
        self, receivers_by_chunk, data_centre, member_counts, owned
    ):
        """Add a member of `data_centre` to each chunk that is owned elsewhere.

        Owners upload each chunk to all local members and to one member of each
        other data centre. If they also relayed as many chunks as the other
        members, all would wait for them.

        Args:
            receivers_by_chunk: receivers by chunk index, the owner first;
                extended in place.
            data_centre: name of the data centre.
            member_counts: number of members by data centre.
            owned: number of owned chunks by member name.
        """
        residents = [m for m in self.members if m.data_centre == data_centre]
        incoming = [
            index
            for index, (owner, *_) in receivers_by_chunk.items()
            if owner.data_centre != data_centre
        ]
        # Uploads by the member that relays a chunk, and by one that owns it.
        per_relayed_chunk = max(1, len(residents) - 1)
        per_owned_chunk = len(residents) - 1 + len(member_counts) - 1
        uploads = {m.name: owned[m.name] * per_owned_chunk for m in residents}
        mean = (
            sum(uploads.values()) + len(incoming) * per_relayed_chunk
        ) / len(residents)
        for index in incoming:
            local = [
                m for m in self._rank(index) if m.data_centre == data_centre
            ]
            # A member may exceed the mean by up to half of the uploads for
            # one chunk. If all would exceed that, the member with the fewest
            # uploads is chosen.
            receiver = next(
                (
                    m
                    for m in local
                    if uploads[m.name] + per_relayed_chunk / 2 <= mean
                ),
                min(local, key=lambda m: uploads[m.name]),
            )
            uploads[receiver.name] += per_relayed_chunk
            receivers_by_chunk[index].append(receiver)


def finish_older_first(remaining_s, copy_s, load_s, older_due_s, newer_due_s):
    """Return whether a transfer continues though a newer version exists.

    From the due time of a version until a version at least as new is loaded,
    no request can start. Compares the length of this gap for both choices; the
    older version is dropped if the gap does not grow.

    Args:
        remaining_s: seconds until the older version is complete; infinite if
            its transfer has stalled.
        copy_s: seconds to transfer a complete copy.
        load_s: seconds to load a version.
        older_due_s: seconds until the due time of the older version.
        newer_due_s: seconds until the due time of the newer one.

    Examples:
        >>> finish_older_first(1.65, 5.5, 0.5, 4.0, 8.0)
        True
        >>> finish_older_first(3.3, 5.5, 0.5, 6.1, 8.0)
        False
    """
    newer_alone_s = copy_s + load_s
    dropped_gap_s = max(0.0, newer_alone_s - max(0.0, older_due_s))
    older_s = remaining_s + load_s
    newer_s = remaining_s + copy_s + load_s
    finished_gap_s = max(0.0, older_s - max(0.0, older_due_s))
    finished_gap_s += max(0.0, newer_s - newer_due_s)
    return finished_gap_s < dropped_gap_s
