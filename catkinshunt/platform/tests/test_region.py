import asyncio
import random

from catkinshunt import catalog as catalogs
from catkinshunt import platform
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import test_documents as documents


def test_entries_of_one_region_read_a_configuration_once():
    """A configuration of 1,600 routes is read by every entry.

    Five changes within four seconds then take eleven seconds over a link
    between two regions, and an entry at its far end answers by rules that
    are over three seconds old: a caller of an added path gets a 404.
    """

    async def main():
        loop = asyncio.get_running_loop()
        store = fakes.FakeStore()
        store.put('op/config', documents.configuration())
        mirrors = [
            platform.Mirror(
                store,
                catalogs.Catalog(),
                catalogs.Roster(),
                loop.time,
                random.Random(number),
            )
            for number in range(3)
        ]
        tasks = [asyncio.ensure_future(mirror.run()) for mirror in mirrors]
        try:
            await fakes.until(
                lambda: all(m.catalog.declaration for m in mirrors)
            )
            store.sent.clear()
            store.put('op/config', documents.configuration(version=9))
            await fakes.until(
                lambda: all(
                    m.catalog.declaration.revision == 9 for m in mirrors
                )
            )
        finally:
            for task in tasks:
                task.cancel()
        return store.sent.count('op/config')

    assert asyncio.run(main()) == 1
