import asyncio
import contextlib

from catkinshunt import errors
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import regions
from catkinshunt.platform.tests import test_documents as documents
from catkinshunt import rendezvous
from catkinshunt import watch_relay
from catkinshunt.watch_relay import _regional

import pytest

#: Latency of a slow store.
SLOW_S = 0.5


def test_entries_of_one_region_read_a_configuration_once():
    """Every entry of a region reads a configuration of 1,600 routes.

    Five changes within four seconds then need eleven seconds on a link
    between two regions. An entry behind it applies rules that are over three
    seconds old: a request for an added path gets a 404.
    """

    async def main(region):
        region.store.sent_keys.clear()
        region.store.put('op/config', documents.configuration(version=9))
        await region.wait_until(lambda entry: entry.revision == 9)
        return region.store.sent_keys.count('op/config')

    assert regions.run(main) == 1


def test_entries_that_start_together_read_a_configuration_once():
    """All entries start at the same time after a power loss.

    If five entries of a region each read 1,700 rules over one link, it takes
    nine seconds, and they reject all requests until then. The watcher may
    be the last one to start.
    """

    async def main():
        region = regions.Region()
        names = [entry.name for entry in region.entries]
        first = rendezvous.rank(regions.REGION, names)[0]
        region.entries.sort(key=lambda entry: entry.name == first)
        for entry in region.entries:
            await entry.start()
            await asyncio.sleep(0.1)
        await region.wait_until(lambda entry: entry.revision == 7)
        for entry in region.entries:
            await entry.kill()
        return [e.store.calls.count('read op/') for e in region.entries]

    assert asyncio.run(main()) == [0, 0, 1]


def test_burst_of_configurations_is_not_read_one_by_one():
    """The operator changes the configuration a dozen times in a row.

    The watch returns each revision in full, though only the newest is needed.
    Eighteen large ones saturate the link of a region for six seconds; requests
    and stream events that cross it wait as long, and streams break off. The
    first, one in between and the last are enough.
    """

    async def main(region):
        region.store.sent_keys.clear()
        for version in range(8, 20):
            document = documents.configuration(version=version)
            region.store.put('op/config', document)
            await asyncio.sleep(0.02)
        await region.wait_until(lambda entry: entry.revision == 19)
        return region.store.sent_keys.count('op/config')

    assert regions.run(main) <= 3


def test_watcher_lost_in_a_burst_does_not_transfer_every_configuration():
    """The watcher is lost during a burst of configurations.

    A watch would return each revision that the followers have missed in full
    over one link. A few revisions from before the loss was noticed are
    acceptable.
    """

    async def main(region):
        watcher, others = region.watcher(), region.followers()
        region.store.put('op/config', documents.configuration(version=8))
        await region.wait_until(lambda entry: entry.revision == 8)
        watcher.task.cancel()
        watcher.store.is_cut = True
        region.store.sent_keys.clear()
        for version in range(9, 29):
            document = documents.configuration(version=version)
            region.store.put('op/config', document)
            await asyncio.sleep(0.1)
        await region.wait_until(lambda entry: entry.revision == 28, others)
        return region.store.sent_keys.count('op/config') / len(others)

    assert regions.run(main) <= 3


def test_outage_in_a_burst_does_not_transfer_every_configuration(monkeypatch):
    """The store is unreachable for longer than `_regional.BUSY_S`.

    The revisions written meanwhile would each be sent in full.
    """
    monkeypatch.setattr(_regional, 'BUSY_S', 0.1)

    async def main(region):
        watcher = region.watcher()
        for entry in region.followers():
            await entry.kill()
        region.store.put('op/config', documents.configuration(version=8))
        await fakes.wait_until(lambda: watcher.revision == 8)
        watcher.store.is_rejecting = True
        await asyncio.sleep(0.3)
        region.store.sent_keys.clear()
        for version in range(9, 29):
            document = documents.configuration(version=version)
            region.store.put('op/config', document)
        watcher.store.is_rejecting = False
        await fakes.wait_until(lambda: watcher.revision == 28)
        return region.store.sent_keys.count('op/config')

    assert regions.run(main) <= 3


