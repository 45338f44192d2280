"""Lets one process of a region read from the service, for all of them."""

import asyncio
import math

import attrs

from catkinshunt import errors
from catkinshunt.feed import _peer
from catkinshunt.feed import _watchers
from catkinshunt.feed import _watch_cache
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
LARGE_SHARE = 0.5
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
DIRECT_S = 4.0
#: Seconds for which a process that has just started asks one that is not
#: there yet again, and the pause between two tries. After a loss of power all
#: start at the same moment.
START_PATIENCE_S = 0.6
START_PAUSE_S = 0.1

_log = logs.get_logger('feed')


class RegionalWatchSource(base.BaseWatchSource):
    """Follows the service through another process, or directly.

    A large configuration, read by every entry of a region over one link,
    takes seconds, and after a loss of power all requests are refused for as
    long. Here one process reads it and hands it on, see `_watchers.WatcherSelector`.
    Where that one gives no answer, or has no proof that what it knows is
    new, the service is asked directly.

    Args:
        source: `base.BaseWatchSource` of the service.
        roster: `catalog.LiveEntries` with the homes of the entries.
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
        self.view = _watch_cache.WatchCache(prefixes)
        self._large_at = None
        self._direct_at = -math.inf
        self._far_at = -math.inf
        self._peers = {}
        self._asked = None
        self._began = wall()

    @property
    def is_direct(self):
        """Whether this process reads from the service itself."""
        return self.wall() - self._direct_at < DIRECT_S

    def may_tell(self, must_be_direct):
        """Return whether another may rely on what this process knows.

        Args:
            must_be_direct: only if this process reads from the service itself.
        """
        if self.is_direct:
            return True
        return not must_be_direct and self.wall() - self._far_at < DIRECT_S

    async def read_prefix(self, prefix):
        """See `base.BaseWatchSource.read_prefix`."""
        page = None
        if prefix != self.prefixes[-1]:
            page = await self._read_at_peer(prefix)
        if page is None:
            page = await self._read_source(prefix)
        self.view.take_read(prefix, page, self.wall())
        return page

    async def _read_source(self, prefix):
        asked_at = self.wall()
        try:
            page = await self.source.read_prefix(prefix)
        except errors.StoreError:
            self._note_unserved()
            raise
        self._note_direct()
        return attrs.evolve(page, confirmed_at=asked_at)

    async def watch(self, prefix, after, wait_s):
        """See `base.BaseWatchSource.watch`."""
        page = await self._watch_at_peer(prefix, after)
        if page is None:
            page = await self._follow_source(prefix, after, wait_s)
            self._large_at = None
        self._note_large(page)
        self.view.take_changes(page, self.wall())
        return page

    async def _follow_source(self, prefix, after, wait_s):
        """Return the changes that the service tells."""
        try:
            if self._large_at is not None:
                # A watch gives every value since; behind a slow link it
                # falls further back with each.
                page = await self._read_changes()
            else:
                page = await self._watch_source(prefix, after, wait_s)
        except _peer.HistoryGoneError:
            self._note_direct()
            raise
        except errors.StoreError:
            self._note_unserved()
            raise
        self._note_direct()
        return page

    async def _read_changes(self):
        """Read all, and return what differs from what is known."""
        asked_at = self.wall()
        pages = [(p, await self.source.read_prefix(p)) for p in self.prefixes]
        items = [i for p, page in pages for i in self.view.differing(p, page)]
        return base.Page(
            tuple(sorted(items, key=lambda item: item.revision)),
            min(page.revision for _, page in pages),
            confirmed_at=asked_at,
            seen_ago_s=max(0.0, self.wall() - self.view.confirmed_at),
        )

    def _note_large(self, page):
        """Remember a large value until none has followed for a while.

        While no answer comes, further ones may pile up unseen.
        """
        now = self.wall()
        if self._has_large(page):
            self._large_at = now
        elif self._large_at is not None and now - self._large_at > BUSY_S:
            self._large_at = None

    def _has_large(self, page):
        """Return whether a page brings a value that outweighs the others."""
        least = LARGE_SHARE * self.view.size_bytes
        return any(len(item.value or b'') >= least for item in page.items)

    async def _watch_source(self, prefix, after, wait_s):
        if len(self.live_entries.names()) > 1:
            wait_s = min(wait_s, SOURCE_WAIT_S)
        asked_at = self.wall()
        page = await self.source.watch(prefix, after, wait_s)
        # An answer can lie unread while the process is suspended, so the
        # time at which it was read proves nothing.
        confirmed_at = asked_at
        if not page.items:
            confirmed_at = min(asked_at + wait_s, self.wall())
        return attrs.evolve(page, confirmed_at=confirmed_at)

    def _note_unserved(self):
        # Others ask elsewhere at once.
        self._direct_at = -math.inf
        self.watchers.note_unserved(self.wall())

    def _note_direct(self):
        self._direct_at = self.wall()

    async def _read_at_peer(self, prefix):
        """Return what another process knows, or None."""
        while (reader := self._choose()) is not None:
            try:
                page = await self._peer(reader).read_prefix(prefix)
            except errors.StoreError as exc:
                if self.wall() - self._began < START_PATIENCE_S:
                    await asyncio.sleep(START_PAUSE_S)
                    continue
                self._blame(reader, exc)
                return None
            if self._is_new(page, reader):
                return page
        return None

    async def _watch_at_peer(self, prefix, after):
        """Return the changes that another process tells, or None."""
        reader = self._choose()
        if reader is None:
            return None
        try:
            page = await self._peer(reader).watch(prefix, after, PEER_WAIT_S)
        except _peer.HistoryGoneError:
            # It has started a moment ago; the service knows more.
            return None
        except errors.StoreError as exc:
            self._blame(reader, exc)
            return None
        return page if self._is_new(page, reader) else None

    def _is_new(self, page, reader):
        """Return whether it is proved that little can have changed since."""
        now = self.wall()
        if now - page.confirmed_at >= STALE_S:
            self._blame(reader, 'what it knows is too old', answered=True)
            return False
        self.watchers.praise(reader)
        if reader.is_far:
            self._far_at = now
        return True

    def _choose(self):
        reader = self.watchers.choose(self.wall())
        if reader is not None and reader != self._asked:
            self._asked = reader
            _log.info('Follows the service through {}.', reader.name)
        return reader

    def _peer(self, reader):
        host = self.live_entries.locations()[reader.name].host
        key = (host, reader.must_be_direct)
        if key not in self._peers:
            self._peers[key] = self.make_peer(host, reader.must_be_direct)
        return self._peers[key]

    def _blame(self, reader, reason, answered=False):
        answered = answered or isinstance(reason, _peer.NotReadingError)
        self.watchers.blame(reader, self.wall(), answered)
        self._asked = None
        _log.warning(
            'Does not follow the service through {}: {}.', reader.name, reason
        )
