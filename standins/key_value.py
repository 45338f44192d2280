"""Stand-in for the platform's key-value service, with faults on demand."""

import collections
import threading
import time

import attrs

from catkinshunt import httpio
from standins import web


#: Copies that are kept, one before each write.
COPIES = 500


@attrs.define
class _Value:
    data: bytes
    revision: int
    lease: str | None = None


@attrs.frozen
class _Copy:
    at: float
    values: dict
    leases: dict
    revision: int


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
    """Compare-and-swap, leases and watches in memory.

    It may go back to a copy: what was written since is lost, and revisions
    and numbers of leases are given out again. The header ``Era`` of its
    replies rises by one each time.
    """

    def __init__(self):
        self.calls = collections.Counter()
        self.faults = Faults()
        self._values = {}
        self._leases = {}
        self._revision = 0
        self._era = 1
        self._copies = collections.deque(maxlen=COPIES)
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
            resp = self._wait(key, after, deadline)
            return resp.with_headers(self._era_header())

    def _wait(self, key, after, deadline):
        era = self._era
        if after > self._revision:
            return httpio.Response(410)
        while not self.faults.down and self._era == era:
            value = self._live(key)
            if value is not None and value.revision > after:
                return self._reply(key)
            left = deadline - time.monotonic()
            if left <= 0:
                return httpio.Response(204)
            self._changed.wait(min(left, 0.5))
        return httpio.Response(503)

    def _era_header(self):
        return ('Era', str(self._era))

    def _next_revision(self):
        self._revision += 1
        return self._revision

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
        revision = self._next_revision()
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
            lease = f'lease-{self._next_revision()}'
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
        """Set the faults in force.

        With ``back_s`` the service also goes back, once, to what it held so
        many seconds ago.
        """
        given = call.json()
        back_s = given.pop('back_s', None)
        with self._changed:
            self.faults = Faults(**given)
            if back_s is not None:
                self._go_back(back_s, time.monotonic())
            self._changed.notify_all()
        return httpio.Response(200)

    def _go_back(self, back_s, now):
        self._era += 1
        copy = None
        while self._copies and self._copies[-1].at > now - back_s:
            copy = self._copies.pop()
        if copy is None:
            return
        self._values, self._revision = dict(copy.values), copy.revision
        self._leases = {
            lease: (ttl_s, now + ttl_s)
            for lease, (ttl_s, _) in copy.leases.items()
        }

    def _take_copy(self, now):
        self._copies.append(
            _Copy(now, dict(self._values), dict(self._leases), self._revision)
        )

    def _guard(self, kind, action, write=False):
        """Count the call, bring about the faults in force, do `action`."""
        self.calls[kind] += 1
        if self.faults.slow_s:
            time.sleep(self.faults.slow_s)
        with self._changed:
            resp = self._do(action, write)
            return resp.with_headers(self._era_header())

    def _do(self, action, write):
        if self.faults.down:
            return httpio.Response(503)
        if write:
            self._take_copy(time.monotonic())
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
