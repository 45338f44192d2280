import asyncio
import collections
import contextlib

import pytest

from catkinshunt import catalog as catalogs
from catkinshunt.catalog import _catalog
from catkinshunt import metrics
from catkinshunt import platform
from catkinshunt.platform import _cache_updater
from catkinshunt.platform import _documents
from catkinshunt.platform import _origin_publisher
from catkinshunt.platform import _pending_publisher
from catkinshunt.platform import _process
from catkinshunt.platform import _quarantine_publisher
from catkinshunt.platform import _registration
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import regions
from catkinshunt.platform.tests import test_cache_updater
from catkinshunt.platform.tests import test_documents as documents
from catkinshunt.platform.tests import test_origin_publisher
from catkinshunt.platform.tests import test_settings
from catkinshunt import quarantine

#: Seconds for which entries are observed after the store went back.
OBSERVED_S = 1.0
#: Seconds after which entries wait for the next change of the store.
SETTLED_S = 0.4

#: Seconds between two heartbeats of an upstream.
HEARTBEAT_S = 0.2

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


class Reports:
    """A cache updater with short times, and what it reports."""

    def __init__(self, harness):
        self.leaves = []
        harness.updater.record_leave = self.leaves.append
        harness.updater.heartbeat_s = HEARTBEAT_S


def test_leave_that_an_older_list_contradicts_is_told_to_other_entries():
    """An entry that starts now, or missed the leave, knows only the list."""

    async def main(harness):
        reports = Reports(harness)
        store = harness.store
        former = store.take_copy()
        store.put('servers/i-1', LEAVING)
        await fakes.wait_until(lambda: harness.catalog.find('i-1').leaving)
        before = list(reports.leaves)
        store.go_back(former)
        await fakes.wait_until(lambda: reports.leaves)
        return before, reports.leaves, harness.catalog.find('i-1')

    before, leaves, upstream = test_cache_updater.run(main)
    assert before == []
    assert leaves[0] == upstream.key
    assert upstream.leaving


def test_removed_upstream_is_not_used_while_only_an_older_list_has_it():
    """It has been shut down, and nobody writes its entry again.

    It is used once it is still listed after a dead one would be removed.
    """

    async def main(harness):
        Reports(harness)
        store = harness.store
        store.put('servers/i-2', documents.UPSTREAM)
        await fakes.wait_until(lambda: harness.ids() == {'i-1', 'i-2'})
        former = store.take_copy()
        store.delete('servers/i-1')
        await fakes.wait_until(lambda: harness.ids() == {'i-2'})
        store.go_back(former)
        await fakes.wait_until(lambda: harness.catalog.find('i-1'))
        began_at = harness.boottime()
        seen = []
        while 'i-1' not in harness.ids():
            seen.append(harness.ids())
            await asyncio.sleep(0.01)
        return seen, harness.boottime() - began_at

    seen, after_s = test_cache_updater.run(main)
    assert {'i-2'} in seen
    assert 2.5 * HEARTBEAT_S < after_s < 4 * HEARTBEAT_S


def test_removed_upstream_is_used_when_it_is_written_again():
    """Its entry had lapsed before the change, and it is alive."""

    async def main(harness):
        Reports(harness)
        harness.updater.heartbeat_s = 60.0
        store = harness.store
        former = store.take_copy()
        store.delete('servers/i-1')
        await fakes.wait_until(lambda: not harness.catalog.find('i-1'))
        store.go_back(former)
        await fakes.wait_until(lambda: harness.catalog.find('i-1'))
        listed = harness.ids()
        store.put('servers/i-1', {**documents.UPSTREAM, 'slots': 4})
        await fakes.wait_until(lambda: harness.ids() == {'i-1'})
        return listed

    assert test_cache_updater.run(main) == set()


def test_new_start_of_a_removed_upstream_is_used_at_once():
    async def main(harness):
        harness.updater.heartbeat_s = 60.0
        store = harness.store
        former = store.take_copy()
        store.delete('servers/i-1')
        await fakes.wait_until(lambda: not harness.catalog.find('i-1'))
        await asyncio.sleep(SETTLED_S)
        store.go_back(former)
        store.put('servers/i-1', {**documents.UPSTREAM, 'born': 2})
        await fakes.wait_until(lambda: harness.ids() == {'i-1'}, 1.0)

    test_cache_updater.run(main)


