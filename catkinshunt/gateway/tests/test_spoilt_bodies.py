"""Late, cut and doubled replies around streams and long bodies."""

import asyncio

import pytest

from catkinshunt.gateway.tests import harness
from catkinshunt import http1

CHAT = {'Model': harness.MODEL, 'Tokens': '100,20'}
WHOLE = b''.join(map(harness.event, range(1, 7)))
#: Longer than the longest reply that is buffered.
LONG = b'0123456789abcdef' * (75 * 1024)
LATE = harness.reply('Request-Id: a1', body=b'late')


def late_stream(head='Request-Id: a0', upstream=None):
    """Return a whole stream that answers another request."""
    named = upstream or harness.FakeUpstream('late', None)
    events = [harness.chunk_of(number + 10) for number in range(1, 7)]
    return b''.join(
        [harness.stream_head(head, named), *events, harness.LAST_CHUNK]
    )


def after(late, answer, pause_s=0.01):
    """Return an answer function that first repeats a late reply.

    The first request on each connection is answered as it is.
    """
    known = set()

    async def late_first(head, writer, upstream):
        if writer in known:
            writer.write(late)
            await writer.drain()
            await asyncio.sleep(pause_s)
        known.add(writer)
        return await answer(head, writer, upstream)

    return late_first


async def chat(gateway, request_id, path='/chat/1'):
    return await gateway.request(
        path, 'POST', b'hi', Request_Id=request_id, **CHAT
    )


async def resume(late):
    """Return the body of a stream that is resumed behind a late reply."""
    first = harness.FakeUpstream(
        'u1',
        harness.streaming(6, breaks_after=3),
        'model',
        {harness.MODEL: 1},
    )
    second = harness.FakeUpstream(
        'u2',
        after(late, harness.streaming(6)),
        'model',
        {harness.MODEL: 1},
    )
    async with harness.running_gateway(first, second) as gateway:
        gateway.pause(first, 0.1)
        # Opens the connection on which the stream is resumed.
        assert (await chat(gateway, 'a0'))[2] == WHOLE
        gateway.pause(second, 0.3)
        body = (await chat(gateway, 'a1'))[2]
        return body, len(second.heads)


def test_late_stream_is_not_joined_with_a_resumed_one():
    """Events of another request would follow those of the first upstream."""
    late = late_stream()

    async def main():
        cuts = range(1, len(late) + 1, 3)
        found = await asyncio.gather(*(resume(late[:cut]) for cut in cuts))
        return found, await resume(late)

    found, whole = asyncio.run(main())
    assert whole == (WHOLE, 2)
    assert {body for body, _ in found} <= {WHOLE, None}
    assert {sends for _, sends in found} == {2}


async def read_long(reply, late=b'', items=()):
    """Return the reply to the second request on a connection."""

    async def answer(head, writer, upstream):
        if harness.header(head, 'Request-Id') == 'a1':
            writer.write(harness.reply(head, body=b'first'))
            return None
        writer.write(late)
        await writer.drain()
        return await reply(head, writer)

    upstream = harness.FakeUpstream('u1', answer)
    async with harness.running_gateway(upstream) as gateway:
        await gateway.request('/read/1')
        found = await gateway.request(
            '/read/1', Request_Id='a2', Left_Ms='1500'
        )
        return found[0], found[2]


def sending(data):
    async def reply(head, writer):
        writer.write(data)
        await writer.drain()

    return reply


OWN = 'Request-Id: a2'


def test_late_reply_before_a_long_one():
    """A body that is relayed as it arrives must not begin with another."""
    late = harness.reply('Request-Id: a1', body=LONG[::-1])
    own = harness.reply(OWN, body=LONG)

    async def main():
        head_size = late.index(b'\r\n\r\n') + 4
        cuts = [5, 14, head_size - 9, head_size, head_size + 99, len(late) - 9]
        return await asyncio.gather(
            read_long(sending(own), late),
            *(read_long(sending(own), late[:cut]) for cut in cuts),
        )

    whole, *cut = asyncio.run(main())
    assert whole == (200, LONG)
    assert {status for status, _ in cut} <= {502, 504}


def test_long_reply_that_is_cut_is_not_ended_as_complete():
    """A client would take a part for the whole."""
    own = harness.reply(OWN, body=LONG)

    async def cut(head, writer):
        writer.write(own[:-9])
        await writer.drain()
        await asyncio.sleep(0.05)
        return 'close'

    assert asyncio.run(read_long(cut))[1] is None


def test_long_reply_whose_rest_is_missing_is_not_ended_as_complete():
    """The next reply of the connection would be taken for its rest."""
    own = harness.reply(OWN, body=LONG)
    late = harness.reply('Request-Id: a1', body=b'late' * 100)
    assert asyncio.run(read_long(sending(own[:-9] + late)))[1] is None


def test_long_reply_that_is_longer_than_it_says_is_cut():
    """One wrong digit of the length would cut a whole answer short."""
    own = harness.reply(OWN, body=LONG + b'more')
    own = own.replace(b'%d' % (len(LONG) + 4), b'%d' % len(LONG))
    assert asyncio.run(read_long(sending(own)))[1] is None


