import asyncio

import loguru
import pytest

from catkinshunt import errors
from catkinshunt import spread
from catkinshunt.spread import _fetcher
from catkinshunt.spread import _source_health
from catkinshunt.spread.tests import fakes
from catkinshunt.spread.tests import transfers
from catkinshunt.tests import virtual_loop


def test_single_member_fetches_all_from_the_origin():
    transfer = transfers.run_transfer()
    assert transfer.chunk_store.is_complete
    assert sorted(transfer.origin.sent_chunks) == list(range(fakes.CHUNKS))
    assert transfer.staged == transfer.chunk_store.chunks


def test_origin_connections_are_released():
    """The origin accepts few connections.

    Connections kept open by members that no longer need them block other
    members for the rest of a transfer.
    """
    assert transfers.run_transfer().origin.released >= 2


def test_holders_are_preferred_to_the_origin():
    peers = fakes.FakePeers(a1=transfers.ALL_CHUNKS, a2=transfers.ALL_CHUNKS)
    transfer = transfers.run_transfer(
        peers=peers, listed=transfers.listed('a1', 'a2', a1=2, a2=2)
    )
    assert transfer.chunk_store.is_complete
    assert not transfer.origin.sent_chunks


def test_corrupt_chunk_is_fetched_again():
    """A chunk from the origin was corrupted in transit.

    An engine that loads it would serve damaged weights. Its digest differs, so
    it is dropped and fetched again.
    """
    transfer = transfers.run_transfer(
        lambda t: t.origin.corrupt.update({1, 4})
    )
    assert transfer.chunk_store.is_complete
    assert transfer.staged[1] == fakes.chunk(2, 1)


def test_member_that_sends_corrupt_chunks_is_replaced():
    peers = fakes.FakePeers(a1=transfers.ALL_CHUNKS)
    peers.corrupt.add('a1')
    transfer = transfers.run_transfer(
        peers=peers, listed=transfers.listed('a1', a1=2)
    )
    assert transfer.chunk_store.is_complete
    assert transfer.staged[0] == fakes.chunk(2, 0)


def test_dead_member_is_replaced():
    """A member crashes while it is the source of chunks for others.

    The transfer must fetch them elsewhere instead of waiting for it.
    """
    peers = fakes.FakePeers(a1=transfers.ALL_CHUNKS)
    peers.dead.add('a1')
    transfer = transfers.run_transfer(
        peers=peers, listed=transfers.listed('a1', a1=2)
    )
    assert transfer.chunk_store.is_complete
    assert sorted(transfer.origin.sent_chunks) == list(range(fakes.CHUNKS))


def test_member_that_never_receives_its_chunks_is_replaced():
    """A member is running, but has no access to the origin.

    It always replies that no chunk is available yet. After a few attempts its
    queue is fetched elsewhere.
    """
    transfer = transfers.run_transfer(
        peers=fakes.FakePeers(), listed=transfers.listed('a1')
    )
    assert transfer.chunk_store.is_complete


def test_members_wait_for_owners_while_the_origin_is_down(monkeypatch):
    """The origin goes down during a transfer.

    Owners lack some chunks, and all others wait for them. After the outage the
    owners must fetch them first: if every member requested the same chunks,
    the origin would take seconds for each.
    """
    monkeypatch.setattr(_fetcher, 'RETRY_S', 0.01)

    class PatientPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            await asyncio.sleep(0.01)
            return await super().chunk(peer, model, version, indices, relay)

    async def main():
        stored = {2: [0, 1, 2]}
        transfer = transfers.Transfer(
            PatientPeers(a1=stored), transfers.listed('a1')
        )
        monkeypatch.setattr(
            spread.SourcePlan, 'sources', lambda self, index: ['a1', 'origin']
        )
        await transfer.fetcher.fetch_manifest()
        transfer.origin.down = True
        running = asyncio.ensure_future(transfer.fetcher.run())
        await asyncio.sleep(0.3)
        transfer.origin.down = False
        await asyncio.sleep(0.3)
        stored[2] = range(fakes.CHUNKS)
        async with asyncio.timeout(5):
            await running
        return transfer

    transfer = asyncio.run(main())
    assert transfer.chunk_store.is_complete
    assert not transfer.origin.sent_chunks


def test_owner_detects_origin_recovery_at_once(monkeypatch):
    """A version is announced while the origin is down for seconds.

    No chunk is fetched without the manifest, so a late retry after the outage
    would delay the entire transfer.
    """
    monkeypatch.setattr(_fetcher, 'RETRY_S', 0.01)

    async def main():
        transfer = transfers.Transfer(fakes.FakePeers(), [])
        transfer.origin.down = True
        request = asyncio.ensure_future(transfer.fetcher.fetch_manifest())
        await asyncio.sleep(0.05)
        transfer.origin.down = False
        async with asyncio.timeout(_source_health.EXCLUSION_S / 3):
            await request

    asyncio.run(main())


def test_long_transfer_logs_pending_sources(monkeypatch):
    """The only source lacks a chunk, so the transfer does not end.

    Without a log line in between, the blocking source could not be found.
    """
    monkeypatch.setattr(_fetcher, 'REPORT_INTERVAL_S', 0.01)

    class SlowPeers(fakes.FakePeers):
        async def chunk(self, peer, model, version, indices, relay=False):
            # The virtual clock stands still while peers reply at once.
            await asyncio.sleep(0.001)
            return await super().chunk(peer, model, version, indices, relay)

    lines = []
    sink = loguru.logger.add(lambda line: lines.append(line.record['extra']))

    async def main():
        transfer = transfers.Transfer(
            SlowPeers(a1={2: range(1, fakes.CHUNKS)}),
            transfers.listed('a1', a1=2),
        )
        transfer.fetcher.plan.sources = lambda index: ['a1']
        running = asyncio.ensure_future(transfer.run())
        while not any('waits_for' in line for line in lines):
            await asyncio.sleep(0.005)
        running.cancel()

    try:
        virtual_loop.run(main())
    finally:
        loguru.logger.remove(sink)
    (reported,) = [line for line in lines if 'waits_for' in line]
    assert reported['waits_for'] == {'a1': 1}
    assert reported['given'] == {'a1': fakes.CHUNKS - 1}


def test_damaged_manifest_is_dropped():
    """The manifest was corrupted in transit, so no chunk matches it.

    The transfer would reject valid chunks forever.
    """

    async def main():
        transfer = transfers.Transfer()
        transfer.origin.bad_manifests = 1
        with pytest.raises(ExceptionGroup) as caught:
            await transfer.run()
        assert caught.group_contains(errors.ManifestError)
        assert transfer.chunk_store.manifest is None
        again = transfers.Transfer()
        again.origin = transfer.origin
        await again.run()
        return again

    assert asyncio.run(main()).chunk_store.is_complete


def test_unreachable_origin_is_retried(monkeypatch):
    monkeypatch.setattr(_source_health, 'EXCLUSION_S', 0.05)
    monkeypatch.setattr(_fetcher, 'RETRY_S', 0.01)

    async def main():
        transfer = transfers.Transfer()
        transfer.origin.down = True
        running = asyncio.ensure_future(transfer.run())
        for _ in range(50):
            await asyncio.sleep(0)
        transfer.origin.down = False
        await running
        return transfer

    assert asyncio.run(main()).chunk_store.is_complete
