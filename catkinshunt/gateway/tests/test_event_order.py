"""Events of an upstream that are spoilt, repeated or out of order."""

import asyncio
import time

import pytest

from catkinshunt.gateway import _event_order
from catkinshunt.gateway import _events
from catkinshunt.gateway import _progress
from catkinshunt.gateway.tests import harness
from catkinshunt import http1

CHAT = {'Model': harness.MODEL, 'Tokens': '100,20'}
WHOLE = b''.join(map(harness.event, range(1, 7)))

#: Spoilt forms of event 3; the ids before and after it are sound.
SPOILT = {
    'no id': b'ie: 3\ndata: part 3\n\n',
    'no value': b'id\ndata: part 3\n\n',
    'unreadable id': b'id: c\ndata: part 3\n\n',
    'signed id': b'id: +3\ndata: part 3\n\n',
    'leading zero': b'id:03\ndata: part 3\n\n',
    'endless id': b'id: ' + b'3' * 5000 + b'\ndata: part 3\n\n',
    'merged': b'id: 3\ndata: part 3\n\x0bid: 4\ndata: part 4\n\n',
    'merged, two ids': b'id: 3\ndata: part 3\x0b\nid: 4\ndata: part 4\n\n',
    'mixed line ends': b'id: 3\ndata: part 3\n\r\nid: 4\ndata: part 4\n\n',
    'carriage return': b'id: 3\ndata: part 3\r\rid: 4\ndata: part 4\n\n',
    'back': harness.event(2),
    'back to the first': harness.event(1),
    'back to zero': harness.event(0),
    'on': harness.event(7),
    'without data': b'id: 3\n\ndata: part 3\n\n',
    'two ids alike': b'id: 3\nid: 3\ndata: part 3\n\n',
}


def sending(*events, ends=True):
    """Return an answer function that streams `events`, one a chunk.

    Args:
        events: bytes of events.
        ends: whether the stream ends in order, and is not broken off.
    """

    async def answer(head, writer, upstream):
        writer.write(harness.stream_head(head, upstream))
        for data in events:
            writer.write(http1.dump_chunk(data))
            await writer.drain()
        if not ends:
            writer.transport.abort()
            return
        writer.write(harness.LAST_CHUNK)

    return answer


def chat_with(first, second=None, numbers_events=True, **headers):
    """Return the body that a client got, and the heads at the second."""

    async def main():
        engines = [
            harness.FakeUpstream(name, answer, 'model', {harness.MODEL: 1})
            for name, answer in (('u1', first), ('u2', second))
            if answer is not None
        ]
        async with harness.running_gateway(*engines) as gateway:
            gateway.context.dialect.numbers_events = numbers_events
            for other in engines[1:]:
                gateway.pause(other, 0.5)
            reply = await gateway.request(
                '/chat/1', 'POST', b'hi', **CHAT, **headers
            )
            return reply[2], engines[-1].heads

    return asyncio.run(main())


@pytest.mark.parametrize('ends', [True, False])
@pytest.mark.parametrize('name', SPOILT)
def test_stream_is_resumed_before_a_spoilt_event(name, ends):
    """A piece would be missing, or come twice, in a stream that looks whole.

    The entry would lose the place in the stream.
    """
    events = [*map(harness.event, (1, 2)), SPOILT[name]]
    if ends:
        events += map(harness.event, (4, 5, 6))
    body, heads = chat_with(sending(*events, ends=ends), harness.streaming(6))
    assert body == WHOLE
    assert harness.header(heads[0], 'Last-Event-Id') == '2'


@pytest.mark.parametrize('name', SPOILT)
def test_spoilt_stream_is_cut_if_no_other_upstream_is_left(name):
    """A client would take a stream with a piece missing for the whole."""
    events = [*map(harness.event, (1, 2)), SPOILT[name], harness.event(4)]
    assert chat_with(sending(*events))[0] is None


