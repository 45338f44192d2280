"""A runner of a plain service, as PROTOCOL.md tells it."""

import asyncio

from review.stage2 import http

SERVICE, PATH = 'wuno96b', '/boye614/bo77/2f'
#: Figures of the order desk of the site kampsi-fleet.
SLOTS, WORK_S, MOST_QUEUED, BODY_BYTES = 6, 0.045, 4, 800


class Desk:
    """A runner that answers after a time, and may crash."""

    def __init__(self, site, name, host):
        self.site = site
        self.name = name
        self.host = host
        self._count = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server = None

    async def start(self):
        """Serve, and write to the store."""
        self._count = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server = await self.site.serve(self.handle, self.host, 8001)
        self.site.store.put(
            f'servers/{self.name}',
            {
                'service': SERVICE,
                'address': f'{self.host}:8001',
                'zone': 'larisa-a',
                'version': 'v1',
                'slots': SLOTS,
                'state': 'ready',
                'cold_left_ms': 0,
                'seq': 0,
            },
        )

    async def crash(self, down_s, name, lapse_s):
        """End with all connections; return under another id."""
        self.site.note(f'{self.name} crashes with {self._count} requests')
        self._server.crash()
        old, self.name = self.name, name
        await asyncio.sleep(down_s)
        await self.start()
        await asyncio.sleep(lapse_s)
        self.site.store.put(f'servers/{old}', None)

    async def handle(self, message, reader, writer):
        """Answer one request."""
        attempt = message.headers.get('attempt-id', '')
        items = [('Attempt-Id', attempt)]
        if message.headers.get('expect-instance', self.name) != self.name:
            items += [('Instance-Id', self.name), ('Not-Executed', '1')]
            writer.write(http.reply(421, items))
            return True
        if self._count >= SLOTS + MOST_QUEUED:
            writer.write(http.reply(503, [*items, ('Not-Executed', '1')]))
            return True
        self._count += 1
        try:
            async with self._slots:
                await asyncio.sleep(WORK_S)
        finally:
            self._count -= 1
        items.append(('Server-Stamp', f'{self.name}.{attempt}'))
        writer.write(http.reply(200, items, b'x' * BODY_BYTES))
        return True