def test_long_reply_of_which_a_client_has_a_part_is_not_sent_elsewhere():
    """Another upstream would run it for nothing."""

    async def cut(head, writer, upstream):
        writer.write(harness.reply(head, body=LONG)[:-9])
        await writer.drain()
        return 'close'

    async def main():
        first = harness.FakeUpstream('u1', cut)
        second = harness.FakeUpstream('u2', harness.replying())
        async with harness.running_gateway(first, second) as gateway:
            gateway.pause(second, 0.3)
            return (await gateway.request('/read/1'))[2], second.heads

    assert asyncio.run(main()) == (None, [])


def test_stream_that_is_longer_than_it_says_is_not_ended_as_complete():
    """One wrong digit of the length would cut events off."""
    length = len(harness.event(1)) * 3

    async def answer(head, writer, upstream):
        reply = harness.reply(
            head, body=WHOLE, items=[('Content-Type', 'text/event-stream')]
        )
        stated = b'Content-Length: %d' % len(WHOLE)
        spoilt = b'Content-Length: %d' % length
        writer.write(reply.replace(stated, spoilt))

    async def main():
        engine = harness.FakeUpstream(
            'u1', answer, 'model', {harness.MODEL: 1}
        )
        async with harness.running_gateway(engine) as gateway:
            return await chat(gateway, 'a1', '/once/1')

    assert asyncio.run(main())[2] is None


@pytest.mark.parametrize('gap', [True, False])
@pytest.mark.parametrize('length', [6, 70, len(LATE), 400])
def test_reply_between_a_head_and_its_body_is_not_relayed(length, gap):
    """A caller would get the bytes of another reply as the body."""
    head, body = harness.reply(OWN, body=b'x' * length).split(b'\r\n\r\n')
    head += b'\r\n\r\n'

    async def split(_, writer):
        for part in (head, LATE, body):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.02)

    reply = split if gap else sending(head + LATE + body)
    status, body = asyncio.run(read_long(reply))
    assert status in (502, 504)
    assert b'late' not in body


def test_body_that_quotes_a_reply_is_relayed():
    """An answer may document HTTP."""
    quoted = b'It sent:\nHTTP/1.1 200 OK\r\n\r\n'
    own = harness.reply(OWN, body=quoted)
    assert asyncio.run(read_long(sending(own))) == (200, quoted)


def unframed(request_id, kind='text/plain'):
    """Return a head without a length."""
    return http1.dump_head(
        http1.status_line(200),
        [
            ('Request-Id', request_id),
            ('Stamp', 'stamp'),
            ('Content-Type', kind),
        ],
    )


@pytest.mark.parametrize('kind', ['text/plain', 'text/event-stream'])
def test_unframed_late_reply_does_not_hold_the_next_one(kind):
    """The awaited reply would be relayed as a part of its body."""
    own = harness.reply(OWN, 500, b'failed')
    late = unframed('a1', kind) + b'late'
    cuts = range(1, len(late) + 1, 5)

    async def main():
        return await asyncio.gather(
            *(read_long(sending(own), late[:cut]) for cut in cuts)
        )

    assert {status for status, _ in asyncio.run(main())} <= {500, 502}


@pytest.mark.parametrize('kind', ['text/plain', 'text/event-stream'])
def test_unframed_reply_that_is_cut_in_its_head_is_no_reply(kind):
    """A caller would get an empty success, framed as whole."""
    head = unframed('a2', kind)

    def stopping(cut):
        async def reply(_, writer):
            writer.write(head[:cut])
            await writer.drain()
            return 'close'

        return reply

    async def main():
        cuts = range(len(head))
        return await asyncio.gather(
            *(read_long(stopping(cut)) for cut in cuts)
        )

    assert {status for status, _ in asyncio.run(main())} == {502}


def test_unframed_reply_without_a_body_is_not_an_empty_success():
    """Its upstream stopped behind the head, and its connection closed."""

    async def reply(_, writer):
        writer.write(unframed('a2'))
        await writer.drain()
        return 'close'

    assert asyncio.run(read_long(reply))[0] == 502


def test_unframed_failure_without_a_body_is_relayed():
    """Its caller would not learn the status, and ask again."""

    async def reply(_, writer):
        writer.write(unframed('a2').replace(b' 200 OK', b' 404 Not Found'))
        await writer.drain()
        return 'close'

    assert asyncio.run(read_long(reply))[:2] == (404, b'')


def test_unframed_reply_that_holds_another_one_is_not_relayed():
    """A late reply would be relayed as the end of the body."""
    late = harness.reply('Request-Id: a1', body=b'late')

    async def reply(_, writer):
        writer.write(unframed('a2') + b'own')
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.write(late)
        await writer.drain()
        return 'close'

    status, body = asyncio.run(read_long(reply))
    assert status == 502
    assert b'late' not in body