@pytest.mark.parametrize('loses_history', [False, True])
def test_lapsed_upstream_is_used_at_once_without_a_change_of_era(
    loses_history,
):
    """All entries of upstreams lapse in an outage, and come back after it."""

    async def main(harness):
        harness.updater.heartbeat_s = 60.0
        store = harness.store
        store.delete('servers/i-1')
        await fakes.wait_until(lambda: not harness.catalog.find('i-1'))
        if loses_history:
            store.forget_history()
        store.put('servers/i-1', documents.UPSTREAM)
        await fakes.wait_until(lambda: harness.catalog.find('i-1'))
        return harness.ids()

    assert test_cache_updater.run(main) == {'i-1'}


def entry_key(number):
    return f'{_documents.ENTRY_PREFIX}edge-{number}'


def test_live_entries_that_the_copy_lacks_count_until_their_lease_ends(
    monkeypatch,
):
    """Limits and budgets would be divided among too few entries."""
    monkeypatch.setattr(_registration, 'LEASE_TTL_S', 0.6)

    async def main(harness):
        store = harness.store
        former = store.take_copy()
        for number in (2, 3, 4):
            store.put(entry_key(number), {})
        names = harness.live_entries.names
        await fakes.wait_until(lambda: len(names()) == 4)
        await asyncio.sleep(SETTLED_S)
        store.go_back(former)
        await fakes.wait_until(lambda: harness.updater.eras.changes)
        after = names()
        # One registers again, and one more is seen to leave.
        store.put(entry_key(2), {})
        store.put(entry_key(3), {})
        await asyncio.sleep(0.3)
        store.delete(entry_key(3))
        await fakes.wait_until(lambda: len(names()) == 3)
        left = names()
        await fakes.wait_until(lambda: len(names()) == 2)
        return after, left, names()

    after, left, last = test_cache_updater.run(
        main, lambda harness: harness.store.put(entry_key(1), {})
    )
    assert after == ['edge-1', 'edge-2', 'edge-3', 'edge-4']
    assert left == ['edge-1', 'edge-2', 'edge-4']
    assert last == ['edge-1', 'edge-2']


PENDING_KEY = _documents.pending_key('drafts', 2)
VERSION_S = 8.0


def put_pending(harness):
    harness.store.put('op/version/drafts', {'model': 'drafts', 'version': 2})
    harness.store.put(PENDING_KEY, b'{}')


def due_version(harness):
    now = harness.boottime()
    return harness.catalog.due_version('drafts', VERSION_S, now)


async def lose_pending_key(harness):
    """Let the store go back to a copy without the pending key."""
    store = harness.store
    kept = store.items[PENDING_KEY]
    store.delete(PENDING_KEY)
    former = store.take_copy()
    store.items[PENDING_KEY] = kept
    store.events.pop()
    await fakes.wait_until(
        lambda: harness.catalog.pending_versions() == [('drafts', 2)]
    )
    await asyncio.sleep(SETTLED_S)
    store.go_back(former)
    await fakes.wait_until(lambda: harness.updater.eras.changes)


def test_pending_version_stays_so_until_its_key_is_written_again(monkeypatch):
    """All requests would be refused, since no engine has the version yet."""
    monkeypatch.setattr(_cache_updater, 'PENDING_HOLD_S', 0.5)

    async def main(harness):
        await lose_pending_key(harness)
        harness.store.put(PENDING_KEY, b'{}')
        await asyncio.sleep(1.2)
        held = due_version(harness)
        harness.store.delete(PENDING_KEY)
        await fakes.wait_until(lambda: due_version(harness) == 2)
        return held

    assert test_cache_updater.run(main, put_pending) is None


