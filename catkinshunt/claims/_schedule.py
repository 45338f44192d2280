"""Schedule of shard writes."""

import threading
import time

from catkinshunt.claims import _batch


class Schedule:
    """Pending operations by shard, consumed by the committer threads.

    A shard is written by one thread at a time; operations that arrive during
    a write are batched into the next one. The write rate is thus bounded by
    `writes_per_s` under any load; only the batches grow.

    Args:
        writes_per_s: maximum number of writes per second.
    """

    def __init__(self, writes_per_s):
        self.writes_per_s = writes_per_s
        self._cond = threading.Condition()
        self._due_times = {}
        self._batches = {}
        self._writing_shards = set()
        self._next_write_at = 0.0
        self._closed = False

    def add_claim(self, shard, op):
        """Enqueue a claim; its shard is due immediately."""
        with self._cond:
            self._batch(shard).claim_ops.append(op)
            self._set_due(shard, 0.0)

    def add_completions(self, shard, ops, delay_s):
        """Enqueue finishes or releases, due after `delay_s`.

        The delay lets them share a write with later claims.
        """
        with self._cond:
            self._batch(shard).completion_ops.extend(ops)
            self._set_due(shard, delay_s)

    def take_batch(self):
        """Wait for the next due shard; return it and its batch to write.

        Returns None once the schedule is closed and nothing is pending.
        """
        with self._cond:
            while True:
                if (
                    self._closed
                    and not self._due_times
                    and not self._writing_shards
                ):
                    return None
                now = time.monotonic()
                shard = min(
                    self._idle_shards(),
                    key=self._due_times.get,
                    default=None,
                )
                wait_s = self._wait_s(shard, now)
                if shard is not None and wait_s <= 0:
                    return self._start_write(shard, now)
                self._cond.wait(wait_s)

    def count_retry(self):
        """Count a retried write against the write rate."""
        with self._cond:
            self._next_write_at += 1 / self.writes_per_s

    def end_write(self, shard):
        """Allow further writes of `shard`."""
        with self._cond:
            self._writing_shards.discard(shard)
            self._cond.notify_all()

    def count_pending_claims(self):
        """Return the number of claims that wait to be written."""
        with self._cond:
            return sum(
                len(batch.claim_ops) for batch in self._batches.values()
            )

    def close(self):
        """Make all pending shards due; `take_batch` ends after the last."""
        with self._cond:
            self._closed = True
            self._due_times = dict.fromkeys(self._due_times, 0.0)
            self._cond.notify_all()

    def discard_pending(self):
        """Discard all pending operations and return the claims among them."""
        with self._cond:
            batches = list(self._batches.values())
            self._batches.clear()
            self._due_times.clear()
            self._cond.notify_all()
        return [op for batch in batches for op in batch.claim_ops]

    def _batch(self, shard):
        return self._batches.setdefault(shard, _batch.Batch())

    def _set_due(self, shard, delay_s):
        delay_s = 0.0 if self._closed else delay_s
        due = time.monotonic() + delay_s
        self._due_times[shard] = min(due, self._due_times.get(shard, due))
        self._cond.notify()

    def _idle_shards(self):
        return [
            shard
            for shard in self._due_times
            if shard not in self._writing_shards
        ]

    def _wait_s(self, shard, now):
        if shard is None:
            return None
        return max(self._due_times[shard], self._next_write_at) - now

    def _start_write(self, shard, now):
        del self._due_times[shard]
        self._writing_shards.add(shard)
        self._next_write_at = max(now, self._next_write_at)
        self._next_write_at += 1 / self.writes_per_s
        return shard, self._batches.pop(shard)
