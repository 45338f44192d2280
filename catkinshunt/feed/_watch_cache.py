"""The items of the service as one process knows them, to be handed on."""

import collections

from catkinshunt import notifier
from catkinshunt.feed import base

#: Deletions that are remembered; whoever missed an older one reads all again.
MOST_DELETED = 2000


class WatchCache:
    """Keeps what pages told, and answers for others like the service.

    Args:
        prefixes: prefixes that must have been read before changes are told.

    Examples:
        >>> view = WatchCache(prefixes=('rules/',))
        >>> view.take_read('rules/', base.Page((), 7), now=1.0)
        >>> item = base.Item('rules/first', b'{}', 9)
        >>> view.take_changes(base.Page((item,), 9), now=2.0)
        >>> [item.key for item in view.changes('', 8, now=2.5).items]
        ['rules/first']
    """

    def __init__(self, prefixes):
        self.prefixes = prefixes
        self._items = {}
        self._deleted = collections.OrderedDict()
        self._seen_at = {}
        self._read_at = {}
        self._proved_at = {}
        self._floor = 0
        self._news = notifier.Notifier()

    @property
    def is_complete(self):
        """Whether all that others ask for has been read."""
        return all(prefix in self._read_at for prefix in self.prefixes)

    @property
    def revision(self):
        """Revision up to which changes are known."""
        return min(self._read_at.values(), default=0)

    @property
    def confirmed_at(self):
        """When nothing newer was there for certain; None before any read."""
        return min(self._proved_at.values(), default=None)

    @property
    def size_bytes(self):
        """Bytes of all values."""
        return sum(len(item.value) for item in self._items.values())

    def differing(self, prefix, page):
        """Return what a read of all items below `prefix` changes, as items.

        Whatever is no longer there is told as deleted at that read.
        """
        found = {item.key: item for item in page.items}
        gone = [
            base.Item(key, None, page.revision)
            for key, item in self._items.items()
            if key.startswith(prefix)
            and key not in found
            and item.revision <= page.revision
        ]
        return gone + [
            item
            for key, item in found.items()
            if key not in self._items
            or item.revision > self._items[key].revision
        ]

    def has_read(self, prefix):
        """Return whether all items below `prefix` are known."""
        return prefix in self._read_at

    async def wait(self):
        """Return once something has been taken in."""
        await self._news.wait()

    def take_read(self, prefix, page, now):
        """Take in all items below `prefix`.

        Where they were known before, what is missing was deleted since.
        """
        if prefix in self._read_at:
            seen_at = self._proved_at[prefix]
            for item in self.differing(prefix, page):
                self._take(item, seen_at)
            revision = max(self._read_at[prefix], page.revision)
        else:
            self._items.update((item.key, item) for item in page.items)
            revision = page.revision
            # What was deleted before that cannot be told.
            self._floor = max(self._floor, revision)
        self._read_at[prefix] = revision
        self._prove((prefix,), page, now)

    def take_changes(self, page, now):
        """Take in changes behind all that was read."""
        for item in page.items:
            self._take(item, now - page.seen_ago_s)
        for prefix, revision in self._read_at.items():
            self._read_at[prefix] = max(revision, page.revision)
        self._prove(tuple(self._read_at), page, now)

    def _take(self, item, seen_at):
        known = self._items.get(item.key) or self._deleted.get(item.key)
        if known is not None and item.revision <= known.revision:
            return
        self._seen_at[item.key] = seen_at
        if item.value is not None:
            self._items[item.key] = item
            self._deleted.pop(item.key, None)
            return
        self._items.pop(item.key, None)
        self._deleted[item.key] = item
        self._deleted.move_to_end(item.key)
        while len(self._deleted) > MOST_DELETED:
            _, dropped = self._deleted.popitem(last=False)
            self._floor = max(self._floor, dropped.revision)

    def _prove(self, prefixes, page, now):
        confirmed_at = now if page.confirmed_at is None else page.confirmed_at
        for prefix in prefixes:
            before = self._proved_at.get(prefix, confirmed_at)
            self._proved_at[prefix] = max(confirmed_at, before)
        self._news.notify_all()

    def below(self, prefix):
        """Return all items below `prefix` as a `Page`."""
        items = [i for k, i in self._items.items() if k.startswith(prefix)]
        return base.Page(
            tuple(items),
            self._read_at[prefix],
            confirmed_at=self._proved_at[prefix],
        )

    def knows_since(self, after):
        """Return whether all changes after a revision are known."""
        return after >= self._floor

    def changes(self, prefix, after, now):
        """Return the changes below `prefix` after a revision as a `Page`."""
        every = [*self._items.values(), *self._deleted.values()]
        items = sorted(
            (
                item
                for item in every
                if item.revision > after and item.key.startswith(prefix)
            ),
            key=lambda item: item.revision,
        )
        ages = [now - self._seen_at.get(item.key, now) for item in items]
        return base.Page(
            tuple(items),
            max(self.revision, after),
            confirmed_at=self.confirmed_at,
            seen_ago_s=max(ages, default=0.0),
        )
