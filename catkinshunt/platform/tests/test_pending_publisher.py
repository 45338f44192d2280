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


def test_a_version_that_was_just_named_is_shown_as_pending():
    async def main():
        store = fakes.FakeStore()
        async with Writer(store).running() as writer:
            writer.catalog.add_named_version('drafts', 2, writer.now)
            await fakes.until(lambda: KEY in store.items)
        return store.granted_s

    (lease_s,) = asyncio.run(main())
    assert lease_s < GRACE_S


def test_the_key_ends_before_the_version_is_due_also_if_the_store_is_slow():
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
            await fakes.until(lambda: 'end' in store.calls)
        return store.items

    assert KEY not in asyncio.run(main())


def test_two_of_many_entries_write():
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
            await fakes.until(lambda: store.calls.count('write') == 2)
            for _ in range(20):
                await asyncio.sleep(0)
        return store.calls

    assert (
        asyncio.run(main()).count('write') == _pending_publisher.WRITER_COUNT
    )


def test_a_version_that_was_there_at_the_start_is_not_shown():
    async def main():
        store = fakes.FakeStore()
        async with Writer(store).running() as writer:
            writer.catalog.add_named_version('drafts', 2, -float('inf'))
            for _ in range(20):
                await asyncio.sleep(0)
        return store.calls

    assert asyncio.run(main()) == []


@pytest.mark.parametrize('shown', [True, False])
def test_an_entry_that_starts_knows_whether_a_version_is_due(shown):
    """It finds a version in the store, named a moment or an hour ago.

    Taken as due, all requests are refused while engines still load it, up to
    eight seconds; taken as new, requests begin on weights that are too old.
    """

    def prepare(followed):
        followed.store.put('op/version/drafts', named(2))
        if shown:
            followed.store.put(KEY, b'{}')

    async def main(followed):
        now = followed.boottime()
        return followed.catalog.due_version('drafts', GRACE_S, now)

    due = test_cache_updater.run(main, prepare)
    assert due == (None if shown else 2)


def test_a_version_is_due_when_its_key_ends():
    def prepare(followed):
        followed.store.put('op/version/drafts', named(2))
        followed.store.put(KEY, b'{}')

    async def main(followed):
        followed.store.delete(KEY)

        def is_due():
            now = followed.boottime()
            return followed.catalog.due_version('drafts', GRACE_S, now) == 2

        await fakes.until(is_due)

    test_cache_updater.run(main, prepare)


def test_a_version_whose_key_comes_late_is_not_due():
    """The entry started before those that saw it named wrote the key."""

    def prepare(followed):
        followed.store.put('op/version/drafts', named(2))

    async def main(followed):
        followed.store.put(KEY, b'{}')

        def is_due():
            now = followed.boottime()
            return followed.catalog.due_version('drafts', GRACE_S, now) == 2

        await fakes.until(lambda: not is_due())

    test_cache_updater.run(main, prepare)


def test_a_key_that_ended_while_the_history_was_lost_counts_as_ended():
    def prepare(followed):
        followed.store.put('op/version/drafts', named(2))
        followed.store.put(KEY, b'{}')

    async def main(followed):
        followed.store.delete(KEY)
        followed.store.forget_history()

        def is_due():
            now = followed.boottime()
            return followed.catalog.due_version('drafts', GRACE_S, now) == 2

        await fakes.until(is_due)

    test_cache_updater.run(main, prepare)


def test_the_end_of_a_key_changes_nothing_for_who_saw_it_named():
    """It knows the time itself, and the lease ends a little earlier."""

    async def main(followed):
        followed.store.put('op/version/drafts', named(2))
        followed.store.put(KEY, b'{}')
        await fakes.until(lambda: followed.catalog.newest_version('drafts'))
        followed.store.delete(KEY)
        followed.store.put('servers/i-9', b'{}')
        await fakes.until(lambda: followed.mirror._revision >= 6)
        now = followed.boottime()
        return followed.catalog.due_version('drafts', GRACE_S, now)

    assert test_cache_updater.run(main) is None


def test_an_unknown_key_is_left_aside():
    def prepare(followed):
        followed.store.put(f'{_documents.PENDING_PREFIX}x', b'{}')

    async def main(followed):
        return followed.catalog.declaration.revision

    assert test_cache_updater.run(main, prepare)
