import asyncio

import loguru
import pytest

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _fetcher
from catkinshunt.spread import _source_health
from catkinshunt.spread.tests import fakes
from catkinshunt.spread.tests import transfers


def test_a_single_member_takes_all_from_the_origin():
    found = transfers.transfer()
    assert found.chunk_store.is_complete
    assert sorted(found.origin.given) == list(range(fakes.CHUNKS))
    assert found.kept == found.chunk_store.chunks


def test_the_origin_is_released_after_use():
    """The origin takes few connections in all.

    Kept open by members that need them no more, they were missing to others
    for the rest of a transfer.
    """
    assert transfers.transfer().origin.released >= 2


def test_members_that_hold_it_spare_the_origin():
    peers = fakes.FakePeers(a1=transfers.EVERY, a2=transfers.EVERY)
    found = transfers.transfer(
        peers=peers, listed=transfers.listed('a1', 'a2', a1=2, a2=2)
    )
    assert found.chunk_store.is_complete
    assert not found.origin.given


def test_a_spoilt_chunk_is_fetched_again():
    """The origin sends a chunk that was damaged on its way.

    Loaded, it would give answers from damaged weights; its digest differs,
    so it is dropped and asked for again.
    """
    found = transfers.transfer(lambda t: t.origin.corrupt.update({1, 4}))
    assert found.chunk_store.is_complete
    assert found.kept[1] == fakes.chunk(2, 1)


def test_a_member_that_sends_spoilt_chunks_is_left_for_others():
    peers = fakes.FakePeers(a1=transfers.EVERY)
    peers.corrupt.add('a1')
    found = transfers.transfer(
        peers=peers, listed=transfers.listed('a1', a1=2)
    )
    assert found.chunk_store.is_complete
    assert found.kept[0] == fakes.chunk(2, 0)


def test_a_member_that_died_is_left_for_others():
    """A member dies while it owes chunks to others.

    They notice that it does not answer and take its chunks elsewhere; the
    transfer must not wait for it.
    """
    peers = fakes.FakePeers(a1=transfers.EVERY)
    peers.dead.add('a1')
    found = transfers.transfer(
        peers=peers, listed=transfers.listed('a1', a1=2)
    )
    assert found.chunk_store.is_complete
    assert sorted(found.origin.given) == list(range(fakes.CHUNKS))


def test_a_member_that_never_gets_its_chunks_is_left_for_others():
    """A member lives but is cut off from the origin.

    It answers that it has no chunk yet, for ever. After a few times its
    share is taken elsewhere.
    """
    found = transfers.transfer(
        peers=fakes.FakePeers(), listed=transfers.listed('a1')
    )
    assert found.chunk_store.is_complete


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
        found = transfers.Transfer(
            PatientPeers(a1=held), transfers.listed('a1')
        )
        monkeypatch.setattr(
            spread.SourcePlan, 'sources', lambda self, index: ['a1', 'origin']
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
    assert found.chunk_store.is_complete
    assert not found.origin.given


def test_an_owner_notices_at_once_that_the_origin_is_back(monkeypatch):
    """A version is named while the origin is away for seconds.

    Until its manifest is here nothing is fetched, and the time that passes
    after the return of the origin is missing when the version is due.
    """
    monkeypatch.setattr(_fetcher, 'RETRY_S', 0.01)

    async def main():
        found = transfers.Transfer(fakes.FakePeers(), [])
        found.origin.down = True
        asking = asyncio.ensure_future(found.fetcher.fetch_manifest())
        await asyncio.sleep(0.05)
        found.origin.down = False
        async with asyncio.timeout(_source_health.BLAME_S / 3):
            await asking

    asyncio.run(main())


def test_a_transfer_that_lasts_tells_what_it_waits_for(monkeypatch):
    """The only source has nothing, so a version does not come.

    Without a line on it the log is silent until the transfer ends, and
    nobody can tell which source everyone waits for.
    """
    monkeypatch.setattr(_fetcher, 'REPORT_S', 0.01)
    lines = []
    sink = loguru.logger.add(lambda line: lines.append(line.record['extra']))

    async def main():
        found = transfers.Transfer(listed=transfers.listed('a1', a1=2))
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


def test_a_damaged_manifest_is_dropped():
    """The manifest itself is damaged on its way, so no chunk ever fits.

    Without this the transfer would refuse good chunks for ever.
    """

    async def main():
        found = transfers.Transfer()
        found.origin.bad_manifests = 1
        with pytest.raises(ExceptionGroup) as caught:
            await found.run()
        assert caught.group_contains(errors.ManifestError)
        assert found.chunk_store.manifest is None
        again = transfers.Transfer()
        again.origin = found.origin
        await again.run()
        return again

    assert asyncio.run(main()).chunk_store.is_complete


def test_an_origin_that_is_down_is_asked_again(monkeypatch):
    monkeypatch.setattr(_source_health, 'BLAME_S', 0.05)
    monkeypatch.setattr(_fetcher, 'RETRY_S', 0.01)

    async def main():
        found = transfers.Transfer()
        found.origin.down = True
        running = asyncio.ensure_future(found.run())
        for _ in range(50):
            await asyncio.sleep(0)
        found.origin.down = False
        await running
        return found

    assert asyncio.run(main()).chunk_store.is_complete
