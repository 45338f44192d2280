"""Clients that send too much to the entry of the product's own interface."""

import asyncio

import pytest

from catkinshunt.tests import deployments
from standins.crowds import _clients
from standins.crowds import _deployment

BODY_BYTES = _deployment.BODY_BYTES
MEMORY_BYTES = _deployment.MEMORY_MB * 1_000_000
LIMITS = {'memory_mb': _deployment.MEMORY_MB, 'max_fds': _deployment.MAX_FDS}


def unfinished_body(_):
    """Yield a body that stops just short of its stated length."""
    yield b'POST /order-desk/bookings HTTP/1.1\r\nHost: x\r\n'
    yield b'Content-Length: %d\r\n\r\n' % BODY_BYTES
    yield bytes(BODY_BYTES - 10)


def unfinished_chunks(_):
    """Yield a body without a stated length that does not end."""
    yield b'POST /order-desk/bookings HTTP/1.1\r\nHost: x\r\n'
    yield b'Transfer-Encoding: chunked\r\n\r\n'
    for _ in range(BODY_BYTES // 100_000):
        yield b'%x\r\n%b\r\n' % (100_000, bytes(100_000))


def unfinished_short_lines(_):
    """Yield a head of very many short lines that does not end."""
    yield b'GET /order-desk/stock HTTP/1.1\r\nHost: x\r\n'
    yield b'a: \r\n' * 50_000


def nothing(_):
    """Yield nothing, for a connection that stays idle."""
    yield b''


async def run_crowd(address, pieces, count, ask):
    """Let a crowd come; return what `ask` does beside it."""
    crowd = _clients.Crowd(address.host, address.port, count, pieces)
    await crowd.run()
    try:
        return await asyncio.to_thread(ask)
    finally:
        await crowd.leave()


@pytest.mark.parametrize(
    ('pieces', 'count'),
    [
        pytest.param(unfinished_body, 40, id='unfinished_body'),
        pytest.param(unfinished_chunks, 40, id='unfinished_chunks'),
        pytest.param(unfinished_short_lines, 400, id='unfinished_lines'),
        pytest.param(nothing, 700, id='nothing'),
    ],
)
def test_crowd_leaves_room_for_ordinary_callers(pieces, count):
    """Clients that send too much end an entry, or it serves no others."""
    with deployments.Deployment(processes=True, limits=LIMITS) as running:
        front = running.entries[0]
        pid = front.popen.pid

        def ask():
            status = deployments.ask(front, 'GET', '/order-desk/stock').status
            return status, _deployment.count_sockets(pid)

        status, sockets = asyncio.run(
            run_crowd(front.address, pieces, count, ask)
        )
        after = deployments.ask(front, 'GET', '/order-desk/stock').status
        assert front.popen.poll() is None
        assert _deployment.read_status_bytes(pid, 'VmHWM') <= MEMORY_BYTES
        assert sockets <= _deployment.MAX_FDS - _deployment.FILE_FDS
        assert (status, after) == (200, 200)
