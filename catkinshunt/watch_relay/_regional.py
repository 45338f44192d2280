"""Watches the key-value service, through another process if possible."""

import asyncio
import math

import attrs

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.watch_relay import _peer
from catkinshunt.watch_relay import _watch_cache
from catkinshunt.watch_relay import _watchers
from catkinshunt.watch_relay import base

#: Wait in seconds of a watch at another process. A short wait detects an
#: unresponsive process early, and such a call costs the service nothing.
PEER_WAIT_S = 0.4
#: Wait in seconds of a read at another process.
READ_WAIT_S = 2.0
#: Wait in seconds of a read at another process after a change of the era. That
#: process begins to read as soon as the service is back.
ERA_READ_WAIT_S = 0.8
#: Wait in seconds of a watch at the service. Each answer confirms the state of
#: this process and of those that watch through it, and a change counts from
#: the latest one before it.
SOURCE_WAIT_S = 0.3
#: A value counts as large from this fraction of the size of all values; to
#: read everything again then costs less than twice as much as the value.
LARGE_VALUE_RATIO = 0.5
#: Seconds after a large value for which it is remembered: further ones have
#: probably been missed if the watcher is lost meanwhile, so the next watch at
#: the service reads all items again.
BUSY_S = 3.0
#: Age in seconds of the latest confirmation from which a watcher counts as
#: stale: it may be disconnected from the service, which is then used directly.
#: Together with the two waits and one read it stays below 2 s, the shortest
#: bound within which a configuration must be in force.
STALE_S = 1.3
#: Seconds after the latest answer of the service for which this process counts
#: as watching it directly.
DIRECT_VALID_S = 4.0
#: Seconds after its start for which a process retries a watcher that is not
#: reachable yet, and the delay between two attempts. After a power failure all
#: processes start at the same time.
START_RETRY_PERIOD_S = 0.6
START_RETRY_DELAY_S = 0.1

_log = logs.get_logger('feed')


