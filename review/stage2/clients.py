"""Clients, as PROTOCOL.md tells them."""

import asyncio
import itertools

from review.stage2 import http
from review.stage2 import site

HOST = 'jepu9.example'
KEY = 'jnbanfqasnmgkcuyj8pj'
CHAT, ORDER = '/lepu270/2f', '/filo73/de11/2f'
_NUMBERS = itertools.count(1)


class Answer:
    """What a client got for one attempt.

    Attributes:
        status: None if the connection ended before a head.
        events: ids of the events of a stream.
        is_whole: whether the answer ended as complete.
    """

    def __init__(self, attempt, sent_at):
        self.id = attempt
        self.sent_at = sent_at
        self.status = None
        self.headers = {}
        self.events = []
        self.body = b''
        self.is_whole = False


class Client:
    """A client that keeps its connection to one entry."""

    def __init__(self, place, host):
        self.place = place
        self.host = host
        self._streams = None

    async def chat(
        self, prompt=1290, answer=100, deadline_ms=6000, path=CHAT,
        model='daka510000',
    ):  # fmt: skip
        """Send a streaming request; return the `Answer`."""
        items = [
            ('Model', model),
            ('Token-Counts', f'{prompt},{answer}'),
            ('Prompt-Prefix', f'5c1e07a2:40,{next(_NUMBERS):x}:{prompt}'),
        ]
        # No two requests are about the same.
        body = f'{{"subject": {next(_NUMBERS)}}}'.encode()
        return await self.send(path, items, deadline_ms, body)

    async def send(
        self, path, items=(), deadline_ms=1500, body=b'', method='POST'
    ):
        """Send a request; return the `Answer`."""
        attempt = f'{next(_NUMBERS):016x}'
        items = [
            ('Host', HOST),
            ('Attempt-Id', attempt),
            ('Deadline-Ms', str(deadline_ms)),
            ('Key', KEY),
            *items,
        ]
        answer = Answer(attempt, self.place.now())
        data = http.dump(f'{method} {path} HTTP/1.1', items, body)
        self.place.note(f'client sends {attempt} {path} {dict(items)}')
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                await self._exchange(data, answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        self.place.note(
            f'client got for {attempt}: {answer.status}, whole'
            f' {answer.is_whole}, events {answer.events},'
            f' retry after {answer.headers.get("retry-after")}'
            f' {answer.body[:160]!r}'
        )
        return answer

    async def _exchange(self, data, answer):
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                self.host, site.FRONT
            )
        reader, writer = self._streams
        writer.write(data)
        head = await http.read_head(reader)
        if head is None:
            self.close()
            return
        answer.status, answer.headers = head.status, head.headers
        if 'chunked' in head.headers.get('transfer-encoding', ''):
            async for data in http.read_chunks(reader):
                for line in data.decode().split('\n'):
                    if line.startswith('id: '):
                        answer.events.append(int(line[4:]))
        else:
            await http.read_body(reader, head)
            answer.body = head.body
        answer.is_whole = True
        if head.headers.get('connection') == 'close':
            self.close()

    def close(self):
        """Close the connection; the next request opens another."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def configuration(version, engine, origin):
    """Return a configuration with one streaming route."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-js2eek2',
                'host': HOST,
                'path_prefix': '/lepu270/',
                'route_kind': 'streaming',
                'timeout_ms': 6000,
                'goal_ms': 506,
                'priority': 1,
                'service': 'huvo11a',
                'max_attempts': 2,
                'public': False,
                'sticky': True,
                'resumable': True,
                'gap_target_ms': 400,
            }
        ],
        'services': [
            {
                'name': 'huvo11a',
                'health_path': '/healthz',
                'max_conns': 264,
                'protocol': 'h1',
                'tls': False,
                'engine': engine,
            },
            {
                'name': 'kafi81c',
                'origin': origin,
                'zone': 'piraeus-a',
                'link_mbps': 7.3,
                'max_conns': 48,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'bozi300', 'api_keys': [KEY], 'priority': 1}],
    }
