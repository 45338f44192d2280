"""Transfers from slow, late, unresponsive and dead sources."""

import asyncio

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _fetcher
from catkinshunt.spread import _source_speeds
from catkinshunt.spread.tests import fakes
from catkinshunt.spread.tests import transfers
from catkinshunt.tests import virtual_loop


def test_chunks_queued_at_a_slow_source_fail_over(monkeypatch):
    """The link of one member runs at a quarter of its speed.

    It still sends a chunk now and then, so no request fails, but all members
    wait for its queue (a copy takes 15 s instead of 6 s). Most of the queue
    must fail over once the other queues are empty.
    """

    class SlowPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            if peer == 'a1':
                await asyncio.sleep(0.3)
            return await super().chunk(peer, model, version, indices, relay)

    peers = SlowPeers(a1=transfers.ALL_CHUNKS, a2=transfers.ALL_CHUNKS)
    monkeypatch.setattr(
        spread.SourcePlan,
        'sources',
        lambda self, index: ['a1' if index < 5 else 'a2', 'a2', 'origin'],
    )

    async def main():
        clock = asyncio.get_running_loop().time
        began = clock()
        transfer = transfers.Transfer(
            peers,
            transfers.listed('a1', 'a2', a1=2, a2=2),
            copy_s=lambda size: 0.4,
        )
        await transfer.run()
        return transfer, clock() - began

    transfer, took_s = asyncio.run(main())
    assert transfer.chunk_store.is_complete
    assert took_s < 1.0


def test_equally_slow_sources_keep_their_queues():
    """The fetching member has a slow link, so all sources seem slow.

    Fetching from the origin would not be faster, and its bytes are costly.
    """

    class SlowPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            await asyncio.sleep(0.1)
            return await super().chunk(peer, model, version, indices, relay)

    transfer = transfers.run_transfer(
        peers=SlowPeers(a1=transfers.ALL_CHUNKS, a2=transfers.ALL_CHUNKS),
        listed=transfers.listed('a1', 'a2', a1=2, a2=2),
        copy_s=lambda size: 0.05,
    )
    assert transfer.chunk_store.is_complete
    assert not transfer.origin.sent_chunks


def test_members_without_the_chunk_do_not_delay_it(monkeypatch):
    """The origin is down for longer than the owner of a chunk is retried.

    The local members wait for this one to relay the chunk. Tried as often as
    the owner, they delay it by seconds, and entire data centres lack one chunk
    of 96 when the version is due.
    """
    monkeypatch.setattr(_fetcher, 'RETRY_S', 0.01)
    wait_s = 0.1

    class WaitingPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            if not self.stores[peer][2]:
                await asyncio.sleep(wait_s)
            return await super().chunk(peer, model, version, indices, relay)

    async def main():
        local_names = ['a2', 'a3', 'a4', 'a5']
        peers = WaitingPeers(
            a1={2: []}, **{name: {2: []} for name in local_names}
        )
        transfer = transfers.Transfer(
            peers,
            transfers.listed('a1', *local_names),
            origin_copy_s=lambda size: 4.0,
        )
        monkeypatch.setattr(
            spread.SourcePlan,
            'sources',
            lambda self, index: ['a1', *local_names, 'origin'],
        )
        await transfer.fetcher.fetch_manifest()
        transfer.origin.down = True
        running = asyncio.ensure_future(transfer.fetcher.run())
        await asyncio.sleep(0.9)
        peers.stores['a1'][2] = range(fakes.CHUNKS)
        async with asyncio.timeout(8 * wait_s):
            await running
        return transfer

    assert asyncio.run(main()).chunk_store.is_complete


def test_unreachable_sources_are_retried_with_a_pause():
    """The owner of a chunk was removed, and the origin is down.

    Retried without a pause, they cause 60 connections and log lines a second
    on each member during the outage.
    """

    async def main():
        transfer = transfers.Transfer(listed=transfers.listed('a1'))
        transfer.peers.dead.add('a1')
        await transfer.fetcher.fetch_manifest()
        transfer.origin.down = True
        running = asyncio.ensure_future(transfer.fetcher.run())
        await asyncio.sleep(1.0)
        request_count = (
            len(transfer.peers.requested) + transfer.origin.requests
        )
        transfer.origin.down = False
        async with asyncio.timeout(5):
            await running
        return request_count

    assert asyncio.run(main()) < 20