def test_pending_version_whose_key_is_not_written_again_is_due(monkeypatch):
    """It may have become due meanwhile; older versions would be served on."""
    monkeypatch.setattr(_cache_updater, 'PENDING_HOLD_S', 0.5)

    async def main(harness):
        await lose_pending_key(harness)
        began_at = harness.boottime()
        held = due_version(harness)
        await fakes.wait_until(lambda: due_version(harness) == 2)
        return held, harness.boottime() - began_at

    held, after_s = test_cache_updater.run(main, put_pending)
    assert held is None
    assert 0.4 < after_s < 1.0


def test_version_that_is_due_stays_so_if_the_copy_lists_it_as_pending():
    """Requests would begin on an older version again."""

    async def main(harness):
        store = harness.store
        await fakes.wait_until(lambda: harness.catalog.pending_versions())
        former = store.take_copy()
        store.delete(PENDING_KEY)
        await fakes.wait_until(lambda: due_version(harness) == 2)
        store.go_back(former)
        await fakes.wait_until(lambda: harness.updater.eras.changes)
        await asyncio.sleep(SETTLED_S)
        return due_version(harness)

    assert test_cache_updater.run(main, put_pending) == 2


def test_versions_configurations_and_quarantines_outlast_the_change():
    """The copy has older ones, and what was declared stays in force."""

    async def main(harness):
        store, catalog = harness.store, harness.catalog
        former = store.take_copy()
        fingerprint = 'ab' * 8
        store.put('op/config', documents.configuration(version=9))
        store.put('op/version/drafts', {'model': 'drafts', 'version': 3})
        store.put(
            _documents.quarantine_key(fingerprint),
            _documents.dump_quarantine(60.0),
        )
        await fakes.wait_until(lambda: catalog.newest_version('drafts'))
        announced_after = catalog.newest_version('drafts').announced_after
        store.go_back(former)
        await fakes.wait_until(lambda: harness.updater.eras.changes)
        await asyncio.sleep(SETTLED_S)
        quarantined = harness.updater.quarantined
        now = harness.boottime()
        return (
            catalog.declaration.revision,
            catalog.newest_version('drafts').version,
            catalog.newest_version('drafts').announced_after
            == announced_after,
            [found for found, _ in quarantined.all_quarantined(now)],
        )

    assert test_cache_updater.run(main) == (9, 3, True, ['ab' * 8])


def test_leaves_and_removals_that_are_remembered_are_bounded(monkeypatch):
    monkeypatch.setattr(_catalog, 'MAX_REMEMBERED', 10)
    catalog = catalogs.Catalog()
    for number in range(100):
        upstream = catalogs.Upstream(
            f'i-{number}', 'engines', ('10.0.0.1', 80), leaving=True
        )
        catalog.put_upstream(upstream)
        catalog.drop_upstream(upstream.id, now=1.0)
        catalog.begin_era(now=1.0, confirm_s=60.0)
    remembered = (catalog._leaves, catalog._removed_keys, catalog._doubted)
    assert [len(keys) for keys in remembered] == [10, 10, 10]


#: Time in seconds within which an entry has written its keys again.
REWRITE_S = 2.0
NAMES = [f'entry-{number}' for number in range(6)]


class Writers:
    """All that six entries write in the store, without their caches."""

    def __init__(self):
        self.store = fakes.FakeStore()
        self.now = asyncio.get_running_loop().time
        self.tasks = []
        self.catalogs = []
        self.quarantines = []

    @contextlib.asynccontextmanager
    async def running(self):
        for name in NAMES:
            self._start(name)
        try:
            yield self
        finally:
            for task in self.tasks:
                task.cancel()

    def _start(self, name):
        store = self.store
        live_entries = catalogs.LiveEntries()
        live_entries.replace(NAMES)
        catalog = catalogs.Catalog()
        quarantined = quarantine.Quarantine()
        works = (
            platform.Registration(store, live_entries, name),
            _pending_publisher.PendingPublisher(
                store, catalog, live_entries, name, VERSION_S, self.now
            ),
            _quarantine_publisher.QuarantinePublisher(
                store, quarantined, live_entries, name, self.now
            ),
            _origin_publisher.OriginPublisher(
                store, catalog, live_entries, name
            ),
        )
        self.tasks += [asyncio.ensure_future(work.run()) for work in works]
        self.catalogs.append(catalog)
        self.quarantines.append(quarantined)

    def learn(self):
        """Let all entries learn what they have to write."""
        now = self.now()
        for catalog in self.catalogs:
            test_origin_publisher.declare(catalog, '10.0.0.9:80')
            catalog.add_announced_version('drafts', 2, now)
        for quarantined in self.quarantines:
            quarantined.add('ab' * 8, quarantine.QUARANTINE_S, now)

    @property
    def is_written(self):
        keys = [_documents.ENTRY_PREFIX + name for name in NAMES]
        keys += [PENDING_KEY, _documents.quarantine_key('ab' * 8)]
        keys.append(_documents.ORIGIN_KEY)
        return all(key in self.store.items for key in keys)


