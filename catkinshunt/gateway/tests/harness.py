"""Gateway between clients and fake upstreams, in one event loop."""

import asyncio
import contextlib
import random
import socket

import attrs

from catkinshunt import availability
from catkinshunt import catalog as catalogs
from catkinshunt import dispatch
from catkinshunt import gateway
from catkinshunt.gateway.tests import dialect
from catkinshunt import http1
from catkinshunt import permits
from catkinshunt import rate_limits
from catkinshunt import rules

HOST = 'shop.example'
MODEL = 'drafts'
LAST_CHUNK = http1.LAST_CHUNK


class FakeUpstream:
    """Answers requests with a given function, and records their heads.

    Args:
        name: its id.
        answer: coroutine function of (head, writer, upstream); it returns
            'close' to close the connection.
        service: name of its service.
        versions: served version by model, or None.
        host: IP address that it listens on.
    """

    def __init__(
        self, name, answer, service='plain', versions=None, host='127.0.0.1'
    ):
        self.name = name
        self.answer = answer
        self.service = service
        self.versions = versions
        self.host = host
        self.heads = []
        self.closed = asyncio.Event()
        self.was_reset = False
        self.port = None
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        self._server.close()

    def listed(self, **changes):
        """Return it as a `catalog.Upstream`."""
        fields = {
            'id': self.name,
            'service': self.service,
            'address': (self.host, self.port),
            'data_centre': 'larisa-a',
            'versions': self.versions,
            'slots': 4,
        }
        return catalogs.Upstream(**{**fields, **changes})

    async def _serve(self, reader, writer):
        # An open writer that outlives its event loop raises in its finalizer.
        # The traceback of that is formatted at any later moment, also while
        # the interpreter parses, and breaks the parser.
        with (
            contextlib.closing(writer),
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
        ):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                length = header(head, 'Content-Length')
                if length:
                    await reader.readexactly(int(length))
                self.heads.append(head)
                work = asyncio.ensure_future(self.answer(head, writer, self))
                gone = asyncio.ensure_future(reader.read(1))
                # Retrieves the exception, which would be logged otherwise.
                gone.add_done_callback(
                    lambda f: f.cancelled() or f.exception()
                )
                await asyncio.wait(
                    (work, gone), return_when=asyncio.FIRST_COMPLETED
                )
                if gone.done():
                    work.cancel()
                    self.was_reset = gone.exception() is not None
                    self.closed.set()
                    return
                gone.cancel()
                await asyncio.wait((gone,))
                if await work == 'close':
                    return


def header(head, name):
    """Return the value of a header in `head`, or ''."""
    for line in head.split('\r\n'):
        key, _, value = line.partition(':')
        if key.lower() == name.lower():
            return value.strip()
    return ''


def reply(head, status=200, body=b'done', items=()):
    """Return the bytes of an upstream's own reply."""
    items = [
        ('Request-Id', header(head, 'Request-Id')),
        ('Stamp', 'stamp'),
        *items,
    ]
    return http1.dump_reply(status, items, body)


def replying(status=200, body=b'done', items=()):
    """Return an answer function that replies at once."""

    async def answer(head, writer, upstream):
        writer.write(reply(head, status, body, items))

    return answer


def rejecting():
    """Return an answer function that rejects with `Not-Run`."""
    return replying(503, b'', [('Not-Run', '1')])


def event(number):
    return f'id: {number}\ndata: part {number}\n\n'.encode()


def chunk_of(number):
    """Return an event as a chunk of the body of a stream."""
    return http1.dump_chunk(event(number))


def stream_head(head, upstream):
    """Return the head of a stream that answers the request `head`."""
    return http1.dump_head(
        http1.status_line(200),
        [
            ('Request-Id', header(head, 'Request-Id')),
            ('Stamp', upstream.name),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ],
    )


def streaming(last, breaks_after=None, hangs=False):
    """Return an answer function that sends events up to `last`.

    Args:
        last: number of the last event.
        breaks_after: event after which the connection is closed, or None.
        hangs: whether the stream stalls there instead.
    """

    async def answer(head, writer, upstream):
        first = int(header(head, 'Last-Event-Id') or 0) + 1
        writer.write(stream_head(head, upstream))
        for number in range(first, last + 1):
            writer.write(chunk_of(number))
            await writer.drain()
            if number == breaks_after:
                # The client must not get this incomplete event.
                writer.write(http1.dump_chunk(event(number + 1)[:9]))
                await writer.drain()
                if hangs:
                    await asyncio.sleep(60)
                return 'close'
        writer.write(LAST_CHUNK)

    return answer


