"""Decides through whom a process follows the key-value service."""

import attrs

from catkinshunt import rendezvous

#: Seconds for which a process that gave no answer is not asked, at first and
#: at most.
FIRST_PAUSE_S = 1.0
MOST_PAUSE_S = 16.0
#: Key by which all agree on the region that reads for the others.
_REGIONS_KEY = 'regions'


@attrs.frozen
class Reader:
    """A process that reads for others.

    Attributes:
        name: its name.
        is_far: it stands in another region.
    """

    name: str
    is_far: bool = False


@attrs.define
class _Pause:
    """How long a process, or another region, is not asked."""

    until: float
    for_s: float


class Readers:
    """Chooses who is asked for changes instead of the service.

    The first process of a region is asked by the others there. It asks the
    first one of one region that all agree on, and only that one reads from
    the service: a large value would otherwise cross every link between two
    regions as the service sends it. Whoever gives no answer is passed over,
    and the first one of a region then reads from the service itself.

    Args:
        roster: `catalog.Roster`.
        name: name of this process.
        region: its region.
    """

    def __init__(self, roster, name, region):
        self.roster = roster
        self.name = name
        self.region = region
        self._pauses = {}

    def choose(self, now):
        """Return the `Reader` to ask now, or None for the service."""
        near = self.first_near(now)
        if near is not None:
            return Reader(near)
        far = self._first_far(now)
        return None if far is None else Reader(far, is_far=True)

    def first_near(self, now):
        """Return who reads for this region, or None for this process."""
        return self._first(self.region, now)

    def praise(self, reader):
        """Note that a reader gave an answer with proof."""
        self._pauses.pop(reader.name, None)
        if reader.is_far:
            self._pauses.pop(_REGIONS_KEY, None)

    def blame(self, reader, now):
        """Leave out a reader for a while."""
        self._pause(reader.name, now)
        if reader.is_far:
            # Were its neighbours asked next, all that follow this process
            # would wait for a region out of reach, one time-out after another.
            self._pause(_REGIONS_KEY, now)

    def _first_far(self, now):
        if self._is_paused(_REGIONS_KEY, now):
            return None
        regions = {home.region for home in self.roster.homes().values()}
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

    def _members(self, region):
        """Return the names of the entries of a region."""
        homes = self.roster.homes()
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