def test_deletions_in_a_burst_are_relayed():
    """A full read returns no deletions; a dead upstream would stay listed."""

    async def main(region):
        for version in (8, 9, 10):
            document = documents.configuration(version=version)
            region.store.put('op/config', document)
            await asyncio.sleep(0.05)
        region.store.delete('servers/i-1')
        region.store.put('servers/i-2', documents.UPSTREAM)
        await region.wait_until(lambda e: e.catalog.find('i-1') is None)
        await region.wait_until(lambda e: e.catalog.find('i-2') is not None)
        region.store.put('servers/i-1', documents.UPSTREAM)
        await region.wait_until(lambda e: e.catalog.find('i-1') is not None)

    regions.run(main)


def test_followers_continue_after_the_watcher_is_killed():
    """The followers watch the store themselves at once."""

    async def main(region):
        watcher, others = region.watcher(), region.followers()
        await watcher.kill()
        region.store.put('op/config', documents.configuration(version=9))
        await region.wait_until(lambda entry: entry.revision == 9, others)

    regions.run(main)


@pytest.mark.parametrize('several', [(regions.REGION,), regions.TWO_REGIONS])
def test_followers_continue_after_the_watcher_is_cut_off(monkeypatch, several):
    """The watcher loses its connection to the store.

    It continues to answer from its cache. The followers detect that its
    confirmation is stale, and read from the store before a revoked API key
    could be served.
    """
    monkeypatch.setattr(_regional, 'PEER_WAIT_S', 0.1)
    monkeypatch.setattr(_regional, 'STALE_S', 0.4)

    async def main(region):
        watcher, others = region.watcher(), region.followers()
        watcher.store.is_cut = True
        region.store.put('op/config', documents.configuration(version=9))
        await region.wait_until(lambda entry: entry.revision == 9, others)
        return [e.catalog.age_s(e.boottime()) for e in others]

    assert max(regions.run(main, several)) < 2.0


def test_history_loss_does_not_send_all_to_the_store():
    """The store loses its history as a large configuration is written.

    The watcher reads all items again. If the followers took that for an
    outage, each would read the configuration over one link, and reject
    requests for its paths meanwhile.
    """

    async def main(region):
        watcher, others = region.watcher(), region.followers()
        for entry in others:
            entry.store.calls.clear()
        watcher.store.loses_history = True
        region.store.put('op/config', documents.configuration(version=9))
        await region.wait_until(lambda entry: entry.revision == 9)
        return [call for entry in others for call in entry.store.calls]

    assert regions.run(main) == []


def test_history_loss_of_a_slow_store_does_not_send_all_to_it():
    """Three reads in a row take longer than a confirmation stays valid."""

    async def main(region):
        watcher, others = region.watcher(), region.followers()
        for entry in region.entries:
            entry.store.delay_s = SLOW_S
        for entry in others:
            entry.store.calls.clear()
        watcher.store.loses_history = True
        region.store.put('op/config', documents.configuration(version=9))
        await region.wait_until(lambda entry: entry.revision == 9)
        await asyncio.sleep(3 * SLOW_S)
        return [call for entry in others for call in entry.store.calls]

    assert regions.run(main) == []


def test_entry_rejected_by_the_store_follows_others():
    """Otherwise it would reject requests, although its peers are current."""

    async def main(region):
        watcher = region.watcher()
        watcher.store.is_rejecting = True
        region.store.put('op/config', documents.configuration(version=9))
        await region.wait_until(lambda entry: entry.revision == 9)
        ages = []
        for _ in range(40):
            await asyncio.sleep(0.1)
            ages.append(watcher.catalog.age_s(watcher.boottime()))
        return max(ages)

    assert regions.run(main) < regions.KEY_TRUST_S


def test_deletions_are_relayed():
    async def main(region):
        region.store.delete('servers/i-1')
        await region.wait_until(lambda e: e.catalog.find('i-1') is None)
        region.store.put('servers/i-1', documents.UPSTREAM)
        await region.wait_until(lambda e: e.catalog.find('i-1') is not None)

    regions.run(main)


