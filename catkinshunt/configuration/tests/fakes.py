"""In-memory key-value service with fault injection."""

import threading

from catkinshunt import errors
from catkinshunt.kvstore import base


class FakeStore(base.BaseKeyValueStore):
    """Compare-and-swap and watches in memory.

    Attributes:
        down: calls fail without effect.
        lose_answers: number of next writes whose response is lost after
            they took effect.
        lose_writes: number of next writes that are lost without effect.
        before_put: called once before the next write.
        calls: number of calls by method.
    """

    def __init__(self):
        self.values = {}
        self.down = False
        self.lose_answers = 0
        self.lose_writes = 0
        self.calls = {'get': 0, 'put': 0, 'watch': 0}
        self.before_put = None
        self._changed = threading.Condition(threading.RLock())

    def get(self, key):
        self.calls['get'] += 1
        self._check_up()
        return self.values.get(key)

    def put(self, key, value, expected_revision, lease=None):
        self.calls['put'] += 1
        self._check_up()
        hook, self.before_put = self.before_put, None
        if hook:
            hook()
        if self.lose_writes:
            self.lose_writes -= 1
            raise errors.StoreUnknownError('lost', step='put')
        with self._changed:
            found = self.values.get(key)
            revision = found.revision if found else 0
            if revision != expected_revision:
                raise errors.ConflictError('revision', step='put')
            self.values[key] = base.Entry(value, revision + 1)
            self._changed.notify_all()
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.StoreUnknownError('lost', step='put')
        return revision + 1

    def watch(self, key, after_revision, timeout_s):
        self.calls['watch'] += 1
        self._check_up()

        def newer():
            found = self.values.get(key)
            return self.down or found and found.revision > after_revision

        with self._changed:
            if not self._changed.wait_for(newer, timeout_s):
                return None
        self._check_up()
        return self.values[key]

    def set_down(self, down):
        """Begin or end an outage; pending watches return."""
        with self._changed:
            self.down = down
            self._changed.notify_all()

    def delete(self, key, expected_revision):
        raise NotImplementedError

    def grant_lease(self, ttl_s):
        raise NotImplementedError

    def renew_lease(self, lease):
        raise NotImplementedError

    def _check_up(self):
        if self.down:
            raise errors.StoreUnavailableError('down', step='connect')


def make_rule(name, path=None, reason='closed'):
    """Return the document of a rule that covers no other such rule."""
    return {
        'name': name,
        'when': {'request': {'path': path or f'/{name}'}},
        'then': {'refuse': {'reason': reason}},
    }
