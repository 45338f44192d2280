import asyncio

from catkinshunt import catalog as catalogs
from catkinshunt import platform
from catkinshunt.platform import _documents
from catkinshunt.platform import _store_view
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import test_documents as documents
from catkinshunt.platform.tests import test_settings
from catkinshunt import spread
from catkinshunt import wake_log

DUE_S = 8.0


def make_view(store):
    cfg = platform.parse_instance_settings(
        {**test_settings.DOCUMENT, 'service': 'engines'}
    )
    clock = asyncio.get_running_loop().time
    wakes = wake_log.WakeLog(clock)
    return _store_view.StoreView(
        cfg, store, catalogs.Catalog(), clock, DUE_S, wakes
    )


def run(main):
    async def inside():
        store = fakes.FakeStore()
        store.put(
            'op/config',
            documents.configuration(
                services=[
                    {'name': 'origin', 'origin': '10.9.9.9:80', 'zone': 'a'}
                ]
            ),
        )
        view = make_view(store)
        task = asyncio.ensure_future(view.run())
        try:
            await fakes.wait_until(lambda: 'read' in store.calls)
            return await main(view, store)
        finally:
            task.cancel()

    return asyncio.run(inside())


def report(version=0):
    return spread.EngineReport({'drafts': version} if version else {})


def announce(store, version):
    store.put('op/version/drafts', {'model': 'drafts', 'version': version})


def test_newest_announced_version_is_the_target():
    async def main(view, store):
        announce(store, 2)
        await fakes.wait_until(lambda: view.catalog.announced_models())
        return await view.target_version(report(1))

    wanted = run(main)
    assert (wanted.model, wanted.version) == ('drafts', 2)


def test_added_engine_gets_the_version_that_others_serve():
    """An engine is added while no version is announced in the store.

    It loads the version that the other engines of the service list.
    """

    async def main(view, store):
        store.put('servers/i-1', documents.UPSTREAM)
        return await view.target_version(report()), await view.target_version(
            report(1)
        )

    empty, serving = run(main)
    assert (empty.model, empty.version) == ('drafts', 2)
    assert serving is None


def test_configuration_is_read_only_for_the_origin():
    """After a power loss all processes start at the same time.

    A large configuration read by each sidecar would saturate the links
    between regions for seconds, while entries wait for it.
    """

    async def main(view, store):
        store.put('servers/i-1', documents.UPSTREAM)
        await view.target_version(report())
        before = view.catalog.declaration
        origin = await view.origin()
        return before, origin

    before, origin = run(main)
    assert before is None
    assert origin.address == ('10.9.9.9', 80)


def test_no_target_before_the_announced_versions_are_read():
    """All instances restart after a power loss; a new version is announced.

    Engines are still listed with the previous version. A sidecar that used
    the list before it has read the announced versions would fetch the previous
    version first and delay the new one.
    """

    async def main():
        store = fakes.FakeStore()
        store.put('servers/i-1', documents.UPSTREAM)
        view = make_view(store)
        early = await view.target_version(report())
        announce(store, 3)
        task = asyncio.ensure_future(view.run())
        await fakes.wait_until(lambda: view.catalog.announced_models())
        task.cancel()
        return early, await view.target_version(report())

    early, late = asyncio.run(main())
    assert early is None
    assert late.version == 3


def test_published_origin_avoids_reading_the_configuration():
    """After a power loss all sidecars and entries start at the same time.

    When each sidecar that fetched from the origin read the large
    configuration, the links between regions were saturated for nine seconds,
    and entries without a configuration rejected all requests.
    """

    async def main(view, store):
        published = catalogs.Origin(('10.9.9.7', 80), 'a', 4.38, 48)
        store.put(_documents.ORIGIN_KEY, _documents.dump_origin(published))
        found = await view.origin()
        return found == published, view.catalog.declaration

    assert run(main) == (True, None)


def test_new_address_of_the_origin_is_read(monkeypatch):
    """The origin gets another address while sidecars run.

    A sidecar that cached the first address forever could fetch no further
    version.
    """
    monkeypatch.setattr(_store_view, 'ORIGIN_MAX_AGE_S', 0.0)

    async def main(view, store):
        found = []
        for host in ('10.9.9.7', '10.9.9.8'):
            published = catalogs.Origin((host, 80))
            store.put(_documents.ORIGIN_KEY, _documents.dump_origin(published))
            found.append((await view.origin()).address[0])
        store.is_down = True
        found.append((await view.origin()).address[0])
        return found

    assert run(main) == ['10.9.9.7', '10.9.9.8', '10.9.9.8']


