"""Sources that are slow, late, silent or gone."""

import asyncio

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _fetcher
from catkinshunt.spread import _source_speeds
from catkinshunt.spread.tests import fakes
from catkinshunt.spread.tests import transfers


def test_a_narrow_member_does_not_hold_up_the_rest(monkeypatch):
    """The link of one member is narrowed to a quarter.

    It goes on giving a chunk now and then, so nothing fails; but all who
    wait for its share are late (a copy took 15 s instead of 6). Most of its
    share is taken elsewhere once the others are done.
    """

    class NarrowPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relays=False):
            if peer == 'a1':
                await asyncio.sleep(0.3)
            return await super().chunk(peer, model, version, indices, relays)

    peers = NarrowPeers(a1=transfers.EVERY, a2=transfers.EVERY)
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


def test_sources_that_are_all_slow_keep_their_share():
    """The link of the member that fetches is narrow itself.

    Every source looks slow then; asked of the origin too, the chunks would
    not come sooner, and its bytes are dear.
    """

    class SlowPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relays=False):
            await asyncio.sleep(0.1)
            return await super().chunk(peer, model, version, indices, relays)

    found = transfers.transfer(
        peers=SlowPeers(a1=transfers.EVERY, a2=transfers.EVERY),
        listed=transfers.listed('a1', 'a2', a1=2, a2=2),
        copy_s=lambda size: 0.05,
    )
    assert found.chunk_store.is_complete
    assert not found.origin.given


def test_members_that_wait_themselves_do_not_hold_up_a_chunk(monkeypatch):
    """The origin is down for longer than the owner of a chunk is asked.

    The others nearby wait for this member to pass the chunk on. Asked as
    often as the owner, they kept it for seconds after the owner had it, and
    whole data centres lacked one chunk of 96 when the version was due.
    """
    monkeypatch.setattr(_fetcher, 'RETRY_S', 0.01)
    wait_s = 0.1

    class WaitingPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relays=False):
            if not self.shelves[peer][2]:
                await asyncio.sleep(wait_s)
            return await super().chunk(peer, model, version, indices, relays)

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
        peers.shelves['a1'][2] = range(fakes.CHUNKS)
        async with asyncio.timeout(8 * wait_s):
            await running
        return found

    assert asyncio.run(main()).chunk_store.is_complete


def test_sources_that_are_all_gone_are_asked_now_and_then():
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
        asked = len(found.peers.asked) + found.origin.asks
        found.origin.down = False
        async with asyncio.timeout(5):
            await running
        return asked

    assert asyncio.run(main()) < 20


def test_a_slow_origin_is_not_asked_by_all():
    """The origin is slow, so an owner has nothing for some seconds.

    Had the others no patience, all would turn to the origin, and it would
    be slower still. The owner gets its chunk after four empty answers.
    """

    class LatePeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relays=False):
            if len(self.asked) < 4:
                self.asked.append(peer)
                raise errors.SourceBusyError('not there yet', peer=peer)
            return await super().chunk(peer, model, version, indices, relays)

    peers = LatePeers(a1=transfers.EVERY)
    found = transfers.transfer(
        peers=peers,
        listed=transfers.listed('a1', a1=2),
        origin_copy_s=lambda size: 3.0,
    )
    assert found.chunk_store.is_complete
    assert not found.origin.given


def test_a_source_is_asked_by_one_worker_only():
    """The only source has nothing for a while.

    Its chunks come back to it each time its patience ends. If each time one
    more worker asked for them, every chunk would come several times.
    """
    asking = []

    class EmptyPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relays=False):
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
        peers=EmptyPeers(a1=transfers.EVERY),
        listed=transfers.listed('a1'),
    )
    assert found.chunk_store.is_complete
    assert max(most) == 1


def test_a_source_that_will_not_have_it_is_left_at_once():
    """A member does not fetch the version that others await from it.

    Asked again and again, as one that is about to have it, it held up its
    share for seconds.
    """

    class UnablePeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relays=False):
            if peer == 'a1':
                self.asked.append((peer, tuple(indices)))
                raise errors.SourceUnableError('not fetched', peer=peer)
            return await super().chunk(peer, model, version, indices, relays)

    peers = UnablePeers(a2=transfers.EVERY)
    found = transfers.transfer(
        peers=peers, listed=transfers.listed('a1', 'a2', a1=2, a2=2)
    )
    assert found.chunk_store.is_complete
    assert [peer for peer, _ in peers.asked].count('a1') == 1
    assert not found.origin.given


def test_an_idle_source_gives_what_a_busy_one_is_slow_to_give():
    """One member has far more to give than the others.

    It stands in for some that died, and all would wait for the last of its
    chunks, though others nearby have got them by then.
    """

    class BusyPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relays=False):
            if peer == 'a1':
                await asyncio.sleep(0.2)
            return await super().chunk(peer, model, version, indices, relays)

    def prepare(found):
        found.fetcher.plan.sources = lambda index: [
            'a2' if index == 0 else 'a1',
            'origin',
        ]

    peers = BusyPeers(a1=transfers.EVERY, a2=transfers.EVERY)
    found = transfers.transfer(
        prepare, peers=peers, listed=transfers.listed('a1', 'a2')
    )
    assert found.chunk_store.is_complete
    assert [peer for peer, _ in peers.asked].count('a1') <= 2


def test_a_narrow_own_link_is_noticed(monkeypatch):
    """Far less comes here than to all others.

    Others wait for what this member is to pass on, so it lets them take it
    elsewhere from then on.
    """
    monkeypatch.setattr(_source_speeds, 'JUDGE_LINK_S', 0.01)

    class SlowPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relays=False):
            await asyncio.sleep(0.1)
            return await super().chunk(peer, model, version, indices, relays)

    names = ['a1', 'a2', 'a3']
    peers = SlowPeers(**dict.fromkeys(names, transfers.EVERY))
    peers.shares = dict.fromkeys(names, 0.9)

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
    assert found.chunk_store.is_slow
