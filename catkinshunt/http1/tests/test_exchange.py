"""Tests of calls that are answered without end."""

import asyncio

import pytest

from catkinshunt import errors
from catkinshunt import http1
from catkinshunt.http1 import _pool
from catkinshunt.http1.tests import test_client

HEADS = [
    b'HTTP/1.1 200 OK\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n',
]


def exchange(head, part, pause_s):
    """Call a server that sends parts until its connection is closed."""

    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head)
        try:
            while not writer.is_closing():
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except OSError:
            pass

    async def main():
        async with test_client.upstream(handle) as pool:
            with pytest.raises(errors.OutcomeUnknownError) as caught:
                async with asyncio.timeout(20):
                    await http1.exchange(pool, 'GET', '/')
        return caught.value.message

    return asyncio.run(main())


@pytest.mark.parametrize('head', HEADS)
def test_body_without_end_is_not_buffered(head, monkeypatch):
    """The store, an engine or the origin would fill the memory."""
    monkeypatch.setattr(_pool, 'MAX_REPLY_BYTES', 1_000_000)
    assert 'does not end' in exchange(head, b'x' * 65536, 0.0)


@pytest.mark.parametrize('head', HEADS)
def test_body_that_arrives_byte_by_byte_does_not_hold_its_call(
    head, monkeypatch
):
    """Each byte extended the wait, and the caller waited for ever."""
    monkeypatch.setattr(_pool, 'MAX_REPLY_S', 0.3)
    assert 'does not end' in exchange(head, b'x', 0.01)
