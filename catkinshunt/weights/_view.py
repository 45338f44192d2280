"""State of a transfer as seen by one member."""

import attrs

from catkinshunt.weights import base

_MAX_BACKOFF_DOUBLINGS = 6


@attrs.frozen
class Member:
    """An instance that takes part in the transfer of a version.

    Args:
        name: name of the instance.
        data_centre: name of its data centre.
        address: `httpio.Address` of its sidecar; None if nothing is sent.
    """

    name = attrs.field()
    data_centre = attrs.field(default='')
    address = attrs.field(default=None)


@attrs.frozen
class Pull:
    """A request for one chunk to one peer or to the origin."""

    chunk = attrs.field()
    peer = attrs.field()


@attrs.define
class PeerView:
    """State of one peer; `bitmap` has one bit per chunk."""

    bitmap = attrs.field(default=0)
    uploaded_copies = attrs.field(default=0.0)
    pulls = attrs.field(default=0)
    consecutive_failures = attrs.field(default=0)
    avoid_until = attrs.field(default=0.0)
    busy_until = attrs.field(default=0.0)
    observed_at = attrs.field(default=float('-inf'))


class TransferView:
    """Chunks, pulls in progress and peers of one member.

    Args:
        own_name: name of this instance.
        members: tuple of `Member`, including this instance.
        n_chunks: number of chunks of the version.
        started_at: time at which the version was offered, in seconds.
    """

    def __init__(self, own_name, members, n_chunks, started_at=0.0):
        self.own_name = own_name
        self.n_chunks = n_chunks
        self.started_at = started_at
        self.bitmap = 0
        self.pulling = 0
        self.origin_pulls = 0
        self.progress_at = started_at
        self.peers = {}
        self.set_members(members)

    def set_members(self, members):
        """Replace the members; the state of peers is kept."""
        self.members = tuple(sorted(members, key=lambda one: one.name))
        self.data_centres = {one.name: one.data_centre for one in members}
        self.plan = None

    @property
    def missing(self):
        """Bitmap of chunks neither present nor being pulled."""
        return ~(self.bitmap | self.pulling) & ((1 << self.n_chunks) - 1)

    @property
    def is_complete(self):
        """Whether every chunk is present."""
        return self.bitmap == (1 << self.n_chunks) - 1

    @property
    def n_pulls(self):
        """Number of pulls in progress."""
        return self.pulling.bit_count()

    def peer(self, name):
        """Return the `PeerView` of `name`, created on first use."""
        if name not in self.peers:
            self.peers[name] = PeerView()
        return self.peers[name]

    def is_usable(self, name, now):
        """Whether `name` is a member and not avoided at `now`."""
        if name not in self.data_centres:
            return False
        peer = self.peers.get(name)
        return peer is None or peer.avoid_until <= now

    def observe(self, name, bitmap, uploaded_copies, now):
        """Record the state in a reply of the peer `name`."""
        peer = self.peer(name)
        peer.bitmap = bitmap
        peer.uploaded_copies = uploaded_copies
        peer.observed_at = now

    def begin(self, pull):
        """Record that `pull` has started."""
        self.pulling |= 1 << pull.chunk
        if pull.peer == base.ORIGIN:
            self.origin_pulls += 1
        else:
            self.peer(pull.peer).pulls += 1

    def finish(self, pull, now):
        """Record that the chunk of `pull` has been stored."""
        self._end(pull)
        self.progress_at = now
        self.bitmap |= 1 << pull.chunk
        if pull.peer != base.ORIGIN:
            self.peer(pull.peer).consecutive_failures = 0

    def postpone(self, pull, until):
        """Record that the source is busy or lacks the chunk; retry later."""
        self._end(pull)
        self.peer(pull.peer).busy_until = until

    def fail(self, pull, now, avoid_s):
        """Record that the source failed, stalled or sent a corrupt chunk.

        Each consecutive failure doubles the time for which it is avoided.
        """
        self._end(pull)
        self.avoid(pull.peer, now, avoid_s)

    def avoid(self, name, now, avoid_s):
        """Avoid `name` for `avoid_s`, doubled per consecutive failure."""
        peer = self.peer(name)
        peer.avoid_until = now + avoid_s * 2**peer.consecutive_failures
        peer.consecutive_failures = min(
            peer.consecutive_failures + 1, _MAX_BACKOFF_DOUBLINGS
        )

    def _end(self, pull):
        self.pulling &= ~(1 << pull.chunk)
        if pull.peer == base.ORIGIN:
            self.origin_pulls -= 1
        else:
            self.peer(pull.peer).pulls -= 1
