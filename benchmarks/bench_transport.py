"""Bulk and unary calls by grpclib and by waitress with http.client.

Both sides run in one process on one loopback, so that figures compare the
two and say nothing of a network.
"""

import asyncio
import hashlib
import http.client
import time

from grpclib import client
from grpclib import const
from grpclib.encoding import base as encoding
from grpclib import server

from benchmarks import report
from catkinshunt import httpio

BULK = bytes(1 << 20)
SMALL = bytes(100)
N_BULK = 200
N_SMALL = 1000
PATH = '/Trial/Get'


class BytesCodec(encoding.CodecBase):
    """Messages are bytes as they are."""

    __content_subtype__ = 'bytes'

    def encode(self, message, message_type):
        """Return `message`."""
        return message

    def decode(self, data, message_type):
        """Return `data`."""
        return data


class Trial:
    """Answers each call with as many bytes as it asks for."""

    async def get(self, stream):
        """Answer one call."""
        asked = await stream.recv_message()
        await stream.send_message(BULK if asked == b'bulk' else SMALL)

    def __mapping__(self):  # noqa: PLW3201
        unary = const.Cardinality.UNARY_UNARY
        return {PATH: const.Handler(self.get, unary, bytes, bytes)}


async def _time_grpclib():
    codec = BytesCodec()
    serving = server.Server([Trial()], codec=codec)
    await serving.start('127.0.0.1', 0)
    port = serving._server.sockets[0].getsockname()[1]
    channel = client.Channel('127.0.0.1', port, codec=codec)
    method = client.UnaryUnaryMethod(channel, PATH, bytes, bytes)
    await method(b'bulk')
    bulk_s = await _repeat(method, b'bulk', N_BULK)
    small_s = await _repeat(method, b'small', N_SMALL)
    channel.close()
    serving.close()
    return bulk_s, small_s


async def _repeat(method, message, count):
    begin = time.perf_counter()
    for _ in range(count):
        await method(message)
    return time.perf_counter() - begin


def _answer(environ, start_response):
    body = BULK if environ['PATH_INFO'] == '/bulk' else SMALL
    start_response('200 OK', [('Content-Length', str(len(body)))])
    return [body]


def _time_http():
    with httpio.HttpServer(_answer, threads=2) as serving:
        conn = http.client.HTTPConnection('127.0.0.1', serving.port)
        _get(conn, '/bulk')
        bulk_s = _repeat_http(conn, '/bulk', N_BULK)
        small_s = _repeat_http(conn, '/small', N_SMALL)
        conn.close()
    return bulk_s, small_s


def _repeat_http(conn, path, count):
    begin = time.perf_counter()
    for _ in range(count):
        _get(conn, path)
    return time.perf_counter() - begin


def _get(conn, path):
    conn.request('GET', path)
    return conn.getresponse().read()


def _time_digest():
    begin = time.perf_counter()
    for _ in range(N_BULK):
        hashlib.sha256(BULK)
    return time.perf_counter() - begin


def main():
    """Print the table and check the ratio of the two in bulk."""
    rows = {'grpclib': asyncio.run(_time_grpclib()), 'http': _time_http()}
    digest_s = _time_digest()
    table = [
        (name, round(N_BULK / bulk_s), round(1000 * small_s / N_SMALL, 3))
        for name, (bulk_s, small_s) in rows.items()
    ]
    table.append(('sha256', round(N_BULK / digest_s), ''))
    columns = ('way', 'MiB/s', 'unary ms')
    report.print_table('transport', columns, table)
    report.write_result(
        'transport', [dict(zip(columns, row, strict=True)) for row in table]
    )
    ratio = rows['grpclib'][0] / rows['http'][0]
    report.check_bounds(
        report.Bound('bulk rate, http over grpclib', ratio, at_least=1.5)
    )


if __name__ == '__main__':
    main()