def test_watcher_that_has_just_started_is_not_followed():
    """The watcher restarts and lacks the changes from before its start.

    Followers that need those changes must read from the store. Otherwise they
    would never get them.
    """

    async def main(region):
        watcher, others = region.watcher(), region.followers()
        for entry in others:
            entry.task.cancel()
        await watcher.kill()
        region.store.delete('servers/i-1')
        number = region.entries.index(watcher)
        restarted = regions.Entry(region, int(watcher.name[-1]))
        region.entries[number] = restarted
        await restarted.start()
        await fakes.wait_until(lambda: restarted.revision == 7)
        for entry in others:
            entry.task = asyncio.ensure_future(entry.updater.run())
        await region.wait_until(
            lambda e: e.catalog.find('i-1') is None, others
        )

    regions.run(main)


def test_buffered_answer_of_a_peer_confirms_nothing():
    """The process is suspended while an answer of a peer is buffered.

    If the time of reading it counted, a state of half a minute ago would seem
    current.
    """

    async def main(region):
        follower = region.followers()[0]
        calls = follower.store.calls
        follower.offset_s += 30.0
        before = len(calls)
        await fakes.wait_until(lambda: len(calls) > before)
        ages = []
        await fakes.wait_until(
            lambda: (
                ages.append(follower.catalog.age_s(follower.boottime()))
                or ages[-1] < 3.0
            )
        )
        return ages[0]

    assert regions.run(main) > 25


def test_relayed_version_keeps_the_age_at_the_watcher(monkeypatch):
    """A follower receives an announced version later than the watcher.

    If the time of receipt counted, it would serve the older version for too
    long.
    """

    async def main(region):
        watcher, others = region.watcher(), region.followers()
        slow = others[0]
        slow.task.cancel()
        region.store.put(
            'op/version/drafts', {'model': 'drafts', 'version': 3}
        )
        await fakes.wait_until(
            lambda: watcher.catalog.newest_version('drafts')
        )
        # Until the watcher has confirmed the state with the version.
        announced = watcher.catalog.newest_version('drafts')
        await fakes.wait_until(
            lambda: (
                watcher.feed.cache.confirmed_at
                > announced.announced_after + 0.4
            )
        )
        slow.task = asyncio.ensure_future(slow.updater.run())
        await fakes.wait_until(lambda: slow.catalog.newest_version('drafts'))
        return [
            entry.catalog.newest_version('drafts').announced_after
            for entry in (watcher, slow)
        ]

    watcher_at, follower_at = regions.run(main)
    assert follower_at <= watcher_at + 0.1


def test_one_entry_reads_a_configuration_for_all_regions():
    """If each region read it, a burst would saturate links between regions.

    Entries that wait for such a link reject requests.
    """

    async def main(region):
        region.store.sent_keys.clear()
        region.store.put('op/config', documents.configuration(version=9))
        await region.wait_until(lambda entry: entry.revision == 9)
        return region.store.sent_keys.count('op/config')

    assert regions.run(main, regions.TWO_REGIONS) == 1


def test_one_entry_of_a_region_follows_another_region():
    """Otherwise a link between regions carries each value several times."""

    async def main(region):
        watcher = region.watcher()
        following = [
            entry
            for entry in region.followers()
            if entry.location.region != watcher.location.region
            and entry.feed.watchers.regional_watcher(entry.boottime()) is None
        ]
        return len(following)

    assert regions.run(main, regions.TWO_REGIONS) == 1


def test_confirmations_reach_all_regions_before_they_are_stale():
    """If a confirmation relayed twice were stale, all would call the store."""

    async def main(region):
        watcher, others = region.watcher(), region.followers()
        for entry in others:
            entry.store.calls.clear()
        watcher_s, follower_s = [], []
        for _ in range(50):
            await asyncio.sleep(0.05)
            now = watcher.boottime()
            watcher_s.append(watcher.catalog.age_s(now))
            follower_s += [entry.catalog.age_s(now) for entry in others]
        calls = [call for entry in others for call in entry.store.calls]
        return max(watcher_s), max(follower_s), calls

    watcher_s, follower_s, calls = regions.run(main, regions.TWO_REGIONS)
    assert follower_s < min(watcher_s + regions.RELAY_S, _regional.STALE_S)
    assert calls == []


