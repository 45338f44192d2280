import asyncio
import contextlib
import json
import math

import pytest

from catkinshunt import catalog as catalogs
from catkinshunt.platform import _documents
from catkinshunt.platform import _pending_publisher
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import test_cache_updater
from catkinshunt.platform.tests import test_documents as documents

GRACE_S = 7.0
KEY = _documents.pending_key('drafts', 2)


def announced(version):
    return json.dumps({'model': 'drafts', 'version': version}).encode()


class Publisher:
    """The publisher of one entry, with a fake store and clock."""

    def __init__(self, store, name='entry-1', others=()):
        self.store = store
        self.now = 100.0
        self.catalog = catalogs.Catalog()
        live_entries = catalogs.LiveEntries()
        live_entries.replace([name, *others])
        self.pending = _pending_publisher.PendingPublisher(
            store, self.catalog, live_entries, name, GRACE_S, lambda: self.now
        )

    @contextlib.asynccontextmanager
    async def running(self):
        task = asyncio.ensure_future(self.pending.run())
        await asyncio.sleep(0)
        try:
            yield self
        finally:
            task.cancel()


def test_new_version_is_published_as_pending():
    async def main():
        store = fakes.FakeStore()
        async with Publisher(store).running() as publisher:
            publisher.catalog.add_announced_version('drafts', 2, publisher.now)
            await fakes.wait_until(lambda: KEY in store.items)
        return store.granted_s

    (lease_s,) = asyncio.run(main())
    assert lease_s < GRACE_S


def test_pending_key_ends_before_the_version_is_due_with_a_slow_store():
    """The grant of the lease takes two seconds.

    The lease starts when the grant arrives, so its key would outlast the time
    at which the version is due. An entry that starts then would send requests
    to engines with the old version.
    """

    async def main():
        store = fakes.FakeStore()
        async with Publisher(store).running() as publisher:
            grant = store.grant_lease

            async def slow(ttl_s):
                publisher.now += 2.0
                return await grant(ttl_s)

            store.grant_lease = slow
            publisher.catalog.add_announced_version('drafts', 2, publisher.now)
            await fakes.wait_until(lambda: 'end' in store.calls)
        return store.items

    assert KEY not in asyncio.run(main())


def test_two_of_many_entries_publish_a_version():
    """Calls cost money, and hundreds of entries learn of each version."""

    async def main():
        store = fakes.FakeStore()
        names = [f'entry-{n}' for n in range(10)]
        async with contextlib.AsyncExitStack() as stack:
            publishers = [
                await stack.enter_async_context(
                    Publisher(store, name, names).running()
                )
                for name in names
            ]
            for publisher in publishers:
                publisher.catalog.add_announced_version(
                    'drafts', 2, publisher.now
                )
            await fakes.wait_until(lambda: store.calls.count('write') == 2)
            for _ in range(20):
                await asyncio.sleep(0)
        return store.calls

    assert (
        asyncio.run(main()).count('write') == _pending_publisher.WRITER_COUNT
    )


def test_version_found_at_start_is_not_published():
    async def main():
        store = fakes.FakeStore()
        async with Publisher(store).running() as publisher:
            publisher.catalog.add_announced_version('drafts', 2, -float('inf'))
            for _ in range(20):
                await asyncio.sleep(0)
        return store.calls

    assert asyncio.run(main()) == []


@pytest.mark.parametrize('published', [True, False])
def test_starting_entry_detects_whether_a_version_is_due(published):
    """An entry starts and finds a version of unknown age in the store.

    If it takes a new version as due, it rejects all requests for up to eight
    seconds while engines load it. If it takes an old version as new, requests
    begin on weights that are too old.
    """

    def prepare(harness):
        harness.store.put('op/version/drafts', announced(2))
        if published:
            harness.store.put(KEY, b'{}')

    async def main(harness):
        now = harness.boottime()
        return harness.catalog.due_version('drafts', GRACE_S, now)

    due = test_cache_updater.run(main, prepare)
    assert due == (None if published else 2)


