import asyncio

import loguru
import pytest

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _fetcher
from catkinshunt.spread import _health
from catkinshunt.spread import _speeds
from catkinshunt.spread.tests import fakes

ME = spread.Member('a0', 'a')
EVERY = {2: range(fakes.CHUNKS)}


class Transfer:
    """One transfer of version 2 to a member."""

    def __init__(self, peers=None, listed=(ME,), **speeds):
        self.holding = spread.Holding(fakes.MODEL, 2)
        self.origin = fakes.FakeOrigin()
        self.peers = peers or fakes.FakePeers()
        self.counter = fakes.Counter()
        self.kept = {}
        plan = spread.Plan(ME, listed, {}, fakes.MODEL, 2, fakes.CHUNKS)
        self.fetcher = spread.Fetcher(
            self.holding,
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


def test_a_single_member_takes_all_from_the_origin():
    found = transfer()
    assert found.holding.is_whole
    assert sorted(found.origin.given) == list(range(fakes.CHUNKS))
    assert found.kept == found.holding.chunks


def test_the_origin_is_released_after_use():
    """The origin takes few connections in all.

    Kept open by members that need them no more, they were missing to others
    for the rest of a transfer.
    """
    assert transfer().origin.released >= 2


def test_members_that_hold_it_spare_the_origin():
    peers = fakes.FakePeers(a1=EVERY, a2=EVERY)
    found = transfer(peers=peers, listed=listed('a1', 'a2', a1=2, a2=2))
    assert found.holding.is_whole
    assert not found.origin.given


def test_a_spoilt_chunk_is_fetched_again():
    """The origin sends a chunk that was damaged on its way.

    Loaded, it would give answers from damaged weights; its digest differs,
    so it is dropped and asked for again.
    """
    found = transfer(lambda t: t.origin.corrupt.update({1, 4}))
    assert found.holding.is_whole
    assert found.kept[1] == fakes.chunk(2, 1)


def test_a_member_that_sends_spoilt_chunks_is_left_for_others():
    peers = fakes.FakePeers(a1=EVERY)
    peers.corrupt.add('a1')
    found = transfer(peers=peers, listed=listed('a1', a1=2))
    assert found.holding.is_whole
    assert found.kept[0] == fakes.chunk(2, 0)


def test_a_member_that_died_is_left_for_others():
    """A member dies while it owes chunks to others.

    They notice that it does not answer and take its chunks elsewhere; the
    transfer must not wait for it.
    """
    peers = fakes.FakePeers(a1=EVERY)
    peers.dead.add('a1')
    found = transfer(peers=peers, listed=listed('a1', a1=2))
    assert found.holding.is_whole
    assert sorted(found.origin.given) == list(range(fakes.CHUNKS))


def test_a_member_that_never_gets_its_chunks_is_left_for_others():
    """A member lives but is cut off from the origin.

    It answers that it has no chunk yet, for ever. After a few times its
    share is taken elsewhere.
    """
    found = transfer(peers=fakes.FakePeers(), listed=listed('a1'))
    assert found.holding.is_whole


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

    peers = NarrowPeers(a1=EVERY, a2=EVERY)
    monkeypatch.setattr(
        spread.Plan,
        'sources',
        lambda self, index: ['a1' if index < 5 else 'a2', 'a2', 'origin'],
    )

    async def main():
        clock = asyncio.get_running_loop().time
        began = clock()
        found = Transfer(
            peers, listed('a1', 'a2', a1=2, a2=2), copy_s=lambda size: 0.4
        )
        await found.run()
        return found, clock() - began

    found, took_s = asyncio.run(main())
    assert found.holding.is_whole
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

    found = transfer(
        peers=SlowPeers(a1=EVERY, a2=EVERY),
        listed=listed('a1', 'a2', a1=2, a2=2),
        copy_s=lambda size: 0.05,
    )
    assert found.holding.is_whole
    assert not found.origin.given


def test_members_wait_for_the_owners_while_the_origin_is_down(monkeypatch):
    """The origin goes down in the middle of a transfer.

    Owners lack some chunks, and all others wait for them. When it is back,
    the owners must get them first: asked by every member for the same
    chunks, it would take seconds to answer any of them.
    """
    monkeypatch.setattr(_fetcher, 'RETRY_S', 0.01)

    class PatientPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relays=False):
            await asyncio.sleep(0.01)
            return await super().chunk(peer, model, version, indices, relays)

    async def main():
        held = {2: [0, 1, 2]}
        found = Transfer(PatientPeers(a1=held), listed('a1'))
        monkeypatch.setattr(
            spread.Plan, 'sources', lambda self, index: ['a1', 'origin']
        )
        await found.fetcher.fetch_manifest()
        found.origin.down = True
        running = asyncio.ensure_future(found.fetcher.run())
        await asyncio.sleep(0.3)
        found.origin.down = False
        await asyncio.sleep(0.3)
        held[2] = range(fakes.CHUNKS)
        async with asyncio.timeout(5):
            await running
        return found

    found = asyncio.run(main())
    assert found.holding.is_whole
    assert not found.origin.given


