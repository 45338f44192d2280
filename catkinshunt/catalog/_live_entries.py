"""Local copy of the list of live entries."""

import attrs

from catkinshunt import base
from catkinshunt import notifier


@attrs.frozen
class EntryLocation:
    """Address and region of an entry.

    Attributes:
        host: IP address.
        region: name of the region.
    """

    host: str
    region: str


class LiveEntries(base.ParamsMixin):
    """Entries that the store lists as alive.

    Examples:
        >>> live_entries = LiveEntries()
        >>> live_entries.replace(['entry-1', 'entry-2'])
        >>> live_entries.drop('entry-2')
        >>> live_entries.names()
        ['entry-1']
    """

    def __init__(self):
        self._entries = {}
        #: Number of changes so far.
        self.revision = 0
        self._notifier = notifier.Notifier()

    def names(self):
        """Return the sorted names of the entries."""
        return sorted(self._entries)

    def count(self):
        """Return the number of entries."""
        return len(self._entries)

    def locations(self):
        """Return the published `EntryLocation` of entries, by name."""
        return {
            name: location
            for name, location in self._entries.items()
            if location is not None
        }

    def has(self, name):
        """Return whether the entry `name` is listed."""
        return name in self._entries

    def replace(self, entries):
        """Replace all entries.

        Args:
            entries: names, or mapping of name to `EntryLocation` or None.
        """
        if not isinstance(entries, dict):
            entries = dict.fromkeys(entries)
        self._set(entries)

    def put(self, name, location=None):
        """Add or update the entry `name`."""
        self._set({**self._entries, name: location})

    def drop(self, name):
        """Remove the entry `name`."""
        kept = {
            other: location
            for other, location in self._entries.items()
            if other != name
        }
        self._set(kept)

    async def wait_for_change(self):
        """Wait until an entry is added, updated or removed."""
        await self._notifier.wait()

    def _set(self, entries):
        if entries == self._entries:
            return
        self._entries = entries
        self.revision += 1
        self._notifier.notify_all()
