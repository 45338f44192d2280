"""Tracks failures of sources during one transfer."""

import collections

from catkinshunt import logs
from catkinshunt.spread import _plan

#: Time for which a failed source is excluded. For members it doubles with each
#: failure up to the limit: each attempt at an unresponsive member delays its
#: chunks by seconds.
EXCLUSION_S = 1.5
MAX_EXCLUSION_S = 12.0

_log = logs.get_logger('transfer')


class SourceHealth:
    """Excludes failed sources for a limited time.

    Args:
        chunk_store: the `ChunkStore` to fill; named in log lines.
        clock: returns seconds on the monotonic clock.
    """

    def __init__(self, chunk_store, clock):
        self.chunk_store = chunk_store
        self.clock = clock
        self._excluded_until = {}
        self._failures = collections.Counter()
        self._failing = set()

    def is_excluded(self, source):
        """Return whether a source is excluded now."""
        return self._excluded_until.get(source, 0) > self.clock()

    def usable(self, sources):
        """Return the sources that are not excluded, in order."""
        return [source for source in sources if not self.is_excluded(source)]

    def excluded_members(self):
        """Return the names of the excluded members."""
        excluded = {
            source
            for source in self._excluded_until
            if self.is_excluded(source)
        }
        return excluded - {_plan.ORIGIN}

    def record_failure(self, source, exc):
        """Exclude a source; log its first failure."""
        for_s = EXCLUSION_S
        if source != _plan.ORIGIN:
            for_s = min(
                EXCLUSION_S * 2 ** self._failures[source], MAX_EXCLUSION_S
            )
        self._failures[source] += 1
        self._excluded_until[source] = self.clock() + for_s
        if source not in self._failing:
            self._failing.add(source)
            self.log_failure(source, exc)

    def record_answer(self, source):
        """Reset the duration of the next exclusion of a source that answered.

        A running exclusion is kept.
        """
        self._failures.pop(source, None)

    def record_success(self, source):
        """Reset the duration of the next exclusion; log a recovery.

        A running exclusion is kept.
        """
        self.record_answer(source)
        if source in self._failing:
            self._failing.discard(source)
            _log.info('Source {} recovered.', source)

    def log_failure(self, source, exc):
        _log.warning(
            'Fetching from source {} failed: {}.',
            source,
            exc,
            model=self.chunk_store.model,
            version=self.chunk_store.version,
        )
