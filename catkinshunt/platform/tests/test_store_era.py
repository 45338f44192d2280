import asyncio

import pytest

from catkinshunt import metrics
from catkinshunt import platform
from catkinshunt.platform import _process
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import regions
from catkinshunt.platform.tests import test_cache_updater
from catkinshunt.platform.tests import test_documents as documents
from catkinshunt.platform.tests import test_settings

#: Seconds for which entries are observed after the store went back.
OBSERVED_S = 1.0
#: Seconds after which entries wait for the next change of the store.
SETTLED_S = 0.4

LEAVING = {**documents.UPSTREAM, 'state': 'draining'}


def ids(entry):
    """Return the upstreams that get new requests of an entry."""
    found = entry.catalog.upstreams('engines', entry.boottime())
    return {upstream.id for upstream in found}


def write_more(store, count):
    """Write keys that concern no entry."""
    for number in range(count):
        store.put(f'op/other/{number}', {})


async def observe(region, look, for_s=OBSERVED_S):
    """Return the set of what `look` returns for all entries meanwhile."""
    found = set()
    loop = asyncio.get_running_loop()
    until = loop.time() + for_s
    while loop.time() < until:
        found.update(map(look, region.entries))
        await asyncio.sleep(0.005)
    return found


@pytest.mark.parametrize(
    'several',
    [(regions.REGION,), regions.TWO_REGIONS],
    ids=['one-region', 'two-regions'],
)
def test_older_copy_of_the_store_returns_no_leaving_upstream(several):
    """The copy lists an upstream as ready that has said that it leaves.

    Requests would be sent to it until it lapses.
    """

    async def main(region):
        store = region.store
        store.put('servers/i-2', documents.UPSTREAM)
        await region.wait_until(lambda entry: ids(entry) == {'i-1', 'i-2'})
        former = store.take_copy()
        store.put('servers/i-1', LEAVING)
        write_more(store, 3)
        await region.wait_until(lambda entry: ids(entry) == {'i-2'})
        await asyncio.sleep(SETTLED_S)
        store.go_back(former)
        await asyncio.sleep(0.05)
        # The counter passes the revision that the entries have read.
        write_more(store, 10)
        seen = await observe(region, lambda entry: frozenset(ids(entry)))
        store.put('servers/i-1', {**documents.UPSTREAM, 'born': 2})
        await region.wait_until(lambda entry: ids(entry) == {'i-1', 'i-2'})
        return seen

    assert regions.run(main, several) == {frozenset({'i-2'})}


@pytest.mark.parametrize(
    ('several', 'outage_s'),
    [
        ((regions.REGION,), 0.0),
        (regions.TWO_REGIONS, 0.0),
        (regions.TWO_REGIONS, 1.0),
    ],
)
def test_a_change_of_era_does_not_send_all_to_the_store(several, outage_s):
    """All entries would read everything over one link at the same time."""

    async def main(region):
        store = region.store
        former = store.take_copy()
        store.put('servers/i-2', documents.UPSTREAM)
        await region.wait_until(lambda entry: ids(entry) == {'i-1', 'i-2'})
        await asyncio.sleep(SETTLED_S)
        for entry in region.entries:
            entry.store.is_rejecting = bool(outage_s)
        await asyncio.sleep(outage_s)
        store.go_back(former)
        for entry in region.entries:
            entry.store.calls.clear()
            entry.store.is_rejecting = False
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await region.wait_until(lambda entry: entry.feed.cache.era == 2)
        await region.wait_until(lambda entry: entry.feed.cache.is_complete)
        await region.wait_until(lambda entry: entry.updater._revision)
        await region.wait_until(lambda entry: entry.updater._revision.era == 2)
        lasted_s = loop.time() - started_at
        calls = [
            call
            for entry in region.entries
            for call in entry.store.calls
            if call.startswith('read')
        ]
        return len(calls), lasted_s

    reads, lasted_s = regions.run(main, several)
    assert reads <= 3
    assert lasted_s < 1.0


def test_lower_revisions_of_a_new_era_are_accepted():
    """Entries kept the old state until the counter had passed their revision.

    Requests would be refused as soon as their state is too old.
    """

    async def main(harness):
        store = harness.store
        former = store.take_copy()
        write_more(store, 20)
        store.put('servers/i-2', documents.UPSTREAM)
        await fakes.wait_until(lambda: harness.ids() == {'i-1', 'i-2'})
        await asyncio.sleep(SETTLED_S)
        store.go_back(former)
        store.put('servers/i-3', documents.UPSTREAM)
        await fakes.wait_until(lambda: 'i-3' in harness.ids(), 0.5)
        store.put('servers/i-4', documents.UPSTREAM)
        await fakes.wait_until(lambda: 'i-4' in harness.ids(), 1.0)
        return harness.updater.eras.changes, store.revision

    changes, revision = test_cache_updater.run(main)
    assert changes == 1
    assert revision < 20


def test_counter_that_has_passed_the_old_revision_hides_no_change():
    """A watch from the old number would miss what was written before it."""

    async def main(harness):
        store = harness.store
        former = store.take_copy()
        write_more(store, 2)
        store.put('servers/i-2', documents.UPSTREAM)
        # The entry pauses between two watches.
        await fakes.wait_until(lambda: harness.ids() == {'i-1', 'i-2'})
        store.go_back(former)
        store.put('servers/i-3', documents.UPSTREAM)
        write_more(store, 10)
        await fakes.wait_until(lambda: 'i-3' in harness.ids(), 1.0)

    test_cache_updater.run(main)


@pytest.mark.parametrize('higher', [False, True])
def test_read_that_is_delayed_beyond_the_change_is_not_used(higher):
    """Another entry relays a page of the era before, or a late answer."""

    async def main(harness):
        store = harness.store
        former = store.take_copy()
        store.put('servers/i-2', documents.UPSTREAM)
        if higher:
            write_more(store, 50)
        old = await store.read_prefix('servers/')
        await fakes.wait_until(lambda: harness.ids() == {'i-1', 'i-2'})
        store.delete('servers/i-2')
        await fakes.wait_until(lambda: harness.ids() == {'i-1'})
        await asyncio.sleep(SETTLED_S)
        reads = []

        async def read_older(prefix):
            reads.append(prefix)
            if prefix == 'servers/' and len(reads) <= 3:
                return old
            return await fakes.FakeStore.read_prefix(store, prefix)

        store.read_prefix = read_older
        store.go_back(former)
        seen = []
        for _ in range(60):
            seen.append(harness.catalog.find('i-2'))
            await asyncio.sleep(0.005)
        return len(reads), [found for found in seen if found is not None]

    reads, seen = test_cache_updater.run(main)
    assert reads == 6
    assert seen == []


def test_a_change_of_era_is_counted_once_for_each_process():
    registry = metrics.Registry()
    cfg = platform.parse_instance_settings(test_settings.DOCUMENT)
    eras = _process.make_store_client(cfg, registry).eras
    for era in (3, 3, 4, 3, 4, 6):
        eras.observe(era, now=1.0)
    values = {family.name: family.source for family in registry.report()}
    assert values['store_era']() == 6
    assert values['store_era_changes_total'].report() == {(): 2}
