"""Sources that are slow, late, silent or gone."""

import asyncio

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _fetcher
from catkinshunt.spread import _source_speeds
from catkinshunt.spread.tests import fakes
from catkinshunt.spread.tests import transfers


def test_chunks_queued_at_a_slow_source_fail_over(monkeypatch):
    """The link of one member is narrowed to a quarter.

    It goes on giving a chunk now and then, so nothing fails; but all who
    wait for its share are late (a copy took 15 s instead of 6). Most of its
    share is taken elsewhere once the others are done.
    """

    class NarrowPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            if peer == 'a1':
                await asyncio.sleep(0.3)
            return await super().chunk(peer, model, version, indices, relay)

    peers = NarrowPeers(a1=transfers.ALL_CHUNKS, a2=transfers.ALL_CHUNKS)
    monkeypatch.setattr(
        spread.SourcePlan,
        'sources',
        lambda self, index: ['a1' if index < 5 else 'a2', 'a2', 'origin'],
    )

    async def main():
        clock = asyncio.get_running_loop().time
        began = clock()
        found = transfers.Transfer(
            peers,
            transfers.listed('a1', 'a2', a1=2, a2=2),
            copy_s=lambda size: 0.4,
        )
        await found.run()
        return found, clock() - began

    found, took_s = asyncio.run(main())
    assert found.chunk_store.is_complete
    assert took_s < 1.0


def test_equally_slow_sources_keep_their_queues():
    """The link of the member that fetches is narrow itself.

    Every source looks slow then; asked of the origin too, the chunks would
    not come sooner, and its bytes are dear.
    """

    class SlowPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            await asyncio.sleep(0.1)
            return await super().chunk(peer, model, version, indices, relay)

    found = transfers.transfer(
        peers=SlowPeers(a1=transfers.ALL_CHUNKS, a2=transfers.ALL_CHUNKS),
        listed=transfers.listed('a1', 'a2', a1=2, a2=2),
        copy_s=lambda size: 0.05,
    )
    assert found.chunk_store.is_complete
    assert not found.origin.sent_chunks


def test_members_without_the_chunk_do_not_delay_it(monkeypatch):
    """The origin is down for longer than the owner of a chunk is asked.

    The others nearby wait for this member to pass the chunk on. Asked as
    often as the owner, they kept it for seconds after the owner had it, and
    whole data centres lacked one chunk of 96 when the version was due.
    """
    monkeypatch.setattr(_fetcher, 'RETRY_S', 0.01)
    wait_s = 0.1

    class WaitingPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            if not self.stores[peer][2]:
                await asyncio.sleep(wait_s)
            return await super().chunk(peer, model, version, indices, relay)

    async def main():
        nearby = ['a2', 'a3', 'a4', 'a5']
        peers = WaitingPeers(a1={2: []}, **{name: {2: []} for name in nearby})
        found = transfers.Transfer(
            peers,
            transfers.listed('a1', *nearby),
            origin_copy_s=lambda size: 4.0,
        )
        monkeypatch.setattr(
            spread.SourcePlan,
            'sources',
            lambda self, index: ['a1', *nearby, 'origin'],
        )
        await found.fetcher.fetch_manifest()
        found.origin.down = True
        running = asyncio.ensure_future(found.fetcher.run())
        await asyncio.sleep(0.9)
        peers.stores['a1'][2] = range(fakes.CHUNKS)
        async with asyncio.timeout(8 * wait_s):
            await running
        return found

    assert asyncio.run(main()).chunk_store.is_complete


def test_unreachable_sources_are_retried_with_a_pause():
    """The owner of a chunk was removed, and the origin is down.

    Asked without a pause, the two cost each member 60 connections and log
    lines a second for as long as the origin was away.
    """

    async def main():
        found = transfers.Transfer(listed=transfers.listed('a1'))
        found.peers.dead.add('a1')
        await found.fetcher.fetch_manifest()
        found.origin.down = True
        running = asyncio.ensure_future(found.fetcher.run())
        await asyncio.sleep(1.0)
        asked = len(found.peers.requested) + found.origin.requests
        found.origin.down = False
        async with asyncio.timeout(5):
            await running
        return asked

    assert asyncio.run(main()) < 20