def test_other_regions_continue_after_the_watcher_is_killed():
    """Otherwise they would apply rules that are too old."""

    async def main(region):
        home_region = region.watcher().location.region
        lost = [e for e in region.entries if e.location.region == home_region]
        for entry in lost:
            await entry.kill()
        region.store.put('op/config', documents.configuration(version=9))
        others = [e for e in region.entries if e not in lost]
        await region.wait_until(lambda entry: entry.revision == 9, others)

    regions.run(main, regions.TWO_REGIONS)


def test_peer_with_invalid_answers_is_rejected():
    async def main():
        peer = watch_relay.PeerWatchSource(
            '127.0.0.1', 0, lambda: 0.0, lambda: 0.0
        )
        with pytest.raises(errors.StoreError):
            await peer.watch('', watch_relay.Revision(1, 3), 0.1)

    asyncio.run(main())
    for data in (b'', b'{}', b'{"items": [[1]]}', b'[]'):
        with pytest.raises(errors.StoreUnavailableError):
            watch_relay.load(data, 'peer')


def announce(region, version):
    document = {'model': 'drafts', 'version': version}
    region.store.put('op/version/drafts', document)


async def _silence_relay(region, entry):
    """Let all others wait for an entry that answers nothing any more."""
    waiting = []

    async def accept(reader, writer):
        waiting.append(reader)
        with contextlib.closing(writer):
            await asyncio.sleep(60)

    silent = await asyncio.start_server(accept, entry.host, 0)
    region.ports[entry.host] = silent.sockets[0].getsockname()[1]
    await fakes.wait_until(lambda: len(waiting) == len(region.followers()))


def test_version_that_is_learned_late_is_due_in_time():
    """Entries that learned of it late served the previous one for longer."""

    async def main(region, fault):
        watcher = region.watcher()
        if fault == 'silent relay':
            await _silence_relay(region, watcher)
        if fault == 'slow store':
            watcher.store.reply_delay_s = SLOW_S
        announced_at = {e.name: e.boottime() for e in region.entries}
        announce(region, 2)
        if fault == 'suspended':
            watcher.offset_s += 2.5
        newest = {}
        for entry in region.entries:
            find = entry.catalog.newest_version
            await fakes.wait_until(lambda: find('drafts'))
            newest[entry.name] = find('drafts')
        return [
            newest[name].announced_after - at
            for name, at in announced_at.items()
        ]

    for fault in ('silent relay', 'slow store', 'suspended'):
        late_s = regions.run(lambda region, f=fault: main(region, f))
        assert max(late_s) <= 0.0, fault


def test_entry_that_missed_two_versions_counts_the_first_in_time():
    """The second one counted, so that the first was due too late."""

    async def main(region):
        find = region.watcher().catalog.newest_version
        late = region.followers()[0]
        late.task.cancel()
        announced_at = late.boottime()
        for version in (2, 3):
            announce(region, version)
            await fakes.wait_until(
                lambda: find('drafts') and find('drafts').version == version
            )
        late.task = asyncio.ensure_future(late.updater.run())
        await fakes.wait_until(lambda: late.catalog.newest_version('drafts'))
        return late.catalog.newest_version(
            'drafts'
        ).announced_after, announced_at

    counts_from, announced_at = regions.run(main)
    assert counts_from <= announced_at


def test_version_is_not_due_long_before_its_time_at_a_single_entry():
    """It counts from the last confirmation, and no other entry needs those.

    Requests would be rejected for the time of a long watch.
    """

    async def main():
        region = regions.Region(count=1)
        (entry,) = region.entries
        async with region.running():
            await asyncio.sleep(1.5)
            announced_at = entry.boottime()
            announce(region, 2)
            find = entry.catalog.newest_version
            await fakes.wait_until(lambda: find('drafts'))
            return announced_at - find('drafts').announced_after

    assert asyncio.run(main()) < 2 * _regional.SOURCE_WAIT_S
