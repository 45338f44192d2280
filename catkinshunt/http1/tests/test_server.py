import asyncio
import contextlib

import pytest

from catkinshunt import callers
from catkinshunt import http1


@contextlib.asynccontextmanager
async def serving(session, limits=http1.Limits):
    """Serve `session` on a free port; yields a function that connects."""
    loop = asyncio.get_running_loop()
    listener = http1.Listener(session, loop.time, limits)
    await listener.start('127.0.0.1', 0)
    port = listener.port

    async def connect():
        return await asyncio.open_connection('127.0.0.1', port)

    try:
        yield connect
    finally:
        listener.close()


async def echo(req):
    body = f'{req.method} {req.target} '.encode() + req.body
    return http1.Reply(200, body)


async def send_and_receive(connect, data):
    """Send `data` and return what is received."""
    reader, writer = await connect()
    writer.write(data)
    await writer.drain()
    found = await asyncio.wait_for(reader.read(65536), 5)
    writer.close()
    return found


def test_answers_requests_in_order():
    async def main():
        async with serving(http1.make_session(echo)) as connect:
            reader, writer = await connect()
            writer.write(b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n')
            writer.write(
                b'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi'
            )
            found = b''
            while b'POST /b hi' not in found:
                found += await asyncio.wait_for(reader.read(65536), 5)
            writer.close()
            return found

    found = asyncio.run(main())
    assert found.index(b'GET /a ') < found.index(b'POST /b hi')


def test_reads_a_chunked_body():
    async def main():
        async with serving(http1.make_session(echo)) as connect:
            return await send_and_receive(
                connect,
                b'POST /c HTTP/1.1\r\nHost: x\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
                b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
            )

    assert b'POST /c abcde' in asyncio.run(main())


def test_rejects_a_body_with_two_lengths():
    """Content-Length together with chunks allows request smuggling.

    If a proxy used one and an upstream the other, the upstream would execute
    a hidden request as another caller's. The reply is a 400.
    """

    async def main():
        async with serving(http1.make_session(echo)) as connect:
            return await send_and_receive(
                connect,
                b'POST /d HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /e HTTP/1.1',
            )

    found = asyncio.run(main())
    assert found.startswith(b'HTTP/1.1 400')
    assert b'/e' not in found


def test_rejects_a_head_that_is_too_long():
    """Endless headers would exhaust the memory.

    The reply is a 431, and the connection ends.
    """

    def limits():
        return http1.Limits(header_bytes=1000)

    async def main():
        async with serving(http1.make_session(echo), limits) as connect:
            head = b'GET / HTTP/1.1\r\nHost: x\r\nX: ' + b'y' * 2000
            return await send_and_receive(connect, head)

    assert asyncio.run(main()).startswith(b'HTTP/1.1 431')


def test_rejects_a_body_that_is_too_long():
    """A body over the limit would exhaust the memory; the reply is a 413."""

    def limits():
        return http1.Limits(body_bytes=10)

    async def main():
        async with serving(http1.make_session(echo), limits) as connect:
            return await send_and_receive(
                connect,
                b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\n'
                + b'z' * 20,
            )

    assert asyncio.run(main()).startswith(b'HTTP/1.1 413')


def test_times_out_an_incomplete_head():
    """A caller that stops in the middle of a head would block a connection.

    The reply after the limit is a 408.
    """

    def limits():
        return http1.Limits(header_s=0.1)

    async def main():
        async with serving(http1.make_session(echo), limits) as connect:
            return await send_and_receive(connect, b'GET / HTTP/1.1\r\nHo')

    assert asyncio.run(main()).startswith(b'HTTP/1.1 408')


def test_closes_an_idle_connection_without_a_reply():
    def limits():
        return http1.Limits(idle_s=0.1)

    async def main():
        async with serving(http1.make_session(echo), limits) as connect:
            reader, writer = await connect()
            found = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            return found

    assert asyncio.run(main()) == b''


def test_a_disconnect_cancels_the_session():
    """Work for a disconnected caller is wasted and delays other requests.

    The task of the connection is cancelled as soon as the close arrives.
    """

    async def main():
        began = asyncio.Event()
        ended = asyncio.Event()

        async def slow(req):
            began.set()
            try:
                await asyncio.sleep(60)
            finally:
                ended.set()

        async with serving(http1.make_session(slow)) as connect:
            _, writer = await connect()
            writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            await asyncio.wait_for(began.wait(), 5)
            writer.close()
            await asyncio.wait_for(ended.wait(), 5)

    asyncio.run(main())


def test_interim_reply_does_not_come_within_another_reply():
    """A caller would read it as a part of the reply before.

    The caller sends its next request early, and awaits 100 Continue.
    """
    expecting = (
        b'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )

    async def session(conn):
        await conn.read_request()
        items = [('Transfer-Encoding', 'chunked')]
        conn.write(http1.dump_head(http1.status_line(200), items))
        conn.write(http1.dump_chunk(b'first'))
        await asyncio.sleep(0.05)
        conn.write(http1.dump_chunk(b'second') + http1.LAST_CHUNK)
        req = await conn.read_request()
        conn.write(http1.dump_reply(200, [], req.body))

    async def main():
        async with serving(session) as connect:
            reader, writer = await connect()
            writer.write(b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n')
            found = await reader.readuntil(b'first\r\n')
            writer.write(expecting)
            async with asyncio.timeout(5):
                found += await reader.readuntil(b'Continue\r\n\r\n')
                writer.write(b'hi')
                found += await reader.read()
            writer.close()
            return found

    found = asyncio.run(main())
    parts = [b'first', b'second', b'0\r\n', b'100 Continue', b'hi']
    places = [found.index(part) for part in parts]
    assert places == sorted(places)


async def send_until_closed(connect, first, filler):
    """Send `first` and then `filler` until the connection is closed.

    Returns:
        The bytes of `filler` that were sent.
    """
    reader, writer = await connect()
    writer.write(first)
    replied = asyncio.ensure_future(reader.read())
    sent = 0
    # Closing with unread bytes resets the connection.
    with contextlib.suppress(ConnectionError):
        while not replied.done() and sent < 5_000_000:
            writer.write(filler)
            await writer.drain()
            sent += len(filler)
            await asyncio.sleep(0)
    writer.close()
    await asyncio.wait((replied,), timeout=5)
    replied.cancel()
    return sent


@pytest.mark.parametrize(
    ('behind', 'filler'),
    [
        pytest.param(b'0\r\n', b'X: ' + b'x' * 990 + b'\r\n', id='trailers'),
        pytest.param(b'5;', b'x' * 1000, id='chunk extension'),
        pytest.param(b'', b'0' * 1000, id='size of a chunk'),
    ],
)
def test_framing_of_a_request_has_a_limit(behind, filler):
    """A caller could fill the memory of an entry."""
    head = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'

    async def main():
        async with serving(http1.make_session(echo)) as connect:
            return await send_until_closed(connect, head + behind, filler)

    assert asyncio.run(main()) < 1_000_000


def test_requests_sent_early_have_a_limit():
    """A caller could fill the memory with requests that wait."""
    waiting = []

    async def session(conn):
        await conn.read_request()
        await asyncio.sleep(0.3)
        waiting.append(len(conn._requests))
        for _ in range(2000):
            req = await conn.read_request()
            conn.write(http1.dump_reply(200, [], req.target.encode()))

    async def main():
        async with serving(session) as connect:
            reader, writer = await connect()
            for number in range(2001):
                filler = b'X: ' + b'x' * 4000
                writer.write(
                    b'GET /%d HTTP/1.1\r\n%b\r\n\r\n' % (number, filler)
                )
            async with asyncio.timeout(20):
                found = await reader.read()
            writer.close()
            return found

    found = asyncio.run(main())
    # One read of a socket holds 256 KiB at most.
    assert waiting[0] < 8 + 256 * 1024 // 4000
    assert found.count(b'HTTP/1.1 200') == 2000
    assert found.endswith(b'/2000')


def test_very_short_requests_sent_early_have_a_limit():
    """One read holds thousands of the shortest requests."""
    waiting = []

    async def session(conn):
        await conn.read_request()
        await asyncio.sleep(0.3)
        waiting.append(len(conn._requests))
        for _ in range(4999):
            await conn.read_request()
            conn.write(http1.dump_reply(200, []))

    async def main():
        async with serving(session) as connect:
            reader, writer = await connect()
            writer.write(b'GET / HTTP/1.1\r\n\r\n' * 5000)
            async with asyncio.timeout(20):
                found = await reader.read()
            writer.close()
            return found

    assert asyncio.run(main()).count(b'HTTP/1.1 200') == 4999
    assert waiting[0] < 8 + 1024 // 18 + 1


def test_requests_sent_early_leave_turns_to_other_connections():
    """Requests that are rejected without a wait would stop all others."""
    order = []

    async def session(conn):
        while True:
            req = await conn.read_request()
            if req is None:
                return
            order.append(req.target)
            conn.write(http1.dump_reply(404, []))
            conn.begin_idle()

    async def main():
        async with serving(session) as connect:
            _, many = await connect()
            reader, one = await connect()
            many.write(b'GET /many HTTP/1.1\r\n\r\n' * 3000)
            one.write(b'GET /one HTTP/1.1\r\n\r\n')
            async with asyncio.timeout(20):
                await reader.readuntil(b'\r\n\r\n')
                while len(order) < 3001:
                    await asyncio.sleep(0.01)
            many.close()
            one.close()

    asyncio.run(main())
    # The first read of the other connection holds as many.
    assert order.index('/one') < 3000 // 2


def test_long_body_sent_early_is_read_in_its_turn():
    """Bodies that wait behind a request in progress would fill the memory."""
    held, now = [], [0.0]

    async def session(conn):
        await conn.read_request()
        await asyncio.sleep(0.3)
        held.append(conn.measure().reclaimable_bytes)
        # The caller could not go on, so this is not its delay.
        now[0] += 60.0
        req = await conn.read_request()
        conn.write(http1.dump_reply(200, [], str(len(req.body)).encode()))

    async def main():
        listener = http1.Listener(session, lambda: now[0])
        await listener.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', listener.port
        )
        writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        writer.write(b'POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n')
        writer.write(bytes(4_000_000))
        async with asyncio.timeout(20):
            found = await reader.read()
        writer.close()
        listener.close()
        return found

    assert asyncio.run(main()).endswith(b'4000000')
    assert held[0] < 256 * 1024


def test_body_for_which_there_is_no_memory_is_refused_at_its_head():
    """A caller would send it in vain, and does not learn when to come back."""

    async def main():
        budget = callers.CallerBudget(1_000_000)
        listener = http1.Listener(
            http1.make_session(echo), lambda: 0.0, budget=budget
        )
        await listener.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', listener.port
        )
        writer.write(b'POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n')
        async with asyncio.timeout(20):
            found = await reader.read()
        writer.close()
        listener.close()
        return found

    found = asyncio.run(main())
    assert found.startswith(b'HTTP/1.1 503')
    assert b'\r\nRetry-After: 1\r\n' in found


def test_memory_shortage_sends_nothing_behind_a_reply():
    """A caller that has asked nothing more would take a 503 for an answer."""

    async def main():
        budget = callers.CallerBudget(10_000_000)
        sessions = []

        async def session(conn):
            sessions.append(conn)
            await conn.read_request()
            # More than the buffers of the kernel take.
            conn.write(http1.dump_reply(200, [], bytes(8_000_000)))
            await asyncio.sleep(60)

        listener = http1.Listener(session, lambda: 0.0, budget=budget)
        await listener.start('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', listener.port
        )
        writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        sessions[0].reclaim()
        async with asyncio.timeout(20):
            found = await reader.read()
        writer.close()
        listener.close()
        return found

    found = asyncio.run(main())
    assert len(found) < 8_000_000
    assert b'HTTP/1.1' not in found