def test_an_owner_notices_at_once_that_the_origin_is_back(monkeypatch):
    """A version is named while the origin is away for seconds.

    Until its manifest is here nothing is fetched, and the time that passes
    after the return of the origin is missing when the version is due.
    """
    monkeypatch.setattr(_fetcher, 'RETRY_S', 0.01)

    async def main():
        found = Transfer(fakes.FakePeers(), [])
        found.origin.down = True
        asking = asyncio.ensure_future(found.fetcher.fetch_manifest())
        await asyncio.sleep(0.05)
        found.origin.down = False
        async with asyncio.timeout(_health.BLAME_S / 3):
            await asking

    asyncio.run(main())


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
        found = Transfer(
            peers, listed('a1', *nearby), origin_copy_s=lambda size: 4.0
        )
        monkeypatch.setattr(
            spread.Plan,
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

    assert asyncio.run(main()).holding.is_whole


def test_sources_that_are_all_gone_are_asked_now_and_then():
    """The owner of a chunk was removed, and the origin is down.

    Asked without a pause, the two cost each member 60 connections and log
    lines a second for as long as the origin was away.
    """

    async def main():
        found = Transfer(listed=listed('a1'))
        found.peers.dead.add('a1')
        await found.fetcher.fetch_manifest()
        found.origin.down = True
        running = asyncio.ensure_future(found.fetcher.run())
        await asyncio.sleep(1.0)
        asked = len(found.peers.asked)
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

    peers = LatePeers(a1=EVERY)
    found = transfer(
        peers=peers, listed=listed('a1', a1=2), origin_copy_s=lambda size: 3.0
    )
    assert found.holding.is_whole
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

    found = transfer(prepare, peers=EmptyPeers(a1=EVERY), listed=listed('a1'))
    assert found.holding.is_whole
    assert max(most) == 1


def test_a_transfer_that_lasts_tells_what_it_waits_for(monkeypatch):
    """The only source has nothing, so a version does not come.

    Without a line on it the log is silent until the transfer ends, and
    nobody can tell which source everyone waits for.
    """
    monkeypatch.setattr(_fetcher, 'REPORT_S', 0.01)
    lines = []
    sink = loguru.logger.add(lambda line: lines.append(line.record['extra']))

    async def main():
        found = Transfer(listed=listed('a1', a1=2))
        found.peers.shelves['a1'] = {2: range(1, fakes.CHUNKS)}
        found.fetcher.plan.sources = lambda index: ['a1']
        running = asyncio.ensure_future(found.run())
        while not any('waits_for' in line for line in lines):
            await asyncio.sleep(0.005)
        running.cancel()

    try:
        asyncio.run(main())
    finally:
        loguru.logger.remove(sink)
    (told,) = [line for line in lines if 'waits_for' in line]
    assert told['waits_for'] == {'a1': 1}
    assert told['given'] == {'a1': fakes.CHUNKS - 1}


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

    peers = UnablePeers(a2=EVERY)
    found = transfer(peers=peers, listed=listed('a1', 'a2', a1=2, a2=2))
    assert found.holding.is_whole
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

    peers = BusyPeers(a1=EVERY, a2=EVERY)
    found = transfer(prepare, peers=peers, listed=listed('a1', 'a2'))
    assert found.holding.is_whole
    assert [peer for peer, _ in peers.asked].count('a1') <= 2


def test_a_narrow_own_link_is_noticed(monkeypatch):
    """Far less comes here than to all others.

    Others wait for what this member is to pass on, so it lets them take it
    elsewhere from then on.
    """
    monkeypatch.setattr(_speeds, 'JUDGE_LINK_S', 0.01)

    class SlowPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relays=False):
            await asyncio.sleep(0.1)
            return await super().chunk(peer, model, version, indices, relays)

    names = ['a1', 'a2', 'a3']
    peers = SlowPeers(**dict.fromkeys(names, EVERY))
    peers.shares = dict.fromkeys(names, 0.9)

    def prepare(found):
        found.fetcher.plan.sources = lambda index: [
            names[index % 3],
            'origin',
        ]

    found = transfer(
        prepare, peers=peers, listed=listed(*names), copy_s=lambda size: 0.15
    )
    assert found.holding.is_whole
    assert found.holding.is_slow


def test_a_damaged_manifest_is_dropped():
    """The manifest itself is damaged on its way, so no chunk ever fits.

    Without this the transfer would refuse good chunks for ever.
    """

    async def main():
        found = Transfer()
        found.origin.bad_manifests = 1
        with pytest.raises(ExceptionGroup) as caught:
            await found.run()
        assert caught.group_contains(errors.ManifestError)
        assert found.holding.manifest is None
        again = Transfer()
        again.origin = found.origin
        await again.run()
        return again

    assert asyncio.run(main()).holding.is_whole


def test_an_origin_that_is_down_is_asked_again(monkeypatch):
    monkeypatch.setattr(_health, 'BLAME_S', 0.05)
    monkeypatch.setattr(_fetcher, 'RETRY_S', 0.01)

    async def main():
        found = Transfer()
        found.origin.down = True
        running = asyncio.ensure_future(found.run())
        for _ in range(50):
            await asyncio.sleep(0)
        found.origin.down = False
        await running
        return found

    assert asyncio.run(main()).holding.is_whole
