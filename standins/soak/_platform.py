"""Stand-ins for the store, engines, a plain service and the origin."""

import asyncio
import base64
import hashlib
import json
import math
import time
import urllib.parse

import attrs

from catkinshunt import http1
from catkinshunt import notifier
from standins import rate_rule
from standins.soak import _cuts
from standins.soak import _given
from standins.soak import _parts
from standins.soak import _records
from standins.soak import _silences
from standins.soak import _spoiling
from standins.soak import _stutters

MODEL = 'drafts'
CHUNKS = 8
CHUNK_BYTES = 4096
#: Requests that an engine runs at once.
SLOTS = 16
#: Seconds between two events of a stream.
EVENT_S = 0.05
#: Seconds that a booking takes.
BOOK_S = 0.03
#: Body of the request that crashes each engine that begins to run it.
CRASHING = b'crash'
#: Seconds in which the connections of an upstream that ends are closed.
END_S = 0.05
#: Ways of a run to crash: before its head, or in place of an event.
CRASH_WAYS = 3
#: Seconds that the parts of a prompt take, and ways of a run to crash on one.
PREFILL_S, PART_CRASH_WAYS = 0.1, 2


def chunk(version, index):
    """Return the bytes of a chunk."""
    seed = hashlib.sha256(f'{version}/{index}'.encode()).digest()
    return seed * (CHUNK_BYTES // len(seed))


async def listen(handler, host, port, clock, stutter):
    """Serve `handler` on an address; returns the listener."""
    serve = http1.make_session(handler)

    def session(conn):
        return serve(_stutters.Connection(conn, stutter))

    return await http1.Listener(session, clock).start(host, port)


def as_json(document, status=200):
    """Return a reply with a JSON body."""
    return http1.Reply(status, json.dumps(document).encode())


def query_of(req):
    """Return the query of a request as a mapping."""
    return dict(urllib.parse.parse_qsl(req.target.partition('?')[2]))


@attrs.define
class Lease:
    """Keys that go with a lease, and the timer that ends it."""

    ttl_s: float
    keys: set = attrs.field(factory=set)
    timer: asyncio.TimerHandle | None = None


class Store:
    """Keys with revisions, watches and leases.

    Attributes:
        fault: None, ``'refuse'``, ``'silent'`` or ``'slow'``.
        is_away: whether it answers nothing, as it will go back to a copy.
        era: how often it has done so, from 1.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.oldest = 0
        self.fault = None
        self.is_away = False
        self.era = 1
        self.granted = 0
        self.leases = {}
        self._changes = notifier.Notifier()

    def put(self, key, document):
        """Write `document`; None deletes the key."""
        self.revision += 1
        item = {'key': key, 'revision': self.revision, 'deleted': True}
        self.items.pop(key, None)
        if document is not None:
            data = base64.b64encode(json.dumps(document).encode()).decode()
            item = {'key': key, 'data': data, 'revision': self.revision}
            self.items[key] = item
        self.events.append(item)
        self._changes.notify_all()

    def compact(self):
        """Forget the history; watches must read all again."""
        self.revision += 1
        self.oldest = self.revision
        self.events.clear()
        self._changes.notify_all()

    async def answer(self, req):
        """Answer one call."""
        reply = await self._answer(req)
        return attrs.evolve(reply, items=(('Store-Era', str(self.era)),))

    async def _answer(self, req):
        if self.fault == 'silent':
            await asyncio.sleep(60)
        if self.fault == 'slow':
            await asyncio.sleep(0.4)
        if self.fault == 'refuse' or self.is_away:
            return as_json({}, 503)
        query = query_of(req)
        prefix = query.get('path_prefix', '')
        if req.path == '/-/kv-range':
            found = [i for k, i in self.items.items() if k.startswith(prefix)]
            return as_json({'entries': found, 'at': self.revision})
        if req.path == '/-/kv-watch':
            return await self._watch(query, prefix)
        return self._change(req)

    def _change(self, req):
        """Answer a call that grants, renews or ends a lease, or writes."""
        document = json.loads(req.body or b'{}')
        name = req.path.rpartition('/')[2]
        if name == 'kv-lease':
            self.granted += 1
            self._hold(self.granted, document['ttl_ms'] / 1000)
            return as_json({'lease': self.granted, **document})
        if name == 'kv-txn':
            return self._write(document['write'])
        lease = int(name)
        if lease not in self.leases:
            return as_json({}, 404)
        if req.method == 'DELETE':
            self.expire(lease)
        else:
            self._hold(lease, self.leases[lease].ttl_s)
        return as_json({})

    def _write(self, rows):
        # Without a lease, its number is 0.
        if any(row['lease'] not in {0, *self.leases} for row in rows):
            return as_json({}, 404)
        for row in rows:
            if row['lease']:
                self.leases[row['lease']].keys.add(row['key'])
            self.put(row['key'], json.loads(base64.b64decode(row['data'])))
        return as_json({'revision': self.revision})

    def _hold(self, lease, ttl_s):
        """Let a lease last for `ttl_s` seconds from now."""
        held = self.leases.setdefault(lease, Lease(ttl_s))
        if held.timer is not None:
            held.timer.cancel()
        loop = asyncio.get_running_loop()
        held.timer = loop.call_later(ttl_s, self.expire, lease)

    def expire(self, lease):
        """End a lease and remove its keys."""
        held = self.leases.pop(lease)
        held.timer.cancel()
        for key in held.keys:
            self.put(key, None)

    async def _watch(self, query, prefix):
        after = int(query['after'])
        try:
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while True:
                    if self.is_away:
                        return as_json({}, 503)
                    if not self.oldest <= after <= self.revision:
                        return as_json({}, 410)
                    found = [
                        item
                        for item in self.events
                        if item['revision'] > after
                        and item['key'].startswith(prefix)
                    ]
                    if found:
                        return as_json({'events': found, 'at': self.revision})
                    await self._changes.wait()
        except TimeoutError:
            return as_json({'events': [], 'at': self.revision})


class Upstream:
    """A runner: an engine where it has a stage, else a plain service.

    Attributes:
        fault: None, ``'reset'``, ``'silent'``, ``'full'`` or ``'lose'``.
        born: when it started, in milliseconds of the Unix time.
        gone: it has crashed and is not back yet.
        on_crash: function that is called when it crashes.
        limit_per_s: requests per second that it accepts; infinite if it
            states no limit.
        history: `rate_rule.UpstreamHistory` since its start.
        is_leaving: whether it says in all its answers that it leaves.
        back_off_s: Retry-After with which it turns requests away, or None.
        visits: `_records.Visits` since its start.
        silence: `_silences.Silence` that holds it up.
        is_dead: whether it is silent for good.
        slots: requests that it says it runs at once.
        stutter: `_stutters.Stutter`.
    """

    def __init__(
        self, name, service, records, clock, version=None, slots=SLOTS
    ):
        self.name = name
        self.service = service
        self.records = records
        self.clock = clock
        self.version = version
        self.slots = slots
        self.stage = {}
        self.busy = False
        self.fault = None
        self.born = 1
        self.gone = False
        self.on_crash = None
        self.back_off_s = None
        self.silence = _silences.Silence()
        self.is_dead = False
        self.stutter = _stutters.Stutter(records.stutters)
        self.begin_history()
        self._listener = None
        self._running = set()
        if version:
            self.stage = {i: chunk(version, i) for i in range(CHUNKS)}

    async def start(self, host, port):
        """Listen on an address; returns self."""
        self._listener = http1.Listener(self._session, self.clock)
        await self._listener.start(host, port)
        self.gone = False
        return self

    def close(self):
        """Listen no more."""
        self._listener.close()

    @property
    def port(self):
        """The port that it listens on."""
        return self._listener.port

    def begin_history(self):
        """Forget limit and leave, as a new process does."""
        self.limit_per_s = math.inf
        self.is_leaving = False
        self.visits = _records.Visits(self.name)
        self.records.visits.append(self.visits)
        self.history = rate_rule.UpstreamHistory()
        self.records.histories.append((self.name, self.history))

    def state_limit(self, per_s):
        """State a limit in all replies from now on."""
        self.limit_per_s = per_s
        self.history.statements.append(
            rate_rule.Statement(self.clock(), per_s)
        )

    async def restart(self, host, port, name=None):
        """End with all connections, and start again.

        Args:
            host: address to listen on.
            port: its port.
            name: name of the new start; None for the same.
        """
        # No request crashes it until it has started.
        self.gone = True
        self._close()
        self.state_limit(math.inf)
        self.name = name or self.name
        self.begin_history()
        self.born = int(time.time() * 1000)
        await self.start(host, port)

    def _close(self):
        now = self.clock()
        self.records.break_offs[self.name].append((now, now + END_S))
        self._listener.close()
        for conn in list(self._listener.tasks.values()):
            conn.abort()

    def lose_weights(self):
        """End at once without a request's doing; only the stage remains."""
        self.gone = True
        self.version = 0
        self._close()

    def crash(self, request):
        """End at once, with all connections."""
        if self.gone:
            return
        self.gone = True
        self._close()
        self.state_limit(math.inf)
        beside = frozenset(self._running - {request})
        self.records.crashes.append(
            _records.Crash(request, self.name, self.clock(), beside)
        )
        self.on_crash()

    def entry(self, address, zone, state='ready'):
        """Return what the runner writes about itself."""
        found = {
            'service': self.service,
            'address': address,
            'zone': zone,
            'slots': self.slots,
            'state': state,
            'born': self.born,
        }
        if self.version is not None:
            found['models'] = self._models()
        return found

    def _models(self):
        if not self.version:
            return []
        return [{'name': MODEL, 'version': self.version, 'adapters': []}]

    async def _session(self, conn):
        conn = _stutters.Connection(
            conn, self.stutter, self._note_reply, self._note_break
        )
        while True:
            req = await conn.read_request()
            if req is None or isinstance(req, http1.BadRequestError):
                return
            if self.gone:
                # It had just accepted the connection when it crashed.
                conn.abort()
                return
            if req.path.startswith('/-/'):
                reply = await self._control(req)
                items = self._leaving_items()
                conn.write(http1.dump_reply(reply.status, items, reply.body))
            elif not await self._work(conn, req):
                conn.abort()
                return
            conn.begin_idle()

    def _note_reply(self, data):
        """Record what a reply says, under its signature."""
        stamp = _spoiling.field_of(data, 'Server-Stamp')
        if stamp:
            request = _spoiling.field_of(data, 'Attempt-Id')
            status = _spoiling.status_of(data)
            self.records.given[stamp] = _given.Given(request, status)

    def _note_break(self):
        now = self.clock()
        self.records.break_offs[self.name].append((now, now + END_S))

    def _leaving_items(self):
        return [('Server-Leaving', '1')] if self.is_leaving else []

    async def _control(self, req):
        number = int(query_of(req).get('number', -1))
        await self.silence.wait('reports')
        if req.path == '/-/report':
            return as_json(
                {
                    'models': self._models(),
                    'busy': self.busy,
                    'born': self.born,
                    'active': len(self._running),
                }
            )
        if req.path.startswith('/-/stage-put/'):
            self.stage[number] = req.body
            return http1.Reply(200)
        if req.path.startswith('/-/stage-get/'):
            if number < 0:
                return as_json({'held': sorted(self.stage)})
            data = self.stage.get(number)
            return http1.Reply(404 if data is None else 200, data or b'')
        return self._order(json.loads(req.body))

    def _order(self, order):
        version = order['version']
        if self.version != version:
            held = {
                next(
                    (v for v in range(1, 99) if chunk(v, i) == data), 'unknown'
                )
                for i, data in self.stage.items()
            }
            if len(self.stage) < CHUNKS:
                held.add('missing')
            if version not in held:
                held.add(f'none of {version}')
            self.records.loads.append((self.name, held))
            self.version = version
        return as_json({}, 202)

    async def _work(self, conn, req):
        """Answer a caller's request; return whether to go on."""
        attempt = _cuts.Attempt(
            req.headers.get('Attempt-Id'), self.name, self.clock()
        )
        self.records.attempts.append(attempt)
        try:
            return await self._answer(conn, req, attempt)
        except asyncio.CancelledError:
            attempt.was_reset = True
            raise
        finally:
            attempt.ended_at = self.clock()

    async def _answer(self, conn, req, attempt):
        request = attempt.request
        stamp = self.records.make_stamp(self.name)
        items = [('Attempt-Id', request), ('Server-Stamp', stamp)]
        entry = self.records.entry_of(request)
        self.history.arrivals.append(rate_rule.Arrival(self.clock(), entry))
        self.visits.add(request, self.clock())
        expected = req.headers.get('Expect-Instance')
        if expected not in (None, self.name):
            # Another one had the address before.
            attempt.was_rejected = True
            conn.write(http1.dump_reply(421, [*items, ('Not-Executed', '1')]))
            return True
        if self.is_leaving:
            items += self._leaving_items()
            self.visits.state_leave(request, self.clock())
        if self.back_off_s is not None:
            attempt.was_rejected = True
            if not conn.is_dirty:
                # Else the entry need not read it.
                self.visits.reject(entry, self.clock(), self.back_off_s)
            items.append(('Not-Executed', '1'))
            items.append(('Retry-After', f'{self.back_off_s:g}'))
            conn.write(http1.dump_reply(503, items))
            return True
        if self.limit_per_s < math.inf:
            items.append(('Server-Limit', f'{self.limit_per_s:g}'))
        if self.fault == 'full' or self.version == 0:
            attempt.was_rejected = True
            items.append(('Not-Executed', '1'))
            conn.write(http1.dump_reply(503, items))
            return True
        if self.fault == 'silent':
            await asyncio.sleep(60)
        await self.silence.wait('arrival')
        first = int(req.headers.get('Last-Event-Id') or 0) + 1
        self.records.runs.append(
            _records.Run(
                request,
                self.name,
                self.clock(),
                self.version or 0,
                req.headers.get('Tenant', ''),
                first,
            )
        )
        self._running.add(request)
        try:
            if self.stutter.draw_failure():
                return await self._fail(conn, attempt, items)
            if self.version is None:
                return await self._book(conn, attempt, items)
            crash_at = None
            if req.body == CRASHING:
                crash_at = len(self.records.crashes) % CRASH_WAYS
            prompt = req.headers.get('Prompt-Prefix', '')
            if prompt:
                await asyncio.sleep(PREFILL_S)
            if _parts.has_crashing_part(prompt):
                crash_at = len(self.records.crashes) % PART_CRASH_WAYS
            return await self._stream(conn, attempt, items, first, crash_at)
        finally:
            self._running.discard(request)

    async def _fail(self, conn, attempt, items):
        """Answer that the request has failed."""
        await asyncio.sleep(BOOK_S)
        body = _given.failure_body(attempt.request)
        # A stream that was to go on here cannot.
        self._note_break()
        attempt.replied_at = self.clock()
        conn.write(http1.dump_reply(500, items, body))
        return True

    async def _book(self, conn, attempt, items):
        await asyncio.sleep(BOOK_S)
        await self.silence.wait('head')
        if self.fault in ('reset', 'lose'):
            return False
        body = _records.whole_body(attempt.request, 'book')
        attempt.replied_at = self.clock()
        conn.write(http1.dump_reply(200, items, body))
        return True

    async def _stream(self, conn, attempt, items, first, crash_at):
        """Write events; crash before the event at a place, 0 is the head."""
        request = attempt.request
        if crash_at == 0:
            self.crash(request)
            return False
        await self.silence.wait('head')
        attempt.replied_at = self.clock()
        items.append(('Content-Type', 'text/event-stream'))
        items.append(('Transfer-Encoding', 'chunked'))
        conn.write(http1.dump_head(http1.status_line(200), items))
        for place, number in enumerate(range(first, _records.EVENTS + 1), 1):
            await asyncio.sleep(EVENT_S)
            await self.silence.wait('events')
            if place == crash_at:
                self.crash(request)
                return False
            if self.fault == 'reset':
                return False
            data = _records.event(request, number)
            conn.write(http1.dump_chunk(data))
            await conn.drain()
        conn.write(http1.LAST_CHUNK)
        return True


class Origin:
    """The origin of weights; its link sends one chunk after the other.

    Args:
        newest: function that returns the newest version.
        chunk_s: seconds that its link takes for a chunk.
    """

    def __init__(self, newest, chunk_s=0.0):
        self.newest = newest
        self.chunk_s = chunk_s
        self._link = asyncio.Lock()

    async def answer(self, req):
        """Answer one call."""
        version = int(query_of(req).get('version', self.newest()))
        if not req.path.startswith('/-/manifest/'):
            async with self._link:
                await asyncio.sleep(self.chunk_s)
            return http1.Reply(
                200, chunk(version, int(query_of(req)['number']))
            )
        digests = [
            hashlib.sha256(chunk(version, i)).hexdigest()
            for i in range(CHUNKS)
        ]
        return as_json(
            {
                'model': MODEL,
                'version': version,
                'chunk_bytes': CHUNK_BYTES,
                'digests': digests,
            }
        )
