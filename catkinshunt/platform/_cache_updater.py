"""Keeps a catalog in step with the platform's store."""

import asyncio
import math

from catkinshunt import errors
from catkinshunt import feed
from catkinshunt import logs
from catkinshunt.platform import _apply
from catkinshunt.platform import _documents

#: Seconds that a watch waits where nothing changes. Its return confirms that
#: what is known is the newest. With a lost connection the age of the catalog
#: reaches this and the time-out of a call, which must be less than the time
#: for which keys are trusted.
WATCH_TIMEOUT_S = 1.8
#: Seconds after a change before the next watch, so that changes that come
#: together, such as of engines that load a version, are told together. What
#: an entry knows of leaving upstreams is older by as much.
BATCH_DELAY_S = 0.25
#: Shortest wait of a watch, in seconds; each is a call of the store's rate.
MIN_WATCH_TIMEOUT_S = 0.3
#: Pause after a call that failed, doubled up to the longest, in seconds.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5

_log = logs.get_logger('store')


class CacheUpdater:
    """Reads the store once, then follows its changes.

    Args:
        client: `feed.BaseWatchSource` of the store.
        catalog: `catalog.Catalog` that is kept in step.
        roster: `catalog.LiveEntries` that is kept in step.
        wall: gives seconds on a clock that counts a suspend too.
        random: source of random numbers, for the pauses.
        barred: `quarantine.Quarantine` that learns of barred requests.
    """

    def __init__(
        self, client, catalog, live_entries, boottime, random, barred
    ):
        self.client = client
        self.catalog = catalog
        self.live_entries = live_entries
        self.barred = barred
        self.boottime = boottime
        self.random = random
        self._revision = None
        self._min_revision = 0
        self._upstream_revisions = {}
        self._backoff_s = MIN_BACKOFF_S
        self._outage = logs.Outage(
            _log, 'The store is lost: {}.', 'The store is back.'
        )

    async def run(self):
        """Follow the store until cancelled."""
        while True:
            try:
                if self._revision is None:
                    await self._read_all()
                await self._follow()
            except feed.HistoryGoneError:
                _log.warning('The history is gone; reading all again.')
                self._min_revision = self._revision
                self._revision = None
            except errors.StoreError as exc:
                await self._back_off(exc)

    async def _back_off(self, exc):
        self._outage.begin(exc)
        await asyncio.sleep(self._backoff_s * (0.5 + self.random.random()))
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _reset_backoff(self):
        self._backoff_s = MIN_BACKOFF_S
        self._outage.end(revision=self._revision)

    async def _read_all(self):
        requested_at = self.boottime()
        first = self.catalog.declaration is None
        own, operator, listed = await self._read_pages()
        pages = (own, operator, listed)
        self._check_revisions(pages)
        for item in own.items:
            if item.key.startswith(_documents.QUARANTINE_PREFIX):
                _apply.apply_quarantine(item, self.barred, self.boottime())
        # How long a version has been named cannot be seen; a process that
        # has just started takes it as long ago, others as at the moment when
        # it was not named yet for certain.
        since = self.catalog.confirmed_at
        if first or since is None:
            since = -math.inf
        for item in operator.items:
            self._apply(item, since)
        self._replace_pending(own.items, requested_at)
        self.catalog.replace_upstreams(
            _apply.parse_valid_upstreams(listed.items), self.boottime()
        )
        self._upstream_revisions = {
            item.key: item.revision for item in listed.items
        }
        self._revision = min(page.revision for page in pages)
        self.catalog.confirm(
            min(_proved_at(page, requested_at) for page in pages)
        )
        self._reset_backoff()

    async def _read_pages(self):
        """Return the pages of our own keys, the operator's and upstreams'.

        They are read at the same time. One after the other, a slow store
        would take longer for them than a proof lasts, and those that follow
        this process would ask it too.
        """
        parts = (_documents.OPERATOR_PREFIX, _documents.UPSTREAM_PREFIX)
        if self.live_entries.names():
            pages = await self._read_together(_documents.SYSTEM_PREFIX, *parts)
            self._replace_entries(pages[0])
            return pages
        # First of all who else is there: one of them may know the rest.
        own = await self.client.read_prefix(_documents.SYSTEM_PREFIX)
        self._replace_entries(own)
        return [own, *await self._read_together(*parts)]

    async def _read_together(self, *prefixes):
        reads = map(self.client.read_prefix, prefixes)
        pages = await asyncio.gather(*reads, return_exceptions=True)
        for page in pages:
            if isinstance(page, BaseException):
                raise page
        return pages

    def _replace_entries(self, own):
        """Take over which entries are listed."""
        self.live_entries.replace(
            {
                _entry_name(item): _apply.parse_home_or_none(item)
                for item in own.items
                if item.key.startswith(_documents.ENTRY_PREFIX)
            }
        )

    def _check_revisions(self, pages):
        """Raise where a page is older than what is known.

        Another entry may tell less than this one knew before it read anew;
        an upstream that has left would be used again.
        """
        revision = min(page.revision for page in pages)
        if revision < self._min_revision:
            raise errors.StoreUnavailableError(
                f'told revision {revision} after {self._min_revision}',
                step='read-all',
            )

    def _replace_pending(self, items, requested_at):
        """Take over which versions are pending; the others are not."""
        shown = {item.key for item in items}
        for model, version in self.catalog.pending_versions():
            if _documents.pending_key(model, version) not in shown:
                self.catalog.end_pending(model, version)
        for item in items:
            if item.key.startswith(_documents.PENDING_PREFIX):
                _apply.apply_pending(item, self.catalog, requested_at)

    async def _follow(self):
        age_s = self.catalog.age_s(self.boottime())
        wait_s = max(MIN_WATCH_TIMEOUT_S, WATCH_TIMEOUT_S - age_s)
        requested_at = self.boottime()
        page = await self.client.watch('', self._revision, wait_s)
        now = self.boottime()
        for item in page.items:
            self._apply(item, now - page.seen_ago_s)
        self._revision = max(self._revision, page.revision)
        # An answer can lie unread while the process is suspended, so the
        # time at which it was read proves nothing.
        confirmed_at = (
            requested_at if page.items else min(requested_at + wait_s, now)
        )
        self.catalog.confirm(_proved_at(page, confirmed_at))
        self._reset_backoff()
        if page.items:
            await asyncio.sleep(BATCH_DELAY_S)

    def _apply(self, item, now):
        if item.key == _documents.CONFIGURATION_KEY:
            _apply.apply_configuration(item, self.catalog)
        elif item.key.startswith(_documents.VERSION_PREFIX):
            _apply.apply_version(item, self.catalog, now)
        elif item.key.startswith(_documents.UPSTREAM_PREFIX):
            self._apply_upstream(item, now)
        elif item.key.startswith(_documents.ENTRY_PREFIX):
            self._apply_entry(item)
        elif item.key.startswith(_documents.PENDING_PREFIX):
            _apply.apply_pending(item, self.catalog, now)
        elif item.key.startswith(_documents.QUARANTINE_PREFIX):
            _apply.apply_quarantine(item, self.barred, self.boottime())

    def _apply_entry(self, item):
        if item.value is None:
            self.live_entries.drop(_entry_name(item))
        else:
            self.live_entries.put(
                _entry_name(item), _apply.parse_home_or_none(item)
            )

    def _apply_upstream(self, item, now):
        if item.revision <= self._upstream_revisions.get(item.key, 0):
            return
        self._upstream_revisions[item.key] = item.revision
        upstream = _apply.parse_upstream_or_none(item)
        if upstream is None:
            self.catalog.drop_upstream(_apply.upstream_id(item), now)
        else:
            self.catalog.put_upstream(upstream)


def _proved_at(page, read_at):
    """Return when nothing newer than a page was there for certain."""
    return read_at if page.confirmed_at is None else page.confirmed_at


def _entry_name(item):
    return item.key.removeprefix(_documents.ENTRY_PREFIX)
