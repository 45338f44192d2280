import asyncio
import contextlib

from catkinshunt import catalog as catalogs
from catkinshunt.platform import _documents
from catkinshunt.platform import _quarantine_publisher
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import regions
from catkinshunt import quarantine

NAMES = [f'entry-{number}' for number in range(6)]
REQUEST = 'f' * 32


@contextlib.asynccontextmanager
async def publishing(store, monkeypatch):
    """Run the publisher of each entry; yields their quarantines."""
    monkeypatch.setattr(_quarantine_publisher, 'CHECK_PERIOD_S', 0.01)
    boottime = asyncio.get_running_loop().time
    found, tasks = [], []
    for name in NAMES:
        live_entries = catalogs.LiveEntries()
        live_entries.replace(NAMES)
        quarantined = quarantine.Quarantine()
        keys = _quarantine_publisher.QuarantinePublisher(
            store, quarantined, live_entries, name, boottime
        )
        tasks.append(asyncio.ensure_future(keys.run()))
        found.append(quarantined)
    try:
        yield found
    finally:
        for task in tasks:
            task.cancel()


def quarantine_request(found, for_s=quarantine.QUARANTINE_S):
    now = asyncio.get_running_loop().time()
    for quarantined in found:
        quarantined.add(REQUEST, for_s, now)


def test_few_entries_publish_a_quarantined_request_once(monkeypatch):
    """Calls of the store cost money, and their rate is limited."""

    async def main():
        store = fakes.FakeStore()
        async with publishing(store, monkeypatch) as found:
            quarantine_request(found)
            key = _documents.quarantine_key(REQUEST)
            await fakes.wait_until(lambda: key in store.items)
            await asyncio.sleep(0.1)
            return store.calls, store.granted_s

    calls, granted_s = asyncio.run(main())
    assert calls.count('write') <= _quarantine_publisher.WRITER_COUNT
    assert max(granted_s) <= quarantine.QUARANTINE_S


def test_quarantine_is_published_after_an_outage(monkeypatch):
    async def main():
        store = fakes.FakeStore()
        store.is_down = True
        async with publishing(store, monkeypatch) as found:
            quarantine_request(found)
            await fakes.wait_until(lambda: store.calls)
            store.is_down = False
            key = _documents.quarantine_key(REQUEST)
            await fakes.wait_until(lambda: key in store.items)

    asyncio.run(main())


def test_quarantine_survives_a_restart_of_all_entries():
    """The gossip is lost, so the request would crash further upstreams."""

    async def main():
        region = regions.Region()
        key = _documents.quarantine_key(REQUEST)
        region.store.put(key, _documents.dump_quarantine(60.0))
        region.store.put(_documents.quarantine_key('odd'), b'nonsense')
        async with region.running():
            return [
                (
                    entry.quarantined.remaining_s(REQUEST, entry.boottime()),
                    entry.quarantined.remaining_s('odd', entry.boottime()),
                )
                for entry in region.entries
            ]

    for left_s, invalid_s in asyncio.run(main()):
        assert 50.0 < left_s <= 60.0
        assert invalid_s == 0.0


def test_quarantine_reaches_entries_through_the_store():
    async def main(region):
        key = _documents.quarantine_key(REQUEST)
        region.store.put(key, _documents.dump_quarantine(60.0))
        await region.wait_until(
            lambda e: e.quarantined.remaining_s(REQUEST, e.boottime()) > 0.0
        )

    regions.run(main)
