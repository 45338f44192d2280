"""Processor time of a gateway for a relayed reply, and for a relayed event.

The gateway is a process of its own; upstream and client are in this one. With
``--base=TREE`` a second gateway runs from another source tree, both get the
same requests in turn, and the figures of this tree have a bound against it.
"""

import argparse
import asyncio
import contextlib
import os
import pathlib
import statistics
import sys

import attrs

from benchmarks import report
from catkinshunt.gateway.tests import harness
from catkinshunt import http1
from catkinshunt.platform import _dialect
from catkinshunt.platform import _reply_headers

ROUNDS = 15
REPLIES = 600
EVENTS = 1200
BODY = b'x' * 300
#: Most processor time of this tree over that of the other one.
MAX_RATIO = 1.02
TREE = pathlib.Path(__file__).parent.parent
_SCRIPT = pathlib.Path(__file__).parent / 'relay_gateway.py'


class Upstream:
    """Answers at once; sends the next event of a stream when told to."""

    def __init__(self):
        self.writer = None
        self.port = None

    async def start(self):
        """Listen; returns self."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, OSError),
        ):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                length = harness.header(head, 'Content-Length')
                await reader.readexactly(int(length or 0))
                is_stream = '/chat/' in head.partition('\r\n')[0]
                kind = 'event-stream' if is_stream else 'plain'
                name = _reply_headers.REQUEST_ID
                items = [
                    (name, harness.header(head, name)),
                    (_reply_headers.SIGNATURE, '3e1b.07.5a2.600.0.c9f2a4d1'),
                    ('Content-Type', f'text/{kind}'),
                    (_reply_headers.LOAD, '1,0,4'),
                    ('Keep-Alive', 'timeout=60'),
                ]
                if not is_stream:
                    writer.write(http1.dump_reply(200, items, BODY))
                    continue
                self.writer = writer
                items.append(('Transfer-Encoding', 'chunked'))
                writer.write(http1.dump_head('HTTP/1.1 200 OK', items))
                self.send_event(1)

    def send_event(self, number):
        """Send one event, or the end after the last one."""
        if number > EVENTS:
            self.writer.write(http1.LAST_CHUNK)
            return
        data = b'id: %d\ndata: {"token": "word", "n": 1}\n\n' % number
        self.writer.write(http1.dump_chunk(data))


@attrs.define
class Gateway:
    """A gateway process, and a client of it on one connection."""

    process: asyncio.subprocess.Process
    port: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sent: int = 0

    @classmethod
    async def start(cls, tree, upstream):
        """Start a gateway from a source tree."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(_SCRIPT),
            str(upstream.port),
            env={**os.environ, 'PYTHONPATH': str(tree)},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        port = int(await process.stdout.readline())
        streams = await asyncio.open_connection('127.0.0.1', port)
        return cls(process, port, *streams)

    async def usage(self):
        """Return processor seconds and connections opened so far."""
        self.process.stdin.write(b'\n')
        line = await self.process.stdout.readline()
        cpu_s, opened = line.split()
        return float(cpu_s), int(opened)

    async def ask(self, method, path, upstream):
        """Send one request and read its reply."""
        self.sent += 1
        items = [
            ('Host', harness.HOST),
            (_dialect.REQUEST_ID, f'{self.sent:016x}'),
            (_dialect.API_KEY, 'k1'),
            (_dialect.DEADLINE, '5000'),
        ]
        if method == 'POST':
            items.append(('Content-Length', '0'))
        self.writer.write(http1.dump_head(f'{method} {path} HTTP/1.1', items))
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
        assert head.startswith('HTTP/1.1 200 '), head
        length = harness.header(head, 'Content-Length')
        if length:
            await self.reader.readexactly(int(length))
            return
        number = 1
        while size := int(await self.reader.readuntil(b'\r\n'), 16):
            await self.reader.readexactly(size + 2)
            number += 1
            upstream.send_event(number)
        await self.reader.readexactly(2)
        assert number == EVENTS + 1

    async def stop(self):
        """End the process."""
        self.writer.close()
        self.process.stdin.close()
        await self.process.wait()


async def measure(gateway, upstream, method, path, requests, pieces):
    """Return microseconds of processor time a piece, and new connections."""
    cpu_s, opened = await gateway.usage()
    for _ in range(requests):
        await gateway.ask(method, path, upstream)
    now_s, now_opened = await gateway.usage()
    return (now_s - cpu_s) * 1e6 / pieces, now_opened - opened


CASES = {
    'reply': ('GET', '/read/1', REPLIES, REPLIES),
    'reply of a new connection': ('POST', '/book/1', REPLIES, REPLIES),
    'event': ('GET', '/chat/1', 1, EVENTS),
}


async def run(trees):
    """Return the figures of each case and tree, one for each round."""
    upstream = await Upstream().start()
    gateways = [await Gateway.start(tree, upstream) for tree in trees]
    found = {case: [[] for _ in trees] for case in CASES}
    opened = {case: [0 for _ in trees] for case in CASES}
    for number in range(-1, ROUNDS):
        for case, params in CASES.items():
            order = list(enumerate(gateways))
            for index, gateway in order[:: 1 if number % 2 else -1]:
                cost_us, new = await measure(gateway, upstream, *params)
                # The first round warms up.
                if number >= 0:
                    found[case][index].append(cost_us)
                    opened[case][index] += new
    for gateway in gateways:
        await gateway.stop()
    return found, opened


def main():
    """Print the table; check the bounds if there is another tree."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--base', help='source tree to compare with')
    base = parser.parse_args().base
    trees = [base, TREE] if base else [TREE]
    found, opened = asyncio.run(run(trees))
    rows, bounds = [], []
    for case, figures in found.items():
        medians = [statistics.median(each) for each in figures]
        requests = ROUNDS * CASES[case][2]
        rows.append(
            (
                case,
                *(round(median, 2) for median in medians),
                *(new / requests for new in opened[case]),
            )
        )
        if base:
            ratio = statistics.median(
                new / old for old, new in zip(*figures, strict=True)
            )
            bounds.append(report.Bound(f'{case}: ratio', ratio, MAX_RATIO))
    names = ['base', 'this'] if base else ['this']
    columns = [f'{name}_us' for name in names]
    columns += [f'{name}_opened' for name in names]
    report.print_table('processor time', ['case', *columns], rows)
    report.check_bounds(*bounds)


if __name__ == '__main__':
    main()
