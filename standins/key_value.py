"""Stand-in for the platform's key-value service, with faults on demand."""

import collections
import itertools
import threading
import time

import attrs

from catkinshunt import httpio
from standins import web


@attrs.define
class _Value:
    data: bytes
    revision: int
    lease: str | None = None


@attrs.define
class Faults:
    """Faults in force.

    Attributes:
        down: every call is answered 503 and nothing is done.
        slow_s: seconds by which each call is delayed.
        lose_answers: number of coming writes whose answer is lost after
            the write has taken effect.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0


class KeyValueService:
    """Compare-and-swap, leases and watches in memory."""

    def __init__(self):
        self.calls = collections.Counter()
        self.faults = Faults()
        self._values = {}
        self._leases = {}
        self._revisions = itertools.count(1)
        self._changed = threading.Condition()
        self.app = web.App(
            ('GET', '/kv/(.+)', self._get),
            ('PUT', '/kv/(.+)', self._put),
            ('DELETE', '/kv/(.+)', self._delete),
            ('POST', '/leases', self._grant),
            ('POST', '/leases/([^/]+)/renew', self._renew),
            ('GET', '/stats', self._stats),
            ('POST', '/faults', self._set_faults),
        )

    def _get(self, call):
        if 'after' in call.query:
            return self._watch(call)
        return self._guard('get', lambda: self._reply(call.path[0]))

    def _watch(self, call):
        key = call.path[0]
        after = int(call.query['after'])
        deadline = time.monotonic() + float(call.query['timeout_s'])
        self.calls['watch'] += 1
        with self._changed:
            while not self.faults.down:
                value = self._live(key)
                if value is not None and value.revision > after:
                    return self._reply(key)
                left = deadline - time.monotonic()
                if left <= 0:
                    return httpio.Response(204)
                self._changed.wait(min(left, 0.5))
        return httpio.Response(503)

    def _put(self, call):
        return self._guard('put', lambda: self._swap(call), write=True)

    def _swap(self, call):
        key = call.path[0]
        value = self._live(key)
        current = value.revision if value else 0
        if current != int(call.query['expected']):
            return httpio.Response(409)
        lease = call.query.get('lease')
        if lease is not None and lease not in self._leases:
            return httpio.Response(409)
        revision = next(self._revisions)
        self._values[key] = _Value(call.body, revision, lease)
        self._changed.notify_all()
        return httpio.Response(200, (), (('Revision', str(revision)),))

    def _delete(self, call):
        return self._guard('delete', lambda: self._remove(call), write=True)

    def _remove(self, call):
        value = self._live(call.path[0])
        if value is None or value.revision != int(call.query['expected']):
            return httpio.Response(409)
        del self._values[call.path[0]]
        self._changed.notify_all()
        return httpio.Response(200)

    def _grant(self, call):
        def grant():
            lease = f'lease-{next(self._revisions)}'
            ttl_s = float(call.json()['ttl_s'])
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return httpio.Response.of_json(200, {'lease': lease})

        return self._guard('grant', grant, write=True)

    def _renew(self, call):
        def renew():
            lease = call.path[0]
            ttl_s, expiry = self._leases.get(lease, (0, 0))
            if expiry < time.monotonic():
                return httpio.Response(409)
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return httpio.Response(200)

        return self._guard('renew', renew, write=True)

    def _stats(self, _call):
        return httpio.Response.of_json(200, dict(self.calls))

    def _set_faults(self, call):
        with self._changed:
            self.faults = Faults(**call.json())
            self._changed.notify_all()
        return httpio.Response(200)

    def _guard(self, kind, action, write=False):
        """Count the call, bring about the faults in force, do `action`."""
        self.calls[kind] += 1
        if self.faults.slow_s:
            time.sleep(self.faults.slow_s)
        with self._changed:
            if self.faults.down:
                return httpio.Response(503)
            resp = action()
            if write and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return httpio.Response(500)
            return resp

    def _live(self, key):
        value = self._values.get(key)
        if value is None or value.lease is None:
            return value
        _, expiry = self._leases.get(value.lease, (0, 0))
        if expiry < time.monotonic():
            del self._values[key]
            return None
        return value

    def _reply(self, key):
        value = self._live(key)
        if value is None:
            return httpio.Response(404)
        headers = (('Revision', str(value.revision)),)
        return httpio.Response(200, [value.data], headers)
