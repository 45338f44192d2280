import asyncio
import contextlib
import random

from catkinshunt import catalog as catalogs
from catkinshunt import platform
from catkinshunt.platform import _cache_updater
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import test_documents as documents
from catkinshunt import quarantine


class Harness:
    """A cache updater with a fake store, a new one by default."""

    def __init__(self, store=None):
        self.store = store or fakes.FakeStore()
        self.catalog = catalogs.Catalog(key_trust_s=3.0)
        self.live_entries = catalogs.LiveEntries()
        self.now_s = 100.0
        loop = asyncio.get_running_loop()
        self.boottime = lambda: loop.time() + self.now_s
        self.updater = platform.CacheUpdater(
            self.store,
            self.catalog,
            self.live_entries,
            self.boottime,
            random.Random(1),
            quarantine.Quarantine(),
        )

    @contextlib.asynccontextmanager
    async def running(self):
        task = asyncio.ensure_future(self.updater.run())
        try:
            yield self
        finally:
            task.cancel()

    def ids(self):
        now = self.boottime()
        return {u.id for u in self.catalog.upstreams('engines', now)}


def run(main, prepare=lambda harness: None):
    async def inside():
        harness = Harness()
        harness.store.put('op/config', documents.configuration())
        harness.store.put('servers/i-1', documents.UPSTREAM)
        prepare(harness)
        async with harness.running():
            await fakes.wait_until(lambda: harness.catalog.declaration)
            return await main(harness)

    return asyncio.run(inside())


def test_changes_are_applied():
    async def main(harness):
        harness.store.put('servers/i-2', documents.UPSTREAM)
        harness.store.put('op/config', documents.configuration(version=9))
        await fakes.wait_until(lambda: harness.ids() == {'i-1', 'i-2'})
        await fakes.wait_until(
            lambda: harness.catalog.declaration.revision == 9
        )

    run(main)


def test_older_revision_never_replaces_a_newer_one():
    async def main(harness):
        harness.store.put('op/config', documents.configuration(version=9))
        harness.store.put('op/config', documents.configuration(version=8))
        harness.store.put('servers/i-2', documents.UPSTREAM)
        await fakes.wait_until(lambda: 'i-2' in harness.ids())
        return harness.catalog.declaration.revision

    assert run(main) == 9


def test_invalid_upstreams_do_not_affect_others():
    async def main(harness):
        harness.store.put('servers/i-9', b'\xff')
        harness.store.put('servers/i-2', documents.UPSTREAM)
        await fakes.wait_until(lambda: harness.ids() == {'i-1', 'i-2'})

    run(main)


def test_all_items_are_read_again_after_history_loss():
    """The store drops its history while an upstream leaves.

    The watch does not return the deletion. Unless all items are read again,
    requests are sent to the upstream that has left.
    """

    async def main(harness):
        harness.store.put('servers/i-2', documents.UPSTREAM)
        await fakes.wait_until(lambda: 'i-2' in harness.ids())
        harness.store.items.pop('servers/i-1')
        harness.store.forget_history()
        await fakes.wait_until(lambda: harness.ids() == {'i-2'})

    run(main)


def test_upstream_that_was_removed_during_history_loss_is_not_used():
    """It was removed up to 2.5 s before; requests must stop within 2 s."""

    async def main(harness):
        await fakes.wait_until(lambda: harness.store.calls[-1] == 'watch')
        harness.now_s += 2.5
        harness.store.items.pop('servers/i-1')
        harness.store.forget_history()
        await fakes.wait_until(lambda: not harness.catalog.find('i-1'))
        return harness.ids()

    assert run(main) == set()


def test_last_upstream_stays_usable_briefly_after_it_vanished():
    """All upstream keys expire in a store outage while the upstreams live.

    The keys are back within two seconds of its end. Without a grace period
    all requests would be rejected meanwhile.
    """

    async def main(harness):
        harness.store.delete('servers/i-1')
        await fakes.wait_until(lambda: not harness.catalog.find('i-1'))
        soon = harness.ids()
        harness.now_s += 1.6
        return soon, harness.ids()

    assert run(main) == ({'i-1'}, set())


def test_state_ages_while_the_store_is_unreachable(monkeypatch):
    """The store is unreachable, and API keys may be revoked meanwhile.

    The age of the cached state must grow, also during a suspend, and be small
    again as soon as the store has answered.
    """
    monkeypatch.setattr(_cache_updater, 'WATCH_TIMEOUT_S', 0.1)
    monkeypatch.setattr(_cache_updater, 'MIN_WATCH_TIMEOUT_S', 0.05)
    monkeypatch.setattr(_cache_updater, 'MAX_BACKOFF_S', 0.05)

    async def main(harness):
        harness.store.is_down = True
        await asyncio.sleep(0.2)
        harness.now_s += 5.0
        stale = harness.catalog.can_trust_keys(harness.boottime())
        harness.store.is_down = False
        await fakes.wait_until(
            lambda: harness.catalog.can_trust_keys(harness.boottime())
        )
        return stale

    assert run(main) is False


