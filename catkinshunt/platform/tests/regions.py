"""Entries of one or several regions that watch one store, on loopback."""

import asyncio
import contextlib
import random

from catkinshunt import catalog as catalogs
from catkinshunt import errors
from catkinshunt import platform
from catkinshunt.platform import _documents
from catkinshunt.platform.tests import fakes
from catkinshunt.platform.tests import test_documents as documents
from catkinshunt import quarantine
from catkinshunt import watch_relay


REGION = 'attiki'
#: Longest time for a confirmation to be relayed through two entries.
RELAY_S = 0.2
#: Seconds without confirmation after which an entry trusts no API key.
KEY_TRUST_S = 3.0
TWO_REGIONS = ('attiki', 'thessalia')


class Entry:
    """One entry of a region, on its own loopback address."""

    def __init__(self, region, number, region_name=REGION):
        self.name = f'edge-{number}'
        self.host = f'127.0.0.{number}'
        self.region = region
        self.location = catalogs.EntryLocation(self.host, region_name)
        self.store = StoreConnection(region.store)
        self.catalog = catalogs.Catalog(key_trust_s=KEY_TRUST_S)
        self.live_entries = catalogs.LiveEntries()
        self.offset_s = 0.0
        self.feed = watch_relay.RegionalWatchSource(
            self.store,
            self.live_entries,
            self.name,
            region_name,
            self._make_peer,
            self.boottime,
            _documents.WATCHED_PREFIXES,
        )
        self.server = watch_relay.WatchRelayServer(
            self.feed, self.boottime, self.boottime
        )
        self.quarantined = quarantine.Quarantine()
        self.leaves = []
        self.eras = platform.EraMonitor()
        self.updater = platform.CacheUpdater(
            self.feed,
            self.catalog,
            self.live_entries,
            self.boottime,
            random.Random(number),
            self.quarantined,
            self.eras,
            self.leaves.append,
        )
        self.task = None

    def boottime(self):
        return asyncio.get_running_loop().time() + self.offset_s

    def _make_peer(self, host, must_be_direct):
        return PeerSource(
            host, self.region.ports, self.boottime, must_be_direct
        )

    async def start(self):
        await self.server.start(self.host, 0)
        self.region.ports[self.host] = self.server.port
        self.task = asyncio.ensure_future(self.updater.run())

    async def kill(self):
        self.task.cancel()
        self.server.close()
        for task in list(self.server._listener.tasks):
            task.cancel()

    @property
    def is_watcher(self):
        """Whether this entry watches the store itself."""
        return self.feed.watchers.choose(self.boottime()) is None

    @property
    def revision(self):
        declaration = self.catalog.declaration
        return declaration.revision if declaration else None


class PeerSource(watch_relay.BaseWatchSource):
    """Watches another entry; connections fail until that has started."""

    def __init__(self, host, ports, boottime, must_be_direct):
        self.host = host
        self.ports = ports
        self.boottime = boottime
        self.must_be_direct = must_be_direct

    async def read_prefix(self, prefix, *args):
        return await self._peer().read_prefix(prefix, *args)

    async def watch(self, prefix, after, wait_s):
        return await self._peer().watch(prefix, after, wait_s)

    def _peer(self):
        if self.host not in self.ports:
            raise errors.StoreUnavailableError('refused', step='connect')
        port = self.ports[self.host]
        return watch_relay.PeerWatchSource(
            self.host, port, self.boottime, self.boottime, self.must_be_direct
        )


class StoreConnection(watch_relay.BaseWatchSource):
    """Connection of one entry to the store, with faults.

    Attributes:
        is_cut: calls hang.
        is_rejecting: calls fail at once.
        loses_history: the next watch fails, since its changes are gone.
        delay_s: seconds before each call.
        reply_delay_s: seconds between each reply to a watch and its arrival.
        calls: the calls made, in order.
    """

    def __init__(self, store):
        self.store = store
        self.is_cut = False
        self.is_rejecting = False
        self.loses_history = False
        self.delay_s = 0.0
        self.reply_delay_s = 0.0
        self.calls = []

    async def read_prefix(self, prefix):
        await asyncio.sleep(self.delay_s)
        await self._pass('read ' + prefix)
        return await self.store.read_prefix(prefix)

    async def watch(self, prefix, after, wait_s):
        await asyncio.sleep(self.delay_s)
        await self._pass('watch')
        page = await self.store.watch(prefix, after, wait_s)
        await asyncio.sleep(self.reply_delay_s)
        await self._pass('answer')
        if self.loses_history:
            self.loses_history = False
            raise watch_relay.HistoryGoneError(
                'changes are gone', step='watch'
            )
        return page

    async def _pass(self, call):
        self.calls.append(call)
        if self.is_rejecting:
            raise errors.StoreUnavailableError('answered 503', step=call)
        if self.is_cut:
            await asyncio.sleep(60)


class Region:
    """Entries of one or several regions that watch one store."""

    def __init__(self, count=3, regions=(REGION,)):
        self.store = fakes.FakeStore()
        self.ports = {}
        self.store.put('op/config', documents.configuration())
        self.store.put('servers/i-1', documents.UPSTREAM)
        region_names = [region for region in regions for _ in range(count)]
        self.entries = [
            Entry(self, number, name)
            for number, name in enumerate(region_names, 1)
        ]
        for entry in self.entries:
            self.register(entry)

    def register(self, entry):
        key = _documents.ENTRY_PREFIX + entry.name
        self.store.put(key, _documents.dump_location(entry.location))

    @contextlib.asynccontextmanager
    async def running(self):
        for entry in self.entries:
            await entry.start()
        try:
            await self.wait_until(lambda entry: entry.revision == 7)
            await fakes.wait_until(lambda: self.watcher() is not None)
            await fakes.wait_until(
                lambda: len(self.followers()) == len(self.entries) - 1
            )
            yield self
        finally:
            for entry in self.entries:
                await entry.kill()

    async def wait_until(self, condition, entries=None):
        entries = self.entries if entries is None else entries
        await fakes.wait_until(lambda: all(map(condition, entries)))

    def watcher(self):
        """Return the entry that watches the store for the others."""
        found = [e for e in self.entries if e.is_watcher]
        return found[0] if len(found) == 1 else None

    def followers(self):
        watcher = self.watcher()
        return [e for e in self.entries if e is not watcher]


def run(main, regions=(REGION,)):
    async def inside():
        async with Region(regions=regions).running() as region:
            return await main(region)

    return asyncio.run(inside())
