import asyncio
import contextlib
import random

from catkinshunt import catalog as catalogs
from catkinshunt import platform
from catkinshunt.platform import _cache_updater
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import test_documents as documents
from catkinshunt import quarantine


class Followed:
    """A mirror of a fake store."""

    def __init__(self):
        self.store = fakes.FakeStore()
        self.catalog = catalogs.Catalog(key_trust_s=3.0)
        self.live_entries = catalogs.LiveEntries()
        self.now_s = 100.0
        loop = asyncio.get_running_loop()
        self.boottime = lambda: loop.time() + self.now_s
        self.mirror = platform.CacheUpdater(
            self.store,
            self.catalog,
            self.live_entries,
            self.boottime,
            random.Random(1),
            quarantine.Quarantine(),
        )

    @contextlib.asynccontextmanager
    async def running(self):
        task = asyncio.ensure_future(self.mirror.run())
        try:
            yield self
        finally:
            task.cancel()

    def ids(self):
        now = self.boottime()
        return {u.id for u in self.catalog.upstreams('engines', now)}


def run(main, prepare=lambda followed: None):
    async def inside():
        followed = Followed()
        followed.store.put('op/config', documents.configuration())
        followed.store.put('servers/i-1', documents.UPSTREAM)
        prepare(followed)
        async with followed.running():
            await fakes.until(lambda: followed.catalog.declaration)
            return await main(followed)

    return asyncio.run(inside())


def test_changes_are_followed():
    async def main(followed):
        followed.store.put('servers/i-2', documents.UPSTREAM)
        followed.store.put('op/config', documents.configuration(version=9))
        await fakes.until(lambda: followed.ids() == {'i-1', 'i-2'})
        await fakes.until(lambda: followed.catalog.declaration.revision == 9)

    run(main)


def test_an_older_revision_never_replaces_a_newer_one():
    async def main(followed):
        followed.store.put('op/config', documents.configuration(version=9))
        followed.store.put('op/config', documents.configuration(version=8))
        followed.store.put('servers/i-2', documents.UPSTREAM)
        await fakes.until(lambda: 'i-2' in followed.ids())
        return followed.catalog.declaration.revision

    assert run(main) == 9


def test_entries_that_cannot_be_read_leave_the_others():
    async def main(followed):
        followed.store.put('servers/i-9', b'\xff')
        followed.store.put('servers/i-2', documents.UPSTREAM)
        await fakes.until(lambda: followed.ids() == {'i-1', 'i-2'})

    run(main)


def test_a_lost_history_is_read_again():
    """The store drops its history while an upstream leaves.

    The watch cannot tell what happened; without reading all again, requests
    would go to the upstream that has left.
    """

    async def main(followed):
        followed.store.put('servers/i-2', documents.UPSTREAM)
        await fakes.until(lambda: 'i-2' in followed.ids())
        followed.store.items.pop('servers/i-1')
        followed.store.forget_history()
        await fakes.until(lambda: followed.ids() == {'i-2'})

    run(main)


def test_the_last_upstream_is_used_for_a_moment_after_it_vanished():
    """In an outage of the store all entries lapse though all upstreams live.

    They are back within two seconds of its return. Without a moment's
    patience nobody would be served meanwhile.
    """

    async def main(followed):
        followed.store.delete('servers/i-1')
        await fakes.until(lambda: not followed.catalog.find('i-1'))
        soon = followed.ids()
        followed.now_s += 1.6
        return soon, followed.ids()

    assert run(main) == ({'i-1'}, set())