def run_writers(main):
    async def inside():
        async with Writers().running() as writers:
            former = writers.store.take_copy()
            writers.learn()
            await fakes.wait_until(lambda: writers.is_written)
            await asyncio.sleep(SETTLED_S)
            return await main(writers, former)

    return asyncio.run(inside())


def test_keys_that_the_copy_lacks_are_written_again():
    """Entries would stop to count, and a quarantined request crash others.

    Each entry makes a bounded number of calls for a change.
    """

    async def main(writers, former):
        store = writers.store
        store.calls.clear()
        began_at = writers.now()
        store.go_back(former)
        # Any answer tells of the new era.
        await store.read_prefix('op/')
        await fakes.wait_until(lambda: writers.is_written, REWRITE_S)
        lasted_s = writers.now() - began_at
        await asyncio.sleep(1.0)
        return lasted_s, collections.Counter(store.calls)

    lasted_s, calls = run_writers(main)
    assert lasted_s < 1.0
    # Entries register with two calls each. Two of them write the version, the
    # quarantine and the origin, which they read before.
    assert calls['grant'] <= 6 + 2 + 2
    assert calls['write'] <= 6 + 2 + 2 + 2
    assert calls['read'] <= 1 + 2
    assert calls['renew'] <= 6


def test_keys_are_written_again_after_two_changes_within_a_second():
    """The second copy lacks what was written after the first change."""

    async def main(writers, former):
        store = writers.store
        for pause_s in (0.1, 0.2):
            store.go_back(former)
            await store.read_prefix('op/')
            await asyncio.sleep(pause_s)
        store.go_back(former)
        await store.read_prefix('op/')
        await fakes.wait_until(lambda: writers.is_written, REWRITE_S)

    run_writers(main)


def test_lease_whose_number_is_given_out_again_is_not_used(monkeypatch):
    """The lease with its number is that of another process after the change.

    If this one renewed it or ended it, the other's keys would stay too long
    or be deleted.
    """
    monkeypatch.setattr(_registration, 'RENEW_PERIOD_S', 60.0)

    async def main():
        store = fakes.FakeStore()
        former = store.take_copy()
        live_entries = catalogs.LiveEntries()
        live_entries.replace(['entry-1'])
        registration = platform.Registration(store, live_entries, 'entry-1')
        task = asyncio.ensure_future(registration.run())
        key = _documents.ENTRY_PREFIX + 'entry-1'
        await fakes.wait_until(lambda: key in store.items)
        store.go_back(former)
        other = await store.grant_lease(5.0)
        await store.write('other', b'', other)
        await fakes.wait_until(lambda: key in store.items, REWRITE_S)
        numbers = [n for n, keys in store.leases.items() if key in keys]
        await registration.deregister()
        task.cancel()
        return other.id, numbers, list(store.items)

    other, numbers, keys = asyncio.run(main())
    assert other == 1
    assert numbers == [2]
    assert keys == ['other']


