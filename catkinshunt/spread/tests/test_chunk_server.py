import asyncio

import pytest

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _chunk_server
from catkinshunt.spread.tests import fakes


def test_a_waiting_chunk_is_given_as_soon_as_it_comes():
    async def main():
        chunk_store = spread.ChunkStore(fakes.MODEL, 2)
        chunk_store.describe(fakes.manifest(2))
        chunk_store.begin()
        waiting = asyncio.ensure_future(chunk_store.wait_for_any([3, 4], 5.0))
        await asyncio.sleep(0)
        chunk_store.put(4, fakes.chunk(2, 4))
        return await waiting, chunk_store.find_any([3, 4])[0]

    assert asyncio.run(main()) == (True, 4)


def test_the_last_two_versions_are_kept():
    version_store = spread.VersionStore()
    for version in (1, 2, 3):
        version_store.chunk_store(fakes.MODEL, version)
    assert version_store.find(fakes.MODEL, 1) is None
    assert version_store.find(fakes.MODEL, 2) is not None


def test_chunks_go_between_sidecars():
    async def main():
        clock = asyncio.get_running_loop().time
        version_store = spread.VersionStore()
        chunk_store = version_store.chunk_store(fakes.MODEL, 2)
        chunk_store.describe(fakes.manifest(2))
        chunk_store.put(3, fakes.chunk(2, 3))
        asked = []
        server = spread.ChunkServer(
            version_store,
            clock,
            100.0,
            fakes.Counter(),
            lambda model, version: asked.append((model, version)),
        )
        await server.start('127.0.0.1', 0)
        client = spread.PeerClient(server.port, clock)
        got = await client.chunk('127.0.0.1', fakes.MODEL, 2, [1, 3])
        with pytest.raises(errors.SourceBusyError):
            await client.chunk('127.0.0.1', fakes.MODEL, 2, [1])
        raw = await client.manifest('127.0.0.1', fakes.MODEL, 2)
        return got, asked[0], raw

    got, asked, raw = asyncio.run(main())
    assert got == (3, fakes.chunk(2, 3))
    assert asked == (fakes.MODEL, 2)
    assert raw == fakes.manifest(2).dumps()


def ask_server(prepare, ask):
    """Ask a server for chunk 1 of version 2 after `prepare` of its shelf."""

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
            await ask(client)('127.0.0.1', fakes.MODEL, 2, [1])
        except errors.SourceBusyError as exc:
            return type(exc), clock() - began
        return None, clock() - began

    return asyncio.run(main())


def begin_transfer(version_store):
    chunk_store = version_store.chunk_store(fakes.MODEL, 2)
    chunk_store.describe(fakes.manifest(2))
    chunk_store.begin()
    return chunk_store


def test_a_member_says_that_it_does_not_fetch_a_version():
    """A member ends the transfer of an older version first.

    Those who are to take chunks of the newer one from it would wait for it
    for seconds each, as if it were about to have them.
    """
    kind, took_s = ask_server(lambda version_store: None, lambda c: c.chunk)
    assert kind is errors.SourceUnableError
    assert took_s < 1.0


def test_a_member_with_a_narrow_link_gives_nothing():
    def prepare(version_store):
        chunk_store = begin_transfer(version_store)
        chunk_store.put(1, fakes.chunk(2, 1))
        chunk_store.give_nothing()

    kind, _ = ask_server(prepare, lambda c: c.chunk)
    assert kind is errors.SourceUnableError


def test_a_manifest_is_waited_for_before_the_transfer_begins():
    """A newer version is named while the one before is on its way.

    Whoever is to pass its manifest on asks for it first and goes on with the
    older one until then. Said not to come, it was asked of the origin by all.
    """

    async def main():
        clock = asyncio.get_running_loop().time
        version_store = spread.VersionStore()
        chunk_store = version_store.chunk_store(fakes.MODEL, 2)
        server = spread.ChunkServer(
            version_store,
            clock,
            100.0,
            fakes.Counter(),
            lambda model, version: None,
        )
        await server.start('127.0.0.1', 0)
        client = spread.PeerClient(server.port, clock)
        asking = asyncio.ensure_future(
            client.manifest('127.0.0.1', fakes.MODEL, 2)
        )
        await asyncio.sleep(1.5 * _chunk_server.BEGIN_S)
        chunk_store.describe(fakes.manifest(2))
        return await asking

    assert asyncio.run(main()) == fakes.manifest(2).dumps()


def test_a_member_that_waits_for_a_chunk_itself_says_so():
    kind, _ = ask_server(begin_transfer, lambda c: c.chunk)
    assert kind is errors.SourceBusyError


def test_an_idle_member_is_not_waited_for():
    """Whoever asks for what others are slow to give asks several members.

    Each would hold up the chunk for a second if it waited for it.
    """
    kind, took_s = ask_server(begin_transfer, lambda c: c.spare_chunk)
    assert kind is errors.SourceBusyError
    assert took_s < 0.5


def test_those_who_pass_chunks_on_go_first():
    async def main():
        turns = spread.PriorityLock()
        order = []

        async def send(name, rank):
            await turns.take(rank)
            order.append(name)
            await asyncio.sleep(0)
            turns.leave()

        await turns.take(0)
        tasks = [
            asyncio.ensure_future(send(name, rank))
            for name, rank in (('leaf', 1), ('relay', 0), ('gone', 0))
        ]
        await asyncio.sleep(0)
        tasks[2].cancel()
        await asyncio.sleep(0)
        turns.leave()
        await asyncio.gather(*tasks, return_exceptions=True)
        await turns.take(1)
        return order

    assert asyncio.run(main()) == ['relay', 'leaf']
