"""The entries that are alive, as one of them knows them."""

from catkinshunt import base
from catkinshunt import changes


class Roster(base.ParamsMixin):
    """Keeps the names of the entries that are listed in the store.

    Examples:
        >>> roster = Roster()
        >>> roster.replace(['entry-1', 'entry-2'])
        >>> roster.drop('entry-2')
        >>> roster.names()
        ['entry-1']
    """

    def __init__(self):
        self._names = set()
        self._changes = changes.Changes()

    def names(self):
        """Return the names of the entries that are alive, sorted."""
        return sorted(self._names)

    def has(self, name):
        """Return whether the entry `name` is listed."""
        return name in self._names

    def replace(self, names):
        """Take `names` in place of all that were known."""
        self._set(set(names))

    def put(self, name):
        """Note that the entry `name` is listed."""
        self._set(self._names | {name})

    def drop(self, name):
        """Note that the entry `name` is no longer listed."""
        self._set(self._names - {name})

    async def wait_for_change(self):
        """Return when an entry has come or gone."""
        await self._changes.wait()

    def _set(self, names):
        if names == self._names:
            return
        self._names = names
        self._changes.announce()
