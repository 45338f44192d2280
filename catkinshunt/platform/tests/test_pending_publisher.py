import asyncio
import contextlib
import json

import pytest

from catkinshunt import catalog as catalogs
from catkinshunt.platform import _documents
from catkinshunt.platform import _pending_publisher
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import test_cache_updater

GRACE_S = 7.0
KEY = _documents.pending_key('drafts', 2)


def named(version):
    return json.dumps({'model': 'drafts', 'version': version}).encode()


class Writer:
    """One entry that shows pending versions in a fake store."""

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
        async with Writer(store).running() as writer:
            writer.catalog.add_named_version('drafts', 2, writer.now)
            await fakes.wait_until(lambda: KEY in store.items)
        return store.granted_s

    (lease_s,) = asyncio.run(main())
    assert lease_s < GRACE_S


def test_pending_key_ends_before_the_version_is_due_with_a_slow_store():
    """The grant of the lease takes two seconds.

    Its time counts from its arrival, so the key would outlast the moment at
    which the version is due, and an entry that starts then would send
    requests to engines with the old one.
    """

    async def main():
        store = fakes.FakeStore()
        async with Writer(store).running() as writer:
            grant = store.grant_lease

            async def slow(ttl_s):
                writer.now += 2.0
                return await grant(ttl_s)

            store.grant_lease = slow
            writer.catalog.add_named_version('drafts', 2, writer.now)
            await fakes.wait_until(lambda: 'end' in store.calls)
        return store.items

    assert KEY not in asyncio.run(main())


def test_two_of_many_entries_publish_a_version():
    """Each call is priced, and hundreds of entries learn of a version."""

    async def main():
        store = fakes.FakeStore()
        names = [f'entry-{n}' for n in range(10)]
        async with contextlib.AsyncExitStack() as stack:
            writers = [
                await stack.enter_async_context(
                    Writer(store, name, names).running()
                )
                for name in names
            ]
            for writer in writers:
                writer.catalog.add_named_version('drafts', 2, writer.now)
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
        async with Writer(store).running() as writer:
            writer.catalog.add_named_version('drafts', 2, -float('inf'))
            for _ in range(20):
                await asyncio.sleep(0)
        return store.calls

    assert asyncio.run(main()) == []


@pytest.mark.parametrize('published', [True, False])
def test_starting_entry_detects_whether_a_version_is_due(published):
    """It finds a version in the store, named a moment or an hour ago.

    Taken as due, all requests are refused while engines still load it, up to
    eight seconds; taken as new, requests begin on weights that are too old.
    """

    def prepare(harness):
        harness.store.put('op/version/drafts', named(2))
        if published:
            harness.store.put(KEY, b'{}')

    async def main(harness):
        now = harness.boottime()
        return harness.catalog.due_version('drafts', GRACE_S, now)

    due = test_cache_updater.run(main, prepare)
    assert due == (None if published else 2)


def test_version_is_due_when_its_pending_key_ends():
    def prepare(harness):
        harness.store.put('op/version/drafts', named(2))
        harness.store.put(KEY, b'{}')

    async def main(harness):
        harness.store.delete(KEY)

        def is_due():
            now = harness.boottime()
            return harness.catalog.due_version('drafts', GRACE_S, now) == 2

        await fakes.wait_until(is_due)

    test_cache_updater.run(main, prepare)


def test_version_with_a_late_pending_key_is_not_due():
    """The entry started before those that saw it named wrote the key."""

    def prepare(harness):
        harness.store.put('op/version/drafts', named(2))

    async def main(harness):
        harness.store.put(KEY, b'{}')

        def is_due():
            now = harness.boottime()
            return harness.catalog.due_version('drafts', GRACE_S, now) == 2

        await fakes.wait_until(lambda: not is_due())

    test_cache_updater.run(main, prepare)


def test_pending_key_that_ended_during_history_loss_counts_as_ended():
    def prepare(harness):
        harness.store.put('op/version/drafts', named(2))
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
    """It knows the time itself, and the lease ends a little earlier."""

    async def main(harness):
        harness.store.put('op/version/drafts', named(2))
        harness.store.put(KEY, b'{}')
        await fakes.wait_until(
            lambda: harness.catalog.newest_version('drafts')
        )
        harness.store.delete(KEY)
        harness.store.put('servers/i-9', b'{}')
        await fakes.wait_until(lambda: harness.updater._revision >= 6)
        now = harness.boottime()
        return harness.catalog.due_version('drafts', GRACE_S, now)

    assert test_cache_updater.run(main) is None


def test_invalid_pending_key_is_ignored():
    def prepare(harness):
        harness.store.put(f'{_documents.PENDING_PREFIX}x', b'{}')

    async def main(harness):
        return harness.catalog.declaration.revision

    assert test_cache_updater.run(main, prepare)