def test_lease_of_before_the_change_is_not_ended_by_a_stopping_entry():
    async def main():
        store = fakes.FakeStore()
        former = store.take_copy()
        live_entries = catalogs.LiveEntries()
        registration = platform.Registration(store, live_entries, 'entry-1')
        task = asyncio.ensure_future(registration.run())
        await fakes.wait_until(lambda: 'write' in store.calls)
        await asyncio.sleep(0.05)
        store.go_back(former)
        task.cancel()
        other = await store.grant_lease(5.0)
        await store.write('other', b'', other)
        await registration.deregister()
        return other.id, list(store.items)

    assert asyncio.run(main()) == (1, ['other'])


async def leave_and_go_back(region):
    """Let `i-1` leave; return a copy of the store from before that."""
    store = region.store
    store.put('servers/i-2', documents.UPSTREAM)
    await region.wait_until(lambda entry: ids(entry) == {'i-1', 'i-2'})
    former = store.take_copy()
    store.put('servers/i-1', LEAVING)
    await region.wait_until(lambda entry: ids(entry) == {'i-2'})
    await asyncio.sleep(SETTLED_S)
    return former


def test_two_changes_within_a_second_are_followed():
    async def main(region):
        store = region.store
        former = await leave_and_go_back(region)
        store.go_back(former)
        store.put('servers/i-3', documents.UPSTREAM)
        await asyncio.sleep(0.2)
        store.go_back(former)
        store.put('servers/i-4', documents.UPSTREAM)
        await region.wait_until(lambda entry: 'i-4' in ids(entry))
        return {frozenset(ids(entry)) for entry in region.entries}

    found = regions.run(main, regions.TWO_REGIONS)
    assert found == {frozenset({'i-2', 'i-4'})}


@pytest.mark.parametrize('changes', [1, 2])
@pytest.mark.parametrize('of_watcher', [False, True])
def test_entry_that_was_frozen_follows_a_change(changes, of_watcher):
    """Meanwhile the counter passes the revision that the entry has read."""

    async def main(region):
        store = region.store
        former = await leave_and_go_back(region)
        frozen = region.watcher() if of_watcher else region.followers()[0]
        others = [e for e in region.entries if e is not frozen]
        frozen.task.cancel()
        for _ in range(changes):
            store.go_back(former)
            write_more(store, 20)
            await asyncio.sleep(0.2)
        store.put('servers/i-3', documents.UPSTREAM)
        await region.wait_until(lambda entry: 'i-3' in ids(entry), others)
        frozen.task = asyncio.ensure_future(frozen.updater.run())
        await region.wait_until(lambda entry: 'i-3' in ids(entry))
        seen = await observe(region, lambda entry: frozenset(ids(entry)))
        return seen, frozen.updater.eras.era

    seen, era = regions.run(main)
    assert seen == {frozenset({'i-2', 'i-3'})}
    assert era == 1 + changes


def test_entries_whose_watcher_is_still_in_the_era_before_leave_it():
    """The watcher is cut off from the store, and confirms nothing more."""

    async def main(region):
        store = region.store
        former = await leave_and_go_back(region)
        watcher, others = region.watcher(), region.followers()
        watcher.store.is_cut = True
        store.go_back(former)
        store.put('servers/i-3', documents.UPSTREAM)
        await region.wait_until(lambda entry: 'i-3' in ids(entry), others)
        ages = [entry.catalog.age_s(entry.boottime()) for entry in others]
        watcher.store.is_cut = False
        found = {frozenset(ids(entry)) for entry in others}
        return max(ages), found

    age_s, found = regions.run(main, regions.TWO_REGIONS)
    assert age_s < regions.KEY_TRUST_S
    assert found == {frozenset({'i-2', 'i-3'})}


def test_entries_that_are_replaced_during_a_change_follow_it():
    """An entry starts right after the change, and one more within it."""

    async def main(region):
        store = region.store
        former = await leave_and_go_back(region)
        old = region.watcher()
        await old.kill()
        store.go_back(former)
        for entry in region.entries:
            region.register(entry)
        restarted = regions.Entry(region, int(old.name[-1]))
        region.entries[region.entries.index(old)] = restarted
        await restarted.start()
        store.put('servers/i-3', documents.UPSTREAM)
        await region.wait_until(lambda entry: 'i-3' in ids(entry))
        others = [e for e in region.entries if e is not restarted]
        # The new one learns the leave from the others, not from the store.
        told = [bool(entry.leaves) for entry in others]
        return told, {frozenset(ids(entry)) for entry in others}

    told, found = regions.run(main)
    assert told == [True, True]
    assert found == {frozenset({'i-2', 'i-3'})}