@pytest.mark.parametrize('last', [SPOILT['no id'], harness.event(2)])
def test_spoilt_last_event_does_not_end_a_stream(last):
    """The last piece would be missing."""
    events = [*map(harness.event, (1, 2)), last]
    body, _ = chat_with(sending(*events), harness.streaming(3))
    assert body == WHOLE[: len(WHOLE) // 2]


@pytest.mark.parametrize('name', ['no id', 'unreadable id', 'merged, two ids'])
def test_spoilt_first_event_is_sent_elsewhere(name):
    """No client gets an event whose place in the stream is not known."""
    events = [SPOILT[name], *map(harness.event, (2, 3, 4, 5, 6))]
    body, heads = chat_with(sending(*events), harness.streaming(6))
    assert body == WHOLE
    assert harness.header(heads[0], 'Last-Event-Id') == ''


@pytest.mark.parametrize('number', [0, 3, 5, 9])
@pytest.mark.parametrize('ends', [True, False])
def test_stream_with_a_wrong_first_id_is_not_resumed(number, ends):
    """A stream resumed behind a wrong id would lack pieces or repeat them."""
    events = [harness.event(number)]
    if ends:
        events += map(harness.event, (2, 3, 4, 5, 6))
    body, heads = chat_with(sending(*events, ends=ends), harness.streaming(6))
    assert body is None
    assert heads == []


@pytest.mark.parametrize('first', [0, 5])
def test_stream_may_begin_with_any_id(first):
    """Whether the ids begin with 1 is not specified."""
    events = [harness.event(number) for number in range(first, first + 4)]
    rest = [harness.event(number) for number in range(first + 2, first + 4)]
    assert chat_with(sending(*events))[0] == b''.join(events)
    body, _ = chat_with(sending(*events[:2], ends=False), sending(*rest))
    assert body == b''.join(events)


def test_events_that_the_client_has_are_skipped():
    """An upstream may send a stream from its begin when it is resumed."""
    begin = sending(*map(harness.event, (1, 2, 3)), ends=False)
    again = sending(*map(harness.event, range(1, 7)))
    assert chat_with(begin, again)[0] == WHOLE


@pytest.mark.parametrize(
    'events',
    [
        pytest.param([1, 2], id='ends before the place'),
        pytest.param([3], id='its only id may be wrong'),
        pytest.param([1, 3, 4], id='skips one of them'),
        pytest.param([2, 1, 2, 3, 4], id='goes back'),
    ],
)
def test_resumed_stream_that_does_not_reach_its_place_is_cut(events):
    """One wrong digit would pass off a new event as one the client has."""
    begin = sending(*map(harness.event, (1, 2, 3)), ends=False)
    again = sending(*map(harness.event, events))
    assert chat_with(begin, again)[0] is None


def test_upstream_that_repeats_all_events_may_end_the_stream():
    """The first one may have stopped just before the end."""
    begin = sending(*map(harness.event, (1, 2, 3)), ends=False)
    again = sending(*map(harness.event, (1, 2, 3)))
    assert chat_with(begin, again)[0] == WHOLE[: len(WHOLE) // 2]


def test_resumption_of_the_client_is_checked_too():
    """A client that resumes would lack a piece."""
    events = [SPOILT['no id'], *map(harness.event, (4, 5, 6))]
    body, _ = chat_with(
        sending(*events), harness.streaming(6), Last_Event_Id='2'
    )
    assert body == b''.join(map(harness.event, (3, 4, 5, 6)))


def test_comment_is_no_event():
    """A stream with comments in it would be broken off."""
    comment = b': still there\n:\n\n'
    events = [comment, harness.event(1), comment, harness.event(2), b'\n\n']
    body, _ = chat_with(sending(*events))
    assert body == harness.event(1) + comment + harness.event(2) + b'\n\n'


def test_time_until_a_reconnection_is_no_event():
    """A sound stream would be broken off."""
    block = b'retry: 1000\n\n'
    events = [block, harness.event(1), block, harness.event(2)]
    body, _ = chat_with(sending(*events))
    assert body == harness.event(1) + block + harness.event(2)


def test_stream_of_comments_only_is_not_relayed_as_begun():
    """A crash after a comment would look like an empty answer."""
    body, _ = chat_with(
        sending(b': wait\n\n', ends=False), harness.streaming(6)
    )
    assert body == WHOLE


def test_plain_stream_may_have_no_ids():
    """Not all upstreams number their events."""
    events = [b'data: one\n\n', b'data: two\n\n']
    body, _ = chat_with(sending(*events), numbers_events=False)
    assert body == b''.join(events)


def test_plain_stream_without_ids_is_not_resumed():
    """Its events would come twice."""
    events = [b'data: one\n\n', b'data: two\n\n']
    body, heads = chat_with(
        sending(*events, ends=False), sending(*events), numbers_events=False
    )
    assert (body, heads) == (None, [])


def test_plain_stream_with_ids_has_to_keep_them():
    """A piece would be missing if one of its events lost its id."""
    events = [harness.event(1), SPOILT['no id'], harness.event(3)]
    body, _ = chat_with(
        sending(*events), harness.streaming(6), numbers_events=False
    )
    assert body == WHOLE


def test_endless_event_breaks_the_stream():
    """A peer could fill the memory of an entry, and keep it busy."""
    splitter = _events.EventSplitter()
    pieces = 0
    began = time.process_time()
    with pytest.raises(_events.BadEventError):
        while pieces < 100_000:
            splitter.feed(b'data: ' + b'x' * 64)
            pieces += 1
    assert pieces * 70 <= _events.MAX_EVENT_BYTES
    # A search from the begin of the event at each piece takes many times this.
    assert time.process_time() - began < 5


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n'])
def test_events_in_any_pieces(line_end):
    """An event whose blank line is cut would be joined with the next."""
    stream = WHOLE.replace(b'\n', line_end)
    for size in range(1, len(stream)):
        splitter = _events.EventSplitter()
        found = []
        for at in range(0, len(stream), size):
            found += splitter.feed(stream[at : at + size])
        assert [event.id for event in found] == [1, 2, 3, 4, 5, 6]
        assert b''.join(event.data for event in found) == stream


def test_each_bit_of_an_event_is_found_or_changes_only_its_text():
    """A spoilt bit would shift, drop or repeat pieces of a whole stream."""
    sound = [harness.event(number) for number in (1, 2, 3)]
    spoilt_at = len(sound[0])
    for bit in range(len(sound[1]) * 8):
        data = bytearray(b''.join(sound))
        data[spoilt_at + bit // 8] ^= 1 << bit % 8
        order = _event_order.EventOrder(_progress.Progress(), True)
        splitter = _events.EventSplitter()
        relayed, fault = order.select_new(splitter.feed(bytes(data)))
        if fault or splitter.has_partial_event:
            assert relayed in (sound[0], sound[0] + sound[1])
            continue
        assert relayed == data
        assert order.progress.last_event_id == 3