def test_slow_owner_does_not_cause_origin_fetches():
    """The origin is slow, so an owner has nothing for some seconds.

    Had the others no patience, all would turn to the origin, and it would
    be slower still. The owner gets its chunk after four empty answers.
    """

    class LatePeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            if len(self.requested) < 4:
                self.requested.append(peer)
                raise errors.SourceBusyError('not there yet', peer=peer)
            return await super().chunk(peer, model, version, indices, relay)

    peers = LatePeers(a1=transfers.ALL_CHUNKS)
    found = transfers.transfer(
        peers=peers,
        listed=transfers.listed('a1', a1=2),
        origin_copy_s=lambda size: 3.0,
    )
    assert found.chunk_store.is_complete
    assert not found.origin.sent_chunks


def test_source_has_one_worker():
    """The only source has nothing for a while.

    Its chunks come back to it each time its patience ends. If each time one
    more worker asked for them, every chunk would come several times.
    """
    asking = []

    class EmptyPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            asking.append(1)
            most.append(len(asking))
            try:
                await asyncio.sleep(0.005)
                if len(most) < 40:
                    raise errors.SourceBusyError('not there yet', peer=peer)
                return await super().chunk(peer, model, version, indices)
            finally:
                asking.pop()

    most = []

    def prepare(found):
        found.fetcher.plan.sources = lambda index: ['a1']

    found = transfers.transfer(
        prepare,
        peers=EmptyPeers(a1=transfers.ALL_CHUNKS),
        listed=transfers.listed('a1'),
    )
    assert found.chunk_store.is_complete
    assert max(most) == 1


def test_source_without_the_version_is_dropped_at_once():
    """A member does not fetch the version that others await from it.

    Asked again and again, as one that is about to have it, it held up its
    share for seconds.
    """

    class UnablePeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            if peer == 'a1':
                self.requested.append((peer, tuple(indices)))
                raise errors.SourceUnableError('not fetched', peer=peer)
            return await super().chunk(peer, model, version, indices, relay)

    peers = UnablePeers(a2=transfers.ALL_CHUNKS)
    found = transfers.transfer(
        peers=peers, listed=transfers.listed('a1', 'a2', a1=2, a2=2)
    )
    assert found.chunk_store.is_complete
    assert [peer for peer, _ in peers.requested].count('a1') == 1
    assert not found.origin.sent_chunks


def test_idle_source_steals_work_from_a_busy_one():
    """One member has far more to give than the others.

    It stands in for some that died, and all would wait for the last of its
    chunks, though others nearby have got them by then.
    """

    class BusyPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            if peer == 'a1':
                await asyncio.sleep(0.2)
            return await super().chunk(peer, model, version, indices, relay)

    def prepare(found):
        found.fetcher.plan.sources = lambda index: [
            'a2' if index == 0 else 'a1',
            'origin',
        ]

    peers = BusyPeers(a1=transfers.ALL_CHUNKS, a2=transfers.ALL_CHUNKS)
    found = transfers.transfer(
        prepare, peers=peers, listed=transfers.listed('a1', 'a2')
    )
    assert found.chunk_store.is_complete
    assert [peer for peer, _ in peers.requested].count('a1') <= 2


def test_narrow_own_link_disables_uploads(monkeypatch):
    """Far less comes here than to all others.

    Others wait for what this member is to pass on, so it lets them take it
    elsewhere from then on.
    """
    monkeypatch.setattr(_source_speeds, 'LINK_CHECK_AFTER_S', 0.01)

    class SlowPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            await asyncio.sleep(0.1)
            return await super().chunk(peer, model, version, indices, relay)

    names = ['a1', 'a2', 'a3']
    peers = SlowPeers(**dict.fromkeys(names, transfers.ALL_CHUNKS))
    peers.reported_shares = dict.fromkeys(names, 0.9)

    def prepare(found):
        found.fetcher.plan.sources = lambda index: [
            names[index % 3],
            'origin',
        ]

    found = transfers.transfer(
        prepare,
        peers=peers,
        listed=transfers.listed(*names),
        copy_s=lambda size: 0.15,
    )
    assert found.chunk_store.is_complete
    assert found.chunk_store.is_upload_disabled