def test_delayed_write_with_a_lease_of_another_does_not_unlist_an_entry(
    monkeypatch,
):
    """A write of the era before binds the key to a number given out again.

    The key is deleted as soon as that lease ends.
    """
    monkeypatch.setattr(_registration, 'RENEW_PERIOD_S', 0.02)

    async def main():
        store = fakes.FakeStore()
        former = store.take_copy()
        live_entries = catalogs.LiveEntries()
        registration = platform.Registration(store, live_entries, 'entry-1')
        task = asyncio.ensure_future(registration.run())
        key = _documents.ENTRY_PREFIX + 'entry-1'
        await fakes.wait_until(lambda: key in store.items)
        live_entries.put('entry-1')
        store.go_back(former)
        other = await store.grant_lease(5.0)
        await fakes.wait_until(lambda: key in store.items)
        await store.write(key, b'{}', other)
        store.expire(other.id)
        live_entries.drop('entry-1')
        await fakes.wait_until(lambda: key in store.items)
        task.cancel()

    asyncio.run(main())


def test_pending_key_of_the_copy_does_not_outlast_the_time_of_its_version():
    """The lease in the copy ends later than the one that was granted.

    An entry that starts meanwhile would serve an older version.
    """

    async def main():
        async with Writers().running() as writers:
            store = writers.store
            due_at = writers.now() + 2.0
            # Entries that start may trust it for this long after its end.
            left_s = 2.0 + writers.catalogs[0].pending_trust_s
            for catalog in writers.catalogs:
                catalog.add_announced_version(
                    'drafts', 2, writers.now() - VERSION_S + left_s
                )
            await fakes.wait_until(lambda: PENDING_KEY in store.items)
            former = store.take_copy()
            await asyncio.sleep(0.5)
            store.calls.clear()
            store.go_back(former)
            await store.read_prefix('op/')
            await asyncio.sleep(SETTLED_S)
            listed = PENDING_KEY in store.items
            await fakes.wait_until(lambda: PENDING_KEY not in store.items)
            late_s = writers.now() - due_at
            await asyncio.sleep(0.2)
            return listed, late_s, store.calls.count('remove')

    listed, late_s, removed = asyncio.run(main())
    assert listed
    assert -0.2 < late_s < 0.3
    assert removed <= _pending_publisher.WRITER_COUNT


def test_long_due_versions_cost_no_calls_after_a_change():
    async def main():
        async with Writers().running() as writers:
            store = writers.store
            for catalog in writers.catalogs:
                catalog.add_announced_version(
                    'drafts', 2, writers.now() - 3 * VERSION_S
                )
            await asyncio.sleep(0.05)
            store.go_back(store.take_copy())
            await store.read_prefix('op/')
            await asyncio.sleep(2 * SETTLED_S)
            return store.calls.count('remove')

    assert asyncio.run(main()) == 0


def test_entry_that_starts_beside_a_watcher_of_the_era_before_follows():
    """It reads the list of entries from the store and the rest at a peer.

    If it took pages of two eras again and again, it would call the store all
    the time, and have no configuration meanwhile.
    """

    async def main(region):
        store = region.store
        former = await leave_and_go_back(region)
        watcher, follower = region.watcher(), region.followers()[0]
        await follower.kill()
        watcher.store.is_cut = True
        store.go_back(former)
        store.put('servers/i-3', documents.UPSTREAM)
        for entry in region.entries:
            region.register(entry)
        started = regions.Entry(region, int(follower.name[-1]))
        region.entries[region.entries.index(follower)] = started
        await started.start()
        await fakes.wait_until(lambda: 'i-3' in ids(started))
        calls = list(started.store.calls)
        watcher.store.is_cut = False
        return [call for call in calls if call.startswith('read')]

    assert len(regions.run(main)) <= 4
