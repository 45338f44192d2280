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
    """A connection that holds memory for its peer."""

    @property
    @abc.abstractmethod
    def peer(self):
        """IP address of the peer, for logs."""

    @abc.abstractmethod
    def measure(self):
        """Return the `Holding` of this moment."""

    @property
    @abc.abstractmethod
    def since(self):
        """Since when it is idle, or holds what can be reclaimed.

        In seconds on the monotonic clock.
        """

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
