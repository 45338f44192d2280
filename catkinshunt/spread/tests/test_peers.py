import asyncio

import pytest

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread.tests import fakes


def test_a_waiting_chunk_is_given_as_soon_as_it_comes():
    async def main():
        holding = spread.Holding(fakes.MODEL, 2)
        holding.describe(fakes.manifest(2))
        waiting = asyncio.ensure_future(holding.wait_for_any([3, 4], 5.0))
        await asyncio.sleep(0)
        holding.put(4, fakes.chunk(2, 4))
        return await waiting, holding.find_any([3, 4])[0]

    assert asyncio.run(main()) == (True, 4)


def test_the_last_two_versions_are_kept():
    shelf = spread.Shelf()
    for version in (1, 2, 3):
        shelf.holding(fakes.MODEL, version)
    assert shelf.find(fakes.MODEL, 1) is None
    assert shelf.find(fakes.MODEL, 2) is not None


def test_chunks_go_between_sidecars():
    async def main():
        clock = asyncio.get_running_loop().time
        shelf = spread.Shelf()
        holding = shelf.holding(fakes.MODEL, 2)
        holding.describe(fakes.manifest(2))
        holding.put(3, fakes.chunk(2, 3))
        asked = []
        server = spread.ChunkServer(
            shelf,
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


def test_those_who_pass_chunks_on_go_first():
    async def main():
        turns = spread.Turns()
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
