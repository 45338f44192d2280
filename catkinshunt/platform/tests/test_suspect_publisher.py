import asyncio
import contextlib
import time

import pytest

from catkinshunt import catalog as catalogs
from catkinshunt import platform
from catkinshunt.platform import _apply
from catkinshunt.platform import _documents
from catkinshunt.platform import _suspect_publisher
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import regions
from catkinshunt import quarantine

NAMES = [f'entry-{number}' for number in range(6)]
CAUSE, BESIDE = 'f' * 32, 'b' * 32
KEY = _documents.suspect_key(CAUSE)


@contextlib.asynccontextmanager
async def publishing(store, names=NAMES):
    """Run the publisher of each entry; yields their quarantines."""
    boottime = asyncio.get_running_loop().time
    found, tasks = [], []
    for name in names:
        live_entries = catalogs.LiveEntries()
        live_entries.replace(names)
        quarantined = _suspect_publisher.ObservedQuarantine()
        publisher = _suspect_publisher.SuspectPublisher(
            store, quarantined, live_entries, name, boottime, time.time
        )
        tasks.append(asyncio.ensure_future(publisher.run()))
        found.append(quarantined)
    await asyncio.sleep(0)
    try:
        yield found
    finally:
        for task in tasks:
            task.cancel()


def crash(found, upstream, requests=(CAUSE,), ago_s=0.0, parts=None):
    """Let all entries record that an upstream crashed under requests."""
    now = asyncio.get_running_loop().time()
    for quarantined in found:
        run_s = dict.fromkeys(requests, 0.1)
        quarantined.record_crash(upstream, run_s, 4, now - ago_s, now, parts)


def test_third_crash_counts_as_the_third_though_all_entries_ended():
    """A request crashed engines anew after each restart of all entries."""

    async def main():
        region = regions.Region(count=2)
        async with publishing(region.store, NAMES[:2]) as found:
            crash(found, 'one', [CAUSE, BESIDE], ago_s=2.0)
            crash(found, 'two')
            await fakes.wait_until(lambda: KEY in region.store.items)
        async with region.running():
            found = [entry.quarantined for entry in region.entries]
            assert all(each.is_isolated(CAUSE) for each in found)
            assert all(each.is_suspect(BESIDE) for each in found)
            crash(found, 'three')
            # Another entry may report a crash that was restored.
            crash(found, 'one', ago_s=2.3)
            now = asyncio.get_running_loop().time()
            return [
                (
                    each.pause_s(CAUSE, now),
                    len(each.unresolved_crashes()),
                )
                for each in found
            ]

    for pause_s, count in asyncio.run(main()):
        assert pause_s > 0.0
        assert count == 3


def test_part_of_requests_outlasts_all_entries():
    """No request with it comes twice, so the part alone is known."""
    part, other = 'c' * 32, 'd' * 32

    async def main():
        region = regions.Region(count=2)
        async with publishing(region.store, NAMES[:2]) as found:
            crash(found, 'one', ['1'], 4.0, {'1': (part, other)})
            crash(found, 'two', ['2', '3'], 2.0, {'2': (part,)})
            key = _documents.suspect_key(part)
            await fakes.wait_until(lambda: key in region.store.items)
            assert _documents.suspect_key(other) not in region.store.items
        async with region.running():
            return [
                [
                    each
                    for each in (part, '3')
                    if e.quarantined.is_isolated(each)
                ]
                for e in region.entries
            ], region.entries[0].quarantined.is_suspect('3')

    isolated, is_suspect = asyncio.run(main())
    assert isolated == [['c' * 32]] * 2
    assert is_suspect


def test_second_crash_is_written_at_once(monkeypatch):
    """All entries may end before the next check."""
    monkeypatch.setattr(_suspect_publisher, 'CHECK_PERIOD_S', 60.0)

    async def main():
        store = fakes.FakeStore()
        async with publishing(store) as found:
            crash(found, 'one', ago_s=2.0)
            await asyncio.sleep(0.05)
            assert KEY not in store.items
            crash(found, 'two')
            await fakes.wait_until(lambda: KEY in store.items, 0.5)
            await asyncio.sleep(0.05)
            return store.calls, store.granted_s

    calls, granted_s = asyncio.run(main())
    assert calls.count('write') == _suspect_publisher.WRITER_COUNT
    assert max(granted_s) <= _documents.SUSPECT_LEASE_S


def test_rack_that_ends_costs_few_calls():
    """Calls of the store cost money, and their rate is limited."""

    async def main():
        store = fakes.FakeStore()
        async with publishing(store, NAMES[:2]) as found:
            for number in range(10):
                requests = [f'{n:032x}' for n in range(16)]
                crash(found, f'upstream-{number}', requests)
                await asyncio.sleep(0.02)
            await fakes.wait_until(lambda: store.items)
            return store.calls.count('write'), len(store.items)

    writes, keys = asyncio.run(main())
    assert keys == _suspect_publisher.MAX_SUSPECTS
    assert writes <= 2 * _suspect_publisher.MAX_WRITES


def requests_with_many_parts():
    """Return requests, and the parts of each; they share the first one."""
    requests = [f'{number:032x}' for number in range(16)]
    parts = {
        request: ('c' * 32, *(f'{request[3:]}{n:03}' for n in range(15)))
        for request in requests
    }
    return requests, parts


