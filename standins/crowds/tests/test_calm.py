"""Single requests at the limits, while nothing else is held."""

import asyncio

import pytest

from catkinshunt import http1
from standins.crowds import _clients
from standins.crowds import _deployment

BODY_BYTES = _deployment.BODY_BYTES
#: Bytes that a head of an ordinary request takes at most.
USUAL_HEAD_BYTES = 400


def dump_chunked(deployment, data, size):
    """Return a request whose body comes in chunks of `size` bytes."""
    items = [*deployment.request_items(), ('Transfer-Encoding', 'chunked')]
    parts = [http1.dump_head('POST /book/1 HTTP/1.1', items)]
    for offset in range(0, len(data), size):
        parts.append(http1.dump_chunk(data[offset : offset + size]))
    return b''.join((*parts, http1.LAST_CHUNK))


def many_short_fields(deployment):
    return deployment.dump_request(items=[('a', '')] * 3000)


def shortest_lines(deployment):
    """Return a request with the shortest lines that a field may have."""
    head, blank, body = deployment.dump_request().partition(b'\r\n\r\n')
    return head + b'\r\n' + b'a:\r\n' * 4000 + b'\r\n' + body


def one_long_field(deployment):
    length = _deployment.HEADER_BYTES - USUAL_HEAD_BYTES
    return deployment.dump_request(items=[('X', 'x' * length)])


def longest_body(deployment):
    return deployment.dump_request(body=bytes(BODY_BYTES))


def longest_body_in_chunks(deployment):
    return dump_chunked(deployment, bytes(BODY_BYTES), 100)


def body_in_chunks_of_one_byte(deployment):
    return dump_chunked(deployment, bytes(50_000), 1)


@pytest.mark.parametrize(
    'dump',
    [
        many_short_fields,
        shortest_lines,
        one_long_field,
        longest_body,
        longest_body_in_chunks,
        body_in_chunks_of_one_byte,
    ],
)
def test_single_request_at_a_limit_is_served(tmp_path, dump):
    """A bound on what all clients hold must not refuse one within limits."""

    async def main():
        async with _deployment.Deployment(tmp_path) as deployment:
            status = await _clients.exchange(
                deployment.host,
                _deployment.FRONT_PORT,
                dump(deployment),
                _deployment.CALLER_S,
            )
            assert status == 200

    asyncio.run(main())


@pytest.mark.parametrize('size', [2, 300_000])
def test_requests_sent_early_are_all_served(tmp_path, size):
    """A client may send some requests before it reads the first reply."""

    async def main():
        async with _deployment.Deployment(tmp_path) as deployment:
            reader, writer = await asyncio.open_connection(
                deployment.host, _deployment.FRONT_PORT
            )
            for _ in range(12):
                writer.write(deployment.dump_request(body=bytes(size)))
            async with asyncio.timeout(_deployment.CALLER_S):
                found = b''
                while found.count(b'done') < 12:
                    data = await reader.read(65536)
                    assert data, found
                    found += data
            writer.transport.abort()
            assert found.count(b'HTTP/1.1 200 ') == 12

    asyncio.run(main())
