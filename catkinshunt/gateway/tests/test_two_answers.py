"""Answers of several attempts, or to several requests, at one client."""

import asyncio

import pytest

from catkinshunt.gateway import _selection
from catkinshunt.gateway.tests import harness
from catkinshunt import http1

CHAT = {'Model': harness.MODEL, 'Tokens': '100,20'}
#: Longer than the longest reply that is buffered.
LONG = 1200 * 1024
#: Seconds after which upstreams write, around the moment at which a silent
#: one is given up.
DELAYS_S = (0.7, 0.9, 1.0, 1.1, 1.2, 1.3)


def stamped(head, upstream, items, kind='text/plain'):
    """Return the head of a reply that bears the name of its upstream."""
    return http1.dump_head(
        http1.status_line(200),
        [
            ('Request-Id', harness.header(head, 'Request-Id')),
            ('Stamp', upstream.name),
            ('Content-Type', kind),
            *items,
        ],
    )


def writing(delays_s, size=40):
    """Return an answer function that writes its reply in two parts.

    Args:
        delays_s: seconds before the head and the first half of the body, and
            before the rest.
        size: bytes of the body, which has only the number of the upstream.
    """

    async def answer(head, writer, upstream):
        body = upstream.name[-1:].encode() * size
        length = ('Content-Length', str(size))
        await asyncio.sleep(delays_s[0])
        writer.write(stamped(head, upstream, [length]) + body[: size // 2])
        await writer.drain()
        await asyncio.sleep(delays_s[1])
        writer.write(body[size // 2 :])
        await writer.drain()

    return answer


async def read_both(first_s, second_s, size):
    """Return the reply if two upstreams write, and those behind it.

    Three further requests follow on the connection of the client.
    """
    first = harness.FakeUpstream('u1', writing((first_s, 0.1), size))
    second = harness.FakeUpstream('u2', writing((second_s, 0.1), size))
    async with harness.running_gateway(first, second) as gateway:
        gateway.pause(second, 0.3)
        reader, writer = await gateway.connect()
        found = []
        for number in range(3):
            request_id = f'a{number}'
            await harness.send_request(
                writer, '/read/1', Request_Id=request_id, Left_Ms='4000'
            )
            status, head, body = await harness.read_reply(reader)
            assert harness.header(head, 'Request-Id') == request_id
            found.append((status, harness.header(head, 'Stamp'), body))
            first.answer = second.answer = writing((0, 0), size)
        return found


@pytest.mark.parametrize('size', [40, LONG])
def test_replies_of_two_upstreams_are_never_joined(size):
    """A client would get the head of one attempt and the body of another.

    A silent upstream goes on at about the moment at which another one
    replies in its place.
    """

    async def main():
        delays = [
            (first_s, second_s)
            for first_s in DELAYS_S
            for second_s in (0.0, 0.1, 0.2, 0.3)
        ]
        return await asyncio.gather(
            *(read_both(*each, size) for each in delays)
        )

    stamps = set()
    for replies in asyncio.run(main()):
        for status, stamp, body in replies:
            assert status == 200
            assert body == stamp[-1:].encode() * size
        stamps.add(replies[0][1])
    assert stamps == {'u1', 'u2'}


@pytest.mark.parametrize('path', ['/read/1', '/chat/1'])
def test_requests_that_are_sent_early_get_their_own_replies(path):
    """A client sends its next requests before it has read a reply."""

    async def answer(head, writer, upstream):
        request_id = harness.header(head, 'Request-Id')
        # The first ones take longest.
        await asyncio.sleep(0.05 / int(request_id[1:]))
        writer.write(harness.reply(head, body=request_id.encode()))

    async def main():
        upstream = harness.FakeUpstream('u1', answer)
        engine = harness.FakeUpstream(
            'e1', answer, 'model', {harness.MODEL: 1}
        )
        async with harness.running_gateway(upstream, engine) as gateway:
            reader, writer = await gateway.connect()
            for number in range(1, 9):
                await harness.send_request(
                    writer, path, Request_Id=f'a{number}', **CHAT
                )
            return [await harness.read_reply(reader) for _ in range(8)]

    for number, (status, head, body) in enumerate(asyncio.run(main()), 1):
        assert (status, body) == (200, f'a{number}'.encode())
        assert harness.header(head, 'Request-Id') == f'a{number}'


def test_reply_to_a_client_that_has_left_reaches_no_other_one():
    """The upstream answers on the same connections after that."""

    async def answer(head, writer, upstream):
        request_id = harness.header(head, 'Request-Id')
        await asyncio.sleep(0.02 if request_id.startswith('left') else 0)
        writer.write(harness.reply(head, body=request_id.encode()))

    async def main():
        upstream = harness.FakeUpstream('u1', answer)
        async with harness.running_gateway(upstream) as gateway:
            found = []
            for number in range(20):
                _, writer = await gateway.connect()
                await harness.send_request(
                    writer, '/read/1', Request_Id=f'left{number}'
                )
                await asyncio.sleep(0.002 * number)
                writer.close()
                found.append(
                    await gateway.request('/read/1', Request_Id=f'a{number}')
                )
            return found

    for number, (status, _, body) in enumerate(asyncio.run(main())):
        assert (status, body) == (200, f'a{number}'.encode())


def test_late_rejection_does_not_answer_the_next_attempt(monkeypatch):
    """A request that runs would be reported as rejected.

    Both attempts have one id, so they use connections of their own. The
    choice of upstreams, which avoids those that were tried, is changed.
    """
    take_next = _selection.Selection.take_next

    def take_again(self, progress, predicate=None):
        progress.tried.clear()
        return take_next(self, progress, predicate)

    monkeypatch.setattr(_selection.Selection, 'take_next', take_again)
    writers, runs = [], []

    async def answer(head, writer, upstream):
        rejection = harness.reply(head, 503, b'', [('Not-Run', '1')])
        writers.append(writer)
        if len(writers) == 1:
            writer.write(rejection)
            return
        if writer is writers[0]:
            writer.write(rejection)
            await asyncio.sleep(0.02)
        runs.append(head)
        writer.write(harness.reply(head, body=b'ran'))

    async def main():
        upstream = harness.FakeUpstream('u1', answer)
        async with harness.running_gateway(upstream) as gateway:
            return await gateway.request('/read/1')

    status, _, body = asyncio.run(main())
    assert (status, body, len(runs)) == (200, b'ran', 1)


@pytest.mark.parametrize('status', [503, 421])
@pytest.mark.parametrize('path', ['/read/1', '/book/1'])
def test_late_rejection_of_another_request_does_not_count(status, path):
    """A booking that runs would be reported as not run, or run twice.

    The late rejection is cut at each byte.
    """
    late = harness.reply('Request-Id: a1', status, b'', [('Not-Run', '1')])

    def answering(cut):
        async def answer(head, writer, upstream):
            if harness.header(head, 'Request-Id') == 'a1':
                writer.write(late)
                return
            writer.write(late[:cut])
            await asyncio.sleep(0.01)
            writer.write(harness.reply(head, body=b'ran'))

        return answer

    async def ask(cut):
        upstream = harness.FakeUpstream('u1', answering(cut))
        async with harness.running_gateway(upstream) as gateway:
            await gateway.request('/read/1')
            reply = await gateway.request(path, Request_Id='a2')
            return reply[0], len(upstream.heads)

    async def main():
        return await asyncio.gather(*map(ask, range(1, len(late) + 1)))

    replies = asyncio.run(main())
    assert set(replies) <= {(200, 2), (502, 2)}
    assert replies[-1] == (200, 2)


def test_success_does_not_state_that_it_was_not_run():
    """A booking that ran would be sent elsewhere, and run twice."""
    both = harness.replying(200, b'ran', [('Not-Run', '1')])

    async def main():
        first = harness.FakeUpstream('u1', both)
        second = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(first, second) as gateway:
            gateway.pause(second, 0.3)
            reply = await gateway.request('/book/1', 'POST', b'one')
            return reply[0], second.heads

    assert asyncio.run(main()) == (502, [])


@pytest.mark.parametrize('length', [None, b'Content-Length: 40'])
@pytest.mark.parametrize('status', [b'200 OK', b'500 Failed', b'503 Full'])
def test_reply_to_head_has_no_body(status, length):
    """A client would read its bytes as the next reply of its connection.

    The entry would wait for a body until the deadline.
    """

    async def answer(head, writer, upstream):
        request_id = harness.header(head, 'Request-Id').encode()
        lines = [
            b'HTTP/1.1 ' + status,
            b'Request-Id: ' + request_id,
            b'Stamp: x',
            b'Content-Type: text/event-stream',
            length or b'Transfer-Encoding: chunked',
        ]
        if status.startswith(b'503'):
            lines.append(b'Not-Run: 1')
        if head.startswith('HEAD'):
            writer.write(b'\r\n'.join(lines) + b'\r\n\r\n')
        else:
            writer.write(harness.reply(head))

    async def main():
        upstream = harness.FakeUpstream('u1', answer)
        async with harness.running_gateway(upstream) as gateway:
            reader, writer = await gateway.connect()
            heads = []
            for path in ('/read/1', '/book/1', '/unknown/1'):
                await harness.send_request(writer, path, 'HEAD')
                async with asyncio.timeout(2):
                    head = await reader.readuntil(b'\r\n\r\n')
                heads.append(head.decode().split()[1])
            await harness.send_request(writer, '/read/1')
            return heads, await harness.read_reply(reader)

    heads, reply = asyncio.run(main())
    expected = '429' if status.startswith(b'503') else status[:3].decode()
    assert heads[2] == '404'
    assert set(heads[:2]) <= {expected, '503'}
    assert reply[::2] == (200, b'done')


def test_client_that_reads_no_reply_fills_no_memory():
    """Its requests would be answered into a buffer without end."""
    body = bytes(1024 * 1024)

    async def main():
        upstream = harness.FakeUpstream('u1', harness.replying(body=body))
        limits = http1.Limits(idle_s=1.0)
        async with harness.running_gateway(upstream, limits=limits) as gateway:
            sock = harness.connect_with_small_buffer(gateway.server.port)
            reader, writer = await asyncio.open_connection(sock=sock, limit=1)
            for number in range(40):
                await harness.send_request(
                    writer, '/read/1', Request_Id=f'a{number}'
                )
            await asyncio.sleep(0.7)
            (conn,) = gateway.connections()
            buffered = conn.unsent_bytes
            async with asyncio.timeout(5):
                await conn.closed
            writer.close()
            return buffered, len(upstream.heads)

    buffered, sends = asyncio.run(main())
    assert buffered <= 2 * len(body)
    assert sends < 10


def test_client_that_reads_slowly_gets_its_whole_reply():
    """It takes longer than the idle timeout of its connection."""
    body = bytes(400 * 1024)

    async def main():
        upstream = harness.FakeUpstream('u1', harness.replying(body=body))
        limits = http1.Limits(idle_s=0.3)
        async with harness.running_gateway(upstream, limits=limits) as gateway:
            sock = harness.connect_with_small_buffer(gateway.server.port)
            reader, writer = await asyncio.open_connection(sock=sock, limit=1)
            await asyncio.sleep(0.05)
            (conn,) = gateway.connections()
            harness.limit_send_buffer(conn.transport)
            await harness.send_request(writer, '/read/1')
            read = 0
            while data := await reader.read(20_000):
                read += len(data)
                await asyncio.sleep(0.02)
            writer.close()
            return read

    assert asyncio.run(main()) > len(body)