def test_invalid_origin_key_is_ignored():
    async def main(view, store):
        store.put(_documents.ORIGIN_KEY, b'{"address": 7}')
        return await view.origin()

    assert run(main).address == ('10.9.9.9', 80)


def test_version_announced_at_run_time_gets_the_full_time():
    async def main(view, store):
        announce(store, 2)
        await fakes.wait_until(lambda: view.catalog.announced_models())
        since = view.superseded_at('drafts', 1) - view.now()
        return since

    assert run(main) > DUE_S - 1


def test_version_expires_before_a_newer_one_is_due():
    async def main(view, store):
        before = view.expires_at('drafts', 1)
        announce(store, 2)
        await fakes.wait_until(lambda: view.catalog.announced_models())
        announced_at = view.now()
        announce(store, 3)
        await fakes.wait_until(
            lambda: view.catalog.newest_version('drafts').version == 3
        )
        return before, announced_at, view.expires_at('drafts', 1)

    before, announced_at, expires_at = run(main)
    assert before == float('inf')
    assert expires_at <= announced_at + DUE_S - _store_view.EXPIRY_MARGIN_S


def test_version_found_at_start_expires_in_the_time_of_a_new_one():
    """A sidecar restarts, and cannot determine when one was announced.

    If it took the old version as expired, its engine would get no requests
    up to eight seconds too early; if it did not let it expire, none would end.
    """

    async def main():
        store = fakes.FakeStore()
        announce(store, 2)
        view = make_view(store)
        task = asyncio.ensure_future(view.run())
        await fakes.wait_until(lambda: view.catalog.announced_models())
        task.cancel()
        return view.expires_at('drafts', 1) - view.now()

    left_s = asyncio.run(main()) + _store_view.EXPIRY_MARGIN_S
    assert DUE_S - 0.1 < left_s <= DUE_S


def test_version_after_one_found_at_start_expires_the_first():
    """The engine has neither; the time of the second one is known."""

    async def main():
        store = fakes.FakeStore()
        announce(store, 2)
        view = make_view(store)
        task = asyncio.ensure_future(view.run())
        await fakes.wait_until(lambda: view.catalog.announced_models())
        announce(store, 3)
        await fakes.wait_until(
            lambda: view.catalog.newest_version('drafts').version == 3
        )
        task.cancel()
        return view.expires_at('drafts', 1) - view.now()

    assert asyncio.run(main()) <= DUE_S - _store_view.EXPIRY_MARGIN_S


def test_leaving_engines_are_not_members():
    async def main(view, store):
        store.put('servers/i-1', documents.UPSTREAM)
        leaving = {**documents.UPSTREAM, 'state': 'draining'}
        store.put('servers/i-2', {**leaving, 'address': '10.1.0.10:8080'})
        return await view.members()

    assert [member.name for member in run(main)] == ['10.1.0.9']


def test_members_stay_cached_while_the_store_is_unreachable(monkeypatch):
    """The store becomes unreachable while a version has to be fetched.

    Without the cached members no transfer could begin until the outage ends,
    although all members and the origin are up. Requests would fail once the
    version is due.
    """
    monkeypatch.setattr(_store_view, 'MEMBERS_MAX_AGE_S', 0.0)

    async def main(view, store):
        store.put('servers/i-1', documents.UPSTREAM)
        before = await view.members()
        store.is_down = True
        during = await view.members()
        store.is_down = False
        store.delete('servers/i-1')
        return before, during, await view.members()

    before, during, after = run(main)
    assert [member.name for member in before] == ['10.1.0.9']
    assert during == before
    assert after == []


def test_versions_are_followed_into_a_new_era_of_the_store():
    """The store comes back from a copy without the newest version.

    Engines would load the previous one again, and newer ones with lower
    revisions would not be noticed.
    """

    async def main(view, store):
        announce(store, 2)
        await fakes.wait_until(lambda: view.catalog.announced_models())
        former = store.take_copy()
        announce(store, 3)
        for number in range(10):
            store.put(f'op/other/{number}', {})
        newest = view.catalog.newest_version
        await fakes.wait_until(lambda: newest('drafts').version == 3)
        announced_after = newest('drafts').announced_after
        # The view waits for the next change.
        await asyncio.sleep(0.05)
        store.go_back(former)
        await asyncio.sleep(0.2)
        kept = newest('drafts')
        announce(store, 4)
        await fakes.wait_until(lambda: newest('drafts').version == 4)
        return kept.version, kept.announced_after == announced_after

    assert run(main) == (3, True)