def test_answer_read_after_a_suspend_confirms_nothing(monkeypatch):
    """The process is suspended while an answer of the store is buffered.

    If the time of reading it counted, an old state would seem current, and an
    API key that was revoked meanwhile would still be served.
    """
    monkeypatch.setattr(_cache_updater, 'WATCH_TIMEOUT_S', 0.2)

    async def main(harness):
        age_s = harness.catalog.age_s
        await fakes.wait_until(lambda: age_s(harness.boottime()) < 0.1)
        harness.now_s += 30.0
        watches = harness.store.calls.count('watch')
        harness.store.put('servers/i-2', documents.UPSTREAM)
        await fakes.wait_until(lambda: 'i-2' in harness.ids())
        assert harness.store.calls.count('watch') <= watches + 1
        return harness.catalog.age_s(harness.boottime())

    assert run(main) > 25


def test_versions_named_before_the_start_are_due_at_once():
    """A process starts some unknown time after a version was announced.

    If it allowed the older version for the full time again, each restart
    would extend the bound.
    """

    def prepare(harness):
        harness.store.put(
            'op/version/drafts', {'model': 'drafts', 'version': 3}
        )

    async def main(harness):
        catalog = harness.catalog
        await fakes.wait_until(lambda: catalog.newest_version('drafts'))
        harness.store.put(
            'op/version/drafts', {'model': 'drafts', 'version': 4}
        )
        await fakes.wait_until(
            lambda: catalog.newest_version('drafts').version == 4
        )
        return catalog.due_version('drafts', 8.0, harness.boottime())

    assert run(main, prepare) == 3


def test_live_entries_follow_the_store():
    async def main(harness):
        harness.store.put('catkinshunt/entries/edge-2', {})
        await fakes.wait_until(
            lambda: harness.live_entries.names() == ['edge-2']
        )
        harness.store.delete('catkinshunt/entries/edge-2')
        await fakes.wait_until(lambda: not harness.live_entries.names())

    run(main)


def test_live_entries_are_read_again_after_history_loss():
    async def main(harness):
        await fakes.wait_until(
            lambda: harness.live_entries.names() == ['edge-1']
        )
        harness.store.is_down = True
        harness.store.delete('catkinshunt/entries/edge-1')
        harness.store.put('catkinshunt/entries/edge-3', {})
        harness.store.forget_history()
        harness.store.is_down = False
        await fakes.wait_until(
            lambda: harness.live_entries.names() == ['edge-3']
        )

    run(main, lambda f: f.store.put('catkinshunt/entries/edge-1', {}))


def test_older_second_read_does_not_restore_upstreams():
    """After a history loss, a peer relays an older state than the cached one.

    Requests would be sent to an upstream that had left by then.
    """

    async def main(harness):
        store = harness.store
        old = await store.read_prefix('servers/')
        store.delete('servers/i-1')
        await fakes.wait_until(lambda: harness.ids() == set())
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
            seen.append(harness.catalog.find('i-1'))
            await asyncio.sleep(0.005)
        return len(reads), [found for found in seen if found is not None]

    reads, seen = run(main)
    assert reads == 6
    assert seen == []


def test_version_read_after_a_suspend_is_due_in_time():
    """Its time would count from the reading, seconds after its announcement.

    Requests would begin on the previous version for as much longer.
    """

    async def main(harness):
        catalog = harness.catalog
        await fakes.wait_until(lambda: harness.store.calls.count('watch') > 0)
        latest = harness.boottime()
        harness.now_s += 2.5
        harness.store.put(
            'op/version/drafts', {'model': 'drafts', 'version': 2}
        )
        await fakes.wait_until(lambda: catalog.newest_version('drafts'))
        return catalog.due_version('drafts', 8.0, latest + 8.0 + 0.01)

    assert run(main) == 2


def test_upstreams_outlast_an_outage_in_which_their_keys_lapse():
    """All requests would be rejected until the keys are back."""

    async def main(harness):
        store = harness.store
        await fakes.wait_until(lambda: 'watch' in store.calls)
        harness.now_s += 2.5
        store.is_down = True
        store.put('servers/i-2', documents.UPSTREAM)
        calls = len(store.calls)
        await fakes.wait_until(lambda: len(store.calls) > calls + 1)
        store.delete('servers/i-2')
        store.delete('servers/i-1')
        store.is_down = False
        await fakes.wait_until(lambda: harness.catalog.find('i-1') is None)
        return harness.ids()

    assert 'i-1' in run(main)
