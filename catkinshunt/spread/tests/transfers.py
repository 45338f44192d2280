"""Runs one transfer to one member, with its surroundings in memory."""

import asyncio

from catkinshunt import spread
from catkinshunt.spread.tests import fakes

ME = spread.Member('a0', 'a')
EVERY = {2: range(fakes.CHUNKS)}


class Transfer:
    """One transfer of version 2 to a member."""

    def __init__(self, peers=None, listed=(ME,), **speeds):
        self.chunk_store = spread.ChunkStore(fakes.MODEL, 2)
        self.origin = fakes.FakeOrigin()
        self.peers = peers or fakes.FakePeers()
        self.counter = fakes.Counter()
        self.kept = {}
        plan = spread.SourcePlan(ME, listed, {}, fakes.MODEL, 2, fakes.CHUNKS)
        self.fetcher = spread.Fetcher(
            self.chunk_store,
            plan,
            self.peers,
            self.origin,
            asyncio.get_running_loop().time,
            self._keep,
            self.counter,
            **speeds,
        )

    async def _keep(self, index, data):
        self.kept[index] = data

    async def run(self):
        async with asyncio.timeout(8):
            await self.fetcher.fetch_manifest()
            await self.fetcher.run()


def transfer(prepare=lambda found: None, **options):
    """Run a transfer after `prepare` has changed it; returns it."""

    async def main():
        found = Transfer(**options)
        prepare(found)
        await found.run()
        return found

    return asyncio.run(main())


def listed(*names, **versions):
    return [
        ME,
        *(
            spread.Member(name, name[0], {fakes.MODEL: versions.get(name, 0)})
            for name in names
        ),
    ]