def test_leaving_member_stays_so_in_a_new_era_of_the_store(monkeypatch):
    """Chunks would be asked of an engine that has been shut down."""
    monkeypatch.setattr(_store_view, 'MEMBERS_MAX_AGE_S', 0.0)

    async def main(view, store):
        store.put('servers/i-1', documents.UPSTREAM)
        store.put(
            'servers/i-2', {**documents.UPSTREAM, 'address': '10.1.0.8:8080'}
        )
        former = store.take_copy()
        store.put('servers/i-1', {**documents.UPSTREAM, 'state': 'draining'})
        before = await view.members()
        store.go_back(former)
        after = await view.members()
        return [[member.name for member in found] for found in (before, after)]

    assert run(main) == [['10.1.0.8'], ['10.1.0.8']]


def test_version_read_after_a_suspend_expires_in_time():
    """Permits would be granted for the previous version for too long."""

    async def main():
        store = fakes.FakeStore()
        view = make_view(store)
        offset = [0.0]
        loop = asyncio.get_running_loop()
        view.boottime = lambda: loop.time() + offset[0]
        view.wake_log.clock = view.boottime
        tasks = [
            asyncio.ensure_future(work)
            for work in (view.wake_log.run(), view.run())
        ]
        await fakes.wait_until(lambda: 'watch' in store.calls)
        latest = view.now()
        offset[0] = 2.5
        announce(store, 2)
        await fakes.wait_until(lambda: view.catalog.announced_models())
        for task in tasks:
            task.cancel()
        return view.superseded_at('drafts', 1) - latest

    assert asyncio.run(main()) <= DUE_S + 0.01


def test_version_found_after_a_loss_of_history_expires():
    """Permits would be granted for the previous version without end."""

    async def main(view, store):
        announce(store, 1)
        await fakes.wait_until(lambda: view.catalog.announced_models())
        announced_at = view.now()
        # The watch does not return the change.
        store.revision += 1
        store.items['op/version/drafts'] = platform.Item(
            'op/version/drafts',
            b'{"model": "drafts", "version": 2}',
            platform.Revision(1, store.revision),
        )
        store.forget_history()
        newest = view.catalog.newest_version
        await fakes.wait_until(lambda: newest('drafts').version == 2)
        return view.expires_at('drafts', 1) - announced_at

    assert run(main) <= DUE_S


def publish_origin(store, **fields):
    document = {
        'address': '10.9.9.9:80',
        'link_mbps': 7.3,
        'max_connections': 48,
    }
    store.put('catkinshunt/origin', {**document, **fields})


def test_models_are_known_only_without_an_announced_version():
    """All engines have crashed; no upstream lists a model."""

    async def main(view, store):
        publish_origin(
            store, models={'engines': ['drafts'], 'others': ['notes']}
        )
        before = await view.unannounced_models()
        announce(store, 2)
        await fakes.wait_until(lambda: view.catalog.announced_models())
        return before, await view.unannounced_models()

    assert run(main) == (('drafts',), ())


def test_models_of_an_older_entry_are_unknown():
    """The origin was published by a version of the program without them."""

    async def main(view, store):
        publish_origin(store)
        return await view.unannounced_models()

    assert run(main) == ()


def announce_two_models(store):
    publish_origin(
        store, models={'engines': ['drafts', 'notes'], 'others': ['charts']}
    )
    for model in ('charts', 'drafts', 'notes'):
        store.put(f'op/version/{model}', {'model': model, 'version': 2})


def test_versions_of_other_services_are_no_targets():
    """Two services of engines have models of their own."""

    async def main(view, store):
        announce_two_models(store)
        await fakes.wait_until(
            lambda: len(view.catalog.announced_models()) > 2
        )
        served = spread.EngineReport({'notes': 1})
        return (await view.target_version(served)).model

    assert run(main) == 'drafts'


def test_second_model_of_an_engine_becomes_the_target():
    """Versions of two models are announced at once."""

    async def main(view, store):
        announce_two_models(store)
        await fakes.wait_until(
            lambda: len(view.catalog.announced_models()) > 2
        )
        served = spread.EngineReport({'drafts': 2, 'notes': 1})
        target = await view.target_version(served)
        served = spread.EngineReport({'drafts': 2, 'notes': 2})
        done = await view.target_version(served)
        return target.model, served.versions[done.model]

    assert run(main) == ('notes', 2)
