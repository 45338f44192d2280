"""Callers that ask, book, and keep their connections open."""

import asyncio

from catkinshunt import http1
from standins.soak import _platform
from standins.soak import _records

HOST = 'shop.example'
#: Seconds that a caller waits.
DEADLINE_S = 6.0
#: Share of the requests after which a caller leaves before the answer.
LEAVE_SHARE = 0.05
MOST_TRIES = 2


class Caller:
    """Sends requests one after the other through the entries.

    Args:
        name: part of its requests' ids.
        pools: `http1.Pool` of each entry.
        records: `Records`.
        keys: function that returns the key to use.
        random: source of random numbers.
        clock: gives seconds on the steady clock.
    """

    def __init__(self, name, pools, records, keys, random, clock):
        self.name = name
        self.pools = pools
        self.records = records
        self.keys = keys
        self.random = random
        self.clock = clock
        self._count = 0

    async def run(self, until):
        """Send requests until a time on the clock."""
        while self.clock() < until:
            kind = self.random.choice(('chat', 'chat', 'book'))
            for _ in range(MOST_TRIES):
                again_s = await self._ask(kind)
                if again_s is None:
                    break
                await asyncio.sleep(min(again_s, 2.0))
            await asyncio.sleep(self.random.uniform(0.0, 0.1))

    async def _ask(self, kind):
        """Make one try; return when to come back, or None."""
        self._count += 1
        answer = _records.Answer(
            f'{self.name}-{self._count}', kind, self.keys(), self.clock()
        )
        self.records.answers.append(answer)
        leaves = self.random.random() < LEAVE_SHARE
        limit_s = 0.1 if leaves else DEADLINE_S + 1.0
        try:
            async with asyncio.timeout(limit_s):
                return await self._exchange(answer)
        except (TimeoutError, OSError):
            return None
        finally:
            answer.ended_at = self.clock()

    async def _exchange(self, answer):
        pool = self.random.choice(self.pools)
        try:
            conn = await pool.take()
        except Exception:
            return 0.2
        whole = False
        try:
            conn.send(*self._request(answer))
            whole, again_s = await _read(conn, answer)
        finally:
            if whole:
                pool.give_back(conn)
            else:
                conn.close()
        return again_s

    def _request(self, answer):
        items = [
            ('Host', HOST),
            ('Attempt-Id', answer.request),
            ('Key', answer.key),
            ('Deadline-Ms', str(int(DEADLINE_S * 1000))),
            ('Content-Length', '2'),
        ]
        if answer.kind == 'chat':
            items.append(('Model', _platform.MODEL))
            items.append(('Token-Counts', '100,30'))
        first = f'POST /{answer.kind}/1 HTTP/1.1'
        return http1.dump_head(first, items), b'hi'


async def _read(conn, answer):
    """Read a reply into `answer`; return (whether whole, when to return)."""
    body = b''
    head = None
    while True:
        part = await conn.read_part()
        if isinstance(part, http1.Broken):
            return False, None
        if isinstance(part, http1.End):
            answer.body = body
            again = head.headers.get('Retry-After')
            return True, float(again) if again else None
        if isinstance(part, http1.Body):
            body += part.data
        else:
            head = part
            answer.status = part.status