def test_restarted_entries_do_not_extend_the_time_of_a_version():
    """All entries restart after a due time; each restart would add to it."""

    def due_version(harness):
        now = harness.boottime()
        return harness.catalog.due_version('drafts', GRACE_S, now)

    async def main():
        store = fakes.FakeStore()
        store.put('op/config', documents.configuration())
        async with contextlib.AsyncExitStack() as earlier:
            for name in ('entry-1', 'entry-2'):
                publisher = Publisher(store, name, ('entry-1', 'entry-2'))
                await earlier.enter_async_context(publisher.running())
                publisher.catalog.add_announced_version(
                    'drafts', 2, publisher.now
                )
            store.put('op/version/drafts', announced(2))
            await fakes.wait_until(lambda: KEY in store.items)
        store.delete(KEY)
        found = []
        for _ in range(3):
            harness = test_cache_updater.Harness(store)
            async with harness.running():
                await fakes.wait_until(lambda: harness.catalog.declaration)
                found.append(due_version(harness))
        return found

    assert asyncio.run(main()) == [2, 2, 2]


def test_version_is_due_when_its_pending_key_ends():
    def prepare(harness):
        harness.store.put('op/version/drafts', announced(2))
        harness.store.put(KEY, b'{}')

    async def main(harness):
        harness.store.delete(KEY)

        def is_due():
            now = harness.boottime()
            return harness.catalog.due_version('drafts', GRACE_S, now) == 2

        await fakes.wait_until(is_due)

    test_cache_updater.run(main, prepare)


def test_entry_that_last_saw_the_key_at_its_end_is_not_late():
    """An entry that starts is cut off before the key ends.

    It would send requests to engines with the old version for as long again
    as a version has from its announcement.
    """

    async def main():
        store = fakes.FakeStore()
        async with Publisher(store).running() as publisher:
            publisher.catalog.add_announced_version('drafts', 2, publisher.now)
            await fakes.wait_until(lambda: KEY in store.items)
        return store.granted_s

    (lease_s,) = asyncio.run(main())
    catalog = catalogs.Catalog()
    catalog.add_announced_version('drafts', 2, -math.inf)
    catalog.mark_pending('drafts', 2, now=lease_s)
    catalog.confirm(now=lease_s)
    due = [
        catalog.due_version('drafts', GRACE_S, now)
        for now in (lease_s, GRACE_S)
    ]
    assert due == [None, 2]


def test_pending_version_is_due_if_the_end_of_its_key_may_be_missed():
    """An entry that has just started is cut off from the store."""

    def prepare(harness):
        harness.store.put('op/version/drafts', announced(2))
        harness.store.put(KEY, b'{}')

    async def main(harness):
        def due_version():
            now = harness.boottime()
            return harness.catalog.due_version('drafts', GRACE_S, now)

        before = due_version()
        harness.store.is_down = True
        await fakes.wait_until(lambda: harness.store.calls[-1] == 'watch')
        harness.now_s += 2.0
        cut_off = due_version()
        harness.store.is_down = False
        harness.store.put('servers/i-9', b'{}')
        await fakes.wait_until(lambda: due_version() is None)
        return before, cut_off

    assert test_cache_updater.run(main, prepare) == (None, 2)


def test_version_with_a_late_pending_key_is_not_due():
    """The entry reads the version before its pending key is written."""

    def prepare(harness):
        harness.store.put('op/version/drafts', announced(2))

    async def main(harness):
        harness.store.put(KEY, b'{}')

        def is_due():
            now = harness.boottime()
            return harness.catalog.due_version('drafts', GRACE_S, now) == 2

        await fakes.wait_until(lambda: not is_due())

    test_cache_updater.run(main, prepare)


def test_pending_key_that_ended_during_history_loss_counts_as_ended():
    def prepare(harness):
        harness.store.put('op/version/drafts', announced(2))
        harness.store.put(KEY, b'{}')

    async def main(harness):
        harness.store.delete(KEY)
        harness.store.forget_history()

        def is_due():
            now = harness.boottime()
            return harness.catalog.due_version('drafts', GRACE_S, now) == 2

        await fakes.wait_until(is_due)

    test_cache_updater.run(main, prepare)


def test_end_of_a_pending_key_is_ignored_by_who_saw_the_naming():
    """Such an entry has the exact time; the lease ends a little earlier."""

    async def main(harness):
        harness.store.put('op/version/drafts', announced(2))
        harness.store.put(KEY, b'{}')
        await fakes.wait_until(
            lambda: harness.catalog.newest_version('drafts')
        )
        harness.store.delete(KEY)
        harness.store.put('servers/i-9', b'{}')
        await fakes.wait_until(lambda: harness.updater._revision.number >= 6)
        now = harness.boottime()
        return harness.catalog.due_version('drafts', GRACE_S, now)

    assert test_cache_updater.run(main) is None


def test_invalid_pending_key_is_ignored():
    def prepare(harness):
        harness.store.put(f'{_documents.PENDING_PREFIX}x', b'{}')

    async def main(harness):
        return harness.catalog.declaration.revision

    assert test_cache_updater.run(main, prepare)


