"""A small deployment: a store, a plain upstream, and the real programs."""

import asyncio
import itertools
import os
import pathlib
import resource
import signal

from catkinshunt import http1
from standins.crowds import _clients
from standins.soak import _platform
from standins.soak import _processes

#: Limits of the machine in the settings of each process.
MEMORY_MB = 100
MAX_FDS = 500
#: Descriptors of `MAX_FDS` that are not for sockets.
FILE_FDS = 200
#: Limits on one request in the configuration.
HEADER_BYTES = 16384
BODY_BYTES = 4 * 1024 * 1024
HEADER_TIMEOUT_MS = 10_000
IDLE_TIMEOUT_MS = 20_000

HOST, KEY = 'shop.example', 'k0'
FRONT_PORT, READY_PORT, UPSTREAM_PORT = 8005, 8002, 8708
STORE_PORT, INNER_PORT, ENGINE_PORT = 8007, 7700, 8704
#: Ports of listeners for other processes, after `INNER_PORT`.
CHUNK_PORT, RELAY_PORT = INNER_PORT + 1, INNER_PORT + 3
#: Reply to `/big/`, and events of `/chat/`.
BIG_BYTES = 1_000_000
EVENT_BYTES = 60_000
#: Longest time until the programs are ready, in seconds.
READY_S = 30.0
#: Longest time that a caller waits for one reply, in seconds.
CALLER_S = 10.0

_RUNS = itertools.count(1)


class Deployment:
    """Programs on loopback addresses, and what they need of the platform.

    Args:
        folder: for settings and logs.
        role: ``'entry'`` or ``'sidecar'``.
    """

    def __init__(self, folder, role='entry'):
        self.folder = pathlib.Path(folder)
        self.role = role
        self.clock = asyncio.get_running_loop().time
        network = f'127.{os.getpid() % 200 + 16}.{next(_RUNS) % 250}'
        self.base, self.host = f'{network}.1', f'{network}.2'
        self.process = None
        self._ids = itertools.count(1)
        self._listeners = []

    async def __aenter__(self):
        """Start all, and wait until the process is ready."""
        store = _platform.Store()
        for session, port in (
            (http1.make_session(store.answer), STORE_PORT),
            (_serve_upstream, UPSTREAM_PORT),
        ):
            listener = http1.Listener(session, self.clock)
            self._listeners.append(await listener.start(self.base, port))
        store.put('op/config', self._configuration())
        store.put('servers/u1', self._upstream_entry())
        path = self.folder / f'{self.role}.toml'
        path.write_text(self._settings(), encoding='utf-8')
        log = self.folder / f'{self.role}.log'
        self.process = _processes.Process(
            'node-1', self.role, str(path), str(log)
        )
        self.process.start()
        # What the platform enforces.
        resource.prlimit(
            self.process.popen.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)
        )
        try:
            await self._wait_until_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info):
        """End the process and free the addresses."""
        self.process.send(signal.SIGKILL)
        await asyncio.to_thread(self.process.popen.wait)
        for listener in self._listeners:
            listener.close()
            for conn in list(listener.tasks.values()):
                conn.abort()

    def _configuration(self):
        return {
            'version': 1,
            'routes': [
                _route('book', 'non_idempotent'),
                _route('big', 'idempotent'),
                _route('chat', 'streaming'),
            ],
            'services': [{'name': 'desk'}],
            'tenants': [{'name': 't', 'api_keys': [KEY]}],
            'limits': {
                'max_header_bytes': HEADER_BYTES,
                'max_body_bytes': BODY_BYTES,
                'header_timeout_ms': HEADER_TIMEOUT_MS,
                'idle_timeout_ms': IDLE_TIMEOUT_MS,
            },
        }

    def _upstream_entry(self):
        return {
            'service': 'desk',
            'address': f'{self.base}:{UPSTREAM_PORT}',
            'zone': 'larisa-a',
            'slots': 1000,
            'state': 'ready',
            'born': 1,
        }

    def _settings(self):
        lines = [
            'node_name = "node-1"',
            f'ip = "{self.host}"',
            'zone = "larisa-a"',
            f'port_range = [{INNER_PORT}, {INNER_PORT + 15}]',
        ]
        if self.role == 'sidecar':
            lines += [
                f'app = "{self.host}:{ENGINE_PORT}"',
                'service = "engines"',
            ]
        lines += ['[zones]', 'larisa-a = "thessalia"', '[listen]']
        if self.role == 'entry':
            lines += [
                f'frontend = "{self.host}:{FRONT_PORT}"',
                f'ready = "{self.host}:{READY_PORT}"',
            ]
        lines += [
            '[limits]',
            f'memory_mb = {MEMORY_MB}',
            f'max_fds = {MAX_FDS}',
            'link_mbps = 1000.0',
            '[platform]',
            f'address = "{self.base}:{STORE_PORT}"',
        ]
        return '\n'.join(lines) + '\n'

    async def _wait_until_ready(self):
        port, path = READY_PORT, '/-/readyz'
        if self.role == 'sidecar':
            port, path = INNER_PORT, '/metrics'
        async with asyncio.timeout(READY_S):
            while await self.get(port, path) != 200:
                await asyncio.sleep(0.1)

    async def get(self, port, path):
        """Return the status of a reply of a listener, or None."""
        data = http1.dump_head(f'GET {path} HTTP/1.1', [('Host', 'node')])
        return await self._exchange(port, data)

    async def ask(self, path='/book/1', body=b'hi', items=()):
        """Send one ordinary request; return its status, or None."""
        data = self.dump_request(path, body, items)
        return await self._exchange(FRONT_PORT, data)

    async def _exchange(self, port, data):
        return await _clients.exchange(self.host, port, data, CALLER_S)

    def dump_request(self, path='/book/1', body=b'hi', items=()):
        """Return an ordinary request, as its client sends it."""
        items = [*self.request_items(), *items]
        items.append(('Content-Length', str(len(body))))
        return http1.dump_head(f'POST {path} HTTP/1.1', items) + body

    def request_items(self):
        """Return the header fields of an ordinary request."""
        return [
            ('Host', HOST),
            ('Attempt-Id', f'a{next(self._ids):08x}'),
            ('Deadline-Ms', '6000'),
            ('Key', KEY),
        ]

    # What the process holds.

    def peak_bytes(self):
        """Return the largest resident memory of the process so far."""
        return read_status_bytes(self.process.popen.pid, 'VmHWM')

    def held_bytes(self):
        """Return the resident memory, and bytes that it did not read yet."""
        resident = read_status_bytes(self.process.popen.pid, 'VmRSS')
        return resident + _unread_bytes(self.host)

    def count_sockets(self):
        """Return the number of open sockets of the process."""
        return count_sockets(self.process.popen.pid)

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process.popen.poll() is None


