"""Clients that send too much to an entry, each as a crowd of its own."""

import asyncio

import pytest

from standins.crowds import _clients
from standins.crowds import _deployment

BODY_BYTES = _deployment.BODY_BYTES
PATH = '/book/1'
#: As many short lines as the head of one request may hold.
SHORT_LINES = b'a:\r\n' * 4000
#: Lines of one request with names that differ, and without a value.
ODD_LINES = b''.join(b'\x21%x:\r\n' % number for number in range(2400))


def head(deployment, *lines, items=None):
    """Return the head of a request with further lines."""
    if items is None:
        items = deployment.request_items()
    found = b'POST /book/1 HTTP/1.1\r\n'
    found += b''.join(f'{k}: {v}\r\n'.encode() for k, v in items)
    return found + b''.join(lines) + b'\r\n'


def unfinished_body(deployment):
    """Yield a body that stops just short of its stated length."""
    yield head(deployment, b'Content-Length: %d\r\n' % BODY_BYTES)
    yield bytes(BODY_BYTES - 10)


def unfinished_body_in_pieces(deployment):
    """Yield a body that comes piece by piece, and stops short of its end."""
    yield head(deployment, b'Content-Length: %d\r\n' % BODY_BYTES)
    for _ in range(10):
        yield bytes(BODY_BYTES // 10 - 10)


def unfinished_chunks(deployment):
    """Yield a body without a stated length that does not end."""
    yield head(deployment, b'Transfer-Encoding: chunked\r\n')
    for _ in range(BODY_BYTES // 100_000 - 1):
        yield b'%x\r\n%b\r\n' % (100_000, bytes(100_000))


def chunks_of_one_byte(deployment):
    """Yield a body in chunks of one byte that does not end."""
    yield head(deployment, b'Transfer-Encoding: chunked\r\n')
    for _ in range(40):
        yield b'1\r\nx\r\n' * 10_000


def whole_bodies(deployment):
    """Yield whole requests with long bodies."""
    for _ in range(4):
        yield head(deployment, b'Content-Length: %d\r\n' % BODY_BYTES)
        yield bytes(BODY_BYTES)


def long_requests_sent_ahead(deployment):
    """Yield eight requests with bodies of 1 MB."""
    for _ in range(8):
        yield head(deployment, b'Content-Length: 1000000\r\n')
        yield bytes(1_000_000)


def short_requests_sent_ahead(deployment):
    """Yield very many requests without any field."""
    yield b'GET / HTTP/1.1\r\n\r\n' * 14_000


def requests_of_no_account(deployment):
    """Yield very many requests with a key of no account."""
    items = [('Host', _deployment.HOST), ('Key', 'none')]
    yield head(deployment, b'Content-Length: 0\r\n', items=items) * 3000


def requests_of_no_rule(deployment):
    """Yield very many requests for a path of no rule."""
    yield b'GET / HTTP/1.1\r\nHost: none\r\n\r\n' * 6000


def usual_requests_sent_ahead(deployment):
    """Yield many usual requests."""
    yield b''.join(deployment.dump_request() for _ in range(1500))


def short_lines(deployment):
    """Yield requests with as many short lines as fit, one after another."""
    for _ in range(3):
        yield head(deployment, SHORT_LINES, b'Content-Length: 0\r\n')


def unfinished_short_lines(deployment):
    """Yield a head of many short lines that does not end."""
    yield head(deployment, SHORT_LINES)[:-2]


def unfinished_odd_lines(deployment):
    """Yield a head of many odd lines that does not end."""
    yield head(deployment, ODD_LINES)[:-2]


def long_replies(deployment):
    """Yield requests whose replies are long."""
    for _ in range(20):
        yield deployment.dump_request('/big/1')


def endless_stream(deployment):
    """Yield a request for a stream that does not end."""
    yield deployment.dump_request('/chat/1')


def nothing(deployment):
    """Yield nothing, for a connection that stays idle."""
    yield b''


#: Kinds of clients, and how many of them come.
CROWDS = [
    (unfinished_body, 40),
    (unfinished_body_in_pieces, 40),
    (unfinished_chunks, 40),
    (chunks_of_one_byte, 60),
    (whole_bodies, 40),
    (long_requests_sent_ahead, 30),
    (short_requests_sent_ahead, 60),
    (requests_of_no_account, 60),
    (requests_of_no_rule, 60),
    (usual_requests_sent_ahead, 60),
    (short_lines, 200),
    (unfinished_short_lines, 250),
    (unfinished_odd_lines, 250),
    (long_replies, 150),
    (endless_stream, 150),
    (nothing, 700),
]


async def check_crowds(folder, crowds, returns=False):
    """Let crowds come one after the other; the earlier ones stay.

    Args:
        folder: for settings and logs.
        crowds: pairs of a function that yields what a client sends, and the
            number of clients.
        returns: whether clients whose connections are closed come again.
    """
    async with _deployment.Deployment(folder) as deployment:
        assert await deployment.ask(PATH) == 200
        present = []
        try:
            for pieces, count in crowds:
                crowd = _clients.Crowd(
                    deployment.host,
                    _deployment.FRONT_PORT,
                    count,
                    lambda _, pieces=pieces: pieces(deployment),
                    returns,
                )
                present.append(crowd)
                await crowd.run()
            status = await deployment.ask(PATH)
            held = deployment.held_bytes()
            sockets = deployment.count_sockets()
        finally:
            for crowd in present:
                await crowd.leave()
        status_after = await deployment.ask(PATH)
        assert deployment.is_running
        most = _deployment.MEMORY_MB * 1_000_000
        most_sockets = _deployment.MAX_FDS - _deployment.FILE_FDS
        found = {
            'peak': deployment.peak_bytes() <= most or deployment.peak_bytes(),
            'held': held <= most or held,
            'sockets': sockets <= most_sockets or sockets,
            'status beside the crowd': status,
            'status after the crowd': status_after,
        }
        assert found == {
            'peak': True,
            'held': True,
            'sockets': True,
            'status beside the crowd': 200,
            'status after the crowd': 200,
        }


@pytest.mark.parametrize(
    ('pieces', 'count'),
    [pytest.param(*crowd, id=crowd[0].__name__) for crowd in CROWDS],
)
def test_crowd_leaves_room_for_ordinary_callers(tmp_path, pieces, count):
    """Clients that send too much end an entry, or it serves no others."""
    asyncio.run(check_crowds(tmp_path, [(pieces, count)]))


def test_crowds_at_once_leave_room_for_ordinary_callers(tmp_path):
    """What several kinds of clients hold adds up to more than the memory."""
    crowds = [
        (nothing, 100),
        (long_replies, 40),
        (unfinished_short_lines, 60),
        (unfinished_body, 20),
        (unfinished_chunks, 20),
        (long_requests_sent_ahead, 15),
    ]
    asyncio.run(check_crowds(tmp_path, crowds))


def test_clients_that_come_again_leave_room_for_ordinary_callers(tmp_path):
    """A client whose connection is closed takes the room once more."""
    asyncio.run(check_crowds(tmp_path, [(unfinished_body, 40)], True))


def test_crowds_in_a_row_hold_no_more_than_one(tmp_path):
    """Memory that one crowd has taken is not there for the next one."""

    async def main():
        async with _deployment.Deployment(tmp_path) as deployment:
            for _ in range(4):
                crowd = _clients.Crowd(
                    deployment.host,
                    _deployment.FRONT_PORT,
                    40,
                    lambda _: unfinished_body(deployment),
                )
                await crowd.run()
                await crowd.leave()
                assert await deployment.ask(PATH) == 200
            most = _deployment.MEMORY_MB * 1_000_000
            assert deployment.peak_bytes() <= most
            assert deployment.is_running

    asyncio.run(main())


@pytest.mark.parametrize(
    ('port', 'path'),
    [
        pytest.param(_deployment.READY_PORT, '/-/readyz', id='readiness'),
        pytest.param(_deployment.INNER_PORT, '/metrics', id='metrics'),
        pytest.param(
            _deployment.RELAY_PORT, '/feed/read?prefix=op/', id='watch_relay'
        ),
    ],
)
def test_crowd_at_another_listener_leaves_room(tmp_path, port, path):
    """Each listener of an entry takes from the same memory."""

    async def main():
        async with _deployment.Deployment(tmp_path) as deployment:
            crowd = _clients.Crowd(
                deployment.host,
                port,
                40,
                lambda _: unfinished_body(deployment),
            )
            await crowd.run()
            found = await deployment.get(port, path)
            status = await deployment.ask(PATH)
            await crowd.leave()
            most = _deployment.MEMORY_MB * 1_000_000
            assert deployment.peak_bytes() <= most
            assert (found, status) == (200, 200)
            assert deployment.is_running

    asyncio.run(main())