def test_without_word_from_the_store_the_state_grows_old(monkeypatch):
    """The store is out of reach, and keys may be taken away meanwhile.

    The age of what is known must grow, also over a suspend, and be small
    again as soon as the store has answered.
    """
    monkeypatch.setattr(_cache_updater, 'WATCH_TIMEOUT_S', 0.1)
    monkeypatch.setattr(_cache_updater, 'MIN_WATCH_TIMEOUT_S', 0.05)
    monkeypatch.setattr(_cache_updater, 'MAX_BACKOFF_S', 0.05)

    async def main(followed):
        followed.store.down = True
        await asyncio.sleep(0.2)
        followed.now_s += 5.0
        stale = followed.catalog.can_trust_keys(followed.boottime())
        followed.store.down = False
        await fakes.until(
            lambda: followed.catalog.can_trust_keys(followed.boottime())
        )
        return stale

    assert run(main) is False


def test_an_answer_read_after_a_suspend_proves_nothing(monkeypatch):
    """The process is suspended while an answer of the store lies unread.

    Read on waking, it would make a state of some seconds ago look new, and
    a key that was taken away meanwhile would still be served.
    """
    monkeypatch.setattr(_cache_updater, 'WATCH_TIMEOUT_S', 0.2)

    async def main(followed):
        age_s = followed.catalog.age_s
        await fakes.until(lambda: age_s(followed.boottime()) < 0.1)
        followed.now_s += 30.0
        watches = followed.store.calls.count('watch')
        followed.store.put('servers/i-2', documents.UPSTREAM)
        await fakes.until(lambda: 'i-2' in followed.ids())
        assert followed.store.calls.count('watch') <= watches + 1
        return followed.catalog.age_s(followed.boottime())

    assert run(main) > 25


def test_versions_named_before_the_start_are_due_at_once():
    """A process starts after a version was named.

    It cannot know how long ago; were it to allow the older version for the
    whole time again, each restart would put the bound off.
    """

    def prepare(followed):
        followed.store.put(
            'op/version/drafts', {'model': 'drafts', 'version': 3}
        )

    async def main(followed):
        catalog = followed.catalog
        await fakes.until(lambda: catalog.newest_version('drafts'))
        followed.store.put(
            'op/version/drafts', {'model': 'drafts', 'version': 4}
        )
        await fakes.until(
            lambda: catalog.newest_version('drafts').version == 4
        )
        return catalog.due_version('drafts', 8.0, followed.boottime())

    assert run(main, prepare) == 3


def test_entries_that_come_and_go_are_counted():
    async def main(followed):
        followed.store.put('catkinshunt/entries/edge-2', {})
        await fakes.until(lambda: followed.live_entries.names() == ['edge-2'])
        followed.store.delete('catkinshunt/entries/edge-2')
        await fakes.until(lambda: not followed.live_entries.names())

    run(main)


def test_entries_are_read_anew_where_the_history_is_gone():
    async def main(followed):
        await fakes.until(lambda: followed.live_entries.names() == ['edge-1'])
        followed.store.down = True
        followed.store.delete('catkinshunt/entries/edge-1')
        followed.store.put('catkinshunt/entries/edge-3', {})
        followed.store.forget_history()
        followed.store.down = False
        await fakes.until(lambda: followed.live_entries.names() == ['edge-3'])

    run(main, lambda f: f.store.put('catkinshunt/entries/edge-1', {}))


def test_a_second_read_that_is_older_brings_back_no_upstream():
    """The history is gone, and a neighbour that is asked knows less.

    Requests would go to an upstream that this entry knew to have left.
    """

    async def main(followed):
        store = followed.store
        old = await store.read_prefix('servers/')
        store.delete('servers/i-1')
        await fakes.until(lambda: followed.ids() == set())
        reads = []

        async def read_older(prefix):
            reads.append(prefix)
            if prefix == 'servers/' and len(reads) <= 3:
                return old
            return await fakes.FakeStore.read_prefix(store, prefix)

        store.read_prefix = read_older
        store.forget_history()
        seen = []
        for _ in range(60):
            seen.append(followed.catalog.find('i-1'))
            await asyncio.sleep(0.005)
        return len(reads), [found for found in seen if found is not None]

    reads, seen = run(main)
    assert reads == 6
    assert seen == []
