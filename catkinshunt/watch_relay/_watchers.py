"""Selection of the process that relays the key-value service."""

import math

import attrs

from catkinshunt import rendezvous

#: Initial and maximum pause in seconds after a process did not answer.
INITIAL_PAUSE_S = 1.0
MAX_PAUSE_S = 16.0
#: Seconds after a failed call to the service for which a process watches
#: through any other process of its region.
SOURCE_FAILED_S = 2.0
#: Rendezvous hashing key for the region that watches for all others; also the
#: key of the pause of all other regions.
_REGIONS_KEY = 'regions'


@attrs.frozen
class Watcher:
    """The process through which this one watches the key-value service.

    Attributes:
        name: name of the process.
        is_remote: whether it is in another region.
        must_be_direct: whether it is used only if it watches the service
            directly; this rules out cycles of watchers.
    """

    name: str
    is_remote: bool = False
    must_be_direct: bool = False


@attrs.define
class _Pause:
    """Backoff of a process, or of all other regions."""

    until: float
    duration_s: float


class WatcherSelector:
    """Selects the process to watch through instead of the service.

    Rendezvous hashing ranks the regions, and the processes of a region.
    Paused processes are skipped. `choose` returns the first that applies:

    1. The first process of this region, which relays to the others there.
    2. If this process is that one: the first process of the first region,
       which alone watches the service. Otherwise a large value would cross
       every link between two regions uncompressed. Does not apply in the first
       region, nor while that region is paused as unreachable.
    3. If a call to the service failed in the last `SOURCE_FAILED_S`: another
       process of this region that watches the service directly, since the
       service may be unreachable for some processes only.
    4. The service itself.

    Args:
        live_entries: `catalog.LiveEntries`.
        name: name of this process.
        region: region of this process.
    """

    def __init__(self, live_entries, name, region):
        self.live_entries = live_entries
        self.name = name
        self.region = region
        self._pauses = {}
        self._source_failed_until = -math.inf

    def choose(self, now):
        """Return the `Watcher` to use now, or None for the service itself."""
        regional = self.regional_watcher(now)
        if regional is not None:
            return Watcher(regional)
        remote = self._remote_watcher(now)
        if remote is not None:
            return Watcher(remote, is_remote=True, must_be_direct=True)
        if now < self._source_failed_until:
            other = self._fallback_watcher(now)
            return (
                None if other is None else Watcher(other, must_be_direct=True)
            )
        return None

    def regional_watcher(self, now):
        """Return the watcher of this region, or None for this process."""
        return self._first_available(self.region, now)

    def note_success(self, watcher):
        """Record that a watcher returned an up-to-date page."""
        self._pauses.pop(watcher.name, None)
        if watcher.is_remote:
            self._pauses.pop(_REGIONS_KEY, None)

    def resume(self):
        """End all pauses, and forget that the service did not answer."""
        self._pauses.clear()
        self._source_failed_until = -math.inf

    def note_source_failure(self, now):
        """Record that the service did not answer this process."""
        self._source_failed_until = now + SOURCE_FAILED_S

    def note_failure(self, watcher, now, responded=False):
        """Skip a watcher for a pause that doubles with each failure.

        Args:
            watcher: the `Watcher`.
            now: current time in seconds.
            responded: whether it was reached, but its state is out of date.
        """
        self._pause(watcher.name, now)
        if watcher.is_remote and not responded:
            # If the other processes of an unreachable region were tried next,
            # all processes that watch through this one would wait for one
            # time-out after another. Hence all other regions are paused.
            self._pause(_REGIONS_KEY, now)

    def _remote_watcher(self, now):
        if self._is_paused(_REGIONS_KEY, now):
            return None
        regions = {
            location.region
            for location in self.live_entries.locations().values()
        }
        first = rendezvous.rank(_REGIONS_KEY, regions | {self.region})[0]
        return (
            None if first == self.region else self._first_available(first, now)
        )

    def _first_available(self, region, now):
        """Return the first process that is not paused.

        Returns None if this process comes before it in the ranking, or if all
        are paused.
        """
        for name in rendezvous.rank(region, self._members(region)):
            if name == self.name:
                return None
            if not self._is_paused(name, now):
                return name
        return None

    def _fallback_watcher(self, now):
        """Return another process of this region, or None."""
        for name in rendezvous.rank(self.region, self._members(self.region)):
            if name != self.name and not self._is_paused(name, now):
                return name
        return None

    def _members(self, region):
        """Return the names of the entries of a region."""
        locations = self.live_entries.locations()
        names = {n for n, loc in locations.items() if loc.region == region}
        return names | {self.name} if region == self.region else names

    def _is_paused(self, key, now):
        pause = self._pauses.get(key)
        return pause is not None and pause.until > now

    def _pause(self, key, now):
        known = self._pauses.get(key)
        duration_s = INITIAL_PAUSE_S
        if known is not None:
            duration_s = min(2 * known.duration_s, MAX_PAUSE_S)
        self._pauses[key] = _Pause(now + duration_s, duration_s)
