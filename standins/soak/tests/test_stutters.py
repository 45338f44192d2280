import asyncio
import collections
import random

import pytest

from catkinshunt import http1
from standins.soak import _given
from standins.soak import _platform
from standins.soak import _records
from standins.soak import _soak
from standins.soak import _spoiling
from standins.soak import _stutters

#: Seed and length of a short run, in which the code that joined late replies
#: with the next ones gave callers successes where upstreams had failed.
SEED, RUN_S = 211, 12.0
#: A seed that failed in a run by hand, and the length of the run.
FAILED_SEEDS, FAILED_RUN_S = (104, 511), 12.0
#: Seconds after which no more bytes of a reply come.
QUIET_S = 0.3
REPLY = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: c0-1\r\nServer-Stamp: e0.1\r\n'
    b'Content-Length: 5\r\n\r\nwhole'
)
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: c0-1\r\nServer-Stamp: e0.1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n'
)
EVENT = _records.event('c0-1', 4)


def chance(number):
    return random.Random(number)


def answered(status=200, stamp='e0.1', part=None, body=None, given=None):
    """Return what is found of an answer to c0-1."""
    answer = _records.Answer('c0-1', 'chat', 'k0', 0.0, status=status)
    whole = _records.whole_body('c0-1', 'chat')
    answer.stamp = stamp
    answer.part = whole if part is None else part
    answer.body = body
    reply = _given.Given(*(given or ('c0-1', 200)))
    return list(_given.find_foreign(answer, {'e0.1': reply}, whole))


@pytest.mark.parametrize(
    ('seen', 'word'),
    [
        ({'stamp': ''}, 'without a signature'),
        ({'stamp': 'e0.2'}, 'unknown signature'),
        ({'given': ('c0-2', 200)}, 'the answer to c0-2'),
        ({'given': ('c0-1', 500)}, 'got 200 where e0.1 answered 500'),
        ({'status': 500}, 'got 500 where e0.1 answered 200'),
        ({'part': b'id: 2'}, 'other bytes'),
        (
            {'status': 500, 'body': b'x', 'given': ('c0-1', 500)},
            'another failure',
        ),
    ],
)
def test_what_is_not_the_callers_own_is_found(seen, word):
    """A checker that overlooks a broken promise proves nothing."""
    (found,) = answered(**seen)
    assert word in found


@pytest.mark.parametrize(
    'seen',
    [
        {},
        {'part': b'id: 1\n'},
        {'status': 502, 'stamp': ''},
        {'status': None, 'stamp': ''},
        {'status': 500, 'given': ('c0-1', 500), 'body': b'failed c0-1'},
    ],
)
def test_what_is_the_callers_own_breaks_nothing(seen):
    assert answered(**seen) == []


def test_records_hold_answers_against_what_was_given():
    """The check was not made for the answers of a run."""
    seen = _records.Records(version_s=4.0, revoke_s=2.0, drain_s=1.0)
    body = _records.whole_body('c0-1', 'look')
    answer = _records.Answer(
        'c0-1', 'look', 'k0', 0.0, status=200, body=body, part=body
    )
    answer.stamp = seen.make_stamp('p0')
    seen.add_answer(answer)
    seen.runs.append(_records.Run('c0-1', 'p0', 0.0))
    seen.given[answer.stamp] = _given.Given('c0-1', 200)
    assert seen.find_broken() == []
    seen.given[answer.stamp] = _given.Given('c0-1', 500)
    assert seen.find_broken() == [
        f'c0-1 got 200 where {answer.stamp} answered 500'
    ]


@pytest.mark.parametrize(('served', 'is_lack'), [(1, True), (2, False)])
def test_a_lack_of_service_is_found(served, is_lack):
    """Nothing is wrong where nothing is answered at all."""
    answers = [
        _records.Answer('a', 'chat', 'k0', 0.0, status=502) for _ in range(6)
    ] + [
        _records.Answer(
            'a', 'chat', 'k0', 0.0, status=200, body=b'', stamp='e0.1'
        )
        for _ in range(served)
    ]
    assert bool(_given.find_lack(answers, {})) == is_lack


@pytest.mark.parametrize('place', _spoiling.CUTS)
@pytest.mark.parametrize('reply', [REPLY, CHUNKED])
def test_replies_are_cut_where_they_should(place, reply):
    head, _ = _spoiling.split_head(reply)
    first = reply.index(b'\r\n') + 2
    lengths = set()
    for number in range(300):
        part = _spoiling.cut(reply, place, chance(number))
        assert part == reply[: len(part)]
        assert 0 < len(part) < len(reply)
        lengths.add(len(part))
    if place == 'status line':
        assert lengths == set(range(1, first + 1))
    elif place == 'body':
        assert lengths == set(range(len(head), len(reply)))
    elif place != 'anywhere':
        assert first <= min(lengths) and max(lengths) < len(head)


