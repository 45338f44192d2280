"""Clients that send too much to the listeners of a sidecar."""

import asyncio

import pytest

from standins.crowds import _clients
from standins.crowds import _deployment

BODY_BYTES = _deployment.BODY_BYTES


def unfinished_body(_):
    """Yield a body that stops just short of its stated length."""
    yield b'POST / HTTP/1.1\r\nHost: x\r\n'
    yield b'Content-Length: %d\r\n\r\n' % BODY_BYTES
    yield bytes(BODY_BYTES - 10)


def nothing(_):
    """Yield nothing, for a connection that stays idle."""
    yield b''


@pytest.mark.parametrize(
    'port',
    [
        pytest.param(_deployment.INNER_PORT, id='metrics'),
        pytest.param(_deployment.CHUNK_PORT, id='chunks'),
    ],
)
@pytest.mark.parametrize(
    ('pieces', 'count'),
    [
        pytest.param(unfinished_body, 40, id='unfinished_bodies'),
        pytest.param(nothing, 700, id='idle_connections'),
    ],
)
def test_crowd_leaves_room_at_a_sidecar(tmp_path, port, pieces, count):
    """A sidecar whose memory or sockets run out moves no weights."""

    async def main():
        async with _deployment.Deployment(tmp_path, 'sidecar') as deployment:
            crowd = _clients.Crowd(deployment.host, port, count, pieces)
            await crowd.run()
            found = await deployment.get(_deployment.INNER_PORT, '/metrics')
            # It has no chunk, and says so.
            chunk = await deployment.get(
                _deployment.CHUNK_PORT, '/chunks/drafts/1/0'
            )
            sockets = deployment.count_sockets()
            await crowd.leave()
            assert deployment.is_running
            most = _deployment.MEMORY_MB * 1_000_000
            assert deployment.peak_bytes() <= most
            most_sockets = _deployment.MAX_FDS - _deployment.FILE_FDS
            assert sockets <= most_sockets
            assert (found, chunk) == (200, 503)

    asyncio.run(main())
