"""Which shard is written next, and when."""

import threading
import time

from catkinshunt.claims import _batch


class Schedule:
    """Pending operations by shard, taken by the committing threads.

    A shard is written by one thread at a time, and operations that come in
    meanwhile gather for its next write. So writes a second are bounded by
    `writes_per_s` whatever the demand, and only the batches grow.

    Args:
        writes_per_s: most writes handed out a second.
    """

    def __init__(self, writes_per_s):
        self.writes_per_s = writes_per_s
        self._cond = threading.Condition()
        self._due = {}
        self._batches = {}
        self._busy = set()
        self._next_write = 0.0
        self._closed = False

    def add_claim(self, shard, op):
        """Queue a claim; its shard is due at once."""
        with self._cond:
            self._batch(shard).claim_ops.append(op)
            self._hasten(shard, 0.0)

    def add_settled(self, shard, ops, delay_s):
        """Queue finishes or releases; they wait for claims to ride with."""
        with self._cond:
            self._batch(shard).settled_ops.extend(ops)
            self._hasten(shard, delay_s)

    def take(self):
        """Wait for the next due shard; returns it and its batch.

        Returns None once the schedule is closed and nothing is pending.
        """
        with self._cond:
            while True:
                if self._closed and not self._due and not self._busy:
                    return None
                now = time.monotonic()
                shard = min(self._free(), key=self._due.get, default=None)
                wait_s = self._wait_s(shard, now)
                if shard is not None and wait_s <= 0:
                    return self._hand_out(shard, now)
                self._cond.wait(wait_s)

    def charge(self):
        """Count a write that is tried again against the rate."""
        with self._cond:
            self._next_write += 1 / self.writes_per_s

    def done(self, shard):
        """Let `shard` be written again."""
        with self._cond:
            self._busy.discard(shard)
            self._cond.notify_all()

    def pending(self):
        """Return how many claims wait for their shard's next write."""
        with self._cond:
            return sum(
                len(batch.claim_ops) for batch in self._batches.values()
            )

    def close(self):
        """Make all pending shards due and end `take` after the last."""
        with self._cond:
            self._closed = True
            self._due = dict.fromkeys(self._due, 0.0)
            self._cond.notify_all()

    def abandon(self):
        """Forget everything pending; returns the claims among it."""
        with self._cond:
            batches = list(self._batches.values())
            self._batches.clear()
            self._due.clear()
            self._cond.notify_all()
        return [op for batch in batches for op in batch.claim_ops]

    def _batch(self, shard):
        return self._batches.setdefault(shard, _batch.Batch())

    def _hasten(self, shard, delay_s):
        delay_s = 0.0 if self._closed else delay_s
        due = time.monotonic() + delay_s
        self._due[shard] = min(due, self._due.get(shard, due))
        self._cond.notify()

    def _free(self):
        return [shard for shard in self._due if shard not in self._busy]

    def _wait_s(self, shard, now):
        if shard is None:
            return None
        return max(self._due[shard], self._next_write) - now

    def _hand_out(self, shard, now):
        del self._due[shard]
        self._busy.add(shard)
        self._next_write = max(now, self._next_write)
        self._next_write += 1 / self.writes_per_s
        return shard, self._batches.pop(shard)