@pytest.mark.parametrize('reply', [REPLY, CHUNKED])
def test_one_bit_of_a_head_is_spoilt_where_a_reader_can_notice(reply):
    """A wrong status or signature would be held against the readers."""
    head, _ = _spoiling.split_head(reply)
    stamp_at = reply.index(b'e0.1')
    left_alone = {*range(9, 12), *range(stamp_at, stamp_at + len(b'e0.1'))}
    places = set()
    for number in range(2000):
        spoilt = _spoiling.spoil_head(reply, chance(number))
        pairs = enumerate(zip(reply, spoilt, strict=True))
        ((place, (old, new)),) = [(at, p) for at, p in pairs if p[0] != p[1]]
        assert (old ^ new).bit_count() == 1
        places.add(place)
    assert max(places) < len(head)
    assert places.isdisjoint(left_alone)
    assert {reply.index(b'Attempt-Id'), reply.index(b'c0-1')} <= places


def test_one_bit_of_an_event_is_spoilt_where_a_reader_can_notice():
    for number in range(500):
        spoilt = _spoiling.spoil_event(EVENT, chance(number))
        begin, end = EVENT.index(b'data'), EVENT.index(b'\n\n') + 1
        assert spoilt[begin:end] == EVENT[begin:end]
        assert spoilt != EVENT
        assert b'id: 5' not in spoilt


def test_a_reply_without_framing_ends_with_its_connection():
    end = b'e0.1\r\n\r\n'
    assert _spoiling.unframe(REPLY).endswith(end + b'whole')
    assert _spoiling.unframe(CHUNKED).endswith(end + b'onetwo')


def replies_of(times, forms, harms=(), count=40):
    """Return all bytes of an upstream that stutters, and its records.

    Two requests are sent on each of `count` connections.
    """

    async def main():
        seen = _records.Records(version_s=4.0, revoke_s=2.0, drain_s=1.0)
        clock = asyncio.get_running_loop().time
        upstream = _platform.Upstream('p0', 'desk', seen, clock)
        upstream.stutter.begin(chance(1))
        upstream.stutter.times, upstream.stutter.forms = times, forms
        upstream.stutter.harms = harms
        await upstream.start('127.0.0.1', 0)
        try:
            got = await asyncio.gather(
                *(ask(upstream.port, f'c0-{n}') for n in range(count))
            )
        finally:
            upstream.close()
        return b''.join(got), seen

    return asyncio.run(main())


async def ask(port, request):
    """Send two requests on a connection; return all that comes."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    got = b''
    for part in ('a', 'b'):
        items = [('Attempt-Id', f'{request}{part}'), ('Content-Length', '0')]
        writer.write(http1.dump_head('POST /look/1 HTTP/1.1', items))
        try:
            while True:
                async with asyncio.timeout(QUIET_S):
                    data = await reader.read(4096)
                if not data:
                    break
                got += data
        except (TimeoutError, OSError):
            continue
    writer.transport.abort()
    return got


@pytest.mark.parametrize('time', _stutters.TIMES)
def test_upstreams_answer_twice(time):
    """Where no upstream answers twice, the soak proves nothing about it."""
    got, seen = replies_of((time,), ('whole',), count=10)
    begun = collections.Counter(
        line for line in got.split(b'\r\n') if line.startswith(b'Attempt-Id')
    )
    assert len(begun) == 20
    assert 2 in begun.values()
    assert seen.stutters[f'{time}, whole'] > 2


@pytest.mark.parametrize('harm', _stutters.HARMS)
def test_first_replies_are_harmed(harm):
    got, seen = replies_of((), (), (harm,), count=25)
    # Plain replies have no events.
    assert bool(seen.stutters[harm]) == (harm != 'event')
    if harm == 'interim':
        assert b'HTTP/1.1 1' in got


def run(folder, seed, duration_s):
    """Return what a run with stutters broke, and its records."""

    async def main():
        soak = _soak.Soak(folder, seed, callers=12, stutters=True)
        return await soak.run(duration_s), soak.records

    return asyncio.run(main())


def test_short_run_with_stutters_breaks_nothing(tmp_path):
    """Late replies were joined with the next ones on their connections."""

    found, seen = run(tmp_path, SEED, RUN_S)
    assert found == []
    assert seen.stutters['failures'] > 3
    for time in _stutters.TIMES:
        assert sum(v for k, v in seen.stutters.items() if time in k) > 3
    assert sum(seen.stutters[harm] for harm in _stutters.HARMS) > 3


@pytest.mark.parametrize('seed', FAILED_SEEDS)
def test_a_seed_with_stutters_that_failed_once_breaks_nothing(seed, tmp_path):
    """Events without an id, or joined with the next one, were passed on."""
    found, _ = run(tmp_path, seed, FAILED_RUN_S)
    assert found == []
