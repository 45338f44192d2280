import asyncio
import contextlib
import json

from catkinshunt import catalog as catalogs
from catkinshunt import platform
from catkinshunt.platform import _documents
from catkinshunt.platform import _origin_publisher
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import test_documents as documents


def declare(catalog, address, version=1):
    """Apply a configuration that names an origin."""
    services = [{'name': 'origin', 'origin': address, 'zone': 'a'}]
    document = documents.configuration(services=services, version=version)
    catalog.declare(platform.parse_declaration(json.dumps(document).encode()))


@contextlib.asynccontextmanager
async def running(store, names):
    """Run the publisher of each entry; yields their catalogs."""
    found, tasks = [], []
    for name in names:
        live_entries = catalogs.LiveEntries()
        live_entries.replace(names)
        catalog = catalogs.Catalog()
        key = _origin_publisher.OriginPublisher(
            store, catalog, live_entries, name
        )
        tasks.append(asyncio.ensure_future(key.run()))
        found.append(catalog)
    try:
        yield found
    finally:
        for task in tasks:
            task.cancel()


def published(store):
    """Return the published IP address of the origin, or None."""
    item = store.items.get(_documents.ORIGIN_KEY)
    return item and _documents.parse_published_origin(item.value).address[0]


def test_few_entries_publish_the_origin(monkeypatch):
    """Calls of the store cost money, and their rate is limited."""
    monkeypatch.setattr(_origin_publisher, 'CHECK_PERIOD_S', 0.01)

    async def main():
        store = fakes.FakeStore()
        names = [f'entry-{number}' for number in range(8)]
        async with running(store, names) as found:
            for catalog in found:
                declare(catalog, '10.9.9.9:80')
            await fakes.wait_until(lambda: published(store) == '10.9.9.9')
            for _ in range(10):
                await asyncio.sleep(0.01)
            calls = len(store.calls)
            for catalog in found:
                declare(catalog, '10.9.9.8:80', version=2)
            await fakes.wait_until(lambda: published(store) == '10.9.9.8')
        return calls

    assert asyncio.run(main()) <= 2 * _origin_publisher.WRITER_COUNT


def test_origin_is_published_after_an_outage(monkeypatch):
    monkeypatch.setattr(_origin_publisher, 'CHECK_PERIOD_S', 0.01)

    async def main():
        store = fakes.FakeStore()
        store.is_down = True
        async with running(store, ['entry-1']) as (catalog,):
            declare(catalog, '10.9.9.9:80')
            await fakes.wait_until(lambda: store.calls)
            store.is_down = False
            await fakes.wait_until(lambda: published(store) == '10.9.9.9')

    asyncio.run(main())
