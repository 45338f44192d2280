"""In-memory key-value store with fault injection."""

import collections
import threading

from catkinshunt import errors
from catkinshunt.kvstore import base


class FakeStore(base.BaseKeyValueStore):
    """Compare-and-swap in memory, with injected faults.

    Attributes:
        down: calls fail without effect.
        lose_answers: number of next writes whose response is lost after
            they took effect.
        delayed: number of next writes that are put in `in_flight` and whose
            response is lost; `apply_in_flight` applies them.
        calls: number of calls by method.
    """

    def __init__(self):
        self.down = False
        self.lose_answers = 0
        self.delayed = 0
        self.in_flight = []
        self.calls = collections.Counter()
        self._entries = {}
        self._lock = threading.Lock()

    def get(self, key):
        """Return the entry at `key`."""
        with self._lock:
            self._check('get')
            return self._entries.get(key)

    def put(self, key, value, expected_revision, lease=None):
        """Write `value`, subject to the injected faults."""
        with self._lock:
            self._check('put')
            if self.delayed:
                self.delayed -= 1
                self.in_flight.append((key, value, expected_revision))
                raise errors.StoreUnknownError('answer lost')
            revision = self._swap(key, value, expected_revision)
            if self.lose_answers:
                self.lose_answers -= 1
                raise errors.StoreUnknownError('answer lost')
            return revision

    def apply_in_flight(self):
        """Apply the delayed writes; return how many took effect."""
        applied = 0
        with self._lock:
            for write in self.in_flight:
                try:
                    self._swap(*write)
                    applied += 1
                except errors.ConflictError:
                    pass
            self.in_flight.clear()
        return applied

    def _check(self, kind):
        self.calls[kind] += 1
        if self.down:
            raise errors.StoreUnavailableError('down', peer='store')

    def _swap(self, key, value, expected_revision):
        stored = self._entries.get(key, base.Entry(b'', 0))
        if stored.revision != expected_revision:
            raise errors.ConflictError(f'{key} is at {stored.revision}')
        self._entries[key] = base.Entry(value, stored.revision + 1)
        return stored.revision + 1

    def delete(self, key, expected_revision):
        """Not used by the ledger."""
        raise NotImplementedError

    def watch(self, key, after_revision, timeout_s):
        """Not used by the ledger."""
        raise NotImplementedError

    def grant_lease(self, ttl_s):
        """Not used by the ledger."""
        raise NotImplementedError

    def renew_lease(self, lease):
        """Not used by the ledger."""
        raise NotImplementedError
