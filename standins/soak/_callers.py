"""Callers that ask, book, and keep their connections open."""

import asyncio
import itertools

from catkinshunt import http1
from standins.soak import _given
from standins.soak import _parts
from standins.soak import _platform
from standins.soak import _records

HOST = 'shop.example'
#: Seconds that a caller waits.
DEADLINE_S = 6.0
#: Share of the requests after which a caller leaves before the answer.
LEAVE_SHARE = 0.05
MOST_TRIES = 2
#: Kinds of requests to upstreams that stutter. Plain requests that may run
#: twice use connections that carried others.
STUTTER_KINDS = ('chat', 'chat', 'look', 'look', 'book')
#: Shortest and longest pause of a caller that asks the same again, seconds.
AGAIN_S = (0.1, 0.5)


class Caller:
    """Sends requests one after the other through the entries.

    Args:
        name: part of its requests' ids.
        pools: `http1.Pool` of each entry.
        records: `Records`.
        keys: function that returns the key to use.
        random: source of random numbers.
        clock: gives seconds on the steady clock.

    Attributes:
        kinds: kinds of its requests.
    """

    kinds = ('chat', 'chat', 'book')

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
            kind = self.random.choice(self.kinds)
            await self._ask_twice(kind)
            await asyncio.sleep(self.random.uniform(0.0, 0.1))

    async def _ask_twice(self, kind, **request):
        """Make a request, and once more if the answer says when."""
        for number in range(MOST_TRIES):
            answer = await self.ask(kind, leaves=self._leaves(), **request)
            answer.is_first = number == 0
            if answer.again_s is None:
                break
            await asyncio.sleep(min(answer.again_s, 2.0))

    def _leaves(self):
        return self.random.random() < LEAVE_SHARE

    async def ask(
        self, kind, content=b'hi', key=None, leaves=False, prompt=''
    ):
        """Make one try; return its `Answer`."""
        self._count += 1
        pool = self.random.choice(self.pools)
        answer = _records.Answer(
            f'{self.name}-{self._count}',
            kind,
            key or self.keys(),
            self.clock(),
            content=content,
            entry=pool.host,
            prompt=prompt,
        )
        self.records.add_answer(answer)
        limit_s = 0.1 if leaves else DEADLINE_S + 1.0
        try:
            async with asyncio.timeout(limit_s):
                await self._exchange(pool, answer)
        except (TimeoutError, OSError) as exc:
            answer.again_s = None
            answer.gave_up = isinstance(exc, TimeoutError)
        finally:
            answer.ended_at = self.clock()
        return answer

    async def _exchange(self, pool, answer):
        try:
            conn = await pool.acquire()
        except Exception:
            answer.again_s = 0.2
            return
        whole = False
        try:
            conn.send(*self._request(answer))
            whole = await _read(conn, answer, self.clock)
        finally:
            if whole:
                pool.release(conn)
            else:
                conn.close()

    def _request(self, answer):
        items = [
            ('Host', HOST),
            ('Attempt-Id', answer.request),
            ('Key', answer.key),
            ('Deadline-Ms', str(int(DEADLINE_S * 1000))),
            ('Content-Length', str(len(answer.content))),
        ]
        if answer.kind == 'chat':
            items.append(('Model', _platform.MODEL))
            items.append(('Token-Counts', '100,30'))
        if answer.prompt:
            items.append(('Prompt-Prefix', answer.prompt))
        first = f'POST /{answer.kind}/1 HTTP/1.1'
        return http1.dump_head(first, items), answer.content


class Repeater(Caller):
    """Sends each request again and again until it is answered.

    It comes back sooner than it is told to, and through any entry.

    Attributes:
        contents: iterator of the requests' bodies.
    """

    contents = iter(())

    async def run(self, until):
        """Send requests until a time on the clock."""
        for content in self.contents:
            served = False
            while not served:
                if self.clock() >= until:
                    return
                answer = await self.ask('chat', content, leaves=self._leaves())
                served = answer.whole
                await asyncio.sleep(self.random.uniform(*AGAIN_S))


class DistinctCaller(Caller):
    """Sends requests to engines of which no two are alike."""

    async def run(self, until):
        """Send requests until a time on the clock."""
        for number in itertools.count():
            if self.clock() >= until:
                return
            content = f'{self.name} {number}'.encode()
            await self._ask_twice('chat', content=content)
            await asyncio.sleep(self.random.uniform(0.0, 0.1))


class PromptCaller(Caller):
    """Sends requests of which no two are alike, with shared parts.

    Attributes:
        crashes: whether they have the crashing part.
    """

    crashes = False
    _named = 0

    async def run(self, until):
        """Send requests until a time on the clock."""
        if self.crashes:
            await asyncio.sleep(self.random.uniform(*_parts.BEGIN_S))
        while self.clock() < until:
            self._named += 1
            request = {
                'content': f'{self.name} {self._named}'.encode(),
                'prompt': self._make_prompt(),
            }
            if self.crashes:
                await self.ask('chat', **request)
                await asyncio.sleep(self.random.uniform(*AGAIN_S))
            else:
                await self._ask_twice('chat', key=self.keys(), **request)
                await asyncio.sleep(self.random.uniform(0.0, 0.1))

    def _make_prompt(self):
        second = _parts.CRASHING_PART
        if not self.crashes:
            second = self.random.choice(_parts.SECOND_PARTS)
        last = f'{self.random.getrandbits(32):08x}'
        first = self.random.choice(_parts.FIRST_PARTS)
        return _parts.dump_prompt((first, second, last))


async def _read(conn, answer, clock):
    """Read a reply into `answer`; return whether it is whole."""
    body = b''
    head = None
    while True:
        part = await conn.read_part()
        if isinstance(part, http1.ConnectionLost):
            return False
        if isinstance(part, http1.EndOfReply):
            answer.body = body
            again = head.headers.get('Retry-After')
            answer.again_s = float(again) if again else None
            return True
        if isinstance(part, http1.BodyPart):
            body += part.data
            answer.part = body
        else:
            head = part
            answer.status = part.status
            answer.headed_at = clock()
            answer.stamp = part.headers.get('Server-Stamp', '')
            if part.headers.get('Server-Limit'):
                answer.limited_by = _given.upstream_of(answer.stamp)
            if part.headers.get('Server-Leaving'):
                answer.leaving = _given.upstream_of(answer.stamp)
