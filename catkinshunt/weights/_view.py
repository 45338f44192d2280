"""What one instance knows of a transfer that it takes part in."""

import attrs

from catkinshunt.weights import base

_MAX_STRIKES = 6


@attrs.frozen
class Member:
    """An instance that wants the same version.

    Args:
        name: its name.
        data_centre: where it stands.
        address: `httpio.Address` of its sidecar; None where nothing is sent.
    """

    name = attrs.field()
    data_centre = attrs.field(default='')
    address = attrs.field(default=None)


@attrs.frozen
class Pull:
    """One chunk to ask one peer, or the origin, for."""

    chunk = attrs.field()
    peer = attrs.field()


@attrs.define
class PeerView:
    """What is known of one peer; holdings have one bit a chunk."""

    bitmap = attrs.field(default=0)
    uploaded_copies = attrs.field(default=0.0)
    pulls = attrs.field(default=0)
    consecutive_failures = attrs.field(default=0)
    avoid_until = attrs.field(default=0.0)
    busy_until = attrs.field(default=0.0)
    observed_at = attrs.field(default=float('-inf'))


class TransferView:
    """Holdings, pulls under way and peers, as one instance sees them.

    Args:
        me: name of the instance.
        members: tuple of `Member`, the instance itself among them.
        n_chunks: chunks of the version.
        started_at: time at which the version was offered, in seconds.
    """

    def __init__(self, me, members, n_chunks, started_at=0.0):
        self.me = me
        self.n_chunks = n_chunks
        self.started_at = started_at
        self.bitmap = 0
        self.pulling = 0
        self.origin_pulls = 0
        self.progress_at = started_at
        self.peers = {}
        self.set_members(members)

    def set_members(self, members):
        """Take a new instance list; what is known of peers is kept."""
        self.members = tuple(sorted(members, key=lambda one: one.name))
        self.data_centres = {one.name: one.data_centre for one in members}
        self.plan = None

    @property
    def missing(self):
        """Chunks neither held nor being pulled."""
        return ~(self.bitmap | self.pulling) & ((1 << self.n_chunks) - 1)

    @property
    def is_complete(self):
        """Whether every chunk is held."""
        return self.bitmap == (1 << self.n_chunks) - 1

    @property
    def n_pulls(self):
        """Number of pulls under way."""
        return self.pulling.bit_count()

    def peer(self, name):
        """Return the `PeerView` of `name`, made at first mention."""
        if name not in self.peers:
            self.peers[name] = PeerView()
        return self.peers[name]

    def usable(self, name, now):
        """Whether `name` is on the list and not avoided at `now`."""
        if name not in self.data_centres:
            return False
        peer = self.peers.get(name)
        return peer is None or peer.avoid_until <= now

    def observe(self, name, bitmap, uploaded_copies, now):
        """Take what a reply of `name` said of itself."""
        peer = self.peer(name)
        peer.bitmap = bitmap
        peer.uploaded_copies = uploaded_copies
        peer.observed_at = now

    def begin(self, pull):
        """Note that `pull` is under way."""
        self.pulling |= 1 << pull.chunk
        if pull.peer == base.ORIGIN:
            self.origin_pulls += 1
        else:
            self.peer(pull.peer).pulls += 1

    def finish(self, pull, now):
        """Note that `pull` brought its chunk, whole and verified."""
        self._end(pull)
        self.progress_at = now
        self.bitmap |= 1 << pull.chunk
        if pull.peer != base.ORIGIN:
            self.peer(pull.peer).consecutive_failures = 0

    def postpone(self, pull, until):
        """Note that the source had no place or no chunk; ask it later."""
        self._end(pull)
        self.peer(pull.peer).busy_until = until

    def fail(self, pull, now, avoid_s):
        """Note that the source died, stalled or sent a wrong chunk.

        Each failure in a row doubles the time for which it is avoided.
        """
        self._end(pull)
        self.avoid(pull.peer, now, avoid_s)

    def avoid(self, name, now, avoid_s):
        """Leave `name` alone for `avoid_s`, longer at each repetition."""
        peer = self.peer(name)
        peer.avoid_until = now + avoid_s * 2**peer.consecutive_failures
        peer.consecutive_failures = min(
            peer.consecutive_failures + 1, _MAX_STRIKES
        )

    def _end(self, pull):
        self.pulling &= ~(1 << pull.chunk)
        if pull.peer == base.ORIGIN:
            self.origin_pulls -= 1
        else:
            self.peer(pull.peer).pulls -= 1
