"""A model runner and the origin of weights, as PROTOCOL.md tells them."""

import asyncio
import hashlib
import json
import urllib.parse

from review.stage2 import http

MODEL = 'daka510000'
SERVICE = 'huvo11a'
CHUNKS, CHUNK_BYTES = 12, 4096
#: Figures of the engines of the site kampsi-fleet.
STEP_S, PER_SEQ_S, READ_PER_S, EVENT_TOKENS = 0.00927, 0.0000232, 20700, 5
MEMORY_TOKENS, WARM_S, MOST_QUEUED = 317000, 0.3, 4
#: Three heartbeats, after which the entry of a dead runner is removed.
LAPSE_S = 3.6


def chunk(model, version, number):
    """Return the bytes of a piece of the weights."""
    seed = hashlib.sha256(f'{model}/{version}/{number}'.encode()).digest()
    return seed * (CHUNK_BYTES // len(seed))


def _chunks(model, version):
    return {n: chunk(model, version, n) for n in range(CHUNKS)}


def profile(slots, models=(MODEL,)):
    """Return the field `engine` of a service in the configuration."""
    return {
        'slots': slots,
        'kv_capacity': MEMORY_TOKENS,
        'stride': 5,
        'models': [
            {'name': model, 'pace': 1.0, 'warm_s': WARM_S} for model in models
        ],
        'step_ms': STEP_S * 1000,
        'per_seq_ms': PER_SEQ_S * 1000,
        'read_per_s': READ_PER_S,
        'usual': {'prompt': 979, 'answer': 92},
        'chunks': CHUNKS,
        'chunk_bytes': CHUNK_BYTES,
    }


def query_of(message):
    """Return the query of a request."""
    return dict(urllib.parse.parse_qsl(message.target.partition('?')[2]))


class Job:
    """A request at the runner."""

    def __init__(self, message):
        headers = message.headers
        self.id = headers.get('attempt-id', '')
        self.model = headers.get('model', '')
        counts = headers.get('token-counts', '0,5').split(',')
        self.prompt, self.answer = int(counts[0]), int(counts[1])
        self.first = int(headers.get('last-event-id') or 0) + 1
        self.tenant = headers.get('tenant', '')
        self.begun = asyncio.get_running_loop().create_future()
        self.is_gone = False


class Engine:
    """A model runner.

    Args:
        site: `site.Site`.
        name: its id.
        host: its address.
        zone: its zone.
        slots: requests that it runs at once.
        drops: whether it drops a waiting request whose connection closes,
            as most runners do.
        id_step: by how much the ids of its events increase.
        is_framed: whether its streams have chunks; else they end with their
            connection.
        service: its service.
        models: the models that it can hold; it holds version 1 of each,
            which is also staged.
    """

    def __init__(
        self, site, name, host, zone, slots, drops=True, id_step=1,
        is_framed=True, service=SERVICE, models=(MODEL,),
    ):  # fmt: skip
        self.site = site
        self.name = name
        self.host = host
        self.zone = zone
        self.slots = slots
        self.drops = drops
        self.id_step = id_step
        self.is_framed = is_framed
        self.service = service
        self.held = dict.fromkeys(models, 1)
        self.stages = {model: _chunks(model, 1) for model in models}
        self.running, self.queue = [], []
        self.runs = []
        # Whether its memory is full, and (event, seconds) of the pause of a
        # request that it preempts before that event, or None.
        self.is_full = False
        self.preempts = None
        self.seq = 0
        self._order = None

    async def start(self):
        """Serve, and write to the store."""
        self._server = await self.site.serve(self.handle, self.host, 8001)
        self.beat()

    async def lose_power(self, down_s, name):
        """Lose all that it holds and has staged; return under another id."""
        self.stages.clear()
        await self.crash(down_s, name)

    async def crash(self, down_s, name):
        """Lose all that it holds; return under another id."""
        self.site.note(f'{self.name} crashes')
        self._server.crash()
        old, self.name = self.name, name
        self.held = dict.fromkeys(self.held, 0)
        if self._order is not None:
            self._order.cancel()
            self._order = None
        await asyncio.sleep(down_s)
        await self.start()
        await asyncio.sleep(LAPSE_S)
        self.site.store.put(f'servers/{old}', None)

    def beat(self):
        """Write what the store shows of it."""
        self.site.store.put(
            f'servers/{self.name}',
            {
                'service': self.service,
                'address': f'{self.host}:8001',
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': 'ready',
                'cold_left_ms': 0,
                'phase': 'unified',
                'models': self._models(),
                'seq': self.seq,
            },
        )

    def _models(self):
        return [
            {'name': model, 'version': version, 'adapters': []}
            for model, version in self.held.items()
            if version
        ]

    async def handle(self, message, reader, writer):
        """Answer one request."""
        path = message.target.partition('?')[0]
        if path == '/-/report':
            writer.write(http.reply_json(200, self._report()))
        elif path.startswith('/-/stage-put/'):
            stage = self._stage_of(path)
            stage[int(query_of(message)['number'])] = message.body
            writer.write(http.reply(200))
        elif path.startswith('/-/stage-get/'):
            stage = self._stage_of(path)
            number = query_of(message).get('number')
            if number is None:
                held = {'held': sorted(stage)}
                writer.write(http.reply_json(200, held))
            else:
                data = stage.get(int(number))
                status = 404 if data is None else 200
                writer.write(http.reply(status, body=data or b''))
        elif path == '/-/order':
            status = self._take_order(json.loads(message.body))
            writer.write(http.reply_json(status, {}))
        else:
            return await self._work(message, reader, writer)
        return True

    def _stage_of(self, path):
        """Return what is staged of a model; the name is not checked."""
        return self.stages.setdefault(path.rpartition('/')[2], {})

    def _report(self):
        return {
            'phase': 'unified',
            'models': self._models(),
            'busy': self._order is not None,
            'seq': self.seq,
            'queued': len(self.queue),
            'active': len(self.running),
            'kv_used': sum(job.prompt + job.answer for job in self.running),
            'kv_total': MEMORY_TOKENS,
            'handles': 0,
        }

    def _take_order(self, order):
        model, version = order['model'], order['version']
        if model not in self.held:
            self.site.note(f'{self.name} knows no such order: {order}')
            return 400
        if version == self.held[model]:
            return 200
        if self._order is not None:
            return 409
        self.seq += 1
        taken = dict(self.stages.get(model, {}))
        self.site.note(
            f'{self.name} takes the order of version {version} of {model}'
        )
        self._order = asyncio.ensure_future(self._load(model, version, taken))
        return 202

    async def _load(self, model, version, taken):
        """Load what was staged, after what is running."""
        for job in self.queue:
            job.begun.set_result(False)
        self.queue.clear()
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(WARM_S)
        whole = taken == _chunks(model, version)
        self.held[model] = version
        self._order = None
        self.site.note(
            f'{self.name} holds version {version} of {model}, whole: {whole}'
        )
        self.beat()

    # Requests.

    def _load_items(self):
        load = f'{len(self.running)},{len(self.queue)},{self.slots}'
        return [('Instance-Load', load)]

    async def _work(self, message, reader, writer):
        job = Job(message)
        if message.headers.get('expect-instance', self.name) != self.name:
            items = [('Instance-Id', self.name), ('Not-Executed', '1')]
            writer.write(http.reply(421, items))
            return True
        items = [('Attempt-Id', job.id)]
        if not self._has_room(job):
            self.site.note(f'{self.name} rejects {job.id} as if it were full')
            items += [('Not-Executed', '1'), *self._load_items()]
            writer.write(http.reply(503, items))
            return True
        watch = asyncio.ensure_future(self._watch(job, reader))
        try:
            return await self._run(job, items, writer)
        finally:
            watch.cancel()

    def _has_room(self, job):
        """Return whether a request fits into its memory and its queue."""
        if not self.held.get(job.model):
            return False
        if self._order is not None or self.is_full:
            return False
        if job.prompt + job.answer > MEMORY_TOKENS:
            return False
        return len(self.queue) < MOST_QUEUED

    async def _watch(self, job, reader):
        """Note that the connection of a request closes."""
        await http.wait_for_close(reader)
        job.is_gone = True
        self.site.note(f'{self.name}: the connection of {job.id} is closed')
        if self.drops and job in self.queue:
            self.queue.remove(job)
            job.begun.set_result(False)

    async def _run(self, job, items, writer):
        if len(self.running) >= self.slots:
            self.queue.append(job)
            self.site.note(f'{self.name} queues {job.id}')
            if not await job.begun:
                if not job.is_gone:
                    items += [('Not-Executed', '1'), *self._load_items()]
                    writer.write(http.reply(503, items))
                return not job.is_gone
        else:
            self.running.append(job)
        try:
            return await self._stream(job, items, writer)
        finally:
            self.running.remove(job)
            if self.queue and self._order is None:
                following = self.queue.pop(0)
                self.running.append(following)
                following.begun.set_result(True)

    async def _stream(self, job, items, writer):
        version = self.held[job.model]
        await asyncio.sleep(job.prompt / READ_PER_S)
        step_s = STEP_S + PER_SEQ_S * len(self.running)
        await asyncio.sleep(step_s)
        self.runs.append((self.site.now(), job.id, version, job.tenant))
        self.site.note(f'{self.name} begins {job.id} on version {version}')
        items += [
            ('Server-Stamp', f'{self.name}.{job.id}'),
            ('Weight-Versions', str(version)),
            ('Content-Type', 'text/event-stream'),
            *self._load_items(),
        ]
        if self.is_framed:
            items.append(('Transfer-Encoding', 'chunked'))
        else:
            items.append(('Connection', 'close'))
        lines = ['HTTP/1.1 200 OK', *(f'{n}: {v}' for n, v in items)]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        count = max(1, job.answer // EVENT_TOKENS)
        for number in range(job.first, count + 1):
            if self.preempts is not None and number == self.preempts[0]:
                self.site.note(f'{self.name} preempts {job.id}')
                await asyncio.sleep(self.preempts[1])
                self.site.note(f'{self.name} goes on with {job.id}')
            if job.is_gone and self.drops:
                return False
            at = number * self.id_step
            data = f'id: {at}\ndata: {job.id} {number} of {count}\n\n'
            if self.is_framed:
                data = f'{len(data):x}\r\n{data}\r\n'
            if not job.is_gone:
                writer.write(data.encode())
                await writer.drain()
            await asyncio.sleep(EVENT_TOKENS * step_s)
        if self.is_framed and not job.is_gone:
            writer.write(b'0\r\n\r\n')
        return self.is_framed and not job.is_gone


class Origin:
    """The origin of weights.

    Attributes:
        is_cut: whether it cuts its answers off.
    """

    def __init__(self):
        self.is_cut = False
        self.version = 1

    async def handle(self, message, reader, writer):
        """Answer one request."""
        version = int(query_of(message).get('version', self.version))
        path = message.target.partition('?')[0]
        model = path.rpartition('/')[2]
        if path.startswith('/-/manifest/'):
            digests = [
                hashlib.sha256(data).hexdigest()
                for data in _chunks(model, version).values()
            ]
            document = {
                'model': model,
                'version': version,
                'chunk_bytes': CHUNK_BYTES,
                'digests': digests,
            }
            data = http.reply_json(200, document)
        else:
            number = int(query_of(message)['number'])
            data = http.reply(200, body=chunk(model, version, number))
        if self.is_cut:
            writer.write(data[: len(data) // 2])
            return False
        writer.write(data)
        return True