class RegionalWatchSource(base.BaseWatchSource):
    """Watches the service through another process, or directly.

    If every entry of a region read a large configuration over one link, it
    would take seconds, and after a power failure all requests would be refused
    for as long. Instead, one process reads it and relays it, see
    `_watchers.WatcherSelector`. If that process is unresponsive or its state
    is stale, the service is used directly.

    Args:
        source: `base.BaseWatchSource` of the service.
        live_entries: `catalog.LiveEntries` with the locations of the entries.
        name: name of this entry.
        region: region of this entry.
        make_peer: function of a host and of `must_be_direct` that returns the
            `PeerWatchSource` of the process there.
        wall: function that returns seconds on the boot-time clock.
        prefixes: all watched prefixes. Keys under the last one list the live
            entries; `read_prefix` reads these from the service, unless the
            entries are known from before a change of the era.
    """

    def __init__(
        self, source, live_entries, name, region, make_peer, wall, prefixes
    ):  # fmt: skip
        self.source = source
        self.watchers = _watchers.WatcherSelector(live_entries, name, region)
        self.live_entries = live_entries
        self.make_peer = make_peer
        self.wall = wall
        self.prefixes = prefixes
        self.cache = _watch_cache.WatchCache(prefixes)
        # Time of the latest large value, or None. While it is set, a watch
        # at the service is replaced by reading all items again.
        self._large_value_at = None
        self._source_response_at = -math.inf
        self._remote_response_at = -math.inf
        self._peers = {}
        self._current_watcher = None
        # The era after the latest change of it; None if there was none.
        self._changed_era = None
        self._started_at = wall()

    @property
    def is_direct(self):
        """Whether this process watches the service directly."""
        return self.wall() - self._source_response_at < DIRECT_VALID_S

    def may_relay(self, must_be_direct):
        """Return whether other processes may use the state of this one.

        Args:
            must_be_direct: whether this process must watch the service
                directly.
        """
        if self.is_direct:
            return True
        # A process of another region is used only if it watches the service
        # directly, so its answers may be relayed without forming a cycle.
        # Those of a process of the same region are not relayed further.
        return (
            not must_be_direct
            and self.wall() - self._remote_response_at < DIRECT_VALID_S
        )

    async def read_prefix(self, prefix):
        """See `base.BaseWatchSource.read_prefix`."""
        page = None
        if prefix != self.prefixes[-1] or self._changed_era is not None:
            page = await self._read_from_peer(prefix)
        if page is None:
            page = await self._read_source(prefix)
        self.cache.apply_read(prefix, page, self.wall())
        return page

    async def _read_source(self, prefix):
        requested_at = self.wall()
        try:
            page = await self.source.read_prefix(prefix)
        except errors.StoreError:
            self._note_source_failure()
            raise
        self._note_source_response()
        return attrs.evolve(page, confirmed_at=requested_at)

    async def watch(self, prefix, after, wait_s):
        """See `base.BaseWatchSource.watch`."""
        page = await self._watch_peer(prefix, after)
        if page is None:
            page = await self._changes_from_source(prefix, after, wait_s)
            self._large_value_at = None
        self._note_large_value(page)
        self.cache.apply_changes(page, self.wall())
        return page

    async def _changes_from_source(self, prefix, after, wait_s):
        """Return the changes since `after` from the service itself."""
        try:
            if self._large_value_at is not None:
                # A watch returns every intermediate value; over a slow link
                # it would fall behind further with each of them.
                page = await self._reread_all()
            else:
                page = await self._watch_source(prefix, after, wait_s)
        except _peer.HistoryGoneError as exc:
            self._note_source_response()
            self._note_era(exc)
            raise
        except errors.StoreError:
            self._note_source_failure()
            raise
        self._note_source_response()
        return page

    async def _reread_all(self):
        """Read all items, and return those that differ from the cache."""
        requested_at = self.wall()
        pages = [(p, await self.source.read_prefix(p)) for p in self.prefixes]
        era = max(page.revision.era for _, page in pages)
        if era > self.cache.era:
            raise _peer.EraChangedError(
                f'the service is in era {era}', era, step='read'
            )
        items = [i for p, page in pages for i in self.cache.diff(p, page)]
        return base.Page(
            tuple(sorted(items, key=lambda item: item.revision)),
            min(page.revision for _, page in pages),
            confirmed_at=requested_at,
            changed_after=self.cache.confirmed_at,
        )

    def _note_large_value(self, page):
        """Record a large value; clear it after a period without another.

        Further ones may accumulate while no answer arrives.
        """
        now = self.wall()
        if self._has_large_value(page):
            self._large_value_at = now
        elif (
            self._large_value_at is not None
            and now - self._large_value_at > BUSY_S
        ):
            self._large_value_at = None

    def _has_large_value(self, page):
        """Return whether a page contains a large value."""
        least = LARGE_VALUE_RATIO * self.cache.size_bytes
        return any(len(item.value or b'') >= least for item in page.items)

    async def _watch_source(self, prefix, after, wait_s):
        wait_s = min(wait_s, SOURCE_WAIT_S)
        requested_at = self.wall()
        page = await self.source.watch(prefix, after, wait_s)
        # If this process is suspended, it handles the answer long after its
        # arrival, so the time of handling confirms nothing. An empty page is
        # sent only after `wait_s`: nothing had changed until then.
        confirmed_at = requested_at
        if not page.items:
            confirmed_at = min(requested_at + wait_s, self.wall())
        return attrs.evolve(page, confirmed_at=confirmed_at)

    def _note_era(self, exc):
        """Record a change of the era, if `exc` tells of one.

        During the outage before it, watchers were paused since they did not
        reach the service either. If they stayed so, all processes would read
        everything from the service at the same time.
        """
        if not isinstance(exc, _peer.EraChangedError):
            return
        if self._changed_era is None or exc.era > self._changed_era:
            self._changed_era = exc.era
            self.watchers.resume()

    def _note_source_failure(self):
        # `is_direct` becomes false, so processes that require a direct watch
        # are rejected and stop watching through this one at once.
        self._source_response_at = -math.inf
        self.watchers.note_source_failure(self.wall())

    def _note_source_response(self):
        self._source_response_at = self.wall()

    async def _read_from_peer(self, prefix):
        """Return the page of the chosen watcher, or None.

        A failure is retried only shortly after the start, and otherwise ends
        the search; after a stale page the next watcher is tried.
        """
        while (watcher := self._choose_watcher()) is not None:
            try:
                page = await self._read_peer(watcher, prefix)
            except errors.StoreError as exc:
                if self.wall() - self._started_at < START_RETRY_PERIOD_S:
                    await asyncio.sleep(START_RETRY_DELAY_S)
                    continue
                self._note_failure(watcher, exc)
                return None
            if self._check_page(page, watcher):
                return page
        return None

    async def _read_peer(self, watcher, prefix):
        peer = self._peer_source(watcher)
        wait_s = READ_WAIT_S if self._changed_era is None else ERA_READ_WAIT_S
        return await peer.read_prefix(prefix, wait_s, self._least_era)

    async def _watch_peer(self, prefix, after):
        """Return the changes from the chosen watcher, or None."""
        watcher = self._choose_watcher()
        if watcher is None:
            return None
        try:
            page = await self._peer_source(watcher).watch(
                prefix, after, PEER_WAIT_S
            )
        except _peer.EraChangedError as exc:
            # Reading through the watcher again costs the service nothing.
            self._note_era(exc)
            raise
        except _peer.HistoryGoneError:
            # The watcher has just started; the service has a longer history.
            return None
        except errors.StoreError as exc:
            self._note_failure(watcher, exc)
            return None
        return page if self._check_page(page, watcher) else None

    def _check_page(self, page, watcher):
        """Return whether a page is recent enough; record the outcome."""
        now = self.wall()
        if page.revision.era < self._least_era:
            self._note_failure(watcher, 'its era is over', responded=True)
            return False
        if now - page.confirmed_at >= STALE_S:
            self._note_failure(watcher, 'its state is stale', responded=True)
            return False
        self.watchers.note_success(watcher)
        if watcher.is_remote:
            self._remote_response_at = now
        return True

    @property
    def _least_era(self):
        """Era below which pages of other processes are outdated."""
        return max(self.cache.era, self._changed_era or 0)

    def _choose_watcher(self):
        watcher = self.watchers.choose(self.wall())
        if watcher is not None and watcher != self._current_watcher:
            self._current_watcher = watcher
            _log.info(
                'Watches the key-value service through {}.', watcher.name
            )
        return watcher

    def _peer_source(self, watcher):
        host = self.live_entries.locations()[watcher.name].host
        key = (host, watcher.must_be_direct)
        if key not in self._peers:
            self._peers[key] = self.make_peer(host, watcher.must_be_direct)
        return self._peers[key]

    def _note_failure(self, watcher, reason, responded=False):
        responded = responded or isinstance(reason, _peer.NotCurrentError)
        self.watchers.note_failure(watcher, self.wall(), responded)
        self._current_watcher = None
        _log.warning(
            'Paused the use of {} as watcher of the key-value service: {}.',
            watcher.name,
            reason,
        )