def make_rules(**changes):
    """Return rules for idempotent, booking, public and streaming paths."""
    plain = {'shares': [catalogs.Share('plain', 1)], 'timeout_s': 2.0}
    model = {'shares': [catalogs.Share('model', 1)], 'timeout_s': 6.0}
    kinds = {
        '/read/': {**plain, 'idempotent': True, 'max_tries': 2},
        '/book/': plain,
        '/open/': {**plain, 'public': True},
        '/chat/': {
            **model,
            'streaming': True,
            'resumable': True,
            'max_tries': 2,
        },
        '/once/': {**model, 'streaming': True},
    }
    return [
        rules.Rule(
            path,
            rules.When(
                'request',
                [
                    rules.Clause('host', rules.Equal(HOST)),
                    rules.Clause('path', rules.Prefix(path)),
                ],
            ),
            catalogs.Serve(**{**fields, **changes}),
        )
        for path, fields in kinds.items()
    ]


def make_declaration(**changes):
    """Return a declaration with an account and two services."""
    fields = {
        'revision': 1,
        'rule_set': rules.RuleSet(make_rules()),
        'services': {
            'plain': catalogs.Service('plain'),
            'model': catalogs.Service(
                'model',
                engine=catalogs.EngineProfile(slots=4, models=[MODEL]),
            ),
        },
        'accounts': {'k1': 'workshop'},
    }
    return catalogs.Declaration(**{**fields, **changes})


@contextlib.asynccontextmanager
async def running_gateway(*upstreams, retry_burst=10.0, guard=None, **changes):
    """Start a gateway for `upstreams`; yield a `GatewayHarness`."""
    loop = asyncio.get_running_loop()
    catalog = catalogs.Catalog(key_trust_s=3.0)
    live_entries = catalogs.LiveEntries()
    live_entries.replace(['entry-1'])
    context = gateway.Context(
        catalog=catalog,
        dialect=dialect.PlainDialect(),
        chooser=dispatch.Chooser('larisa-a', {}),
        clock=loop.time,
        boot_clock=loop.time,
        retry_ratio=0.1,
        retry_burst=retry_burst,
        random=random.Random(3),
        metrics=gateway.GatewayMetrics(),
        permit_client=permits.PermitClient(0, loop.time, random.Random(3)),
        rate_limiter=rate_limits.RateLimiter(
            'entry-1', live_entries, catalog, random.Random(3)
        ),
        availability=availability.AvailabilityTable('entry-1'),
        guard=guard,
    )
    context.catalog.declare(make_declaration(**changes))
    context.catalog.confirm(loop.time())
    for upstream in upstreams:
        await upstream.start()
        context.catalog.put_upstream(upstream.listed())
    server = await gateway.Gateway(context).start('127.0.0.1', 0)
    running = GatewayHarness(context, server)
    try:
        yield running
    finally:
        running.close_clients()
        for upstream in upstreams:
            upstream.stop()


class GatewayHarness:
    """A running gateway."""

    def __init__(self, context, server):
        self.context = context
        self.server = server
        self._writers = []

    def close_clients(self):
        """Close the connections of all clients."""
        for writer in self._writers:
            writer.close()

    def declare(self, **changes):
        """Put the next revision of the declaration in force."""
        catalog = self.context.catalog
        current = catalog.declaration
        revision = current.revision + 1
        catalog.declare(attrs.evolve(current, revision=revision, **changes))

    def pause(self, upstream, seconds):
        """Let requests go to other upstreams first, for some seconds."""
        state = self.context.tracker.state(upstream.listed())
        state.pause(self.context.clock(), seconds)

    def connections(self):
        """Return the open `http1.ServerConnection` objects."""
        return list(self.server._listener.tasks.values())

    async def connect(self):
        """Return (reader, writer) of a new connection."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.server.port
        )
        self._writers.append(writer)
        return reader, writer

    async def request(self, path, method='GET', body=b'', **headers):
        """Send one request; return (status, head, bytes of the body).

        The body is None if the reply was cut off.
        """
        reader, writer = await self.connect()
        await send_request(writer, path, method, body, **headers)
        found = await read_reply(reader)
        writer.close()
        return found


def connect_with_small_buffer(port):
    """Return a connected socket that takes a few kilobytes unread."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(('127.0.0.1', port))
    sock.setblocking(False)
    return sock


def limit_send_buffer(transport):
    """Let the kernel take a few kilobytes unacknowledged, as a slow link."""
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)


async def send_request(writer, path, method='GET', body=b'', **headers):
    """Send one request."""
    fields = {
        'Host': HOST,
        'Request-Id': 'a1',
        'Api-Key': 'k1',
        'Left-Ms': '5000',
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }
    items = [(name, text) for name, text in fields.items() if text]
    items.append(('Content-Length', str(len(body))))
    writer.write(http1.dump_head(f'{method} {path} HTTP/1.1', items) + body)
    await writer.drain()


async def read_reply(reader):
    """Return (status, head, body); the body is None if cut off."""
    async with asyncio.timeout(10):
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            return None, '', None
        status = int(head.split()[1])
        try:
            return status, head, await _read_body(reader, head)
        except (asyncio.IncompleteReadError, ConnectionError):
            return status, head, None


async def _read_body(reader, head):
    if header(head, 'Transfer-Encoding') != 'chunked':
        return await reader.readexactly(int(header(head, 'Content-Length')))
    body = b''
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body
