"""Stand-ins of runners and of the origin of weights, as in PROTOCOL.md."""

import asyncio
import hashlib
import time

from review.rig import wire

MODEL = 'daka510000'
#: Weights of the small deployments.
CHUNKS, CHUNK_BYTES, LAYERS = 96, 24576, 16
#: Seconds that a load takes (`warm_s`), and until the first event.
WARM_S, FIRST_S = 0.3, 0.06
EVENTS, EVENT_S = 10, 0.05
#: Seconds that a request to a plain service takes.
WORK_S = 0.09
HEARTBEAT_S = 1.2


def piece(version, index):
    """Return the true bytes of one piece of a version."""
    seed = hashlib.sha256(f'{version}/{index}'.encode()).digest()
    return seed * (CHUNK_BYTES // len(seed))


def event(request, number):
    """Return the bytes of one event of a stream."""
    return f'id: {number}\ndata: {request} {number}\n\n'.encode()


class Run:
    """A request that a runner began to work on.

    Attributes:
        unsound: why the layers in use should not have been loaded, or ''.
    """

    def __init__(self, request, runner, version=None, unsound=''):
        self.request = request
        self.runner = runner
        self.version = version
        self.unsound = unsound
        self.at = time.monotonic()


class Runner:
    """One runner; it registers itself in the store.

    Attributes:
        runs: list of `Run`, shared by all runners.
        loads: (time, version, reason why it is unsound or '') of each order
            that was accepted.
    """

    def __init__(self, name, service, address, zone, store, runs):
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.store = store
        self.runs = runs
        self.slots = 16
        #: `garble.Garble` that it hands out wrong bytes for, or None.
        self.garble = None
        self.active = set()
        self.seq = 0
        self._beat_task = None

    async def start(self):
        """Listen and register; return self."""
        self.server = await wire.serve(self.answer, *self.address)
        self._beat_task = asyncio.ensure_future(self._beat())
        return self

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        """Write this runner's entry into the store."""
        self.seq += 1
        self.store.put(f'servers/{self.name}', self.entry())

    def entry(self):
        """Return what this runner writes about itself."""
        host, port = self.address
        return {
            'service': self.service,
            'address': f'{host}:{port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': self.seq,
        }

    def items(self, req):
        """Return the headers of an answer to a request that ran."""
        request = req.headers.get('attempt-id', '')
        stamp = hashlib.sha256(f'{self.name} {request}'.encode()).hexdigest()
        return [
            ('Attempt-Id', request),
            ('Server-Stamp', f'{self.name}.{stamp[:16]}'),
            ('Instance-Load', f'{len(self.active)},0,{self.slots}'),
        ]

    async def answer(self, req):
        """Answer one request or call."""
        if req.path == '/healthz':
            items = [('Instance-Id', self.name)]
            return await req.conn.reply(200, items)
        expected = req.headers.get('expect-instance', self.name)
        if expected != self.name:
            items = [('Instance-Id', self.name), ('Not-Executed', '1')]
            return await req.conn.reply(421, items)
        return await self.work(req)

    async def reject(self, req):
        """Answer that the request was not run."""
        items = [
            ('Attempt-Id', req.headers.get('attempt-id', '')),
            ('Not-Executed', '1'),
            ('Instance-Load', f'{len(self.active)},0,{self.slots}'),
        ]
        await req.conn.reply(503, items)

    async def work(self, req):
        """Run a request of a plain service."""
        request = req.headers.get('attempt-id', '')
        self.runs.append(Run(request, self.name))
        if req.conn.late:
            await req.conn.send(req.conn.late)
            req.conn.late = b''
        await asyncio.sleep(WORK_S)
        tenant = req.headers.get('tenant', '')
        body = f'done {request} for {tenant}'.encode()
        answer = wire.dump_answer(200, self.items(req), body)
        if self.garble is not None:
            answer = self.garble.change(self, req, answer)
        await req.conn.send(answer)


class ModelRunner(Runner):
    """A model runner with staged pieces, which an order loads.

    Attributes:
        staged: bytes of the staged pieces by index.
        bad_since: time since which a staged piece is spoilt, by index.
        on_staged_read: called with the index after each read of a piece.
    """

    def __init__(self, *args, version=1):
        super().__init__(*args)
        self.version = version
        self.staged = {i: piece(version, i) for i in range(CHUNKS)}
        self.bad_since = {}
        self.loads = []
        self.unsound = ''
        self.busy = False
        self.orders = 0
        self.on_staged_read = None

    def models(self):
        """Return the rows on the model that is loaded."""
        if not self.version:
            return []
        layers = {'from': 0, 'target': LAYERS, 'version': self.version}
        return [
            {
                'name': MODEL,
                'version': self.version,
                'adapters': [],
                'layers': [layers],
            }
        ]

    def entry(self):
        """See `Runner.entry`."""
        return {
            **super().entry(),
            'phase': 'unified',
            'models': self.models(),
        }

    async def answer(self, req):
        """See `Runner.answer`."""
        conn = req.conn
        if req.path == '/-/report':
            document = {
                'phase': 'unified',
                'models': self.models(),
                'busy': self.busy,
                'seq': self.orders,
                'queued': 0,
                'active': len(self.active),
                'kv_used': 0,
                'kv_total': 317000,
                'handles': 0,
                'pace': 1.0,
            }
            return await conn.reply_json(document)
        if req.path.startswith('/-/stage-put/'):
            number = int(req.query['number'])
            self.staged[number] = req.body
            self.bad_since.pop(number, None)
            return await conn.reply(200)
        if req.path.startswith('/-/stage-get/'):
            return await self._read_staged(req)
        if req.path == '/-/order':
            return await self._order(req)
        return await super().answer(req)

    async def _read_staged(self, req):
        if 'number' not in req.query:
            return await req.conn.reply_json({'held': sorted(self.staged)})
        number = int(req.query['number'])
        data = self.staged.get(number)
        await req.conn.reply(404 if data is None else 200, [], data or b'')
        if self.on_staged_read is not None:
            self.on_staged_read(self, number)

    def spoil(self, indices):
        """Let staged pieces turn bad (`garble`, `rot`)."""
        for index in indices:
            data = self.staged[index]
            self.staged[index] = bytes([data[0] ^ 1]) + data[1:]
            self.bad_since.setdefault(index, time.monotonic())

    def find_fault(self, version, slack_s):
        """Return why the staged pieces must not be loaded, or ''.

        A piece that turned bad in the last `slack_s` seconds is excused.
        """
        now = time.monotonic()
        for index in range(CHUNKS):
            data = self.staged.get(index)
            if data is None:
                return f'piece {index} is missing'
            if data == piece(version, index):
                continue
            since = self.bad_since.get(index)
            if since is None:
                return f'piece {index} is of another version'
            if now - since > slack_s:
                return f'piece {index} is spoilt since {now - since:.1f} s'
        return ''

    async def _order(self, req):
        order = req.json()
        if order.get('operation') != 'start':
            return await req.conn.reply_json({}, 400)
        version = order['version']
        if self.busy or version == self.version:
            same = version in (self.version, self.loads[-1][1])
            return await req.conn.reply_json({}, 200 if same else 409)
        self.orders += 1
        self.busy = True
        fault = self.find_fault(version, 3.0)
        self.loads.append((time.monotonic(), version, fault))
        asyncio.ensure_future(self._load(version, fault))
        await req.conn.reply_json({}, 202)

    async def _load(self, version, fault):
        while self.active:
            await asyncio.sleep(0.01)
        await asyncio.sleep(WARM_S)
        self.version, self.unsound = version, fault
        self.busy = False
        self.register()

    async def work(self, req):
        """Run a request: answer with a stream of events."""
        if self.busy or not self.version or len(self.active) >= self.slots:
            return await self.reject(req)
        request = req.headers.get('attempt-id', '')
        self.active.add(req)
        try:
            await asyncio.sleep(FIRST_S)
            self.runs.append(
                Run(request, self.name, self.version, self.unsound)
            )
            await self._stream(req, request)
        finally:
            self.active.discard(req)

    async def _stream(self, req, request):
        items = self.items(req)
        items.append(('Weight-Versions', str(self.version)))
        items.append(('Content-Type', 'text/event-stream'))
        items.append(('Transfer-Encoding', 'chunked'))
        await req.conn.send(wire.dump_head(wire.status_line(200), items))
        first = int(req.headers.get('last-event-id') or 0) + 1
        bad = None
        if self.garble is not None:
            bad = self.garble.pick_event(self, req, first, EVENTS)
        for number in range(first, EVENTS + 1):
            data = event(request, number)
            if number == bad:
                data = self.garble.spoil_event(data)
            await req.conn.send(wire.dump_chunk(data))
            await asyncio.sleep(EVENT_S)
            if number == bad and self.garble.breaks_off:
                req.conn.reset()
                return
        await req.conn.send(b'0\r\n\r\n')


class Origin:
    """The origin of weights; all that it sends shares its link.

    Attributes:
        newest: the newest version that is named.
    """

    #: Bytes a second: 7.3 Mbit/s.
    LINK = 7.3e6 / 8

    def __init__(self, newest):
        self.newest = newest
        self._free_at = 0.0

    async def answer(self, req):
        """Answer one call."""
        version = int(req.query.get('version', self.newest))
        if version <= self.newest - 2:
            # "A version two back returns 410."
            return await req.conn.reply(410)
        if req.path.startswith('/-/manifest/'):
            return await self._send_manifest(req, version)
        data = piece(version, int(req.query['number']))
        await self._wait(len(data))
        await req.conn.reply(200, [], data)

    async def _send_manifest(self, req, version):
        digests = [
            hashlib.sha256(piece(version, i)).hexdigest()
            for i in range(CHUNKS)
        ]
        await self._wait(67 * CHUNKS)
        await req.conn.reply_json(
            {
                'model': MODEL,
                'version': version,
                'chunk_bytes': CHUNK_BYTES,
                'layers': LAYERS,
                'digests': digests,
            }
        )

    async def _wait(self, size):
        """Wait until the link has sent so many bytes more."""
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / self.LINK
        await asyncio.sleep(self._free_at - now)
