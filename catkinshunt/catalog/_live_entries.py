"""The entries that are alive, as one of them knows them."""

import attrs

from catkinshunt import base
from catkinshunt import notifier


@attrs.frozen
class EntryLocation:
    """Where an entry runs.

    Attributes:
        host: its address.
        region: its region.
    """

    host: str
    region: str


class LiveEntries(base.ParamsMixin):
    """Keeps the entries that are listed in the store.

    Examples:
        >>> live_entries = LiveEntries()
        >>> live_entries.replace(['entry-1', 'entry-2'])
        >>> live_entries.drop('entry-2')
        >>> live_entries.names()
        ['entry-1']
    """

    def __init__(self):
        self._entries = {}
        self._changes = notifier.Notifier()

    def names(self):
        """Return the names of the entries that are alive, sorted."""
        return sorted(self._entries)

    def locations(self):
        """Return the `EntryLocation` of each entry that told it, by name."""
        return {
            name: home
            for name, home in self._entries.items()
            if home is not None
        }

    def has(self, name):
        """Return whether the entry `name` is listed."""
        return name in self._entries

    def replace(self, entries):
        """Take these in place of all that were known.

        Args:
            entries: names, or homes by name.
        """
        if not isinstance(entries, dict):
            entries = dict.fromkeys(entries)
        self._set(entries)

    def put(self, name, home=None):
        """Note that the entry `name` is listed."""
        self._set({**self._entries, name: home})

    def drop(self, name):
        """Note that the entry `name` is no longer listed."""
        kept = {n: home for n, home in self._entries.items() if n != name}
        self._set(kept)

    async def wait_for_change(self):
        """Return when an entry has come or gone."""
        await self._changes.wait()

    def _set(self, entries):
        if entries == self._entries:
            return
        self._entries = entries
        self._changes.notify_all()
