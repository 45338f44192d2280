import asyncio

import pytest

from catkinshunt.platform.tests import regions
from catkinshunt.platform.tests import test_documents as documents

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
