"""First-in, first-out queue: the baseline of the benchmarks."""

import collections

from catkinshunt import errors
from catkinshunt.limits import base


class FifoQueue(base.BaseQueue):
    """One queue for all accounts, limited only in length.

    Args:
        limit: maximum number of waiting requests.
    """

    def __init__(self, limit=64):
        self.limit = limit
        self._tickets = collections.deque()

    def __len__(self):
        return len(self._tickets)

    def push(self, ticket, rate_per_s, service_s, now):
        """Enqueue a request unless the queue is full."""
        if len(self._tickets) >= self.limit:
            raise errors.OverloadedError(
                f'queue is full: {self.limit} requests',
                step='queue',
                retry_after_s=len(self._tickets) / rate_per_s,
            )
        self._tickets.append(ticket)

    def pop(self, now):
        """Dequeue the oldest request; return it, or None."""
        return self._tickets.popleft() if self._tickets else None

    def remove(self, ticket):
        """Remove a waiting request."""
        if ticket not in self._tickets:
            return False
        self._tickets.remove(ticket)
        return True
