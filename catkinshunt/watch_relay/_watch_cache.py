"""Cache of the key-value service's items that answers reads and watches."""

import collections

from catkinshunt import notifier
from catkinshunt.watch_relay import base

#: Maximum number of deletions kept; a process that missed an older one must
#: read everything again.
MAX_TOMBSTONES = 2000
#: Maximum number of revisions whose latest confirmation is kept.
MAX_CONFIRMATIONS = 256


class WatchCache:
    """Items and recent deletions, from which reads and watches are answered.

    Args:
        prefixes: prefixes that must have been read before changes are served.

    Examples:
        >>> cache = WatchCache(prefixes=('rules/',))
        >>> before, after = base.Revision(1, 7), base.Revision(1, 9)
        >>> cache.apply_read('rules/', base.Page((), before), now=1.0)
        >>> item = base.Item('rules/first', b'{}', after)
        >>> cache.apply_changes(base.Page((item,), after), now=2.0)
        >>> page = cache.changes_after('', before)
        >>> [item.key for item in page.items]
        ['rules/first']
    """

    def __init__(self, prefixes):
        self.prefixes = prefixes
        #: Era of all cached items; pages of an older one are dropped.
        self.era = 0
        self._notifier = notifier.Notifier()
        self._clear()

    def _clear(self):
        self._items = {}
        self._tombstones = collections.OrderedDict()
        # Time at which the state at a revision was last known to be current,
        # by revision in ascending order.
        self._current_at = collections.OrderedDict()
        self._revisions = {}
        self._confirmed_at = {}
        self._compacted_revision = base.Revision()

    def _is_outdated(self, page):
        """Return whether a page is of an older era; begin a newer one.

        In a newer era nothing is known until it is read again, also what was
        deleted.
        """
        if page.revision.era > self.era:
            self.era = page.revision.era
            self._clear()
        return page.revision.era < self.era

    @property
    def is_complete(self):
        """Whether all prefixes have been read."""
        return all(prefix in self._revisions for prefix in self.prefixes)

    @property
    def revision(self):
        """Revision up to which all changes are applied."""
        return min(self._revisions.values(), default=base.Revision())

    @property
    def confirmed_at(self):
        """Latest time at which all prefixes read so far were up to date.

        None before any read.
        """
        return min(self._confirmed_at.values(), default=None)

    @property
    def size_bytes(self):
        """Total size of all values in bytes."""
        return sum(len(item.value) for item in self._items.values())

    def diff(self, prefix, page):
        """Return the changes that a read of all items under `prefix` implies.

        Items missing from the read are returned as deleted at its revision.
        """
        found = {item.key: item for item in page.items}
        deleted = [
            base.Item(key, None, page.revision)
            for key, item in self._items.items()
            if key.startswith(prefix)
            and key not in found
            and item.revision <= page.revision
        ]
        return deleted + [
            item
            for key, item in found.items()
            if key not in self._items
            or item.revision > self._items[key].revision
        ]

    def has_read(self, prefix):
        """Return whether all items under `prefix` have been read."""
        return prefix in self._revisions

    async def wait(self):
        """Wait until a page is applied."""
        await self._notifier.wait()

    def apply_read(self, prefix, page, now):
        """Apply a read of all items under `prefix`.

        On a repeated read, items that are missing count as deleted.
        """
        if self._is_outdated(page):
            return
        if prefix in self._revisions:
            for item in self.diff(prefix, page):
                self._apply_item(item)
            revision = max(self._revisions[prefix], page.revision)
        else:
            self._items.update((item.key, item) for item in page.items)
            revision = page.revision
            # Deletions before the first read are not known.
            self._compacted_revision = max(self._compacted_revision, revision)
        self._revisions[prefix] = revision
        self._confirm((prefix,), page, now)

    def apply_changes(self, page, now):
        """Apply changes that follow the reads of all prefixes."""
        if self._is_outdated(page):
            return
        if page.changed_after is not None and self.is_complete:
            self._record_confirmation(page.changed_after)
        for item in page.items:
            self._apply_item(item)
        for prefix, revision in self._revisions.items():
            self._revisions[prefix] = max(revision, page.revision)
        self._confirm(tuple(self._revisions), page, now)

    def _apply_item(self, item):
        known = self._items.get(item.key) or self._tombstones.get(item.key)
        if known is not None and item.revision <= known.revision:
            return
        if item.value is not None:
            self._items[item.key] = item
            self._tombstones.pop(item.key, None)
            return
        self._items.pop(item.key, None)
        self._tombstones[item.key] = item
        self._tombstones.move_to_end(item.key)
        while len(self._tombstones) > MAX_TOMBSTONES:
            _, dropped = self._tombstones.popitem(last=False)
            self._compacted_revision = max(
                self._compacted_revision, dropped.revision
            )

    def _confirm(self, prefixes, page, now):
        confirmed_at = now if page.confirmed_at is None else page.confirmed_at
        for prefix in prefixes:
            before = self._confirmed_at.get(prefix, confirmed_at)
            self._confirmed_at[prefix] = max(confirmed_at, before)
        if self.is_complete:
            self._record_confirmation(self.confirmed_at)
        self._notifier.notify_all()

    def _record_confirmation(self, at):
        """Record that the state at the present revision was current.

        Args:
            at: seconds on the boot-time clock.
        """
        before = self._current_at.get(self.revision, at)
        self._current_at[self.revision] = max(at, before)
        while len(self._current_at) > MAX_CONFIRMATIONS:
            self._current_at.popitem(last=False)

    def _current_until(self, revision):
        """Return when the state at a revision was last current, or None."""
        for known, at in reversed(self._current_at.items()):
            if known <= revision:
                return at
        return None

    def read_prefix(self, prefix):
        """Return all items under `prefix` as a `Page`."""
        items = [i for k, i in self._items.items() if k.startswith(prefix)]
        return base.Page(
            tuple(items),
            self._revisions[prefix],
            confirmed_at=self._confirmed_at[prefix],
        )

    def has_history_since(self, after):
        """Return whether all changes after a revision are available.

        Deletions up to `_compacted_revision` may be missing.
        """
        return after >= self._compacted_revision

    def changes_after(self, prefix, after):
        """Return the changes under `prefix` after a revision as a `Page`."""
        every = [*self._items.values(), *self._tombstones.values()]
        items = sorted(
            (
                item
                for item in every
                if item.revision > after and item.key.startswith(prefix)
            ),
            key=lambda item: item.revision,
        )
        return base.Page(
            tuple(items),
            max(self.revision, after),
            confirmed_at=self.confirmed_at,
            # The reader may have missed several values of a key. All of them
            # were written later than this.
            changed_after=self._current_until(after),
        )
