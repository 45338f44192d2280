"""Stand-in for the links of instances: delay, rate, and bytes counted.

Each link stands before one instance, as a TCP forwarder. Who calls the
instance calls the link. A link's rate holds for both directions together,
for what passes through it: what an instance receives from another passes
through the other's link and is counted there.
"""

import asyncio
import contextlib
import threading

import attrs

from catkinshunt import httpio
from standins import web

_READ_BYTES = 64 * 1024


@attrs.define
class _Link:
    """One link and what it has carried."""

    name: str
    target: httpio.Address
    delay_s: float
    rate_bytes_per_s: float | None
    port: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    free_at: float = 0.0
    server: asyncio.Server | None = None

    def reserve(self, size, now):
        """Return when the link has carried `size` more bytes."""
        if self.rate_bytes_per_s is None:
            return now
        begin = max(now, self.free_at)
        self.free_at = begin + size / self.rate_bytes_per_s
        return self.free_at


class Links:
    """All links of one deployment, served by one event loop."""

    def __init__(self):
        self._links = {}
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        self.app = web.App(
            ('PUT', '/links/([^/]+)', self._add),
            ('DELETE', '/links/([^/]+)', self._cut),
            ('GET', '/stats', self._stats),
        )

    def _add(self, call):
        value = call.json()
        link = _Link(
            call.path[0],
            httpio.Address.parse(value['target']),
            value['delay_s'],
            value['rate_bytes_per_s'],
        )
        fut = asyncio.run_coroutine_threadsafe(self._open(link), self._loop)
        fut.result(timeout=10.0)
        self._links[link.name] = link
        return httpio.Response.of_json(200, {'port': link.port})

    def _cut(self, call):
        """Refuse new connections, as the host of a dead process does."""
        server = self._links[call.path[0]].server
        self._loop.call_soon_threadsafe(server.close)
        return httpio.Response(200)

    def _stats(self, _call):
        value = {
            link.name: {'in': link.bytes_in, 'out': link.bytes_out}
            for link in list(self._links.values())
        }
        return httpio.Response.of_json(200, value)

    async def _open(self, link):
        async def serve(reader, writer):
            await self._serve(link, reader, writer)

        link.server = await asyncio.start_server(serve, '127.0.0.1', 0)
        link.port = link.server.sockets[0].getsockname()[1]

    async def _serve(self, link, reader, writer):
        """Forward one connection until both sides have ended."""
        try:
            far_reader, far_writer = await asyncio.open_connection(
                link.target.host, link.target.port
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(link, reader, far_writer, inward=True),
            self._pump(link, far_reader, writer, inward=False),
        )

    async def _pump(self, link, reader, writer, inward):
        queue = asyncio.Queue(maxsize=16)
        sender = asyncio.ensure_future(self._send(queue, writer))
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                if inward:
                    link.bytes_in += len(data)
                else:
                    link.bytes_out += len(data)
                at = link.reserve(len(data), self._loop.time())
                await queue.put((at + link.delay_s, data))
        await queue.put((0.0, b''))
        await sender

    async def _send(self, queue, writer):
        """Write what comes through the queue, each piece when it is due."""
        broken = False
        while True:
            due, data = await queue.get()
            if not data:
                break
            wait_s = due - self._loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if broken:
                continue
            try:
                writer.write(data)
                await writer.drain()
            except OSError:
                broken = True
        with contextlib.suppress(OSError):
            writer.close()
