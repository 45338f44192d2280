"""Interface between connections and the budget that they share."""

import abc

import attrs


@attrs.frozen
class Holding:
    """Memory that one connection holds for its peer.

    Attributes:
        reclaimable_bytes: what `BaseHolder.reclaim` frees: requests that have
            not begun, and replies that the peer does not read.
        active_bytes: what a request in progress needs.
    """

    reclaimable_bytes: int = 0
    active_bytes: int = 0


class BaseHolder(abc.ABC):
    """A connection that holds memory for its peer.

    Attributes:
        idle_since: when it was last used, in seconds on the monotonic clock.
        holding_since: since when it holds what can be reclaimed, or None.
    """

    idle_since = 0.0
    holding_since = None

    @property
    @abc.abstractmethod
    def peer(self):
        """IP address of the peer, for logs."""

    @abc.abstractmethod
    def measure(self):
        """Return the `Holding` of this moment."""

    @property
    def since(self):
        """Since when it is idle, or holds what can be reclaimed."""
        if self.holding_since is None:
            return self.idle_since
        return self.holding_since

    def note_reclaimable(self, size, now):
        """Note since when it holds what can be reclaimed.

        Args:
            size: bytes that can be reclaimed.
            now: seconds on the monotonic clock.
        """
        if not size:
            self.holding_since = None
        elif self.holding_since is None:
            self.holding_since = now

    @property
    @abc.abstractmethod
    def is_unused(self):
        """Whether no request is in progress, waits or has begun to arrive."""

    @property
    @abc.abstractmethod
    def may_close(self):
        """Whether closing it breaks off no request in progress."""

    @abc.abstractmethod
    def reclaim(self):
        """Free memory at the expense of the peer."""

    @abc.abstractmethod
    def abort(self):
        """Close at once."""