def _route(name, kind):
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'route_kind': kind,
        'timeout_ms': 6000,
        'goal_ms': 500,
        'service': 'desk',
        'max_attempts': 1,
        'resumable': False,
    }


def read_status_bytes(pid, field):
    """Return a field of the status of a process that is stated in kB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    line = next(x for x in text.splitlines() if x.startswith(f'{field}:'))
    return int(line.split()[1]) * 1024


def count_sockets(pid):
    """Return the number of open sockets of a process."""
    return sum(map(_is_socket, pathlib.Path(f'/proc/{pid}/fd').iterdir()))


def _unread_bytes(host):
    """Return the bytes in the receive queues of an address."""
    octets = reversed([int(part) for part in host.split('.')])
    local = ''.join(f'{octet:02X}' for octet in octets)
    total = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        words = line.split()
        # The queue of a listening socket counts connections.
        if words[1].startswith(f'{local}:') and words[3] != '0A':
            total += int(words[4].partition(':')[2], 16)
    return total


def _is_socket(path):
    try:
        return os.readlink(path).startswith('socket:')
    except OSError:
        # It was closed meanwhile.
        return False


async def _serve_upstream(conn):
    while True:
        req = await conn.read_request()
        if req is None or isinstance(req, http1.BadRequestError):
            return
        items = [
            ('Attempt-Id', req.headers.get('Attempt-Id', '')),
            ('Server-Stamp', 'stamp'),
        ]
        if req.path.startswith('/chat/'):
            await _write_stream(conn, items)
            return
        is_big = req.path.startswith('/big/')
        body = b'x' * BIG_BYTES if is_big else b'done'
        conn.write(http1.dump_reply(200, items, body))
        await conn.drain()
        conn.begin_idle()


async def _write_stream(conn, items):
    """Write events until the connection is closed."""
    items = [
        *items,
        ('Content-Type', 'text/event-stream'),
        ('Transfer-Encoding', 'chunked'),
    ]
    conn.write(http1.dump_head(http1.status_line(200), items))
    for number in itertools.count(1):
        data = f'id: {number}\ndata: '.encode() + b'x' * EVENT_BYTES + b'\n\n'
        conn.write(http1.dump_chunk(data))
        await conn.drain()
        await asyncio.sleep(0)
