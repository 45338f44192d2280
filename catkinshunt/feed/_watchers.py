"""Decides through whom a process follows the key-value service."""

import math

import attrs

from catkinshunt import rendezvous

#: Seconds for which a process that gave no answer is not asked, at first and
#: at most.
FIRST_PAUSE_S = 1.0
MOST_PAUSE_S = 16.0
#: Seconds for which a process that the service did not answer asks others
#: that read from it.
UNSERVED_S = 2.0
#: Key by which all agree on the region that reads for the others.
_REGIONS_KEY = 'regions'


@attrs.frozen
class Watcher:
    """A process that reads for others.

    Attributes:
        name: its name.
        is_far: it stands in another region.
        must_be_direct: it is relied on only if it reads from the service itself,
            so that no two follow each other.
    """

    name: str
    is_far: bool = False
    must_be_direct: bool = False


@attrs.define
class _Pause:
    """How long a process, or another region, is not asked."""

    until: float
    for_s: float


class WatcherSelector:
    """Chooses who is asked for changes instead of the service.

    The first process of a region is asked by the others there. It asks the
    first one of one region that all agree on, and only that one reads from
    the service: a large value would otherwise cross every link between two
    regions as the service sends it. Whoever gives no answer is passed over,
    and the first one of a region then reads from the service itself. Where
    that is in vain, it asks the others of its region: the service may be out
    of reach for some and not for all.

    Args:
        roster: `catalog.LiveEntries`.
        name: name of this process.
        region: its region.
    """

    def __init__(self, live_entries, name, region):
        self.live_entries = live_entries
        self.name = name
        self.region = region
        self._pauses = {}
        self._unserved_until = -math.inf

    def choose(self, now):
        """Return the `Watcher` to ask now, or None for the service."""
        near = self.regional_watcher(now)
        if near is not None:
            return Watcher(near)
        far = self._first_far(now)
        if far is not None:
            return Watcher(far, is_far=True, must_be_direct=True)
        if now < self._unserved_until:
            other = self._first_behind(now)
            return (
                None if other is None else Watcher(other, must_be_direct=True)
            )
        return None

    def regional_watcher(self, now):
        """Return who reads for this region, or None for this process."""
        return self._first(self.region, now)

    def praise(self, reader):
        """Note that a reader gave an answer with proof."""
        self._pauses.pop(reader.name, None)
        if reader.is_far:
            self._pauses.pop(_REGIONS_KEY, None)

    def note_unserved(self, now):
        """Note that the service gave this process no answer."""
        self._unserved_until = now + UNSERVED_S

    def blame(self, reader, now, answered=False):
        """Leave out a reader for a while.

        Args:
            reader: the `Watcher`.
            now: present time in seconds.
            answered: it is within reach, but does not know enough.
        """
        self._pause(reader.name, now)
        if reader.is_far and not answered:
            # Were its neighbours asked next, all that follow this process
            # would wait for a region out of reach, one time-out after another.
            self._pause(_REGIONS_KEY, now)

    def _first_far(self, now):
        if self._is_paused(_REGIONS_KEY, now):
            return None
        regions = {
            home.region for home in self.live_entries.locations().values()
        }
        first = rendezvous.rank(_REGIONS_KEY, regions | {self.region})[0]
        return None if first == self.region else self._first(first, now)

    def _first(self, region, now):
        """Return the first that can be asked there, None for this one."""
        for name in rendezvous.rank(region, self._members(region)):
            if name == self.name:
                return None
            if not self._is_paused(name, now):
                return name
        return None

    def _first_behind(self, now):
        """Return one of this region that may read in place of this one."""
        for name in rendezvous.rank(self.region, self._members(self.region)):
            if name != self.name and not self._is_paused(name, now):
                return name
        return None

    def _members(self, region):
        """Return the names of the entries of a region."""
        homes = self.live_entries.locations()
        names = {n for n, home in homes.items() if home.region == region}
        return names | {self.name} if region == self.region else names

    def _is_paused(self, key, now):
        pause = self._pauses.get(key)
        return pause is not None and pause.until > now

    def _pause(self, key, now):
        known = self._pauses.get(key)
        for_s = FIRST_PAUSE_S
        if known is not None:
            for_s = min(2 * known.for_s, MOST_PAUSE_S)
        self._pauses[key] = _Pause(now + for_s, for_s)