@pytest.mark.parametrize('is_marked', [True, False])
def test_version_before_a_pending_one_is_due_in_time(is_marked):
    """An entry that starts reads only the newest of two versions.

    It would send requests to engines with an older one than the first.
    """
    keys = [_documents.pending_key('drafts', number) for number in (2, 3)]

    def prepare(harness):
        harness.store.put('op/version/drafts', announced(3))
        if is_marked:
            harness.store.put(keys[0], b'{}')
        harness.store.put(keys[1], _documents.dump_pending(2))

    async def main(harness):
        catalog = harness.catalog

        def due_version():
            return catalog.due_version('drafts', GRACE_S, harness.boottime())

        await fakes.wait_until(lambda: catalog.pending_versions())
        before = due_version()
        if is_marked:
            harness.store.delete(keys[0])
            await fakes.wait_until(due_version)
        return before, due_version()

    expected = (None, 2) if is_marked else (2, 2)
    assert test_cache_updater.run(main, prepare) == expected


def test_mark_of_a_version_names_the_one_before():
    async def main():
        store = fakes.FakeStore()
        async with Publisher(store).running() as publisher:
            publisher.catalog.add_announced_version('drafts', 1, publisher.now)
            publisher.catalog.add_announced_version('drafts', 2, publisher.now)
            await fakes.wait_until(lambda: KEY in store.items)
        return _documents.parse_pending(store.items[KEY].value)

    assert asyncio.run(main()) == 1


def test_versions_that_are_learned_together_are_all_marked():
    """The mark of the newest names the one before, which has none.

    An entry that starts then rejects all requests until an engine has that
    one, since it counts as due.
    """
    keys = [_documents.pending_key('drafts', number) for number in (2, 3)]

    async def main():
        store = fakes.FakeStore()
        async with Publisher(store).running() as publisher:
            for version in (2, 3):
                publisher.catalog.add_announced_version(
                    'drafts', version, publisher.now
                )
            await fakes.wait_until(lambda: keys[1] in store.items)
            for _ in range(20):
                await asyncio.sleep(0)
        return [key for key in keys if key in store.items]

    assert asyncio.run(main()) == keys


def test_key_whose_lease_pauses_in_an_outage_does_not_outlast_its_time():
    """The store suspends its leases while it is down.

    An entry that starts after the outage would serve an older version for as
    long again.
    """

    async def main():
        store = fakes.FakeStore()
        async with Publisher(store).running() as publisher:
            publisher.catalog.add_announced_version('drafts', 2, publisher.now)
            await fakes.wait_until(lambda: KEY in store.items)
            store.is_down = True
            publisher.now += GRACE_S - publisher.catalog.pending_trust_s
            await fakes.wait_until(lambda: store.calls[-1] == 'remove')
            publisher.now += 3.0
            store.is_down = False
            await fakes.wait_until(lambda: KEY not in store.items)

    asyncio.run(main())


def test_key_of_another_writer_is_not_removed_by_one_that_wrote_none():
    """An entry was cut off, and counts the version from before that.

    Entries that start would reject requests while engines load the version.
    """

    async def main():
        store = fakes.FakeStore()
        store.put(KEY, b'{}')
        async with Publisher(store).running() as publisher:
            publisher.catalog.add_announced_version(
                'drafts', 2, publisher.now - 5.0
            )
            for _ in range(20):
                await asyncio.sleep(0)
            publisher.now += 2.0
            await asyncio.sleep(2 * _pending_publisher.REMOVAL_PERIOD_S)
        return KEY in store.items

    assert asyncio.run(main())


def test_version_is_marked_while_the_store_is_slow():
    """Each call takes 0.5 s; without a mark an entry that starts serves none.

    The key still ends before the version is due.
    """

    async def main():
        store = fakes.FakeStore()
        ends_at = []
        async with Publisher(store).running() as publisher:
            grant = store.grant_lease

            async def slow(ttl_s):
                publisher.now += 0.5
                ends_at.append(publisher.now + ttl_s)
                return await grant(ttl_s)

            store.grant_lease = slow
            began_at = publisher.now
            publisher.catalog.add_announced_version('drafts', 2, began_at)
            await fakes.wait_until(lambda: KEY in store.items)
            trust_s = publisher.catalog.pending_trust_s
        return ends_at[-1] - began_at + trust_s

    assert asyncio.run(main()) <= GRACE_S
