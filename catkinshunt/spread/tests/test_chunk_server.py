import asyncio

import pytest

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _chunk_server
from catkinshunt.spread.tests import fakes


def test_waiting_request_returns_when_the_chunk_arrives():
    async def main():
        chunk_store = spread.ChunkStore(fakes.MODEL, 2)
        chunk_store.set_manifest(fakes.manifest(2))
        chunk_store.begin_transfer()
        waiting = asyncio.ensure_future(chunk_store.wait_for_any([3, 4], 5.0))
        await asyncio.sleep(0)
        chunk_store.put(4, fakes.chunk(2, 4))
        return await waiting, chunk_store.find_any([3, 4])[0]

    assert asyncio.run(main()) == (True, 4)


def test_last_two_versions_are_kept():
    version_store = spread.VersionStore()
    for version in (1, 2, 3):
        version_store.get_or_create(fakes.MODEL, version)
    assert version_store.find(fakes.MODEL, 1) is None
    assert version_store.find(fakes.MODEL, 2) is not None


def test_client_fetches_chunks_and_manifest():
    async def main():
        clock = asyncio.get_running_loop().time
        version_store = spread.VersionStore()
        chunk_store = version_store.get_or_create(fakes.MODEL, 2)
        chunk_store.set_manifest(fakes.manifest(2))
        chunk_store.put(3, fakes.chunk(2, 3))
        requests = []
        server = spread.ChunkServer(
            version_store,
            clock,
            100.0,
            fakes.Counter(),
            lambda model, version: requests.append((model, version)),
        )
        await server.start('127.0.0.1', 0)
        client = spread.PeerClient(server.port, clock)
        received = await client.chunk('127.0.0.1', fakes.MODEL, 2, [1, 3])
        with pytest.raises(errors.SourceBusyError):
            await client.chunk('127.0.0.1', fakes.MODEL, 2, [1])
        raw = await client.manifest('127.0.0.1', fakes.MODEL, 2)
        return received, requests[0], raw

    received, requests, raw = asyncio.run(main())
    assert received == (3, fakes.chunk(2, 3))
    assert requests == (fakes.MODEL, 2)
    assert raw == fakes.manifest(2).dumps()


def request_chunk(prepare, method):
    """Request chunk 1 of version 2 from a server set up by `prepare`.

    Returns the type of the error, if any, and the seconds that it took.
    """

    async def main():
        clock = asyncio.get_running_loop().time
        version_store = spread.VersionStore()
        prepare(version_store)
        server = spread.ChunkServer(
            version_store,
            clock,
            100.0,
            fakes.Counter(),
            lambda model, version: None,
        )
        await server.start('127.0.0.1', 0)
        client = spread.PeerClient(server.port, clock)
        began = clock()
        try:
            await method(client)('127.0.0.1', fakes.MODEL, 2, [1])
        except errors.SourceBusyError as exc:
            return type(exc), clock() - began
        return None, clock() - began

    return asyncio.run(main())


def begin_transfer(version_store):
    chunk_store = version_store.get_or_create(fakes.MODEL, 2)
    chunk_store.set_manifest(fakes.manifest(2))
    chunk_store.begin_transfer()
    return chunk_store


def test_member_rejects_a_version_it_does_not_fetch():
    """A member finishes the transfer of an older version first.

    Members that have it as source for the newer version would each wait for
    seconds.
    """
    error, took_s = request_chunk(
        lambda version_store: None, lambda c: c.chunk
    )
    assert error is errors.SourceUnableError
    assert took_s < 1.0


def test_member_with_slow_link_serves_no_chunks():
    def prepare(version_store):
        chunk_store = begin_transfer(version_store)
        chunk_store.put(1, fakes.chunk(2, 1))
        chunk_store.disable_upload()

    error, _ = request_chunk(prepare, lambda c: c.chunk)
    assert error is errors.SourceUnableError


def test_manifest_request_waits_before_the_transfer_starts():
    """A newer version is announced during a transfer.

    Members probe for its manifest before they start its transfer. If they
    rejected requests for the manifest meanwhile, all members would fetch it
    from the origin.
    """

    async def main():
        clock = asyncio.get_running_loop().time
        version_store = spread.VersionStore()
        chunk_store = version_store.get_or_create(fakes.MODEL, 2)
        server = spread.ChunkServer(
            version_store,
            clock,
            100.0,
            fakes.Counter(),
            lambda model, version: None,
        )
        await server.start('127.0.0.1', 0)
        client = spread.PeerClient(server.port, clock)
        request = asyncio.ensure_future(
            client.manifest('127.0.0.1', fakes.MODEL, 2)
        )
        await asyncio.sleep(1.5 * _chunk_server.START_WAIT_S)
        chunk_store.set_manifest(fakes.manifest(2))
        return await request

    assert asyncio.run(main()) == fakes.manifest(2).dumps()


def test_member_expecting_the_chunk_replies_busy():
    error, _ = request_chunk(begin_transfer, lambda c: c.chunk)
    assert error is errors.SourceBusyError


def test_idle_only_request_does_not_wait():
    """Work stealing requests a chunk from several members.

    Each would delay the chunk by a second if it waited for it.
    """
    error, took_s = request_chunk(begin_transfer, lambda c: c.chunk_if_idle)
    assert error is errors.SourceBusyError
    assert took_s < 0.5


def test_lock_prefers_lower_priority_values():
    async def main():
        send_lock = spread.PriorityLock()
        order = []

        async def send(name, priority):
            await send_lock.acquire(priority)
            order.append(name)
            await asyncio.sleep(0)
            send_lock.release()

        await send_lock.acquire(0)
        tasks = [
            asyncio.ensure_future(send(name, priority))
            for name, priority in (('leaf', 1), ('relay', 0), ('cancelled', 0))
        ]
        await asyncio.sleep(0)
        tasks[2].cancel()
        await asyncio.sleep(0)
        send_lock.release()
        await asyncio.gather(*tasks, return_exceptions=True)
        await send_lock.acquire(1)
        return order

    assert asyncio.run(main()) == ['relay', 'leaf']
