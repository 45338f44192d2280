"""Runs one transfer to one member with in-memory fakes."""

import asyncio

from catkinshunt import spread
from catkinshunt.spread.tests import fakes

LOCAL_MEMBER = spread.Member('a0', 'a')
ALL_CHUNKS = {2: range(fakes.CHUNKS)}


class Transfer:
    """One transfer of version 2 to a member."""

    def __init__(self, peers=None, listed=(LOCAL_MEMBER,), **speeds):
        self.chunk_store = spread.ChunkStore(fakes.MODEL, 2)
        self.origin = fakes.FakeOrigin()
        self.peers = peers or fakes.FakePeers()
        self.byte_counter = fakes.Counter()
        self.staged = {}
        plan = spread.SourcePlan(
            LOCAL_MEMBER, listed, {}, fakes.MODEL, 2, fakes.CHUNKS
        )
        self.fetcher = spread.Fetcher(
            self.chunk_store,
            plan,
            self.peers,
            self.origin,
            asyncio.get_running_loop().time,
            self._stage_chunk,
            self.byte_counter,
            **speeds,
        )

    async def _stage_chunk(self, index, data):
        self.staged[index] = data

    async def run(self):
        async with asyncio.timeout(8):
            await self.fetcher.fetch_manifest()
            await self.fetcher.run()


def run_transfer(
    prepare=lambda transfer: None, run=asyncio.run, **options
):  # fmt: skip
    """Run a transfer modified by `prepare`, and return it.

    Args:
        prepare: function of the transfer.
        run: function that runs a coroutine on an event loop.
        **options: of the `Transfer`.
    """

    async def main():
        transfer = Transfer(**options)
        prepare(transfer)
        await transfer.run()
        return transfer

    return run(main())


def listed(*names, **versions):
    return [
        LOCAL_MEMBER,
        *(
            spread.Member(name, name[0], {fakes.MODEL: versions.get(name, 0)})
            for name in names
        ),
    ]
