"""Lets one process of a region read from the service, for all of them."""

import asyncio
import math

import attrs

from catkinshunt import errors
from catkinshunt.feed import _peer
from catkinshunt.feed import _watch_cache
from catkinshunt.feed import _watchers
from catkinshunt.feed import base
from catkinshunt import logs

#: Seconds for which changes are waited for at another process. A short wait
#: shows soon that it stands still; such a call costs the service nothing.
PEER_WAIT_S = 0.4
#: The same at the service, where others follow it through this process: what
#: they know is proved anew by each answer.
SOURCE_WAIT_S = 0.6
#: Share of all that is known from which on a value counts as large. To read
#: all again costs less than twice as much then.
LARGE_VALUE_RATIO = 0.5
#: Seconds after a large value in which further ones are likely to have come
#: unseen where the process that was followed is lost.
BUSY_S = 3.0
#: Seconds without proof after which what another process tells is too old: it
#: may be cut off from the service, which then is asked directly. With the two
#: waits and one read it stays below 2 s, the shortest bound within which a
#: configuration must be in force.
STALE_S = 1.3
#: Seconds after its last answer for which this process counts as one that
#: reads from the service itself.
DIRECT_VALID_S = 4.0
#: Seconds for which a process that has just started asks one that is not
#: there yet again, and the pause between two tries. After a loss of power all
#: start at the same moment.
START_RETRY_PERIOD_S = 0.6
START_RETRY_DELAY_S = 0.1

_log = logs.get_logger('feed')


class RegionalWatchSource(base.BaseWatchSource):
    """Follows the service through another process, or directly.

    A large configuration, read by every entry of a region over one link,
    takes seconds, and after a loss of power all requests are refused for as
    long. Here one process reads it and hands it on, see
    `_watchers.WatcherSelector`. Where that one gives no answer, or has no
    proof that what it knows is new, the service is asked directly.

    Args:
        source: `base.BaseWatchSource` of the service.
        live_entries: `catalog.LiveEntries` with the homes of the entries.
        name: name of this entry.
        region: its region.
        make_peer: function of a host, and of whether the process there must
            read from the service itself, that returns its `PeerWatchSource`.
        wall: gives seconds on the clock of the view.
        prefixes: prefixes of all that is followed; those below the last one
            tell which processes there are, and are read directly.
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
        self._large_value_at = None
        self._source_response_at = -math.inf
        self._remote_response_at = -math.inf
        self._peers = {}
        self._current_watcher = None
        self._started_at = wall()

    @property
    def is_direct(self):
        """Whether this process reads from the service itself."""
        return self.wall() - self._source_response_at < DIRECT_VALID_S

    def may_relay(self, must_be_direct):
        """Return whether another may rely on what this process knows.

        Args:
            must_be_direct: only if this process reads from the service itself.
        """
        if self.is_direct:
            return True
        return (
            not must_be_direct
            and self.wall() - self._remote_response_at < DIRECT_VALID_S
        )

    async def read_prefix(self, prefix):
        """See `base.BaseWatchSource.read_prefix`."""
        page = None
        if prefix != self.prefixes[-1]:
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
        """Return the changes that the service tells."""
        try:
            if self._large_value_at is not None:
                # A watch gives every value since; behind a slow link it
                # falls further back with each.
                page = await self._reread_all()
            else:
                page = await self._watch_source(prefix, after, wait_s)
        except _peer.HistoryGoneError:
            self._note_source_response()
            raise
        except errors.StoreError:
            self._note_source_failure()
            raise
        self._note_source_response()
        return page

    async def _reread_all(self):
        """Read all, and return what differs from what is known."""
        requested_at = self.wall()
        pages = [(p, await self.source.read_prefix(p)) for p in self.prefixes]
        items = [i for p, page in pages for i in self.cache.diff(p, page)]
        return base.Page(
            tuple(sorted(items, key=lambda item: item.revision)),
            min(page.revision for _, page in pages),
            confirmed_at=requested_at,
            seen_ago_s=max(0.0, self.wall() - self.cache.confirmed_at),
        )

    def _note_large_value(self, page):
        """Remember a large value until none has followed for a while.

        While no answer comes, further ones may pile up unseen.
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
        """Return whether a page brings a value that outweighs the others."""
        least = LARGE_VALUE_RATIO * self.cache.size_bytes
        return any(len(item.value or b'') >= least for item in page.items)

    async def _watch_source(self, prefix, after, wait_s):
        if len(self.live_entries.names()) > 1:
            wait_s = min(wait_s, SOURCE_WAIT_S)
        requested_at = self.wall()
        page = await self.source.watch(prefix, after, wait_s)
        # An answer can lie unread while the process is suspended, so the
        # time at which it was read proves nothing.
        confirmed_at = requested_at
        if not page.items:
            confirmed_at = min(requested_at + wait_s, self.wall())
        return attrs.evolve(page, confirmed_at=confirmed_at)

    def _note_source_failure(self):
        # Others ask elsewhere at once.
        self._source_response_at = -math.inf
        self.watchers.note_source_failure(self.wall())

    def _note_source_response(self):
        self._source_response_at = self.wall()

    async def _read_from_peer(self, prefix):
        """Return what another process knows, or None."""
        while (watcher := self._choose_watcher()) is not None:
            try:
                page = await self._peer_source(watcher).read_prefix(prefix)
            except errors.StoreError as exc:
                if self.wall() - self._started_at < START_RETRY_PERIOD_S:
                    await asyncio.sleep(START_RETRY_DELAY_S)
                    continue
                self._note_failure(watcher, exc)
                return None
            if self._check_age(page, watcher):
                return page
        return None

    async def _watch_peer(self, prefix, after):
        """Return the changes that another process tells, or None."""
        watcher = self._choose_watcher()
        if watcher is None:
            return None
        try:
            page = await self._peer_source(watcher).watch(
                prefix, after, PEER_WAIT_S
            )
        except _peer.HistoryGoneError:
            # It has started a moment ago; the service knows more.
            return None
        except errors.StoreError as exc:
            self._note_failure(watcher, exc)
            return None
        return page if self._check_age(page, watcher) else None

    def _check_age(self, page, watcher):
        """Return whether it is proved that little can have changed since."""
        now = self.wall()
        if now - page.confirmed_at >= STALE_S:
            self._note_failure(
                watcher, 'what it knows is too old', responded=True
            )
            return False
        self.watchers.note_success(watcher)
        if watcher.is_remote:
            self._remote_response_at = now
        return True

    def _choose_watcher(self):
        watcher = self.watchers.choose(self.wall())
        if watcher is not None and watcher != self._current_watcher:
            self._current_watcher = watcher
            _log.info('Follows the service through {}.', watcher.name)
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
            'Does not follow the service through {}: {}.', watcher.name, reason
        )
