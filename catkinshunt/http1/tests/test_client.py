import asyncio
import contextlib
import socket
import struct
import weakref

import pytest

from catkinshunt import errors
from catkinshunt import http1

REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@contextlib.asynccontextmanager
async def upstream(handle, **options):
    """Run an upstream whose connections `handle` serves; yields a `Pool`."""
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        await handle(reader, writer)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    clock = asyncio.get_running_loop().time
    try:
        yield http1.Pool('127.0.0.1', port, clock, **options)
    finally:
        for writer in writers:
            writer.close()
        server.close()


def replying(*replies):
    """Return a handler that sends one of `replies` for each request."""

    async def handle(reader, writer):
        for reply in replies:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(reply)
            await writer.drain()
        writer.close()

    return handle


async def read_all(conn):
    parts = []
    while True:
        part = await asyncio.wait_for(conn.read_part(), 5)
        parts.append(part)
        if isinstance(part, (http1.EndOfReply, http1.ConnectionLost)):
            return parts


async def send_request(pool):
    conn = await pool.acquire()
    conn.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    return conn, await read_all(conn)


def last_part(reply):
    async def main():
        async with upstream(replying(reply)) as pool:
            _, parts = await send_request(pool)
            return parts[-1]

    return asyncio.run(main())


def test_reads_a_complete_reply():
    assert isinstance(last_part(REPLY), http1.EndOfReply)


@pytest.mark.parametrize(
    'reply',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
        b'HTTP/1.1 200 OK\r\nConte',
        b'\x00\x01 no reply at all\r\n\r\n',
        b'',
    ],
)
def test_a_truncated_reply_is_never_complete(reply):
    """An upstream crashes while it sends a reply.

    If the close of the connection counted as the end of the reply, a caller
    would get a truncated reply as a complete one.
    """
    assert isinstance(last_part(reply), http1.ConnectionLost)


def test_a_reply_without_length_is_complete_at_an_orderly_close():
    part = last_part(b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok')
    assert isinstance(part, http1.EndOfReply)


def test_a_reply_without_length_is_incomplete_after_a_reset():
    """Without a length, only the kind of close shows if it is complete."""

    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok')
        await writer.drain()
        await asyncio.sleep(0.05)
        sock = writer.get_extra_info('socket')
        # Closing the socket resets the connection.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        writer.transport.abort()

    async def main():
        async with upstream(handle) as pool:
            _, parts = await send_request(pool)
            return parts[-1]

    assert isinstance(asyncio.run(main()), http1.ConnectionLost)


def test_a_reply_without_length_is_incomplete_after_our_own_close():
    """A part of a reply would be relayed as if it were complete."""

    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\nhal')
        await writer.drain()
        await reader.read()

    async def main():
        async with upstream(handle) as pool:
            conn = await pool.acquire()
            conn.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            await conn.wait_for_part()
            conn.close()
            return (await read_all(conn))[-1]

    assert isinstance(asyncio.run(main()), http1.ConnectionLost)


def test_the_end_of_a_reply_tells_whether_it_is_that_of_its_connection():
    """The connection of a crashed upstream ends in the same way."""
    bare = last_part(b'HTTP/1.1 200 OK\r\n\r\nok')
    assert bare == http1.EndOfReply(at_close=True)
    assert last_part(REPLY) == http1.EndOfReply()


def test_a_connection_with_a_second_reply_is_not_reused():
    """A faulty upstream sends two replies to one request.

    The second would be read as the reply to the next request, and its
    caller would get the reply to another caller's request.
    """

    async def main():
        async with upstream(replying(REPLY + REPLY)) as pool:
            conn, _ = await send_request(pool)
            pool.release(conn)
            other = await pool.acquire()
            return conn, other

    conn, other = asyncio.run(main())
    assert other is not conn


def test_a_connection_in_use_is_not_reused_after_all_were_closed():
    """A reply of before an order would be taken for one of after it."""

    async def main():
        now = [0.0]
        async with upstream(replying(REPLY, REPLY)) as pool:
            pool.clock = lambda: now[0]
            conn, _ = await send_request(pool)
            now[0] += 0.1
            pool.close_idle()
            pool.release(conn)
            return conn, await pool.acquire()

    conn, other = asyncio.run(main())
    assert other is not conn


def test_a_connection_with_unexpected_data_is_not_reused():
    """A second reply can arrive later, while the connection is idle."""

    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(REPLY)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(REPLY)
        await writer.drain()
        await reader.read()

    async def main():
        async with upstream(handle) as pool:
            conn, _ = await send_request(pool)
            pool.release(conn)
            while conn.is_open:
                await asyncio.sleep(0.01)
            return conn, await pool.acquire()

    conn, other = asyncio.run(main())
    assert other is not conn


def test_an_idle_connection_is_reused_within_its_limit():
    reply = (
        b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n'
        b'Content-Length: 2\r\n\r\nok'
    )

    async def main():
        now = [0.0]
        async with upstream(replying(reply, reply)) as pool:
            pool.clock = lambda: now[0]
            conn, _ = await send_request(pool)
            pool.release(conn)
            reused = await pool.acquire()
            pool.release(reused)
            now[0] += 0.6
            replacement = await pool.acquire()
            return conn, reused, replacement

    conn, reused, replacement = asyncio.run(main())
    assert reused is conn
    assert replacement is not conn


def test_a_failed_connect_means_not_executed():
    async def main():
        server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        pool = http1.Pool('127.0.0.1', port, lambda: 0.0)
        await pool.acquire()

    with pytest.raises(errors.RefusedError):
        asyncio.run(main())


def test_a_lost_reply_has_an_unknown_outcome():
    async def main():
        async with upstream(replying(b'')) as pool:
            await http1.exchange(pool, 'POST', '/order', body=b'{}')

    with pytest.raises(errors.OutcomeUnknownError):
        asyncio.run(main())


def test_a_slow_reply_is_read_while_data_arrives():
    """A large configuration is read over a shared link.

    It takes longer than the timeout. If the exchange were aborted while data
    still arrives, it would be restarted again and again, and the process
    would never serve.
    """

    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n')
        for _ in range(8):
            await asyncio.sleep(0.03)
            writer.write(b'x')
            await writer.drain()

    async def main():
        async with upstream(handle) as pool:
            return await http1.exchange(pool, 'GET', '/', timeout_s=0.1)

    assert asyncio.run(main())[1] == b'x' * 8


def test_an_exchange_without_a_reply_times_out():
    async def handle(reader, writer):
        await reader.read()

    async def main():
        async with upstream(handle) as pool:
            await http1.exchange(pool, 'GET', '/', timeout_s=0.05)

    with pytest.raises(errors.OutcomeUnknownError):
        asyncio.run(main())


def test_kept_connection_holds_no_request_that_has_ended():
    """Each idle connection would keep the body of its last request."""

    class Request:
        def is_foreign(self, head):
            return False

    async def main():
        async with upstream(replying(REPLY)) as pool:
            req = Request()
            conn = await pool.acquire()
            head = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
            conn.send(head, b'', req.is_foreign)
            await read_all(conn)
            found = weakref.ref(req)
            del req
            assert found() is None
            conn.close()

    asyncio.run(main())
