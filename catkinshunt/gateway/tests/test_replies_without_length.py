"""Replies that end with their connection: neither a length nor chunks."""

import asyncio
import socket
import struct

import pytest

from catkinshunt.gateway.tests import harness
from catkinshunt import http1

CHAT = {'Model': harness.MODEL, 'Tokens': '100,20'}
#: Closes a socket by a reset.
RESET = struct.pack('ii', 1, 0)


def events(last, begin=1):
    return b''.join(map(harness.event, range(begin, last + 1)))


def bare_head(head, kind):
    """Return a reply's head without any framing."""
    return http1.dump_head(
        http1.status_line(200),
        [
            ('Request-Id', harness.header(head, 'Request-Id')),
            ('Stamp', 'stamp'),
            ('Content-Type', kind),
        ],
    )


def sending(body, kind='text/event-stream', resets=False):
    """Return an answer function that sends `body` and ends its connection.

    Args:
        body: bytes to send.
        kind: type of the body.
        resets: whether it resets the connection instead of closing it.
    """

    async def answer(head, writer, upstream):
        writer.write(bare_head(head, kind) + body)
        await writer.drain()
        if not resets:
            return 'close'
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()

    return answer


def engine(name, answer):
    return harness.FakeUpstream(name, answer, 'model', {harness.MODEL: 1})


def chat_with(first, second=None, path='/chat/1'):
    """Return the reply to a request that the first engine gets first."""

    async def main():
        engines = [engine('u1', first)]
        if second is not None:
            engines.append(engine('u2', second))
        async with harness.running_gateway(*engines) as gateway:
            for other in engines[1:]:
                gateway.pause(other, 0.3)
            _, _, body = await gateway.request(path, 'POST', b'hi', **CHAT)
            return body, [len(each.heads) for each in engines]

    return asyncio.run(main())


def read_from(first, second=None):
    """Return the reply to a plain request that may be repeated."""

    async def main():
        upstreams = [harness.FakeUpstream('u1', first)]
        if second is not None:
            upstreams.append(harness.FakeUpstream('u2', second))
        async with harness.running_gateway(*upstreams) as gateway:
            for other in upstreams[1:]:
                gateway.pause(other, 0.3)
            return await gateway.request('/read/1')

    return asyncio.run(main())


def test_answer_that_ends_in_order_is_relayed():
    status, _, body = read_from(sending(b'all of it', 'text/plain'))
    assert (status, body) == (200, b'all of it')


def test_long_answer_that_ends_in_order_is_relayed():
    whole = bytes(3 * 1024 * 1024)
    assert read_from(sending(whole, 'text/plain'))[2] == whole


def test_stream_that_ends_in_order_is_relayed():
    body, sends = chat_with(sending(events(3)))
    assert body == events(3)
    assert sends == [1]


def test_cut_answer_is_never_relayed_as_whole():
    """A reset shows that an answer without a length is not whole."""
    status, _, body = read_from(sending(b'half', 'text/plain', resets=True))
    assert status == 502
    assert b'half' not in body


def test_cut_answer_is_fetched_from_another_upstream():
    status, _, body = read_from(
        sending(b'half', 'text/plain', resets=True),
        sending(b'all of it', 'text/plain'),
    )
    assert (status, body) == (200, b'all of it')


def test_cut_long_answer_is_not_ended_as_complete():
    """Its begin is relayed before it is known that the rest is missing."""
    cut = sending(bytes(3 * 1024 * 1024), 'text/plain', resets=True)
    status, _, body = read_from(cut)
    assert status in (200, 502)
    assert status == 502 or body is None


def test_reset_stream_is_resumed():
    body, _ = chat_with(sending(events(3), resets=True), harness.streaming(6))
    assert body == events(6)


@pytest.mark.parametrize('cut', [1, 5, 9, -1])
def test_stream_cut_inside_an_event_is_resumed(cut):
    """The kernel of a crashed engine closes its connections in order."""
    begun = events(3) + harness.event(4)[:cut]
    body, _ = chat_with(sending(begun), harness.streaming(6))
    assert body == events(6)


@pytest.mark.parametrize('path', ['/chat/1', '/once/1'])
def test_stream_cut_inside_an_event_is_not_ended_as_complete(path):
    """A client would take a part of an answer for the whole.

    The stream is not resumed, as no other engine is left or the request may
    not be repeated.
    """
    begun = events(3) + harness.event(4)[:9]
    body, _ = chat_with(sending(begun), path=path)
    assert body is None


def test_stream_that_ends_after_a_whole_event_is_complete():
    """It would be resumed, though its end may be the end of the answer.

    A stream whose engine crashed between two events looks the same.
    """
    body, sends = chat_with(sending(events(3)), harness.streaming(6))
    assert body == events(3)
    assert sends == [1, 0]


def test_stream_cut_before_its_first_event_is_sent_elsewhere():
    """The client would get an empty answer of an engine that crashed."""
    body, _ = chat_with(sending(b''), harness.streaming(6))
    assert body == events(6)


def test_resumed_stream_may_have_no_further_event():
    """The first engine crashed after the last event, before the end."""
    begun = events(3) + b'id'
    body, sends = chat_with(sending(begun), sending(b''))
    assert body == events(3)
    assert sends == [1, 1]


def test_blank_line_after_the_last_event_is_no_event():
    """A whole stream would be taken for one that was broken off."""
    body, sends = chat_with(sending(events(3) + b'\n'), harness.streaming(6))
    assert body == events(3)
    assert sends == [1, 0]