def test_value_of_requests_with_many_parts_is_short():
    """Each write goes to all entries, and a prompt may have many parts."""
    requests, parts = requests_with_many_parts()

    async def main():
        store = fakes.FakeStore()
        async with publishing(store) as found:
            for number in range(8):
                ago_s = 8.0 - number
                crash(found, f'{number}', requests, ago_s, parts)
            await fakes.wait_until(lambda: store.items)
            # Writes of the last crashes.
            await asyncio.sleep(0.1)
            return max(len(each.value) for each in store.items.values())

    assert asyncio.run(main()) < 20_000


def test_evidence_is_selected_only_for_the_keys_that_are_written(monkeypatch):
    """An entry stood still at each crash of requests with many parts."""
    selected = []
    select = _suspect_publisher._select

    def record(evidence, trait, counts):
        selected.append(trait)
        return select(evidence, trait, counts)

    monkeypatch.setattr(_suspect_publisher, '_select', record)
    requests, parts = requests_with_many_parts()

    async def main():
        store = fakes.FakeStore()
        async with publishing(store, NAMES[:1]) as found:
            for number in range(8):
                crash(found, f'{number}', requests, 8.0 - number, parts)
            await fakes.wait_until(lambda: store.items)

    asyncio.run(main())
    assert len(set(selected)) <= _suspect_publisher.MAX_SUSPECTS


def test_key_of_a_completed_request_is_removed(monkeypatch):
    """An entry that starts would suspect a sound request."""
    monkeypatch.setattr(_suspect_publisher, 'CHECK_PERIOD_S', 0.01)

    async def main():
        store = fakes.FakeStore()
        async with publishing(store) as found:
            crash(found, 'one', ago_s=2.0)
            crash(found, 'two')
            await fakes.wait_until(lambda: KEY in store.items)
            for quarantined in found:
                quarantined.record_completion(CAUSE)
            await fakes.wait_until(lambda: KEY not in store.items)

    asyncio.run(main())


def test_key_of_a_quarantined_request_stays(monkeypatch):
    """All entries may end before its quarantine is in the store."""
    monkeypatch.setattr(_suspect_publisher, 'CHECK_PERIOD_S', 0.01)

    async def main():
        store = fakes.FakeStore()
        async with publishing(store) as found:
            crash(found, 'one', ago_s=2.0)
            crash(found, 'two')
            await fakes.wait_until(lambda: KEY in store.items)
            now = asyncio.get_running_loop().time()
            for quarantined in found:
                quarantined.add(CAUSE, quarantine.QUARANTINE_S, now)
            # Several checks.
            await asyncio.sleep(0.1)
            assert KEY in store.items

    asyncio.run(main())


def test_completed_requests_do_not_excuse_a_suspect(monkeypatch):
    """A restored cause would wait for requests that will not come again."""
    monkeypatch.setattr(_suspect_publisher, 'CHECK_PERIOD_S', 0.01)
    monkeypatch.setattr(_suspect_publisher, 'REWRITE_DELAY_S', 0.05)

    def read_requests(store):
        _, reports = _documents.parse_suspect(store.items[KEY].value)
        return {request for each in reports for request in each.requests}

    async def main():
        store = fakes.FakeStore()
        async with publishing(store) as found:
            crash(found, 'one', [CAUSE, BESIDE], ago_s=2.0)
            crash(found, 'two')
            await fakes.wait_until(lambda: KEY in store.items)
            assert read_requests(store) == {CAUSE, BESIDE}
            for quarantined in found:
                quarantined.record_completion(BESIDE)
            await fakes.wait_until(lambda: read_requests(store) == {CAUSE})

    asyncio.run(main())


def test_suspect_is_published_after_an_outage(monkeypatch):
    monkeypatch.setattr(_suspect_publisher, 'CHECK_PERIOD_S', 0.01)

    async def main():
        store = fakes.FakeStore()
        store.is_down = True
        async with publishing(store) as found:
            crash(found, 'one', ago_s=2.0)
            crash(found, 'two')
            await fakes.wait_until(lambda: store.calls)
            store.is_down = False
            await fakes.wait_until(lambda: KEY in store.items)

    asyncio.run(main())


def restore(value, unix_time):
    """Return the quarantine of an entry that starts, at 1000.0."""
    quarantined = quarantine.Quarantine()
    item = platform.Item(KEY, value, platform.Revision(1, 1))
    _apply.apply_suspect(item, quarantined, 1000.0, unix_time)
    return quarantined


def make_value(written_at):
    reports = [
        quarantine.CrashReport(upstream, (CAUSE,), (100,), 4, ago_s)
        for upstream, ago_s in (('one', 3.0), ('two', 1.0))
    ]
    return _documents.dump_suspect(reports, written_at)


def test_ages_of_crashes_go_on_while_no_entry_runs():
    """A crash that others report again would count twice."""
    quarantined = restore(make_value(500.0), 505.0)
    times = [each.at for each, _ in quarantined.unresolved_crashes()]
    assert times == [992.0, 994.0]


@pytest.mark.parametrize('unix_time', [490.0, 530.0])
def test_crashes_are_not_restored_by_a_clock_that_was_set(unix_time):
    """A crash that others report again would count twice."""
    assert restore(make_value(500.0), unix_time).is_idle


@pytest.mark.parametrize(
    'value',
    [
        b'nonsense',
        b'{"crashes": []}',
        b'{"written_at": 500.0, "crashes": 3}',
        b'{"written_at": 500.0, "crashes": [["crash", 1]]}',
        b'{"written_at": 500.0, "crashes": [["ask"]]}',
        b'{"written_at": true, "crashes": []}',
    ],
)
def test_invalid_suspects_are_ignored(value):
    assert restore(value, 500.0).is_idle