def test_slow_owner_does_not_cause_origin_fetches():
    """The origin is slow, so an owner has no chunks for some seconds.

    If the others used the origin at once, it would be even slower. Here the
    owner receives its chunk after four replies without one.
    """

    class LatePeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            if len(self.requested) < 4:
                self.requested.append(peer)
                raise errors.SourceBusyError('not there yet', peer=peer)
            return await super().chunk(peer, model, version, indices, relay)

    peers = LatePeers(a1=transfers.ALL_CHUNKS)
    transfer = transfers.run_transfer(
        peers=peers,
        listed=transfers.listed('a1', a1=2),
        origin_copy_s=lambda size: 3.0,
    )
    assert transfer.chunk_store.is_complete
    assert not transfer.origin.sent_chunks


def test_source_has_one_worker():
    """The only source has no chunks for a while.

    Its queue is reassigned to it each time. If each time another worker were
    started, every chunk would be fetched several times.
    """
    active = []

    class EmptyPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            active.append(1)
            concurrency.append(len(active))
            try:
                await asyncio.sleep(0.005)
                if len(concurrency) < 40:
                    raise errors.SourceBusyError('not there yet', peer=peer)
                return await super().chunk(peer, model, version, indices)
            finally:
                active.pop()

    concurrency = []

    def prepare(transfer):
        transfer.fetcher.plan.sources = lambda index: ['a1']

    transfer = transfers.run_transfer(
        prepare,
        peers=EmptyPeers(a1=transfers.ALL_CHUNKS),
        listed=transfers.listed('a1'),
    )
    assert transfer.chunk_store.is_complete
    assert max(concurrency) == 1


def test_source_without_the_version_is_dropped_at_once():
    """A member does not fetch the version that others request from it.

    Retried like a member that is about to have it, it delays its queue by
    seconds.
    """

    class UnablePeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            if peer == 'a1':
                self.requested.append((peer, tuple(indices)))
                raise errors.SourceUnableError('not fetched', peer=peer)
            return await super().chunk(peer, model, version, indices, relay)

    peers = UnablePeers(a2=transfers.ALL_CHUNKS)
    transfer = transfers.run_transfer(
        peers=peers, listed=transfers.listed('a1', 'a2', a1=2, a2=2)
    )
    assert transfer.chunk_store.is_complete
    assert [peer for peer, _ in peers.requested].count('a1') == 1
    assert not transfer.origin.sent_chunks


def test_idle_source_steals_work_from_a_busy_one():
    """One member has a far longer queue than the others.

    It is the failover owner for dead members. All would wait for its last
    chunks, although other local members have received them by then.
    """

    class BusyPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            if peer == 'a1':
                await asyncio.sleep(0.2)
            return await super().chunk(peer, model, version, indices, relay)

    def prepare(transfer):
        transfer.fetcher.plan.sources = lambda index: [
            'a2' if index == 0 else 'a1',
            'origin',
        ]

    peers = BusyPeers(a1=transfers.ALL_CHUNKS, a2=transfers.ALL_CHUNKS)
    transfer = transfers.run_transfer(
        prepare, peers=peers, listed=transfers.listed('a1', 'a2')
    )
    assert transfer.chunk_store.is_complete
    assert [peer for peer, _ in peers.requested].count('a1') <= 2


def test_slow_local_link_disables_uploads(monkeypatch):
    """This member receives far less than all others.

    Others wait for the chunks that it should relay, so it stops serving and
    they fetch the chunks elsewhere.
    """
    monkeypatch.setattr(_source_speeds, 'LINK_CHECK_AFTER_S', 0.01)

    class SlowPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            await asyncio.sleep(0.1)
            return await super().chunk(peer, model, version, indices, relay)

    names = ['a1', 'a2', 'a3']
    peers = SlowPeers(**dict.fromkeys(names, transfers.ALL_CHUNKS))
    peers.reported_shares = dict.fromkeys(names, 0.9)

    def prepare(transfer):
        transfer.fetcher.plan.sources = lambda index: [
            names[index % 3],
            'origin',
        ]

    transfer = transfers.run_transfer(
        prepare,
        run=virtual_loop.run,
        peers=peers,
        listed=transfers.listed(*names),
        copy_s=lambda size: 0.15,
    )
    assert transfer.chunk_store.is_complete
    assert transfer.chunk_store.is_upload_disabled
